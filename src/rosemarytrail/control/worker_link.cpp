#include <rosemarytrail/control/worker_link.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::control {

namespace {

/** Maximum number of commands in one batch. */
constexpr std::size_t batch_limit = 256;
/** Initial and maximum backoff after a batch without a response. */
constexpr duration retry_base = std::chrono::milliseconds{100};
constexpr duration retry_cap = std::chrono::milliseconds{1000};

} // namespace

worker_link::worker_link(vm_id vm, backends::worker_client& workers,
                         const time_source& clock,
                         const state::freshness_options& freshness,
                         callback on_response)
    : vm_{std::move(vm)}
    , workers_{workers}
    , clock_{clock}
    , freshness_{freshness}
    , on_response_{std::move(on_response)}
{}

void worker_link::set_address(std::string address)
{
    address_ = std::move(address);
}

void worker_link::enqueue(backends::worker_command command)
{
    commands_.push_back(std::move(command));
}

void worker_link::drop_commands()
{
    commands_.clear();
    ++generation_;
}

bool worker_link::reachable(time_point now) const noexcept
{
    return contacted_ && now - last_response_ <= 2 * freshness_.command_bound;
}

bool worker_link::expired(time_point now) const noexcept
{
    return contacted_ && now - last_response_ > freshness_.command_bound +
                                                    freshness_.task_lease +
                                                    freshness_.drift_margin;
}

void worker_link::tick(bool may_act, duration period, time_point now)
{
    if (in_flight_ || address_.empty() || epoch_ == 0) {
        return;
    }
    if (now < next_send_ && (commands_.empty() || retry_wait_ > duration{})) {
        return;
    }
    next_send_ = now + period;
    send(may_act, now);
}

void worker_link::send(bool may_act, time_point now)
{
    backends::worker_batch batch{.epoch = epoch_};
    if (may_act && token_ != 0) {
        batch.token = token_;
        batch.lease = freshness_.task_lease;
        batch.renew = true;
        const auto n = std::min(commands_.size(), batch_limit);
        const auto end = commands_.begin() + static_cast<long>(n);
        batch.commands.assign(commands_.begin(), end);
    }
    in_flight_ = true;
    std::weak_ptr<bool> alive = alive_;
    const auto sent = batch.commands.size();
    const auto generation = generation_;
    workers_.send(address_, std::move(batch),
                  [this, alive, sent, generation,
                   now](const backends::worker_outcome& outcome) {
                      if (alive.expired()) {
                          return;
                      }
                      const bool same = generation == generation_;
                      on_outcome(outcome, same ? sent : 0, now);
                  });
}

void worker_link::on_outcome(const backends::worker_outcome& outcome,
                             std::size_t sent, time_point sent_at)
{
    in_flight_ = false;
    const auto now = clock_.now();
    switch (outcome.code) {
    case result_code::ok:
        break;
    case result_code::worker_token_refused:
        token_ = outcome.token;
        last_response_ = std::max(last_response_, now);
        next_send_ = now;
        return;
    default:
        retry_wait_ =
            std::clamp<duration>(2 * retry_wait_, retry_base, retry_cap);
        next_send_ = std::max(sent_at, now) + retry_wait_;
        return;
    }
    retry_wait_ = duration{};
    token_ = outcome.token;
    contacted_ = true;
    last_response_ = now;
    const std::vector<backends::worker_command> done(
        commands_.begin(), commands_.begin() + static_cast<long>(sent));
    commands_.erase(commands_.begin(),
                    commands_.begin() + static_cast<long>(sent));
    on_response_(worker_response{.outcome = outcome, .commands = done}, now);
}

} // namespace rosemarytrail::control
