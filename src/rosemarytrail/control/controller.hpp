#ifndef ROSEMARYTRAIL_CONTROL_CONTROLLER_HPP
#define ROSEMARYTRAIL_CONTROL_CONTROLLER_HPP

#include <rosemarytrail/backends/log_client.hpp>
#include <rosemarytrail/backends/vm_list_client.hpp>
#include <rosemarytrail/backends/worker_client.hpp>
#include <rosemarytrail/control/cell_log.hpp>
#include <rosemarytrail/control/peer_network.hpp>
#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/core/time_source.hpp>
#include <rosemarytrail/metrics/registry.hpp>
#include <rosemarytrail/request/routing_table.hpp>
#include <rosemarytrail/state/freshness.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarytrail::control {

/** @brief Settings of a controller. */
struct controller_options
{
    incarnation_id self{};
    std::string peer_address;
    std::string api_address;
    std::string region;
    zone_id zone{};
    /** @brief Stream of the cell in the log. */
    std::string stream{"cell"};
    std::uint32_t partitions{16};
    double appends_per_second{20.0};
    duration heartbeat_period{std::chrono::milliseconds{200}};
    duration peer_timeout{std::chrono::milliseconds{1500}};
    duration worker_period{std::chrono::milliseconds{500}};
    duration vm_list_period{std::chrono::seconds{1}};
    state::freshness_options freshness{};
    snapshot_options snapshots{};
};

/** @brief What a controller works with; all outlive it. */
struct controller_ports
{
    /** @brief Callbacks of all ports come on the control thread. */
    backends::log_client& log;
    backends::vm_list_client& vms;
    backends::worker_client& workers;
    peer_network& peers;
    const time_source& clock;
    metrics::registry& metrics;
    /** @brief Receives each new table for the traffic threads. */
    std::function<void(std::shared_ptr<const request::routing_table>)> routing;
    /** @brief Receives each change of state, for the log lines. */
    std::function<void(result_code, const std::string&)> changed;
};

/** @brief Job that a caller submits. */
struct submission
{
    /** @brief Team of the key that the caller showed. */
    team_id team{};
    /** @brief Document of the job. */
    std::string document;
    /** @brief Submission id of the caller, or empty. */
    std::string id;
};

/** @brief What became of a submission. */
struct submit_outcome
{
    /** @brief Set if it was accepted. */
    std::optional<job_id> job{};
    /** @brief Record that accepted it. */
    record_number record{};
    /** @brief Set if it was not accepted. */
    reason why{};
    /** @brief Whether it is certain that it was not accepted. */
    bool not_run{true};
};

/** @brief Document that an operator publishes. */
struct publication
{
    std::string name;
    record_number replaces{};
    std::string content;
};

/** @brief What became of a publication. */
struct publish_outcome
{
    /** @brief Revision, if it is in force. */
    std::optional<record_number> revision{};
    reason why{};
    /** @brief Revision in force, for the loser of a race. */
    record_number current{};
};

/** @brief Document in force. */
struct config_entry
{
    std::string name;
    record_number revision{};
    std::string content;
};

/** @brief Member as this daemon sees it. */
struct member_view
{
    incarnation_id member{};
    std::string api_address;
    std::string peer_address;
    zone_id zone{};
    bool alive{};
    /** @brief Offset after the last entry that it applied. */
    std::uint64_t next_offset{};
};

/** @brief Partition as this daemon sees it. */
struct partition_view
{
    partition_id partition{};
    incarnation_id holder{};
    record_number epoch{};
    bool settled{};
    std::uint32_t vms{};
    std::uint32_t queued_tasks{};
    std::uint32_t running_tasks{};
};

/** @brief Members and partitions. */
struct cell_view
{
    std::vector<member_view> members;
    std::vector<partition_view> partitions;
    std::uint64_t next_offset{};
};

/**
 * @brief Control state of one daemon, driven by events on one thread.
 *
 * It follows the log, claims partitions, schedules in those that it holds,
 * keeps leases alive and answers its peers. All I/O goes through its ports.
 */
class controller
{
public:
    /**
     * @brief Makes a controller that has not joined the cell.
     * @param options Its settings.
     * @param ports What it works with.
     */
    controller(controller_options options, controller_ports ports);
    controller(const controller&) = delete;
    controller& operator=(const controller&) = delete;
    ~controller();

    /**
     * @brief Does what is due; to be called every 10 to 20 ms.
     * @param now Present time.
     */
    void tick(time_point now);

    /**
     * @brief Answers a peer's heartbeat.
     * @param theirs What the peer tells.
     * @param now Present time.
     * @return Own heartbeat.
     */
    [[nodiscard]] heartbeat on_heartbeat(const heartbeat& theirs,
                                         time_point now);

    /**
     * @brief Log entries kept for peers that cannot reach the log.
     * @param from First offset.
     * @param bytes Most bytes of payload.
     * @return Entries from that offset on; empty if it is not kept.
     */
    [[nodiscard]] std::vector<backends::log_entry>
    relay(std::uint64_t from, std::size_t bytes) const;

    /**
     * @brief Status of a job in a partition held here.
     * @param job Job to look up.
     * @param now Present time.
     * @return Its status; nothing if it is not held here.
     */
    [[nodiscard]] std::optional<job_status> local_status(const job_id& job,
                                                         time_point now) const;

    /**
     * @brief Cancels a job in a partition held here.
     * @param job Job to cancel.
     * @param done Called once.
     */
    void local_cancel(const job_id& job,
                      std::function<void(cancel_outcome)> done);

    /**
     * @brief Accepts a job into the log.
     * @param value Job of a caller whose key was checked.
     * @param timeout Span after which the outcome is answered as it is known.
     * @param done Called once.
     */
    void submit(submission value, duration timeout,
                std::function<void(submit_outcome)> done);

    /**
     * @brief Cancels a job wherever it is held.
     * @param team Team of the caller.
     * @param job Job to cancel.
     * @param done Called once.
     */
    void cancel(const team_id& team, const job_id& job,
                std::function<void(cancel_outcome)> done);

    /**
     * @brief Status of a job wherever it is held.
     * @param team Team of the caller.
     * @param job Job to look up.
     * @param read_from Record that must have been applied first; zero if none.
     * @param timeout Longest wait for that record.
     * @param done Called once; nothing with a reason if it is unknown.
     */
    void status(const team_id& team, const job_id& job, record_number read_from,
                duration timeout,
                std::function<void(std::optional<job_status>, reason)> done);

    /**
     * @brief Jobs of a team, from the log only.
     * @param team Team of the caller.
     * @return A status for each.
     */
    [[nodiscard]] std::vector<job_status> list(const team_id& team) const;

    /**
     * @brief Publishes a document.
     * @param value Document, checked before and by the fold.
     * @param timeout Span after which `submission_outcome_unknown` is answered.
     * @param done Called once.
     */
    void publish(publication value, duration timeout,
                 const std::function<void(publish_outcome)>& done);

    /**
     * @brief Records an operator's word that nothing runs on a VM any more.
     * @param vm VM that is lost.
     * @param done Called once with `ok` or why not.
     */
    void declare_lost(const vm_id& vm, const std::function<void(reason)>& done);

    /** @return Documents in force. */
    [[nodiscard]] std::vector<config_entry> config() const;

    /** @return Members and partitions. */
    [[nodiscard]] cell_view view() const;

    /** @return Offset after the last entry applied. */
    [[nodiscard]] std::uint64_t next_offset() const noexcept;

    /**
     * @brief Tells whether the daemon takes new work.
     * @param now Present time.
     * @return Why not, or nothing if it does.
     */
    [[nodiscard]] std::optional<reason> not_ready(time_point now) const;

    /**
     * @brief Begins a graceful shutdown: gives up its partitions and leaves.
     * @param now Present time.
     */
    void begin_shutdown(time_point now);

    /** @return True once it holds nothing and its leave record is in the log.
     */
    [[nodiscard]] bool shutdown_complete() const noexcept;

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

} // namespace rosemarytrail::control

#endif
