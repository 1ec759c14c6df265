#ifndef ROSEMARYTRAIL_LOGGING_LINE_BUDGET_HPP
#define ROSEMARYTRAIL_LOGGING_LINE_BUDGET_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::logging {

/** @brief How much may be logged. */
struct line_budget_options
{
    /** @brief Lines of one kind a second; the leader of a cell of 350 workers
     * writes about 150 of its commonest kind at its peak. */
    double lines_per_s{300};
    /** @brief Lines of one kind at once, after a quiet time. */
    double burst_lines{1000};
    /** @brief Bytes of all kinds a second; a tenth of a link of 10 Mbit/s. */
    double bytes_per_s{128 * 1024};
    /** @brief Bytes of all kinds at once, after a quiet time. */
    double burst_bytes{512 * 1024};
};

/** @brief Lines of one kind that were left out. */
struct left_out_lines
{
    std::string kind;
    std::uint64_t lines{};
};

/**
 * @brief Decides which lines are written and counts the others.
 *
 * Answers a flood of one kind of event, such as refusals while the store is
 * away: each kind has a rate of its own, so that the rare lines which tell the
 * cause are not lost among it, and all kinds together stay within a volume.
 */
class line_budget
{
public:
    /** @param options How much may be logged. */
    explicit line_budget(const line_budget_options& options);

    /**
     * @brief Asks for one line; one that is not admitted is counted.
     * @param kind Kind of event.
     * @param bytes Length of the line.
     * @param now Present time.
     * @return True if it may be written.
     */
    [[nodiscard]] bool admit(std::string_view kind, std::size_t bytes,
                             time_point now);

    /** @return Lines left out since the last call, by kind. */
    [[nodiscard]] std::vector<left_out_lines> take_left_out();

    /** @return True if there are lines to be told of by `take_left_out`. */
    [[nodiscard]] bool has_left_out() const noexcept { return unreported_; }

private:
    /** @brief Allowance that fills with time. */
    struct bucket
    {
        double filled{};
        time_point as_of;
        std::uint64_t left_out{};

        void fill(double per_s, double most, time_point now);
    };

    line_budget_options options_;
    bucket bytes_;
    std::map<std::string, bucket, std::less<>> kinds_;
    bool unreported_{false};
};

} // namespace rosemarytrail::logging

#endif
