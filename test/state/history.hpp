#ifndef ROSEMARYTRAIL_TEST_STATE_HISTORY_HPP
#define ROSEMARYTRAIL_TEST_STATE_HISTORY_HPP

#include <rosemarytrail/state/cell_state.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace rosemarytrail::test {

/** @brief Creates the JSON document of a team with a limit. */
[[nodiscard]] std::string team_document(const std::string& team,
                                        const resources& limit);

/** @brief Creates the JSON document of a key. */
[[nodiscard]] std::string key_document(const std::string& key,
                                       const std::string& team,
                                       const std::string& hash, bool withdrawn);

/** @brief Creates the JSON document of a batch job. */
[[nodiscard]] std::string job_document(const std::string& team, int tasks);

/** @brief Encodes a batch and gives every `step`th record an unknown kind. */
[[nodiscard]] std::string with_unknown_kinds(const state::batch& value,
                                             unsigned step);

/** @brief Log and the state after all its entries. */
class followed_log
{
public:
    /**
     * @brief Appends one record and applies it.
     * @param writer Writer of the record.
     * @param value Record to append.
     * @return Result of the record.
     */
    state::record_result append(const std::string& writer, state::record value);

    /** @brief Appends an encoded entry and applies it. */
    std::vector<state::record_result> append_bytes(std::string bytes);

    /** @return Sequence number for the next batch of a writer. */
    std::uint64_t next_sequence(const std::string& writer);

    state::cell_state cell;
    std::vector<std::string> entries;

private:
    std::map<std::string, std::uint64_t> sequences_;
};

/**
 * @brief Generates random histories with valid and outdated records, duplicate
 * and torn entries, gaps in the sequence numbers, and races.
 */
class random_history
{
public:
    explicit random_history(std::uint32_t seed);

    /** @brief Appends one random entry. */
    void step();

    followed_log log;
    /** @brief Number of records that took effect, by kind. */
    std::map<std::size_t, std::uint64_t> applied;

private:
    [[nodiscard]] std::uint32_t below(std::uint32_t n);
    [[nodiscard]] bool chance(std::uint32_t percent);
    [[nodiscard]] state::record any_record(const std::string& writer);
    [[nodiscard]] state::record any_team();
    [[nodiscard]] state::record any_key();
    [[nodiscard]] state::record any_tasks(partition_id partition,
                                          record_number epoch);
    [[nodiscard]] std::string any_member();
    [[nodiscard]] job_id any_job();
    [[nodiscard]] resources any_amount(std::int64_t bound);

    std::mt19937 random_;
};

} // namespace rosemarytrail::test

#endif
