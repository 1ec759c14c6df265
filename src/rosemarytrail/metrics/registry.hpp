#ifndef ROSEMARYTRAIL_METRICS_REGISTRY_HPP
#define ROSEMARYTRAIL_METRICS_REGISTRY_HPP

#include <rosemarytrail/core/result_code.hpp>
#include <rosemarytrail/core/time.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace rosemarytrail::metrics {

/** @brief Number that only grows; any thread may raise it. */
class counter
{
public:
    /** @param n How much to add. */
    void add(std::uint64_t n = 1) noexcept
    {
        value_.fetch_add(n, std::memory_order_relaxed);
    }

    /** @return Present value. */
    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/** @brief Number that goes up and down; any thread may set it. */
class gauge
{
public:
    /** @param value New value. */
    void set(std::int64_t value) noexcept
    {
        value_.store(value, std::memory_order_relaxed);
    }

    /** @param n How much to add; may be below zero. */
    void add(std::int64_t n) noexcept
    {
        value_.fetch_add(n, std::memory_order_relaxed);
    }

    /** @return Present value. */
    [[nodiscard]] std::int64_t value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> value_{0};
};

/** @brief One counter for each result code; any thread may raise them. */
class code_counters
{
public:
    /**
     * @brief Raises the counter of a code.
     * @param code Code that occurred.
     * @param n How much to add.
     */
    void add(result_code code, std::uint64_t n = 1) noexcept;

    /**
     * @brief Reads the counter of a code.
     * @param code Code to look up.
     * @return Present value.
     */
    [[nodiscard]] std::uint64_t value(result_code code) const noexcept;

private:
    static constexpr std::size_t code_limit = 1000;
    std::atomic<std::uint64_t> values_[code_limit]{};
};

/** @brief Count, mean, maximum and quantiles of spans, by Boost.Accumulators.
 */
class summary
{
public:
    summary();
    ~summary();
    summary(const summary&) = delete;
    summary& operator=(const summary&) = delete;

    /** @param value Span to add; any thread. */
    void add(duration value);

    /** @return Number of spans added. */
    [[nodiscard]] std::uint64_t count() const;

    /**
     * @brief Estimates a quantile.
     * @param probability One of 0.5, 0.9, 0.99 and 0.999.
     * @return Estimate; zero if nothing was added.
     */
    [[nodiscard]] duration quantile(double probability) const;

    /** @return Mean; zero if nothing was added. */
    [[nodiscard]] duration mean() const;

    /** @return Greatest span; zero if nothing was added. */
    [[nodiscard]] duration maximum() const;

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

/** @brief Owns the metrics of a process and writes them out. */
class registry
{
public:
    registry();
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    /**
     * @brief Makes or finds a counter; the reference stays valid.
     * @param name Name, such as `rosemarytrail_jobs_accepted_total`.
     * @param help One line for people.
     * @return The counter.
     */
    counter& make_counter(std::string_view name, std::string_view help);

    /** @copydoc make_counter */
    gauge& make_gauge(std::string_view name, std::string_view help);

    /** @copydoc make_counter */
    summary& make_summary(std::string_view name, std::string_view help);

    /**
     * @brief Makes or finds counters by code, such as
     * `rosemarytrail_refusals_total{code="200",reason="key_missing"}`.
     * @param name Name of the family.
     * @param help One line for people.
     * @return The counters.
     */
    code_counters& make_code_counters(std::string_view name,
                                      std::string_view help);

    /** @return All metrics in the common text exposition format. */
    [[nodiscard]] std::string expose() const;

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

} // namespace rosemarytrail::metrics

#endif
