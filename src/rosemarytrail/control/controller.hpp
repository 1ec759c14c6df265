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

/** @brief Options of a controller. */
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

/** @brief Dependencies of a controller; all outlive it. */
struct controller_ports
{
    /** @brief All ports run their callbacks on the control thread. */
    backends::log_client& log;
    backends::vm_list_client& vms;
    backends::worker_client& workers;
    peer_network& peers;
    const time_source& clock;
    metrics::registry& metrics;
    /** @brief Receives each new routing table for the traffic threads. */
    std::function<void(std::shared_ptr<const request::routing_table>)> routing;
    /** @brief Receives each state change, for logging. */
    std::function<void(result_code, const std::string&)> changed;
};

/** @brief Job that a caller submits. */
struct submission
{
    /** @brief Team to which the caller's key belongs. */
    team_id team{};
    /** @brief Job document. */
    std::string document;
    /** @brief Submission id set by the caller, or empty. */
    std::string id;
};

/** @brief Outcome of a submission. */
struct submit_outcome
{
    /** @brief Set if it was accepted. */
    std::optional<job_id> job{};
    /** @brief Record that accepted it. */
    record_number record{};
    /** @brief Set if it was not accepted. */
    reason why{};
    /** @brief True if the job was definitely not accepted. */
    bool not_run{true};
};

/** @brief Document that an operator publishes. */
struct publication
{
    std::string name;
    record_number replaces{};
    std::string content;
};

/** @brief Outcome of a publication. */
struct publish_outcome
{
    /** @brief Revision of the published document, if it took effect. */
    std::optional<record_number> revision{};
    reason why{};
    /** @brief Current revision, if a concurrent publication won. */
    record_number current{};
};

/** @brief Document that is currently in effect. */
struct config_entry
{
    std::string name;
    record_number revision{};
    std::string content;
};

/** @brief Member of the cell as seen by this daemon. */
struct member_view
{
    incarnation_id member{};
    std::string api_address;
    std::string peer_address;
    zone_id zone{};
    bool alive{};
    /** @brief Offset after the last entry that the member applied. */
    std::uint64_t next_offset{};
};

/** @brief Partition as seen by this daemon. */
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

/** @brief Members and partitions of the cell. */
struct cell_view
{
    std::vector<member_view> members;
    std::vector<partition_view> partitions;
    std::uint64_t next_offset{};
};

/**
 * @brief Control state of one daemon, driven by events on one thread.
 *
 * It follows the log, claims partitions, schedules jobs in those it holds,
 * renews leases and responds to its peers. All I/O goes through its ports.
 */
class controller
{
public:
    /**
     * @brief Constructs a controller that has not joined the cell.
     * @param options Options.
     * @param ports Dependencies.
     */
    controller(controller_options options, controller_ports ports);
    controller(const controller&) = delete;
    controller& operator=(const controller&) = delete;
    ~controller();

    /**
     * @brief Runs all due work; must be called every 10 to 20 ms.
     * @param now Current time.
     */
    void tick(time_point now);

    /**
     * @brief Handles a peer's heartbeat.
     * @param theirs Heartbeat of the peer.
     * @param now Current time.
     * @return Heartbeat of this process.
     */
    [[nodiscard]] heartbeat on_heartbeat(const heartbeat& theirs,
                                         time_point now);

    /**
     * @brief Returns log entries retained for peers that cannot reach the log.
     * @param from First offset.
     * @param bytes Maximum payload in bytes.
     * @return Entries from that offset on; empty if it is not retained.
     */
    [[nodiscard]] std::vector<backends::log_entry>
    relay(std::uint64_t from, std::size_t bytes) const;

    /**
     * @brief Returns the status of a job in a partition held by this process.
     * @param job Job to look up.
     * @param now Current time.
     * @return Status; nothing if this process does not hold the job.
     */
    [[nodiscard]] std::optional<job_status> local_status(const job_id& job,
                                                         time_point now) const;

    /**
     * @brief Cancels a job in a partition held by this process.
     * @param job Job to cancel.
     * @param done Called exactly once with the outcome.
     */
    void local_cancel(const job_id& job,
                      std::function<void(cancel_outcome)> done);

    /**
     * @brief Submits a job to the log.
     * @param value Job of a caller whose key has been verified.
     * @param timeout Time after which the outcome known so far is reported.
     * @param done Called exactly once with the outcome.
     */
    void submit(submission value, duration timeout,
                std::function<void(submit_outcome)> done);

    /**
     * @brief Cancels a job, whichever process holds it.
     * @param team Team of the caller.
     * @param job Job to cancel.
     * @param done Called exactly once with the outcome.
     */
    void cancel(const team_id& team, const job_id& job,
                std::function<void(cancel_outcome)> done);

    /**
     * @brief Looks up the status of a job, whichever process holds it.
     * @param team Team of the caller.
     * @param job Job to look up.
     * @param read_from Record that must be applied first; zero if none.
     * @param timeout Maximum wait for that record.
     * @param done Called once; nothing and a reason if the job is unknown.
     */
    void status(const team_id& team, const job_id& job, record_number read_from,
                duration timeout,
                std::function<void(std::optional<job_status>, reason)> done);

    /**
     * @brief Lists the jobs of a team from the log, without asking holders.
     * @param team Team of the caller.
     * @return Status of each job.
     */
    [[nodiscard]] std::vector<job_status> list(const team_id& team) const;

    /**
     * @brief Publishes a document.
     * @param value Document; validated before the append and again by the fold.
     * @param timeout Time after which `submission_outcome_unknown` is reported.
     * @param done Called exactly once with the outcome.
     */
    void publish(publication value, duration timeout,
                 const std::function<void(publish_outcome)>& done);

    /**
     * @brief Records an operator's declaration that a VM no longer runs tasks.
     * @param vm VM that is lost.
     * @param done Called once with `ok` or the reason for the refusal.
     */
    void declare_lost(const vm_id& vm, const std::function<void(reason)>& done);

    /** @return Documents that are currently in effect. */
    [[nodiscard]] std::vector<config_entry> config() const;

    /** @return Members and partitions as seen by this process. */
    [[nodiscard]] cell_view view() const;

    /** @return Offset after the last applied entry. */
    [[nodiscard]] std::uint64_t next_offset() const noexcept;

    /**
     * @brief Checks whether the daemon accepts new work.
     * @param now Current time.
     * @return Reason why it does not, or nothing if it does.
     */
    [[nodiscard]] std::optional<reason> not_ready(time_point now) const;

    /**
     * @brief Starts a graceful shutdown: releases all partitions, then leaves.
     * @param now Current time.
     */
    void begin_shutdown(time_point now);

    /** @return True once no partition is held and the leave record is applied.
     */
    [[nodiscard]] bool shutdown_complete() const noexcept;

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

} // namespace rosemarytrail::control

#endif
