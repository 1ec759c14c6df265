#ifndef ROSEMARYTRAIL_LOAD_RESULT_HPP
#define ROSEMARYTRAIL_LOAD_RESULT_HPP

#include <rosemarytrail/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rosemarytrail::load {

/** @brief Keeps each latency, so that quantiles are exact. */
class latency_recorder
{
public:
    /** @param value Latency from the intended time of sending. */
    void add(duration value);

    /** @return Number of latencies. */
    [[nodiscard]] std::size_t count() const noexcept { return values_.size(); }

    /**
     * @brief Finds a quantile.
     * @param probability From 0 to 1.
     * @return The latency; zero if there is none.
     */
    [[nodiscard]] duration quantile(double probability) const;

private:
    mutable std::vector<duration> values_;
    mutable bool sorted_{true};
};

/** @brief What one target did in one phase. */
struct target_result
{
    std::string name;
    /** @brief Requests whose time had come. */
    std::uint64_t planned{};
    /** @brief Not sent, since too many were in flight. */
    std::uint64_t not_sent{};
    /** @brief Answers with a status below 400 and the id of the request. */
    std::uint64_t good{};
    /** @brief Refusals with a numbered code. */
    std::uint64_t refused{};
    /** @brief Whole answers with another id than that of the request. */
    std::uint64_t crossed{};
    /** @brief Everything else: timeouts, cut off, other statuses. */
    std::uint64_t failed{};
    /** @brief Refusals that say "not run"; nothing is lost by them. */
    std::uint64_t not_run{};
    /** @brief Refusals by number. */
    std::map<int, std::uint64_t> codes;
    latency_recorder good_latency;
    latency_recorder refusal_latency;
};

/** @brief What a phase gave. */
struct phase_result
{
    std::string name;
    /** @brief Length of the phase. */
    duration span{};
    std::vector<target_result> targets;
};

/**
 * @brief Writes results as JSON.
 * @param results Results of all phases.
 * @return One object.
 */
[[nodiscard]] std::string format_json(const std::vector<phase_result>& results);

/**
 * @brief Writes results as a table for people.
 * @param results Results of all phases.
 * @return Lines of text; latencies are in milliseconds.
 */
[[nodiscard]] std::string
format_table(const std::vector<phase_result>& results);

} // namespace rosemarytrail::load

#endif
