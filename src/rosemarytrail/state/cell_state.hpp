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
 * @brief State of the cell, computed as a pure fold over the log's records.
 *
 * Two processes that have applied the same entries have equal states.
 */
class cell_state
{
public:
    /**
     * @brief Applies the next entry.
     * @param offset Offset of the entry; must equal `next_offset()`.
     * @param bytes Encoded entry.
     * @return One result for each record of a known kind. Empty for a duplicate
     * batch or a torn entry. Also empty for an entry at any other offset, which
     * leaves the state unchanged.
     */
    std::vector<record_result> apply(std::uint64_t offset,
                                     std::string_view bytes);

    /** @return Offset of the next entry to apply. */
    [[nodiscard]] std::uint64_t next_offset() const noexcept;

    /** @return Number of partitions; zero until the first member joins. */
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
     * @brief Returns the epoch that commands to a VM must carry.
     * @param vm VM to look up.
     * @return The newer of the VM's assignment and its partition's claim; zero
     * if the VM is in no partition.
     */
    [[nodiscard]] record_number vm_epoch(const vm_id& vm) const;

    /** @return Current documents, by name. */
    [[nodiscard]] const std::map<std::string, document_state>&
    documents() const noexcept;

    /** @return Current team specifications, by id. */
    [[nodiscard]] const std::map<team_id, team_spec>& teams() const noexcept;

    /**
     * @brief Finds a key, including a withdrawn one.
     * @param key Key to look up.
     * @return The key, or null if it is unknown.
     */
    [[nodiscard]] const key_spec* find_key(const key_id& key) const;

    /**
     * @brief Returns the allowance of a team in a partition.
     *
     * The sum over all partitions never exceeds the limit of the team.
     * @param team Team to look up.
     * @param partition Partition to look up.
     * @return The allowance; zero if the team or the partition is unknown.
     */
    [[nodiscard]] resources allowance(const team_id& team,
                                      partition_id partition) const;

    /**
     * @brief Finds a job.
     * @param job Job to look up.
     * @return The job, or null if it is unknown.
     */
    [[nodiscard]] const job_state* find_job(const job_id& job) const;

    /**
     * @brief Finds a job by its submission id.
     * @param team Team that submitted it.
     * @param submission Submission id chosen by the caller.
     * @return The job, or null if it is unknown.
     */
    [[nodiscard]] const job_state*
    find_submission(const team_id& team, std::string_view submission) const;

    /**
     * @brief Returns the jobs of a partition that are accepted and not ended.
     * @param partition Partition to look up.
     * @return Ids of the jobs; empty if the partition is unknown.
     */
    [[nodiscard]] const std::set<job_id>&
    open_jobs(partition_id partition) const;

    /** @return Skipped records by code: torn, unknown, repeated or void. */
    [[nodiscard]] const std::map<result_code, std::uint64_t>&
    skipped_records() const noexcept;

    /**
     * @brief Returns the newest applied batch of a writer.
     * @param writer Writer to look up.
     * @return Sequence number of the batch; zero if none is known. A batch with
     * this or a lower number will never be applied again.
     */
    [[nodiscard]] std::uint64_t
    last_sequence(const incarnation_id& writer) const;

    /**
     * @brief Returns the successive member sets of a region for `takeover`.
     * @param region Region of the previous holder.
     * @param next_offset Offset up to which the previous holder is known to
     * have applied the log; zero if unknown.
     * @return The set just before that offset, then the set after each later
     * change; the current set comes last. Empty if the stored history does not
     * reach back to the offset: then only fencing can make the takeover safe.
     */
    [[nodiscard]] std::vector<std::set<incarnation_id>>
    member_sets_since(std::string_view region, std::uint64_t next_offset) const;

    /**
     * @brief Returns the member sets that the claim of a partition must reach.
     *
     * The sets cover every holder since the last settled one, each with the
     * member sets of its own region, because a holder that has not learned of
     * its successor may still act.
     * @param partition Partition that was claimed.
     * @param known Returns the offset up to which a holder is known to have
     * applied the log; zero if unknown.
     * @return The sets. Empty if the partition is settled, or if not all sets
     * are known; in the latter case only fencing can make the takeover safe.
     */
    [[nodiscard]] std::vector<std::set<incarnation_id>> takeover_sets(
        partition_id partition,
        const std::function<std::uint64_t(const incarnation_id&)>& known) const;

    /**
     * @brief Checks whether a member wrote its own leave record.
     * @param member Member to look up.
     * @return True if it did; false if it is still a member, was removed by
     * another member, or is unknown.
     */
    [[nodiscard]] bool left_voluntarily(const incarnation_id& member) const;

    /**
     * @brief Returns the region of a current member or of one that left
     * recently.
     * @param member Member to look up.
     * @return The region, or nothing if the member is not in the history.
     */
    [[nodiscard]] std::optional<std::string>
    region_of(const incarnation_id& member) const;

    /** @return Snapshot from which `restore` creates an equal state. */
    [[nodiscard]] std::string snapshot() const;

    /**
     * @brief Restores a state from a snapshot.
     * @param bytes Encoded snapshot.
     * @param why Set if nothing is returned.
     * @return The restored state, or nothing if the snapshot is invalid.
     */
    [[nodiscard]] static std::optional<cell_state>
    restore(std::string_view bytes, reason& why);

private:
    std::vector<record_result> apply_records(std::uint64_t offset,
                                             const batch& entry);

    internal::cell_data data_;
};

} // namespace rosemarytrail::state

#endif
