#ifndef ROSEMARYTRAIL_STATE_CELL_TYPES_HPP
#define ROSEMARYTRAIL_STATE_CELL_TYPES_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/job_spec.hpp>
#include <rosemarytrail/core/resources.hpp>
#include <rosemarytrail/core/result_code.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rosemarytrail::state {

/** @brief Daemon that has joined and not left. */
struct member_state
{
    incarnation_id member{};
    std::string peer_address;
    std::string api_address;
    std::string region;
    zone_id zone{};
    /** @brief Number of its join record. */
    record_number joined{};
};

/** @brief Holder that may still act, since no later one has settled. */
struct former_holder
{
    incarnation_id holder{};
    record_number epoch{};
};

/** @brief Partition and its current claim. */
struct partition_state
{
    /** @brief Holder, empty if never claimed. */
    incarnation_id holder{};
    /** @brief Number of the claim record; zero if never claimed. */
    record_number epoch{};
    /** @brief Whether the takeover of this epoch is recorded as complete. */
    bool settled{};
    /** @brief Holders before this epoch that may still act, oldest first. */
    std::vector<former_holder> former{};
    /** @brief Whether some of them were dropped for want of room. */
    bool former_lost{};
};

/** @brief VM and the partition that it is in. */
struct vm_state
{
    partition_id partition{};
    /** @brief Record that last gave it to a partition. */
    record_number assigned{};
    resources capacity{};
    /** @brief Record of an operator's word that it is lost; zero if none. */
    record_number lost{};
};

/** @brief How far a job has come. */
enum class job_phase : std::uint8_t
{
    accepted,
    finished,
    cancelled,
    rejected
};

/** @brief Accepted job. */
struct job_state
{
    job_id job{};
    job_spec spec{};
    partition_id partition{};
    /** @brief Number of the record that accepted it. */
    record_number accepted{};
    job_phase phase{job_phase::accepted};
    /** @brief Why it was rejected. */
    result_code code{result_code::ok};
    /** @brief Tasks that ended for good, by index. */
    std::map<std::uint32_t, result_code> finished{};
};

/** @brief Published document in force. */
struct document_state
{
    std::string content;
    /** @brief Number of its record. */
    record_number revision{};
};

/** @brief What became of one record. */
struct record_verdict
{
    record_number number{};
    /** @brief `ok` if applied, else why it is void. */
    result_code code{result_code::ok};
    /** @brief Revision or epoch in force, for the loser of a race. */
    record_number current{};
    std::string detail;
};

} // namespace rosemarytrail::state

#endif
