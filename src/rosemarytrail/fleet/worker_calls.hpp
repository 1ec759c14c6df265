#ifndef ROSEMARYTRAIL_FLEET_WORKER_CALLS_HPP
#define ROSEMARYTRAIL_FLEET_WORKER_CALLS_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/job.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Worker that a call goes to. */
struct worker_address
{
    std::string id;
    /** @brief IP number and port. */
    std::string address;

    friend bool operator==(const worker_address&,
                           const worker_address&) = default;
};

/** @brief Order to start one run of a task. */
struct start_order
{
    worker_address worker;
    task_key task;
    std::uint32_t run{};
    /** @brief Payload of the job, shared by its tasks. */
    std::shared_ptr<const std::string> payload;
    /** @brief End of the lease on the worker's own clock, in milliseconds. */
    std::int64_t lease_end_ms{};
    std::uint64_t epoch{};
    /** @brief Checkpoint to resume from; empty for none. */
    std::string checkpoint;
    /** @brief Ticket of the advice service; empty where none is needed. */
    std::string ticket;
};

/** @brief Order to stop one run of a task. */
struct stop_order
{
    worker_address worker;
    task_key task;
    std::uint32_t run{};
    std::uint64_t epoch{};
};

/** @brief Order to let a task use only part of its processors. */
struct pace_order
{
    worker_address worker;
    task_key task;
    std::uint32_t run{};
    std::uint32_t percent{100};
    std::uint64_t epoch{};
};

/** @brief Renews the lease of a worker and asks what runs there. */
struct hold_order
{
    worker_address worker;
    std::uint64_t epoch{};
    /** @brief Ends up to this number are on record and may be forgotten. */
    std::uint64_t acknowledged{};
    /** @brief New end of the lease on the worker's clock, if it is renewed. */
    std::optional<std::int64_t> lease_end_ms;
    /** @brief How long the worker may wait for an end before it answers. */
    duration wait{};
};

/** @brief What became of an order to start. */
enum class start_result : std::uint8_t
{
    started,
    /** @brief A run with this or a higher number was there before. */
    outdated_run,
    lease_past,
    no_room,
    ticket_refused,
    /** @brief The worker knows a higher epoch. */
    fenced,
    invalid,
    /** @brief The worker is not healthy and did nothing. */
    unhealthy,
    /** @brief Another incarnation answers at the address. */
    wrong_incarnation,
    /** @brief Nothing was sent. */
    not_sent,
    /** @brief No answer: the order may be carried out, also later. */
    unknown
};

/** @brief How a run ended. */
enum class run_end : std::uint8_t
{
    done,
    failed,
    stopped,
    lease_lapsed,
    /** @brief Another member of its gang ended. */
    gang_broken,
    /** @brief The other members of its gang did not come. */
    gang_incomplete
};

/** @brief Task that runs on a worker. */
struct running_row
{
    task_key task;
    std::uint32_t run{};
    std::string checkpoint;
    std::int32_t percent{};
    /** @brief Tail latency in ms if it serves, else cpu in use. */
    std::int64_t usage{};
};

/** @brief Run that ended on a worker. */
struct ended_row
{
    /** @brief Rises by one with each end of an incarnation. */
    std::uint64_t number{};
    task_key task;
    std::uint32_t run{};
    run_end how{run_end::failed};
    std::string checkpoint;
};

/** @brief Answer of a worker to a hold. */
struct hold_answer
{
    /** @brief The worker's own clock, in milliseconds. */
    std::int64_t clock_ms{};
    /** @brief Start of the incarnation, if it tells. */
    std::optional<std::int64_t> incarnation;
    std::vector<running_row> running;
    std::vector<ended_row> ended;
};

/** @brief What became of a hold. */
enum class hold_result : std::uint8_t
{
    answered,
    fenced,
    wrong_incarnation,
    failed
};

} // namespace rosemarytrail::fleet

#endif
