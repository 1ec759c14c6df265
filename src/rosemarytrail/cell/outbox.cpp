#include <rosemarytrail/cell/outbox.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::cell {

struct outbox::item
{
    fleet::ledger_entry entry;
    time_point deadline;
    time_point added;
    callback done;
    /** @brief An append that included the entry got no response. */
    bool maybe_recorded{false};

    void complete(entry_result it)
    {
        if (done) {
            std::exchange(done, nullptr)(it);
        }
    }
};

outbox::outbox(const outbox_options& options, appender append)
    : options_{options}
    , append_{std::move(append)}
    , timeout_{options.timeout}
    , alive_{std::make_shared<bool>(true)}
{}

outbox::~outbox()
{
    *alive_ = false;
}

void outbox::observe_append(bool answered, duration took)
{
    constexpr int factor = 4;
    timeout_ =
        answered ? std::max(options_.timeout, took * factor) : timeout_ * 2;
    timeout_ = std::min(timeout_, options_.max_timeout);
}

void outbox::add(fleet::ledger_entry entry, time_point deadline, callback done,
                 time_point now)
{
    auto it = std::make_shared<item>(item{.entry = std::move(entry),
                                          .deadline = deadline,
                                          .added = now,
                                          .done = std::move(done)});
    open_.push_back(it);
    waiting_.push_back(std::move(it));
    run(now);
}

void outbox::confirm(std::string_view key)
{
    std::vector<std::shared_ptr<item>> found;
    for (const auto& it : open_) {
        if (auto locked = it.lock(); locked && locked->entry.key == key) {
            found.push_back(std::move(locked));
        }
    }
    for (const auto& it : found) {
        it->complete(entry_result::recorded);
    }
}

void outbox::run(time_point now)
{
    std::vector<std::shared_ptr<item>> expired;
    for (const auto& it : open_) {
        if (auto locked = it.lock();
            locked && locked->done && locked->deadline <= now) {
            expired.push_back(std::move(locked));
        }
    }
    for (const auto& it : expired) {
        const bool never_sent =
            !it->maybe_recorded &&
            std::ranges::find(waiting_, it) != waiting_.end();
        it->complete(never_sent ? entry_result::refused
                                : entry_result::unknown);
    }
    std::erase_if(waiting_, [](const auto& it) { return !it->done; });
    open_.remove_if([](const auto& it) {
        const auto locked = it.lock();
        return !locked || !locked->done;
    });
    if (!waiting_.empty() && in_flight_ < options_.in_flight &&
        next_send_ <= now) {
        send(now);
    }
}

void outbox::send(time_point now)
{
    auto sent = std::exchange(waiting_, {});
    append_request request{.timeout = timeout_};
    for (const auto& it : sent) {
        request.entries.push_back(it->entry);
    }
    ++in_flight_;
    append_(std::move(request), [this, alive = alive_, sent = std::move(sent),
                                 now](append_answer answer) {
        if (*alive) {
            on_append_result(sent, answer, now);
        }
    });
}

void outbox::on_append_result(const item_list& sent,
                              const append_answer& answer, time_point sent_at)
{
    const auto now = boot_clock::now();
    --in_flight_;
    if (answer.result == store_result::done) {
        observe_append(true, now - sent_at);
        for (const auto& it : sent) {
            it->complete(entry_result::recorded);
        }
        run(now);
        return;
    }
    const bool unknown = answer.result == store_result::unknown;
    if (unknown) {
        observe_append(false, {});
    }
    next_send_ = now + (unknown ? duration{} : options_.retry_delay);
    for (const auto& it : sent) {
        it->maybe_recorded = it->maybe_recorded || unknown;
        if (!it->maybe_recorded && now - it->added > options_.refusal_timeout) {
            it->complete(entry_result::refused);
        }
        if (it->done) {
            waiting_.push_back(it);
        }
    }
    run(now);
}

} // namespace rosemarytrail::cell
