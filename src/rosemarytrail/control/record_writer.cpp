#include <rosemarytrail/control/record_writer.hpp>

#include <utility>

namespace rosemarytrail::control {

record_writer::record_writer(state::append_queue_options options,
                             backends::log_client& log,
                             const time_source& clock, std::string stream)
    : queue_{std::move(options)}
    , log_{log}
    , clock_{clock}
    , stream_{std::move(stream)}
{}

bool record_writer::push(state::record value, callback done, reason& why)
{
    const auto sequence = queue_.push(std::move(value), why);
    if (!sequence) {
        return false;
    }
    waiting_[*sequence].push_back(std::move(done));
    return true;
}

void record_writer::tick(time_point now)
{
    if (in_flight_) {
        return;
    }
    auto next = queue_.next(now);
    if (!next) {
        return;
    }
    in_flight_ = next->sequence;
    ++appends_;
    bytes_ += next->payload.size();
    std::weak_ptr<bool> alive = alive_;
    log_.append(stream_, std::move(next->payload),
                [this, alive](const backends::append_outcome& outcome) {
                    if (!alive.expired()) {
                        on_appended(outcome);
                    }
                });
}

void record_writer::on_appended(const backends::append_outcome& outcome)
{
    in_flight_.reset();
    const auto now = clock_.now();
    if (outcome.result == backends::append_result::appended) {
        failures_ = 0;
        queue_.appended(now);
        return;
    }
    ++failures_;
    if (outcome.result == backends::append_result::refused) {
        queue_.rejected(outcome.retry_after, now);
        return;
    }
    queue_.failed(outcome.retry_after, now);
}

void record_writer::applied(std::uint64_t sequence,
                            std::span<const state::record_result> results)
{
    const auto it = waiting_.find(sequence);
    if (it == waiting_.end()) {
        return;
    }
    auto callbacks = std::move(it->second);
    waiting_.erase(it);
    for (std::size_t n = 0; n < callbacks.size() && n < results.size(); ++n) {
        callbacks[n](write_outcome{.result = results[n]});
    }
}

void record_writer::drop_unsent()
{
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (!queue_.drop(it->first)) {
            ++it;
            continue;
        }
        auto callbacks = std::move(it->second);
        it = waiting_.erase(it);
        for (auto& done : callbacks) {
            done(write_outcome{});
        }
    }
    if (queue_.waiting() == 0) {
        // No record remains whose append could show that the log has recovered.
        failures_ = 0;
    }
}

std::size_t record_writer::waiting() const noexcept
{
    return queue_.waiting();
}

} // namespace rosemarytrail::control
