#ifndef ROSEMARYTRAIL_CELL_RELAYED_WORKERS_HPP
#define ROSEMARYTRAIL_CELL_RELAYED_WORKERS_HPP

#include <rosemarytrail/cell/peer_link.hpp>
#include <rosemarytrail/cell/ports.hpp>
#include <rosemarytrail/cell/relay_plan.hpp>
#include <rosemarytrail/cell/worker_batch.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/metrics/registry.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace rosemarytrail::cell {

/** @brief Timing parameters and limits of `relayed_workers`. */
struct relayed_workers_options
{
    /** @brief Minimum time between two messages to a relay. */
    duration send_interval{std::chrono::milliseconds{10}};
    /** @brief Timeout of a message to a relay. */
    duration send_timeout{std::chrono::milliseconds{500}};
    /** @brief Size at which a message takes no further call; see
     * `relay_message_bytes`. */
    std::size_t message_bytes{std::size_t{8} << 10U};
    /** @brief A relay without result for a call that it should have finished
     * this long ago counts as lost; longer than its own timeout for a call. */
    duration result_timeout{std::chrono::milliseconds{1500}};
    /** @brief How long a lost relay is not used. Exceeds the time in which the
     * losses of several relays are noticed one after another. */
    duration distrust{std::chrono::milliseconds{10000}};
    /** @brief The same after a refusal: the relay responds, and may only have
     * been paused. */
    duration refusal_distrust{std::chrono::milliseconds{1000}};
    /** @brief Maximum number of calls in flight to workers whose relays are all
     * lost; more would take the leader's processor time from its decisions. */
    std::size_t max_direct_calls{64};
};

/**
 * @brief Calls the workers of the leader, most of them by way of relays.
 *
 * A relay only makes the calls that it is sent, with the lease end and the
 * epoch that the leader has set, so it can grant nothing itself. All calls are
 * idempotent: if a relay is lost, its open calls are made again by way of
 * another one, or a few at a time directly if there is none. Whichever result
 * arrives first counts, but a start that an earlier relay may have made is not
 * reported as not executed.
 */
class relayed_workers final : public worker_port
{
public:
    /**
     * @brief Constructs a port that calls all workers directly.
     * @param options Timing parameters and limits.
     * @param member Name of this node.
     * @param direct Calls the workers from this node; outlives the port.
     * @param peers Sends messages to the relays; outlives the port.
     * @param relayed_calls Counts the calls that are sent to relays.
     * @param lost_relays Counts the losses of a relay.
     */
    relayed_workers(const relayed_workers_options& options, std::string member,
                    worker_port& direct, peer_link& peers,
                    metrics::counter& relayed_calls,
                    metrics::counter& lost_relays);
    relayed_workers(const relayed_workers&) = delete;
    relayed_workers& operator=(const relayed_workers&) = delete;
    ~relayed_workers() override;

    void start(const fleet::start_request& request,
               std::function<void(fleet::start_response)> done) override;
    void stop(const fleet::stop_request& request,
              std::function<void(bool)> done) override;
    void throttle(const fleet::throttle_request& request,
                  std::function<void(bool)> done) override;
    void poll(const fleet::poll_request& request,
              std::function<void(fleet::poll_result, fleet::poll_response)>
                  done) override;

    /** @param plan Relay of each worker; replaces the previous one. */
    void set_plan(relay_assignment plan);

    /**
     * @brief Handles results of a relay.
     * @param batch Results.
     * @return False if they are meant for another incarnation.
     */
    [[nodiscard]] bool receive(worker_result_batch batch);

    /**
     * @brief Sends the calls that are due, and detects lost relays.
     * @param now Current time.
     */
    void run(time_point now);

    /** @brief Forgets all open calls and sends no further ones; used when the
     * node stops leading. */
    void clear();

    /** @return Number of calls without a result. */
    [[nodiscard]] std::size_t open_calls() const noexcept
    {
        return open_.size();
    }

private:
    using poll_callback =
        std::function<void(fleet::poll_result, fleet::poll_response)>;
    /** @brief In the order of the results in `worker_call_result`. */
    using callback = std::variant<std::function<void(fleet::start_response)>,
                                  std::function<void(bool)>, poll_callback>;

    /** @brief Call without a result. */
    struct open_call
    {
        std::shared_ptr<const worker_call> call;
        callback done;
        /** @brief Relay; empty if the call is made directly or waits. */
        std::string relay;
        /** @brief The relay may have received the call. */
        bool sent{false};
        /** @brief A lost relay may have made the call, or may make it later. */
        bool maybe_made{false};
        /** @brief How long the worker may wait before it responds. */
        duration wait{};
        /** @brief Time at which the relay counts as lost without a result; set
         * when the call is sent. */
        time_point expires{time_point::max()};
    };

    struct relay_state
    {
        std::vector<std::shared_ptr<const worker_call>> queued;
        bool in_flight{false};
        time_point next_send;
        time_point distrusted_until;
    };

    /** @return Relay for the next call to a worker; empty for none. */
    [[nodiscard]] std::string route(const std::string& worker,
                                    time_point now) const;
    [[nodiscard]] std::string route(const worker_call& call,
                                    time_point now) const;
    void queue(open_call& open, std::string relay);
    [[nodiscard]] bool is_trusted(const std::string& relay,
                                  time_point now) const;
    /** @return False if the worker has no relay in the plan. */
    template <typename Request, typename Callback>
    [[nodiscard]] bool enqueue(const Request& request, Callback& done,
                               duration wait);
    void reroute(std::uint64_t id, time_point now);
    void send_waiting(time_point now);
    void send(const std::string& name, time_point now);
    void on_sent(const std::string& name,
                 const std::vector<std::shared_ptr<const worker_call>>& calls,
                 message_result result);
    void lose(const std::string& name, std::string_view why, duration unused,
              time_point now);
    void call_directly(const worker_call& call);
    void complete(worker_call_result result);

    relayed_workers_options options_;
    std::string member_;
    worker_port& direct_;
    peer_link& peers_;
    metrics::counter& relayed_calls_;
    metrics::counter& lost_relays_;
    relay_assignment plan_;
    /** @brief All relays of the plan, sorted. */
    std::vector<std::string> planned_relays_;
    std::map<std::string, relay_state> relays_;
    std::unordered_map<std::uint64_t, open_call> open_;
    /** @brief Calls that wait for a trusted relay or to be made directly. */
    std::deque<std::uint64_t> waiting_;
    std::size_t direct_in_flight_{};
    std::uint64_t last_id_{};
    time_point next_check_;
    /** @brief Shared with callbacks in flight; false once the port is
     * destroyed. */
    std::shared_ptr<bool> alive_;
};

} // namespace rosemarytrail::cell

#endif
