#ifndef ROSEMARYTRAIL_CELL_WORKER_RELAY_HPP
#define ROSEMARYTRAIL_CELL_WORKER_RELAY_HPP

#include <rosemarytrail/cell/peer_link.hpp>
#include <rosemarytrail/cell/ports.hpp>
#include <rosemarytrail/cell/stall_detector.hpp>
#include <rosemarytrail/cell/worker_batch.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/client.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rosemarytrail::cell {

/** @brief Timing parameters and limits of a `worker_relay`. */
struct worker_relay_options
{
    /** @brief Minimum time between two messages to a leader. */
    duration send_interval{std::chrono::milliseconds{10}};
    /** @brief Timeout of a message to a leader. */
    duration send_timeout{std::chrono::milliseconds{800}};
    /** @brief Size at which a message takes no further result; see
     * `relay_message_bytes`. */
    std::size_t message_bytes{std::size_t{8} << 10U};
    /** @brief Delay before a message without response is repeated. */
    duration retry_delay{std::chrono::milliseconds{50}};
    /** @brief Results that could not be delivered for this long are dropped;
     * the leader has had these calls made again by then. */
    duration delivery_timeout{std::chrono::milliseconds{2000}};
    stall_detector_options stall;
};

/** @brief Calls workers for the leader and returns the results to it. */
class worker_relay
{
public:
    /**
     * @brief Constructs a relay.
     * @param options Timing parameters and limits.
     * @param member Name of this node.
     * @param loop Event loop that the relay runs on; outlives the relay.
     * @param workers Calls the workers; outlives the relay.
     * @param peers Sends the results; outlives the relay.
     */
    worker_relay(const worker_relay_options& options, std::string member,
                 http::event_loop& loop, worker_port& workers,
                 peer_link& peers);

    /**
     * @brief Makes the calls of a leader.
     * @param batch Calls.
     * @param now Current time.
     * @return False if nothing is done: the calls are meant for another
     * incarnation, or this process was paused and they may be old.
     */
    [[nodiscard]] bool receive(const worker_call_batch& batch, time_point now);

    /**
     * @brief Records that the process runs; called at short intervals.
     * @param now Current time.
     */
    void on_tick(time_point now) { stall_.on_tick(now); }

private:
    /** @brief Results that wait to be sent to one leader. */
    struct outgoing
    {
        std::vector<worker_call_result> results;
        bool send_scheduled{false};
        time_point next_send;
        time_point failing_since;
    };

    void add(const std::string& leader, worker_call_result result);
    void schedule(const std::string& leader, time_point at);
    void send(const std::string& leader, time_point now);
    void on_sent(const std::string& leader, worker_result_batch batch,
                 message_result result, time_point now);

    worker_relay_options options_;
    std::string member_;
    http::event_loop& loop_;
    worker_port& workers_;
    peer_link& peers_;
    stall_detector stall_;
    std::map<std::string, outgoing> outgoing_;
};

} // namespace rosemarytrail::cell

#endif
