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

/** @brief Daemon that has joined the cell and not left it. */
struct member_state
{
    incarnation_id member{};
    std::string peer_address;
    std::string api_address;
    std::string region;
    zone_id zone{};
    /** @brief Number of the join record. */
    record_number joined{};
};

/** @brief Earlier holder that may still act: no later one has settled. */
struct previous_holder
{
    incarnation_id holder{};
    record_number epoch{};
};

/** @brief Current claim of a partition. */
struct partition_state
{
    /** @brief Current holder; empty if never claimed. */
    incarnation_id holder{};
    /** @brief Number of the claim record; zero if never claimed. */
    record_number epoch{};
    /** @brief Whether the takeover of this epoch is recorded as complete. */
    bool settled{};
    /** @brief Earlier holders that may still act, oldest first. */
    std::vector<previous_holder> previous_holders{};
    /** @brief Whether the list was full and its oldest holders dropped. */
    bool previous_holders_truncated{};
};

/** @brief VM and the partition that it belongs to. */
struct vm_state
{
    partition_id partition{};
    /** @brief Number of the record that last assigned it to a partition. */
    record_number assigned{};
    resources capacity{};
    /** @brief Number of the record that declared it lost; zero if none. */
    record_number lost{};
};

/** @brief Lifecycle phase of a job. */
enum class job_phase : std::uint8_t
{
    accepted,
    finished,
    cancelled,
    rejected
};

/** @brief Job that was accepted into the cell, open or ended. */
struct job_state
{
    job_id job{};
    job_spec spec{};
    partition_id partition{};
    /** @brief Number of the record that accepted the job. */
    record_number accepted{};
    job_phase phase{job_phase::accepted};
    /** @brief Reason if the job was rejected. */
    result_code code{result_code::ok};
    /** @brief Final result codes of ended tasks, by task index. */
    std::map<std::uint32_t, result_code> finished{};
};

/** @brief Current revision of a published document. */
struct document_state
{
    std::string content;
    /** @brief Number of the record that published it. */
    record_number revision{};
};

/** @brief Result of applying one record. */
struct record_result
{
    record_number number{};
    /** @brief `ok` if applied, else why the record is void. */
    result_code code{result_code::ok};
    /** @brief Current revision or epoch, reported to the loser of a race. */
    record_number current{};
    std::string detail;
};

} // namespace rosemarytrail::state

#endif
