#ifndef ROSEMARYTRAIL_CONTROL_PEER_NETWORK_HPP
#define ROSEMARYTRAIL_CONTROL_PEER_NETWORK_HPP

#include <rosemarytrail/backends/log_client.hpp>
#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/resources.hpp>
#include <rosemarytrail/core/result_code.hpp>
#include <rosemarytrail/request/routing_table.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rosemarytrail::control {

/** @brief Resources of a team in one partition. */
struct team_usage
{
    team_id team{};
    /** @brief Resources committed to its tasks. */
    resources used{};
    /** @brief Resources requested by its queued tasks. */
    resources queued{};
};

/** @brief Upstream as reported by the holder of its partition. */
struct service_endpoint
{
    service_id service{};
    request::upstream_view upstream{};
};

/** @brief Summary of a partition that its holder sends to peers. */
struct partition_summary
{
    partition_id partition{};
    record_number epoch{};
    /** @brief Uncommitted resources on VMs that accept work. */
    resources free{};
    resources capacity{};
    /** @brief Largest available capacity on one VM. */
    resources largest_room{};
    std::uint32_t vms{};
    std::uint32_t queued_tasks{};
    std::uint32_t running_tasks{};
    /** @brief Capacity missing for the largest waiting gang, by resource. */
    resources lacking{};
    /** @brief Whether the takeover is complete. */
    bool settled{false};
    std::vector<team_usage> teams;
    std::vector<service_endpoint> endpoints;
};

/** @brief Heartbeat that peers exchange several times per second. */
struct heartbeat
{
    incarnation_id sender{};
    /** @brief Offset after the last entry that the sender has applied. */
    std::uint64_t next_offset{};
    /** @brief Whether the sender is shutting down. */
    bool draining{false};
    /** @brief Partitions that the sender holds. */
    std::vector<partition_summary> partitions;
};

/** @brief Status of a job as known to its holder. */
struct job_status
{
    job_id job{};
    std::string name;
    team_id team{};
    std::string policy;
    /** @brief accepted, running, finished, failed, cancelled or rejected. */
    std::string phase;
    partition_id partition{};
    std::uint32_t tasks{};
    std::uint32_t queued{};
    std::uint32_t running{};
    std::uint32_t succeeded{};
    std::uint32_t failed{};
    /** @brief First reason why the job waits; `ok` if it does not. */
    result_code waits_for{result_code::ok};
    std::string wait_detail;
    /** @brief How long that reason has applied. */
    duration waits_since{};
    /** @brief True if reported by the holder, false if from the log only. */
    bool from_holder{false};
    /** @brief VMs of its running tasks, one entry for each task. */
    std::vector<vm_id> vms;
};

/** @brief Response to a relayed cancellation. */
struct cancel_outcome
{
    /** @brief `ok`, or the reason for the refusal. */
    result_code code{result_code::ok};
    /** @brief True if the cancellation took effect on the workers. */
    bool in_effect{false};
    /** @brief True if the cancellation is recorded in the log. */
    bool recorded{false};
};

/** @brief Calls to peers; all callbacks run on the control thread. */
class peer_network
{
public:
    virtual ~peer_network() = default;

    /**
     * @brief Exchanges heartbeats with a peer.
     * @param address Peer's address, `ip:port`.
     * @param mine Heartbeat of this process.
     * @param done Called once; nothing if the peer did not respond.
     */
    virtual void
    exchange(const std::string& address, heartbeat mine,
             std::function<void(std::optional<heartbeat>)> done) = 0;

    /**
     * @brief Requests log entries that the peer retains.
     * @param address Peer's address.
     * @param from First offset.
     * @param bytes Maximum payload in bytes.
     * @param done Called once; nothing if the peer did not respond. The list
     * is empty if the peer does not have the first offset.
     */
    virtual void
    relay(const std::string& address, std::uint64_t from, std::size_t bytes,
          std::function<void(std::optional<std::vector<backends::log_entry>>)>
              done) = 0;

    /**
     * @brief Requests the status of a job from its holder.
     * @param address Peer's address.
     * @param job Job to look up.
     * @param done Called once; nothing if the peer did not respond or does not
     * hold the job.
     */
    virtual void
    status(const std::string& address, const job_id& job,
           std::function<void(std::optional<job_status>)> done) = 0;

    /**
     * @brief Requests that the holder cancel a job.
     * @param address Peer's address.
     * @param job Job to cancel.
     * @param done Called once; nothing if the holder did not respond.
     */
    virtual void
    cancel(const std::string& address, const job_id& job,
           std::function<void(std::optional<cancel_outcome>)> done) = 0;
};

} // namespace rosemarytrail::control

#endif
