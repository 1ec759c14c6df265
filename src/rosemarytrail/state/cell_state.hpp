#ifndef ROSEMARYTRAIL_STATE_CELL_STATE_HPP
#define ROSEMARYTRAIL_STATE_CELL_STATE_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/job_spec.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/resources.hpp>
#include <rosemarytrail/state/cell_types.hpp>
#include <rosemarytrail/state/internal/cell_data.hpp>
#include <rosemarytrail/state/record.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::state {

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
     * @return A verdict for each record of a known kind; none for a repeat or
     * a torn entry, nor for an entry that is not the next one, which changes
     * nothing.
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

    /**
     * @brief Newest batch of a writer that was applied.
     * @param writer Writer to look up.
     * @return Its sequence number; zero if none is known. A batch with this or
     * a lower number will never be applied again.
     */
    [[nodiscard]] std::uint64_t
    last_sequence(const incarnation_id& writer) const;

    /**
     * @brief Sets of members of a region, as `takeover` needs them.
     * @param region Region of the former holder.
     * @param next_offset Offset up to which the former holder is known to have
     * applied the log; zero if nothing is known.
     * @return The set before that offset and after each change from it on, the
     * present one last. Empty if the history that is kept does not reach back
     * so far: then there is no wait-out, only the fence.
     */
    [[nodiscard]] std::vector<std::set<incarnation_id>>
    member_sets_since(std::string_view region, std::uint64_t next_offset) const;

    /**
     * @brief Sets of members that the claim of a partition must reach.
     *
     * They cover every holder since the last that settled, each with the sets
     * of its own region: one that never heard of its successor may still act.
     * @param partition Partition that was claimed.
     * @param known Offset up to which a holder is known to have applied the
     * log; zero if nothing is known.
     * @return The sets. Empty if they are not all known, or if the partition is
     * settled: in the first case there is only the fence.
     */
    [[nodiscard]] std::vector<std::set<incarnation_id>> takeover_sets(
        partition_id partition,
        const std::function<std::uint64_t(const incarnation_id&)>& known) const;

    /**
     * @brief Tells whether a member wrote its own leave record.
     * @param member Member to look up.
     * @return False if it is a member, was struck off, or is unknown.
     */
    [[nodiscard]] bool left_by_itself(const incarnation_id& member) const;

    /**
     * @brief Region of a member, or of one that left not long ago.
     * @param member Member to look up.
     * @return The region, or nothing if it is unknown.
     */
    [[nodiscard]] std::optional<std::string>
    region_of(const incarnation_id& member) const;

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
    std::vector<record_verdict> apply_records(std::uint64_t offset,
                                              const batch& entry);

    internal::cell_data data_;
};

} // namespace rosemarytrail::state

#endif
