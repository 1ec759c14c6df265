#ifndef ROSEMARYTRAIL_STATE_INTERNAL_CELL_DATA_HPP
#define ROSEMARYTRAIL_STATE_INTERNAL_CELL_DATA_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/job_spec.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/resources.hpp>
#include <rosemarytrail/state/cell_types.hpp>
#include <rosemarytrail/state/internal/job_table.hpp>
#include <rosemarytrail/state/internal/member_history.hpp>
#include <rosemarytrail/state/internal/writer_table.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::state::internal {

/** @brief Data of the fold, owned by `cell_state`. */
struct cell_data
{
    std::uint64_t next_offset{};
    std::map<incarnation_id, member_state> members;
    member_history history;
    std::vector<partition_state> partitions;
    std::map<vm_id, vm_state> vms;
    std::map<std::string, document_state> documents;
    std::map<team_id, team_spec> teams;
    std::map<key_id, key_spec> keys;
    /** @brief Withdrawn hashes of each key, which cannot be reused. */
    std::map<key_id, std::set<std::string>> withdrawn;
    /** @brief Allowance of each team in each partition. */
    std::map<team_id, std::vector<resources>> allowances;
    job_table jobs;
    writer_table writers;
    std::map<result_code, std::uint64_t> skipped_records;

    /** @brief Sets the number of partitions. Called only once per cell. */
    void set_partitions(std::uint32_t n);
};

/**
 * @brief Encodes a snapshot.
 * @param data State to encode.
 * @return Encoded snapshot for `read_snapshot`.
 */
[[nodiscard]] std::string write_snapshot(const cell_data& data);

/**
 * @brief Decodes a snapshot.
 * @param bytes Output of `write_snapshot`, or arbitrary bytes.
 * @param why Set to `record_torn` if nothing is returned.
 * @return The state, or nothing if the snapshot is invalid.
 */
[[nodiscard]] std::optional<cell_data> read_snapshot(std::string_view bytes,
                                                     reason& why);

} // namespace rosemarytrail::state::internal

#endif
