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
    /** @brief An append that held it got no answer. */
    bool maybe_recorded{false};

    void answer(entry_result it)
    {
        if (done) {
            std::exchange(done, nullptr)(it);
        }
    }
};

outbox::outbox(const outbox_options& options, appender append)
    : options_{options}
    , append_{std::move(append)}
    , patience_{options.patience}
    , alive_{std::make_shared<bool>(true)}
{}

outbox::~outbox()
{
    *alive_ = false;
}

void outbox::learn(bool answered, duration took)
{
    constexpr int factor = 4;
    patience_ =
        answered ? std::max(options_.patience, took * factor) : patience_ * 2;
    patience_ = std::min(patience_, options_.patience_most);
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
        if (auto held = it.lock(); held && held->entry.key == key) {
            found.push_back(std::move(held));
        }
    }
    for (const auto& it : found) {
        it->answer(entry_result::recorded);
    }
}

void outbox::run(time_point now)
{
    std::vector<std::shared_ptr<item>> late;
    for (const auto& it : open_) {
        if (auto held = it.lock();
            held && held->done && held->deadline <= now) {
            late.push_back(std::move(held));
        }
    }
    for (const auto& it : late) {
        const bool untouched =
            !it->maybe_recorded &&
            std::ranges::find(waiting_, it) != waiting_.end();
        it->answer(untouched ? entry_result::refused : entry_result::unknown);
    }
    std::erase_if(waiting_, [](const auto& it) { return !it->done; });
    open_.remove_if([](const auto& it) {
        const auto held = it.lock();
        return !held || !held->done;
    });
    if (!waiting_.empty() && in_flight_ < options_.in_flight &&
        next_send_ <= now) {
        send(now);
    }
}

void outbox::send(time_point now)
{
    auto sent = std::exchange(waiting_, {});
    append_request request{.patience = patience_};
    for (const auto& it : sent) {
        request.entries.push_back(it->entry);
    }
    ++in_flight_;
    append_(std::move(request), [this, alive = alive_, sent = std::move(sent),
                                 now](append_answer answer) {
        if (*alive) {
            on_answer(sent, answer, now);
        }
    });
}

void outbox::on_answer(const item_list& sent, const append_answer& answer,
                       time_point sent_at)
{
    const auto now = boot_clock::now();
    --in_flight_;
    if (answer.result == store_result::done) {
        learn(true, now - sent_at);
        for (const auto& it : sent) {
            it->answer(entry_result::recorded);
        }
        run(now);
        return;
    }
    const bool unknown = answer.result == store_result::unknown;
    if (unknown) {
        learn(false, {});
    }
    next_send_ = now + (unknown ? duration{} : options_.retry);
    for (const auto& it : sent) {
        it->maybe_recorded = it->maybe_recorded || unknown;
        if (!it->maybe_recorded &&
            now - it->added > options_.refusal_patience) {
            it->answer(entry_result::refused);
        }
        if (it->done) {
            waiting_.push_back(it);
        }
    }
    run(now);
}

} // namespace rosemarytrail::cell
