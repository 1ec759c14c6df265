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

/** @brief What a team has in one partition. */
struct team_usage
{
    team_id team{};
    /** @brief Committed to its tasks. */
    resources used{};
    /** @brief Asked for by its queued tasks. */
    resources queued{};
};

/** @brief Upstream as its partition's holder tells of it. */
struct service_endpoint
{
    service_id service{};
    request::upstream_view upstream{};
};

/** @brief What a holder tells its peers of one partition. */
struct partition_summary
{
    partition_id partition{};
    record_number epoch{};
    /** @brief Not committed on VMs that accept work. */
    resources free{};
    resources capacity{};
    /** @brief Largest room on one VM. */
    resources largest_room{};
    std::uint32_t vms{};
    std::uint32_t queued_tasks{};
    std::uint32_t running_tasks{};
    /** @brief Capacity that the partition's largest waiting gang lacks. */
    resources lacking{};
    /** @brief Whether the takeover is complete. */
    bool settled{false};
    std::vector<team_usage> teams;
    std::vector<service_endpoint> endpoints;
};

/** @brief What peers tell each other, some times a second. */
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

/** @brief State of a job as its holder knows it. */
struct job_status
{
    job_id job{};
    std::string name;
    team_id team{};
    std::string policy;
    /** @brief accepted, running, finished, failed, cancelled, rejected. */
    std::string phase;
    partition_id partition{};
    std::uint32_t tasks{};
    std::uint32_t queued{};
    std::uint32_t running{};
    std::uint32_t succeeded{};
    std::uint32_t failed{};
    /** @brief First thing that holds it back; `ok` if nothing does. */
    result_code waits_for{result_code::ok};
    std::string wait_detail;
    /** @brief How long that has been so. */
    duration waits_since{};
    /** @brief Whether the holder answered; else this is from the log only. */
    bool from_holder{false};
    /** @brief VMs that run its tasks, one for each running task. */
    std::vector<vm_id> vms;
};

/** @brief Answer to a relayed cancellation. */
struct cancel_outcome
{
    /** @brief `ok`, or why not. */
    result_code code{result_code::ok};
    /** @brief In effect on the workers. */
    bool in_effect{false};
    /** @brief In the log. */
    bool recorded{false};
};

/** @brief Calls to one's peers; every callback comes on the control thread. */
class peer_network
{
public:
    virtual ~peer_network() = default;

    /**
     * @brief Sends a heartbeat and receives one.
     * @param address Peer's address, `ip:port`.
     * @param mine Own heartbeat.
     * @param done Called once; nothing if the peer did not answer.
     */
    virtual void
    exchange(const std::string& address, heartbeat mine,
             std::function<void(std::optional<heartbeat>)> done) = 0;

    /**
     * @brief Asks for log entries that the peer keeps.
     * @param address Peer's address.
     * @param from First offset.
     * @param bytes Most bytes of payload.
     * @param done Called once; nothing if the peer did not answer. The list is
     * empty if the peer does not have the first offset.
     */
    virtual void
    relay(const std::string& address, std::uint64_t from, std::size_t bytes,
          std::function<void(std::optional<std::vector<backends::log_entry>>)>
              done) = 0;

    /**
     * @brief Asks a holder how a job stands.
     * @param address Peer's address.
     * @param job Job to ask about.
     * @param done Called once; nothing if it does not answer or not hold it.
     */
    virtual void
    status(const std::string& address, const job_id& job,
           std::function<void(std::optional<job_status>)> done) = 0;

    /**
     * @brief Asks a holder to cancel a job.
     * @param address Peer's address.
     * @param job Job to cancel.
     * @param done Called once; nothing if it did not answer.
     */
    virtual void
    cancel(const std::string& address, const job_id& job,
           std::function<void(std::optional<cancel_outcome>)> done) = 0;
};

} // namespace rosemarytrail::control

#endif
