#ifndef ROSEMARYTRAIL_FLEET_LOAD_FORECAST_HPP
#define ROSEMARYTRAIL_FLEET_LOAD_FORECAST_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/job.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace rosemarytrail::fleet {

/** @brief Place of a job in the order of service, as far as it does not depend
 * on time: accounts within their share first, then priority. */
struct service_order
{
    bool beyond_share{false};
    std::int32_t priority{};

    friend bool operator==(const service_order&,
                           const service_order&) = default;

    friend bool operator<(const service_order& a,
                          const service_order& b) noexcept
    {
        return std::tie(a.beyond_share, a.priority) <
               std::tie(b.beyond_share, b.priority);
    }
};

/** @brief Waiting work that one forecast row stands for. */
struct waiting_work
{
    /** @brief Account with a CPU limit; empty for all other accounts. */
    std::string account;
    std::string service;
    service_order order;
    /** @brief Declared work in core-milliseconds. */
    std::int64_t core_ms{};

    friend bool operator==(const waiting_work&, const waiting_work&) = default;
};

/** @brief How fast a service works off the jobs of one priority. */
struct priority_drain
{
    std::string service;
    std::int32_t priority{};
    /** @brief CPU in use by tasks that end by themselves. */
    std::int64_t running_cpu_millis{};
    /** @brief Declared work completed per second, in core-milliseconds. */
    std::int64_t completed_per_s{};

    friend bool operator==(const priority_drain&,
                           const priority_drain&) = default;
};

/** @brief CPU of the workers of a service that accept tasks. */
struct service_capacity
{
    std::string service;
    std::int64_t cpu_millis{};
    std::int64_t used_cpu_millis{};

    friend bool operator==(const service_capacity&,
                           const service_capacity&) = default;
};

/** @brief CPU use and limit of an account with waiting work. */
struct account_load
{
    std::string account;
    std::int64_t limit_cpu_millis{};
    std::int64_t used_cpu_millis{};
    /** @brief Part of the use that does not end by itself. */
    std::int64_t long_running_cpu_millis{};

    friend bool operator==(const account_load&, const account_load&) = default;
};

/**
 * @brief Summary of the waiting work and of the rate at which it is done.
 *
 * The leader computes it from its dispatcher's state; followers fetch it to
 * decide on submissions.
 */
struct load_forecast
{
    std::uint64_t epoch{};
    /** @brief When it was computed, on the clock of this node. */
    time_point computed_at;
    /** @brief How long the leader had led by then. */
    duration leading_for{};
    /** @brief Declared duration of the tasks that ended recently, relative to
     * their run time. */
    double pace{1.0};
    std::vector<service_capacity> services;
    std::vector<priority_drain> drains;
    std::vector<account_load> accounts;
    std::vector<waiting_work> waiting;
};

/** @brief Maximum number of rows of waiting work; the smallest ones are left
 * out, which shortens the expected wait. */
inline constexpr std::size_t max_forecast_rows = 96;

/**
 * @brief Returns the declared work of a number of tasks.
 * @param spec Step of the tasks.
 * @param tasks Their number.
 * @return Work in core-milliseconds; zero for a step that is not part of a
 * forecast, as its tasks don't end by themselves or use idle CPU only.
 */
[[nodiscard]] std::int64_t forecast_work(const step_spec& spec,
                                         std::size_t tasks);

/**
 * @brief Adds a job that was recorded after the forecast was computed, so that
 * a burst is noticed before the next forecast.
 * @param forecast Forecast.
 * @param job Job; its steps without predecessor are added.
 * @param limit_cpu_millis CPU limit of its account; zero for none.
 */
void add_job(load_forecast& forecast, const job_record& job,
             std::int64_t limit_cpu_millis);

/** @brief Expected wait in a queue, with what it was computed from. */
struct expected_wait
{
    duration wait{};
    /** @brief Work ahead, in core-milliseconds. */
    std::int64_t ahead_core_ms{};
    /** @brief Rate at which it is done, in core-milliseconds per second. */
    std::int64_t drain_per_s{};
};

/**
 * @brief Estimates how long a new job waits for the capacity of the cell.
 *
 * Work of accounts at their limit counts only as far as the limit lets it run
 * during the wait.
 * @param forecast Forecast.
 * @param service Service whose workers run the job.
 * @param order Place of the job in the order of service.
 * @return Expected wait; nothing if no rate is known.
 */
[[nodiscard]] std::optional<expected_wait>
wait_for_cell(const load_forecast& forecast, std::string_view service,
              const service_order& order);

/**
 * @brief Estimates how long a new job waits for the limit of its account.
 * @param forecast Forecast.
 * @param account Account that submits the job.
 * @param order Place of the job in the order of service.
 * @return Expected wait; nothing if the account has no waiting work or its
 * limit lets no work end.
 */
[[nodiscard]] std::optional<expected_wait>
wait_for_limit(const load_forecast& forecast, std::string_view account,
               const service_order& order);

/**
 * @brief Checks whether a service has free capacity.
 * @param forecast Forecast.
 * @param service Service.
 * @return True unless most of its usable CPU is in use.
 */
[[nodiscard]] bool has_free_capacity(const load_forecast& forecast,
                                     std::string_view service);

/**
 * @brief Checks whether an account may start another task.
 * @param forecast Forecast.
 * @param account Account.
 * @param task_cpu_millis CPU of the task.
 * @return True unless the task would exceed the account's limit.
 */
[[nodiscard]] bool has_room_below_limit(const load_forecast& forecast,
                                        std::string_view account,
                                        std::int64_t task_cpu_millis);

/**
 * @brief Encodes a forecast for another node.
 * @param forecast Forecast.
 * @param now Current time; the forecast is encoded with its age.
 * @return Encoded forecast.
 */
[[nodiscard]] std::string encode(const load_forecast& forecast, time_point now);

/**
 * @brief Decodes a forecast of another node.
 * @param bytes Encoded forecast.
 * @param requested_at When it was requested; its age counts from then.
 * @return Forecast, or nothing if the bytes are malformed.
 */
[[nodiscard]] std::optional<load_forecast>
decode_forecast(std::string_view bytes, time_point requested_at);

} // namespace rosemarytrail::fleet

#endif
