#ifndef ROSEMARYTRAIL_CORE_JOB_SPEC_HPP
#define ROSEMARYTRAIL_CORE_JOB_SPEC_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/resources.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <string>

namespace rosemarytrail {

/** @brief Policy that a job is placed by. */
enum class job_class : std::uint8_t
{
    /** @brief Runs until cancelled; spread over racks and zones. */
    service,
    /** @brief Independent tasks that end; packed tightly. */
    batch,
    /** @brief All tasks start together or none does. */
    gang
};

/** @brief What a team asks for in the document of a job. */
struct job_spec
{
    /** @brief Name that the team gave the job. */
    std::string name{};
    team_id team{};
    job_class policy{job_class::batch};
    /** @brief Service that the tasks serve; empty unless class `service`. */
    service_id service{};
    /** @brief Number of tasks. */
    std::uint32_t tasks{1};
    /** @brief Committed for each task. */
    resources request{};
    /** @brief Declared run time of a task; zero for a service. */
    duration run_time{};
    /** @brief To start within the target for urgent work. */
    bool urgent{false};
    /** @brief Order inside a team, 0 to 9; greater goes first. */
    std::uint8_t priority{5};
    /** @brief Most starts of one task before the job fails. */
    std::uint32_t max_attempts{4};
    /** @brief Whether a task can be checkpointed and started elsewhere. */
    bool checkpointable{false};
};

/** @brief What operators publish for a team. */
struct team_spec
{
    team_id team{};
    /** @brief Weight of the team when the cell is full; above zero. */
    double weight{1.0};
    /** @brief Most that may be running in the whole fleet. */
    resources limit{};
};

/** @brief What operators publish for a key; never the secret. */
struct key_spec
{
    key_id key{};
    team_id team{};
    /** @brief Client account that shows the key. */
    std::string account{};
    /** @brief Salt, in hexadecimal. */
    std::string salt{};
    /** @brief Hash of salt and secret, in hexadecimal. */
    std::string hash{};
    bool withdrawn{false};
};

} // namespace rosemarytrail

#endif
