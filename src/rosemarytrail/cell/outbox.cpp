#include <rosemarytrail/cell/outbox.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::cell {

namespace {

/** @brief Ratio of the append timeout to the last response time. */
constexpr int timeout_factor = 4;

} // namespace

struct outbox::item
{
    fleet::ledger_entry entry;
    time_point deadline;
    time_point added;
    callback done;
    /** @brief An append that included the entry got no response. */
    bool maybe_recorded{false};
    /** @brief An append that includes the entry has no result yet. */
    bool in_flight{false};
    /** @brief The store rejected an append that included it and others. */
    bool alone{false};

    [[nodiscard]] time_point result_by(duration grace) const
    {
        return maybe_recorded || in_flight ? deadline + grace : deadline;
    }

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
    timeout_ = answered ? std::max(options_.timeout, took * timeout_factor)
                        : timeout_ * 2;
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
            locked && locked->done &&
            locked->result_by(options_.result_grace) <= now) {
            expired.push_back(std::move(locked));
        }
    }
    for (const auto& it : expired) {
        it->complete(it->maybe_recorded || it->in_flight
                         ? entry_result::unknown
                         : entry_result::refused);
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

outbox::item_list outbox::take_sendable(time_point now)
{
    // An append that would end after the deadline only turns a rejection into
    // an unknown outcome.
    const auto expected = timeout_ / timeout_factor;
    const auto in_time = [&](const item& it) {
        return it.deadline > now &&
               (it.maybe_recorded ||
                now + expected <= it.deadline + options_.result_grace);
    };
    const bool outage = unanswered_ >= options_.max_unanswered;
    const bool probe = outage && in_flight_ == 0 &&
                       std::ranges::none_of(waiting_, [&](const auto& it) {
                           return it->maybe_recorded && in_time(*it);
                       });
    item_list result;
    std::size_t bytes = 0;
    for (const auto& it : waiting_) {
        const bool allowed =
            !outage || it->maybe_recorded || (probe && result.empty());
        if (!allowed || !in_time(*it)) {
            continue;
        }
        bytes += record_size(it->entry);
        if (!result.empty() &&
            (it->alone || bytes > options_.appends.append_bytes)) {
            break;
        }
        result.push_back(it);
        if (it->alone) {
            break;
        }
    }
    for (const auto& it : result) {
        it->in_flight = true;
    }
    std::erase_if(waiting_, [](const auto& it) { return it->in_flight; });
    return result;
}

void outbox::send(time_point now)
{
    auto sent = take_sendable(now);
    if (sent.empty()) {
        return;
    }
    append_request request{.timeout = timeout_};
    for (const auto& it : sent) {
        request.entries.push_back(it->entry);
        request.send_by = std::min(request.send_by, it->deadline);
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
    for (const auto& it : sent) {
        it->in_flight = false;
    }
    const bool unknown = answer.result == store_result::unknown;
    unanswered_ = unknown ? unanswered_ + 1 : 0;
    if (answer.result == store_result::done) {
        observe_append(true, now - sent_at);
        for (const auto& it : sent) {
            it->complete(entry_result::recorded);
        }
        run(now);
        return;
    }
    if (unknown) {
        observe_append(false, {});
    }
    if (answer.result == store_result::rejected && sent.size() == 1) {
        sent.front()->complete(entry_result::rejected);
        run(now);
        return;
    }
    const bool rejected = answer.result == store_result::rejected;
    next_send_ =
        now + (unknown || rejected ? duration{} : options_.retry_delay);
    for (const auto& it : sent) {
        it->maybe_recorded = it->maybe_recorded || unknown;
        it->alone = it->alone || rejected;
        if (!rejected && !it->maybe_recorded && !answer.not_sent &&
            now - it->added > options_.refusal_timeout) {
            it->complete(entry_result::refused);
        }
        if (it->done) {
            waiting_.push_back(it);
        }
    }
    run(now);
}

} // namespace rosemarytrail::cell
