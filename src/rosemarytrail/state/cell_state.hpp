#ifndef ROSEMARYTRAIL_STATE_CELL_STATE_HPP
#define ROSEMARYTRAIL_STATE_CELL_STATE_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/job_spec.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/resources.hpp>
#include <rosemarytrail/state/record.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
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

/** @brief Partition and its current claim. */
struct partition_state
{
    /** @brief Holder, empty if never claimed. */
    incarnation_id holder{};
    /** @brief Number of the claim record; zero if never claimed. */
    record_number epoch{};
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

/**
 * @brief State of the cell: a pure fold over the records of the log.
 *
 * Two processes that have applied the same entries hold equal states.
 */
class cell_state
{
public:
    /**
     * @brief Applies the next entry.
     * @param offset Offset of the entry; must equal `next_offset()`.
     * @param bytes Bytes of the entry.
     * @return A verdict for each record; none for a repeat or a torn entry.
     */
    std::vector<record_verdict> apply(std::uint64_t offset,
                                      std::string_view bytes);

    /** @return Offset of the entry to apply next. */
    [[nodiscard]] std::uint64_t next_offset() const noexcept;

    /** @return Number of partitions; zero before the first member. */
    [[nodiscard]] std::uint32_t partition_count() const noexcept;

    /** @return Members, by incarnation. */
    [[nodiscard]] const std::map<incarnation_id, member_state>&
    members() const noexcept;

    /** @return Partitions, by number. */
    [[nodiscard]] const std::vector<partition_state>&
    partitions() const noexcept;

    /** @return VMs, by name. */
    [[nodiscard]] const std::map<vm_id, vm_state>& vms() const noexcept;

    /**
     * @brief Epoch that commands to a VM must carry.
     * @param vm VM to look up.
     * @return The newer of its assignment and its partition's claim; zero if
     * it is in no partition.
     */
    [[nodiscard]] record_number vm_epoch(const vm_id& vm) const;

    /** @return Documents in force, by name. */
    [[nodiscard]] const std::map<std::string, document_state>&
    documents() const noexcept;

    /** @return Teams in force, by id. */
    [[nodiscard]] const std::map<team_id, team_spec>& teams() const noexcept;

    /**
     * @brief Finds a key, withdrawn or not.
     * @param key Key to look up.
     * @return The key, or null.
     */
    [[nodiscard]] const key_spec* find_key(const key_id& key) const;

    /**
     * @brief Allowance of a team in a partition.
     *
     * The sum over all partitions never exceeds the limit of the team.
     * @param team Team to look up.
     * @param partition Partition to look up.
     * @return The allowance; zero for an unknown team.
     */
    [[nodiscard]] resources allowance(const team_id& team,
                                      partition_id partition) const;

    /**
     * @brief Finds a job.
     * @param job Job to look up.
     * @return The job, or null.
     */
    [[nodiscard]] const job_state* find_job(const job_id& job) const;

    /**
     * @brief Finds a job by its submission id.
     * @param team Team that submitted it.
     * @param submission Submission id of the caller.
     * @return The job, or null.
     */
    [[nodiscard]] const job_state*
    find_submission(const team_id& team, std::string_view submission) const;

    /**
     * @brief Jobs of a partition that are accepted and not over.
     * @param partition Partition to look up.
     * @return Their ids.
     */
    [[nodiscard]] const std::set<job_id>&
    open_jobs(partition_id partition) const;

    /** @return Records passed over, by code: torn, unknown, repeated, void. */
    [[nodiscard]] const std::map<result_code, std::uint64_t>&
    passed_over() const noexcept;

    /** @return Snapshot from which `restore` makes an equal state. */
    [[nodiscard]] std::string snapshot() const;

    /**
     * @brief Makes a state from a snapshot.
     * @param bytes Snapshot.
     * @param why Set if nothing is returned.
     * @return The state as it was.
     */
    [[nodiscard]] static std::optional<cell_state>
    restore(std::string_view bytes, reason& why);

private:
    // The owner of this module lays out the members.
};

} // namespace rosemarytrail::state

#endif
