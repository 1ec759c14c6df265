#ifndef ROSEMARYTRAIL_CELL_READ_PACING_HPP
#define ROSEMARYTRAIL_CELL_READ_PACING_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

namespace rosemarytrail::cell {

/** @brief Limits of a `read_pacing`. */
struct read_pacing_options
{
    /** @brief Delay after the first failed read, before jitter. */
    duration min_delay{std::chrono::milliseconds{100}};
    /** @brief Maximum delay after a failed read, before jitter. */
    duration max_delay{std::chrono::milliseconds{1000}};
    /** @brief Page size of a healthy store, in bytes. */
    std::size_t max_bytes{std::size_t{1} << 20U};
    /** @brief Minimum page size, in bytes. */
    std::size_t min_bytes{std::size_t{64} << 10U};
    /** @brief Seed of the jitter; differs from node to node. */
    std::uint32_t seed{1};
};

/**
 * @brief Decides when a failed read is repeated and how much a read asks for.
 *
 * Handles hundreds of readers behind a store that was slow or away: reads that
 * are repeated at once, together and in full size keep the store's bandwidth
 * occupied with pages that arrive after their timeout. The delay between
 * attempts grows and varies from reader to reader, and pages shrink until they
 * arrive in time.
 */
class read_pacing
{
public:
    /** @param options Limits. */
    explicit read_pacing(const read_pacing_options& options);

    /**
     * @brief Records a failed read.
     * @param timed_out No response arrived, so the page may have been too large
     * for the available bandwidth.
     * @param now Current time.
     * @return Delay before the next read.
     */
    [[nodiscard]] duration on_failure(bool timed_out, time_point now);

    /**
     * @brief Records a successful read.
     * @param now Current time.
     * @return Time since the first of the preceding failures, if any.
     */
    std::optional<duration> on_success(time_point now);

    /** @return Number of failed reads since the last successful one. */
    [[nodiscard]] std::size_t failures() const noexcept { return failures_; }

    /** @return Maximum page size of the next read, in bytes. */
    [[nodiscard]] std::size_t page_bytes() const noexcept
    {
        return page_bytes_;
    }

private:
    read_pacing_options options_;
    std::minstd_rand random_;
    std::size_t page_bytes_;
    std::size_t failures_{};
    time_point failing_since_;
};

} // namespace rosemarytrail::cell

#endif
