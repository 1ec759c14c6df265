#ifndef ROSEMARYTRAIL_TEST_LIB_OVERLOAD_REPLAY_HPP
#define ROSEMARYTRAIL_TEST_LIB_OVERLOAD_REPLAY_HPP

#include <rosemarytrail/fleet/triage.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace rosemarytrail::test {

/** @brief Load that a replay plays. */
enum class overload_case : std::uint8_t
{
    /** @brief Load that the cell has capacity for. */
    ordinary,
    /** @brief Short jobs of 2 times the capacity for 4 s beside batch jobs. */
    burst,
    /** @brief The store is down for 5 s while jobs keep coming. */
    outage,
    /** @brief One account submits 3 times what its limit allows. */
    limited_account
};

/** @brief Replay to run. */
struct replay_options
{
    overload_case load{overload_case::burst};
    fleet::overload_order order{fleet::overload_order::value};
    std::uint32_t seed{1};
    /** @brief One task in thirty takes 7 times as long as its siblings. */
    bool stragglers{false};
    double aging_share{0.1};
};

/** @brief What the callers of one queue got. */
struct queue_result
{
    std::size_t jobs{};
    std::size_t in_objective{};
    std::size_t useful{};
    /** @brief Of the largest tenth by work. */
    std::size_t large_jobs{};
    std::size_t large_in_objective{};
    std::size_t large_useful{};
    /** @brief Value achieved, and that of all jobs. */
    double value{};
    double possible{};
};

/** @brief Result of a replay. */
struct replay_result
{
    /** @brief Results of `short` and `batch`, and of the limited account's jobs
     * as `limited`. */
    std::map<std::string, queue_result> queues;
    std::size_t violations{};

    /** @return Share of the possible value of all jobs. */
    [[nodiscard]] double value_share() const;
};

/**
 * @brief Plays a load in virtual time.
 *
 * Declared durations are too short by 20 % to 50 %, workers differ in speed by
 * up to 2.4 times, and objectives follow the true run times.
 * @param options Replay.
 * @return What callers got.
 */
[[nodiscard]] replay_result replay_overload(const replay_options& options);

} // namespace rosemarytrail::test

#endif
