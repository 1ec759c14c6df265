#ifndef ROSEMARYTRAIL_FLEET_WORKER_CALLS_HPP
#define ROSEMARYTRAIL_FLEET_WORKER_CALLS_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/job.hpp>

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Target worker of a call. */
struct worker_address
{
    std::string id;
    /** @brief IP address and port. */
    std::string address;

    friend bool operator==(const worker_address&,
                           const worker_address&) = default;
};

/**
 * @brief Returns the fencing token of a call to a worker.
 *
 * A worker refuses calls with a token lower than the highest that it has seen,
 * as those of earlier leaders. It forgets that token when it restarts, and then
 * takes calls that were sent to its previous incarnation, until it has seen one
 * of a later generation.
 * @param epoch Epoch of the leader.
 * @param generation Generation of the leader's calls to the worker.
 * @return Token; larger for a later epoch or a later generation.
 */
[[nodiscard]] constexpr std::uint64_t fencing_token(std::uint64_t epoch,
                                                    std::uint32_t generation)
{
    return epoch << std::numeric_limits<std::uint32_t>::digits | generation;
}

/** @brief Request to start one run of a task. */
struct start_request
{
    worker_address worker;
    task_key task;
    std::uint32_t run{};
    /** @brief Payload of the job, shared by all its tasks. */
    std::shared_ptr<const std::string> payload;
    /** @brief End of the lease on the worker's own clock, in milliseconds. */
    std::int64_t lease_end_ms{};
    std::uint64_t epoch{};
    /** @brief Generation of the leader's calls to the worker. */
    std::uint32_t generation{};
    /** @brief Restarts of the worker that the leader had noticed; not sent
     * along. */
    std::uint32_t restarts{};
    /** @brief Checkpoint to resume from; empty for none. */
    std::string checkpoint;
    /** @brief Ticket from the advice service; empty if none is required. */
    std::string ticket;
    /** @brief When the dispatcher requested it; not sent along. */
    time_point requested_at;
};

/** @brief Request to stop one run of a task. */
struct stop_request
{
    worker_address worker;
    task_key task;
    std::uint32_t run{};
    std::uint64_t epoch{};
    /** @brief Generation of the leader's calls to the worker. */
    std::uint32_t generation{};
    /** @brief Restarts of the worker that the leader had noticed; not sent
     * along. */
    std::uint32_t restarts{};
};

/** @brief Request to limit the CPU use of a running task to a percentage. */
struct throttle_request
{
    worker_address worker;
    task_key task;
    std::uint32_t run{};
    std::uint32_t percent{100};
    std::uint64_t epoch{};
    /** @brief Generation of the leader's calls to the worker. */
    std::uint32_t generation{};
    /** @brief Restarts of the worker that the leader had noticed; not sent
     * along. */
    std::uint32_t restarts{};
};

/** @brief Long poll that renews a worker's lease and returns its running and
 * ended tasks. */
struct poll_request
{
    worker_address worker;
    std::uint64_t epoch{};
    /** @brief Generation of the leader's calls to the worker. */
    std::uint32_t generation{};
    /** @brief Restarts of the worker that the leader had noticed; not sent
     * along. */
    std::uint32_t restarts{};
    /** @brief The worker may discard ended runs up to this number; they are
     * recorded in the ledger. */
    std::uint64_t acknowledged{};
    /** @brief New end of the lease on the worker's clock in milliseconds, if it
     * is renewed. */
    std::optional<std::int64_t> lease_end_ms;
    /** @brief How long the worker may wait for a run to end before it
     * responds. */
    duration wait{};
};

/** @brief Result of a start request. */
enum class start_result : std::uint8_t
{
    started,
    /** @brief The worker has already seen this run or a later one. */
    outdated_run,
    lease_expired,
    no_capacity,
    ticket_refused,
    /** @brief The worker knows a higher epoch. */
    fenced,
    invalid,
    /** @brief The worker is not healthy and did nothing. */
    unhealthy,
    /** @brief A different incarnation responded at the address. */
    wrong_incarnation,
    /** @brief The request was not sent. */
    not_sent,
    /** @brief No response: the request may have been executed, or may be
     * executed later. */
    unknown
};

/** @brief Response to a start request. */
struct start_response
{
    start_result result{start_result::unknown};
    /** @brief The worker's own clock in milliseconds, if it responded. */
    std::optional<std::int64_t> clock_ms;
};

/** @brief How a run ended. */
enum class run_end : std::uint8_t
{
    done,
    failed,
    stopped,
    lease_expired,
    /** @brief Another member of the gang ended. */
    gang_broken,
    /** @brief Other members of the gang did not start in time. */
    gang_incomplete
};

/** @brief Task running on a worker. */
struct running_row
{
    task_key task;
    std::uint32_t run{};
    std::string checkpoint;
    std::int32_t percent{};
    /** @brief Tail latency in milliseconds for a serving task, otherwise CPU in
     * use. */
    std::int64_t usage{};
};

/** @brief Run that ended on a worker. */
struct ended_row
{
    /** @brief Sequence number of ended runs within an incarnation. */
    std::uint64_t number{};
    task_key task;
    std::uint32_t run{};
    run_end how{run_end::failed};
    std::string checkpoint;
};

/** @brief Response of a worker to a poll. */
struct poll_response
{
    /** @brief The worker's own clock, in milliseconds. */
    std::int64_t clock_ms{};
    /** @brief Start time of the incarnation, if the worker reports it. */
    std::optional<std::int64_t> incarnation;
    std::vector<running_row> running;
    std::vector<ended_row> ended;
    /** @brief `ended` may lack runs, which follow once its rows are
     * acknowledged. */
    bool ended_truncated{false};
};

/** @brief Result of a poll. */
enum class poll_result : std::uint8_t
{
    answered,
    fenced,
    wrong_incarnation,
    failed
};

} // namespace rosemarytrail::fleet

#endif
