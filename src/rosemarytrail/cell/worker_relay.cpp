#include <rosemarytrail/cell/worker_relay.hpp>

#include <rosemarytrail/cell/member_name.hpp>
#include <rosemarytrail/logging/event_log.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rosemarytrail::cell {

namespace {

/** @return Estimated encoded size of a result. */
[[nodiscard]] std::size_t approximate_bytes(const worker_call_result& it)
{
    constexpr std::size_t fields = 32;
    constexpr std::size_t row = 56;
    const auto* poll = std::get_if<poll_answer>(&it.result);
    return fields + (poll == nullptr ? 0
                                     : row * (poll->response.running.size() +
                                              poll->response.ended.size()));
}

} // namespace

worker_relay::worker_relay(const worker_relay_options& options,
                           std::string member, http::event_loop& loop,
                           worker_port& workers, peer_link& peers)
    : options_{options}
    , member_{std::move(member)}
    , loop_{loop}
    , workers_{workers}
    , peers_{peers}
    , stall_{options.stall}
{}

bool worker_relay::receive(const worker_call_batch& batch, time_point now)
{
    const bool stalled = stall_.is_stalled(now);
    if (batch.relay != member_ || stalled) {
        logging::event(logging::level::warning, "relayed_calls_refused",
                       {{"leader", batch.leader},
                        {"relay", batch.relay},
                        {"calls", std::to_string(batch.calls.size())},
                        {"why", stalled ? "this process was paused"
                                        : "meant for another incarnation"}});
        return false;
    }
    for (const auto& it : batch.calls) {
        make_call(workers_, *it,
                  [this, leader = batch.leader](worker_call_result result) {
                      add(leader, std::move(result));
                  });
    }
    return true;
}

void worker_relay::add(const std::string& leader, worker_call_result result)
{
    auto& to = outgoing_[leader];
    to.results.push_back(std::move(result));
    if (!to.send_scheduled) {
        schedule(leader, std::max(to.next_send, boot_clock::now()));
    }
}

void worker_relay::schedule(const std::string& leader, time_point at)
{
    outgoing_[leader].send_scheduled = true;
    loop_.post_at(at, [this, leader] { send(leader, boot_clock::now()); });
}

void worker_relay::send(const std::string& leader, time_point now)
{
    auto& to = outgoing_[leader];
    to.next_send = now + options_.send_interval;
    std::size_t bytes = 0;
    std::size_t n = 0;
    for (; n < to.results.size() && bytes < options_.message_bytes; ++n) {
        bytes += approximate_bytes(to.results[n]);
    }
    const auto end = to.results.begin() + static_cast<std::ptrdiff_t>(n);
    // Kept until the leader has received the results.
    const auto batch = std::make_shared<worker_result_batch>();
    batch->leader = leader;
    std::move(to.results.begin(), end, std::back_inserter(batch->results));
    to.results.erase(to.results.begin(), end);
    peers_.send_results(address_of(leader), *batch, options_.send_timeout,
                        [this, leader, batch](message_result result) {
                            on_sent(leader, std::move(*batch), result,
                                    boot_clock::now());
                        });
}

void worker_relay::on_sent(const std::string& leader, worker_result_batch batch,
                           message_result result, time_point now)
{
    auto& to = outgoing_[leader];
    to.send_scheduled = false;
    if (result == message_result::accepted) {
        to.failing_since = {};
    } else if (to.failing_since == time_point{}) {
        to.failing_since = now;
    }
    const bool given_up = result == message_result::refused ||
                          (to.failing_since != time_point{} &&
                           now - to.failing_since > options_.delivery_timeout);
    if (result != message_result::accepted && !given_up) {
        std::ranges::move(to.results, std::back_inserter(batch.results));
        to.results = std::move(batch.results);
        schedule(leader, now + options_.retry_delay);
        return;
    }
    if (given_up) {
        logging::event(logging::level::warning, "relayed_results_dropped",
                       {{"leader", leader},
                        {"results", std::to_string(batch.results.size() +
                                                   to.results.size())}});
        to = {};
    }
    if (!to.results.empty()) {
        schedule(leader, std::max(to.next_send, now));
    } else if (given_up) {
        outgoing_.erase(leader);
    }
}

} // namespace rosemarytrail::cell
