#ifndef ROSEMARYTRAIL_CORE_JOB_SPEC_HPP
#define ROSEMARYTRAIL_CORE_JOB_SPEC_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/resources.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <string>

namespace rosemarytrail {

/** @brief Class of a job; selects its placement policy. */
enum class job_class : std::uint8_t
{
    /** @brief Long-running tasks, spread over racks and availability zones. */
    service,
    /** @brief Independent finite tasks, packed onto few VMs. */
    batch,
    /** @brief Tasks that start all at once or not at all. */
    gang
};

/** @brief Specification of a job, as submitted by a team. */
struct job_spec
{
    /** @brief Name given by the team; run time history is kept by it. */
    std::string name{};
    team_id team{};
    job_class policy{job_class::batch};
    /** @brief Service that the tasks provide; empty unless class `service`. */
    service_id service{};
    /** @brief Number of tasks. */
    std::uint32_t tasks{1};
    /** @brief Resources reserved for each task. */
    resources request{};
    /** @brief Declared run time of a task; zero for services. */
    duration run_time{};
    /** @brief Whether the job must start within the target for urgent work. */
    bool urgent{false};
    /** @brief Priority within the team, 0 to 9; higher starts first. */
    std::uint8_t priority{5};
    /** @brief Maximum attempts of one task before the job fails. */
    std::uint32_t max_attempts{4};
    /** @brief Whether a task can be checkpointed and resumed on another VM. */
    bool checkpointable{false};
};

/** @brief Team configuration that operators publish. */
struct team_spec
{
    team_id team{};
    /** @brief Fair-share weight when the cell is full; greater than zero. */
    double weight{1.0};
    /** @brief Maximum resources that the team may use in the whole fleet. */
    resources limit{};
};

/** @brief Key configuration that operators publish; never holds the secret. */
struct key_spec
{
    key_id key{};
    team_id team{};
    /** @brief Client account that authenticates with the key. */
    std::string account{};
    /** @brief Salt in hexadecimal. */
    std::string salt{};
    /** @brief Hash of salt and secret in hexadecimal. */
    std::string hash{};
    bool withdrawn{false};
};

} // namespace rosemarytrail

#endif
