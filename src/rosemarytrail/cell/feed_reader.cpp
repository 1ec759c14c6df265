#include <rosemarytrail/cell/feed_reader.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace rosemarytrail::cell {

struct feed_reader::internal_state
    : std::enable_shared_from_this<feed_reader::internal_state>
{
    internal_state(const feed_reader_options& options_, http::event_loop& loop_,
                   store& source_, feed_listener& target_)
        : options{options_}
        , loop{loop_}
        , source{source_}
        , target{target_}
        , pacing{options_.pacing}
    {}

    feed_reader_options options;
    http::event_loop& loop;
    store& source;
    feed_listener& target;
    std::int64_t offset{};
    bool loaded{false};
    bool stopped{false};
    time_point fresh_at;
    std::vector<feed_record> loading;
    std::int64_t load_end{};
    /** @brief Keys after which the pages of this load started. */
    std::set<std::string> continued;
    read_pacing pacing;

    void load(const std::string& after);
    void on_newest(newest_page page, bool first, time_point sent);
    void read();
    void on_page(const feed_page& page, time_point sent);
    void apply(const feed_page& page, std::int64_t from);
    void on_failure(store_result result, void (internal_state::*next)());
    void on_success();
    void schedule(duration pause, void (internal_state::*next)());
    void reload() { load({}); }
    void catch_up(std::function<void(bool)> done);
};

void feed_reader::internal_state::catch_up(std::function<void(bool)> done)
{
    // A read would start at the first record of the feed.
    if (!loaded) {
        done(false);
        return;
    }
    source.read({.which = options.which,
                 .from = offset,
                 .max_bytes = pacing.page_bytes()},
                [self = shared_from_this(), from = offset,
                 done = std::move(done)](const feed_page& page) mutable {
                    if (self->stopped || !self->loaded ||
                        page.result != store_result::done) {
                        done(false);
                        return;
                    }
                    self->apply(page, from);
                    if (page.at_end) {
                        done(true);
                    } else {
                        self->catch_up(std::move(done));
                    }
                });
}

void feed_reader::internal_state::schedule(duration pause,
                                           void (internal_state::*next)())
{
    loop.post_at(boot_clock::now() + pause, [self = shared_from_this(), next] {
        if (!self->stopped) {
            (self.get()->*next)();
        }
    });
}

void feed_reader::internal_state::on_failure(store_result result,
                                             void (internal_state::*next)())
{
    const auto delay =
        pacing.on_failure(result == store_result::unknown, boot_clock::now());
    target.on_read_failed(result, pacing.failures());
    schedule(delay, next);
}

void feed_reader::internal_state::on_success()
{
    if (const auto outage = pacing.on_success(boot_clock::now())) {
        target.on_read_regained(*outage);
    }
}

void feed_reader::internal_state::load(const std::string& after)
{
    if (after.empty()) {
        loading.clear();
        continued.clear();
    }
    source.newest(options.which, after,
                  [self = shared_from_this(), first = after.empty(),
                   sent = boot_clock::now()](newest_page page) {
                      if (!self->stopped) {
                          self->on_newest(std::move(page), first, sent);
                      }
                  });
}

void feed_reader::internal_state::on_newest(newest_page page, bool first,
                                            time_point sent)
{
    if (page.result != store_result::done) {
        on_failure(page.result, &internal_state::reload);
        return;
    }
    // The pages are not a consistent snapshot. Records written while the pages
    // are read follow in the log, from the end offset that the first page
    // reported.
    if (first) {
        load_end = page.end_offset;
    }
    const auto last =
        page.records.empty() ? std::string{} : page.records.back().key;
    std::ranges::move(page.records, std::back_inserter(loading));
    if (page.more) {
        // A part of the records must not pass for all of them, and a page that
        // was read before would follow again and again.
        if (last.empty() || !continued.insert(last).second) {
            on_failure(store_result::unknown, &internal_state::reload);
            return;
        }
        load(last);
        return;
    }
    // Only now, so that loads that fail at a later page are delayed more and
    // more.
    on_success();
    target.on_reset();
    for (const auto& it : loading) {
        target.on_record(it);
    }
    loading.clear();
    continued.clear();
    offset = load_end;
    fresh_at = sent;
    loaded = true;
    target.on_caught_up();
    read();
}

void feed_reader::internal_state::read()
{
    source.read({.which = options.which,
                 .from = offset,
                 .wait = options.wait,
                 .max_bytes = pacing.page_bytes()},
                [self = shared_from_this(),
                 sent = boot_clock::now()](const feed_page& page) {
                    if (!self->stopped) {
                        self->on_page(page, sent);
                    }
                });
}

void feed_reader::internal_state::apply(const feed_page& page,
                                        std::int64_t from)
{
    // A concurrent read may have applied some of these records already.
    const auto skip = std::max<std::int64_t>(offset - from, 0);
    for (auto i = static_cast<std::size_t>(skip);
         i < page.records.size() && !stopped; ++i) {
        target.on_record(page.records[i]);
    }
    offset = std::max(offset, page.next_offset);
}

void feed_reader::internal_state::on_page(const feed_page& page,
                                          time_point sent)
{
    if (page.result == store_result::history_lost) {
        loaded = false;
        load({});
        return;
    }
    if (page.result != store_result::done) {
        on_failure(page.result, &internal_state::read);
        return;
    }
    on_success();
    if (page.at_end) {
        fresh_at = std::max(fresh_at, sent);
    }
    const auto from =
        page.next_offset - static_cast<std::int64_t>(page.records.size());
    apply(page, from);
    if (stopped) {
        return;
    }
    if (page.at_end) {
        target.on_caught_up();
    }
    const auto due = sent + options.min_interval;
    const auto now = boot_clock::now();
    if (page.at_end && due > now) {
        schedule(due - now, &internal_state::read);
    } else {
        read();
    }
}

feed_reader::feed_reader(const feed_reader_options& options,
                         http::event_loop& loop, store& source,
                         feed_listener& target)
    : state_{std::make_shared<internal_state>(options, loop, source, target)}
{}

feed_reader::~feed_reader()
{
    state_->stopped = true;
}

void feed_reader::start()
{
    if (!running_) {
        running_ = true;
        state_->load({});
    }
}

void feed_reader::stop()
{
    if (!running_) {
        return;
    }
    running_ = false;
    // Responses to calls in flight refer to the previous state.
    state_->stopped = true;
    state_ = std::make_shared<internal_state>(state_->options, state_->loop,
                                              state_->source, state_->target);
}

bool feed_reader::running() const noexcept
{
    return running_;
}

void feed_reader::set_min_interval(duration min_interval) noexcept
{
    state_->options.min_interval = min_interval;
}

bool feed_reader::loaded() const noexcept
{
    return state_->loaded;
}

std::int64_t feed_reader::offset() const noexcept
{
    return state_->offset;
}

time_point feed_reader::fresh_as_of() const noexcept
{
    return state_->fresh_at;
}

void feed_reader::catch_up(std::function<void(bool)> done)
{
    state_->catch_up(std::move(done));
}

} // namespace rosemarytrail::cell
