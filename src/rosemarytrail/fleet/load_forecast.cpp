#include <rosemarytrail/fleet/load_forecast.hpp>

#include <rosemarytrail/fleet/msgpack.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace rosemarytrail::fleet {

namespace {

using json = nlohmann::json;

/** @brief Part of the usable CPU above which a service counts as busy; the rest
 * is lost to tasks that do not fit the free parts of the workers. */
constexpr double busy_share = 0.85;
/** @brief Minimum part of the drain that less urgent work is assumed to get.
 * Bursts of urgent work are short against the objectives of the other queues,
 * so the drain seen during one is not extrapolated. */
constexpr double min_drain_share = 0.5;
/** @brief Bound on an expected wait; longer ones only differ in the log. */
constexpr double max_wait_s = 3600;
constexpr double per_mille = 1000;
constexpr std::int64_t millis_per_core = 1000;

[[nodiscard]] duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{std::clamp(seconds, 0.0, max_wait_s)});
}

[[nodiscard]] std::int64_t rounded(double value)
{
    return static_cast<std::int64_t>(std::llround(value));
}

[[nodiscard]] const account_load* find_account(const load_forecast& forecast,
                                               std::string_view account)
{
    const auto it =
        std::ranges::find(forecast.accounts, account, &account_load::account);
    return it == forecast.accounts.end() ? nullptr : &*it;
}

/** @return Rate at which the limit of an account lets declared work end. */
[[nodiscard]] double limit_rate(const load_forecast& forecast,
                                const account_load& account)
{
    return static_cast<double>(account.limit_cpu_millis -
                               account.long_running_cpu_millis) *
           forecast.pace;
}

/** @return Rate at which capacity becomes available to jobs of a priority. */
[[nodiscard]] double drain_of(const load_forecast& forecast,
                              std::string_view service, std::int32_t priority)
{
    double all = 0;
    double available = 0;
    for (const auto& it : forecast.drains) {
        if (it.service != service) {
            continue;
        }
        // Few tasks have ended soon after the load rose, so the tasks that run
        // count as well.
        const double rate = std::max(
            static_cast<double>(it.completed_per_s),
            static_cast<double>(it.running_cpu_millis) * forecast.pace);
        all += rate;
        available += it.priority >= priority ? rate : 0;
    }
    return std::max(available, all * min_drain_share);
}

/** @brief Work that an account has ahead of a job, and how fast it may run. */
struct limited_work
{
    double core_ms{};
    double rate{};
};

} // namespace

std::int64_t forecast_work(const step_spec& spec, std::size_t tasks)
{
    return spec.long_running || spec.scavenger
               ? 0
               : static_cast<std::int64_t>(tasks) * spec.estimate_ms *
                     spec.demand.cpu_millis / millis_per_core;
}

void add_job(load_forecast& forecast, const job_record& job,
             std::int64_t limit_cpu_millis)
{
    std::int64_t work = 0;
    for (const auto& it : job.spec.steps) {
        work += it.depends_on.empty() ? forecast_work(it, it.tasks) : 0;
    }
    if (work == 0 || job.spec.occurrences > 0) {
        return;
    }
    const waiting_work added{.account = limit_cpu_millis > 0 ? job.account : "",
                             .service = job.queue.service,
                             .order = {.beyond_share = job.beyond_share,
                                       .priority = job.queue.priority},
                             .core_ms = work};
    const auto row = std::ranges::find_if(
        forecast.waiting, [&added](const waiting_work& it) {
            return it.account == added.account && it.service == added.service &&
                   it.order == added.order;
        });
    if (row != forecast.waiting.end()) {
        row->core_ms += work;
        return;
    }
    // The use of an account without a row is not known.
    const bool known = added.account.empty() ||
                       find_account(forecast, added.account) != nullptr;
    if (known && forecast.waiting.size() < max_forecast_rows) {
        forecast.waiting.push_back(added);
    }
}

std::optional<expected_wait> wait_for_cell(const load_forecast& forecast,
                                           std::string_view service,
                                           const service_order& order)
{
    const double drain = drain_of(forecast, service, order.priority);
    if (drain <= 0) {
        return std::nullopt;
    }
    double unlimited = 0;
    double ahead = 0;
    std::vector<limited_work> limited(forecast.accounts.size());
    for (const auto& it : forecast.waiting) {
        if (it.service != service || order < it.order) {
            continue;
        }
        const auto core_ms = static_cast<double>(it.core_ms);
        ahead += core_ms;
        if (const auto* account = find_account(forecast, it.account)) {
            auto& work = limited[static_cast<std::size_t>(
                account - forecast.accounts.data())];
            work.core_ms += core_ms;
            work.rate = std::max(limit_rate(forecast, *account), 0.0);
        } else {
            unlimited += core_ms;
        }
    }
    // The sum falls with the wait and the wait with the sum, from the largest
    // possible wait down to the expected one.
    constexpr int max_iterations = 40;
    double wait = ahead / drain;
    for (int n = 0; n < max_iterations; ++n) {
        ahead = unlimited;
        for (const auto& it : limited) {
            ahead += std::min(it.core_ms, it.rate * wait);
        }
        wait = ahead / drain;
    }
    return expected_wait{.wait = to_duration(wait),
                         .ahead_core_ms = rounded(ahead),
                         .drain_per_s = rounded(drain)};
}

std::optional<expected_wait> wait_for_limit(const load_forecast& forecast,
                                            std::string_view account,
                                            const service_order& order)
{
    const auto* load =
        account.empty() ? nullptr : find_account(forecast, account);
    const double rate = load == nullptr ? 0 : limit_rate(forecast, *load);
    if (rate <= 0) {
        return std::nullopt;
    }
    std::int64_t ahead = 0;
    for (const auto& it : forecast.waiting) {
        ahead += it.account == account && !(order < it.order) ? it.core_ms : 0;
    }
    return expected_wait{.wait = to_duration(static_cast<double>(ahead) / rate),
                         .ahead_core_ms = ahead,
                         .drain_per_s = rounded(rate)};
}

bool has_free_capacity(const load_forecast& forecast, std::string_view service)
{
    const auto it = std::ranges::find(forecast.services, service,
                                      &service_capacity::service);
    return it == forecast.services.end() ||
           static_cast<double>(it->used_cpu_millis) <
               static_cast<double>(it->cpu_millis) * busy_share;
}

bool has_room_below_limit(const load_forecast& forecast,
                          std::string_view account,
                          std::int64_t task_cpu_millis)
{
    const auto* load = find_account(forecast, account);
    return load == nullptr ||
           load->used_cpu_millis + task_cpu_millis <= load->limit_cpu_millis;
}

std::string encode(const load_forecast& forecast, time_point now)
{
    // Rows refer to names by their position.
    std::vector<std::string> names;
    const auto index_of = [&names](const std::string& name) {
        const auto it = std::ranges::find(names, name);
        const auto index = it - names.begin();
        if (it == names.end()) {
            names.push_back(name);
        }
        return index;
    };
    json services = json::array();
    for (const auto& it : forecast.services) {
        services.push_back(json::array(
            {index_of(it.service), it.cpu_millis, it.used_cpu_millis}));
    }
    json drains = json::array();
    for (const auto& it : forecast.drains) {
        drains.push_back(
            json::array({index_of(it.service), it.priority,
                         it.running_cpu_millis, it.completed_per_s}));
    }
    json accounts = json::array();
    for (const auto& it : forecast.accounts) {
        accounts.push_back(
            json::array({index_of(it.account), it.limit_cpu_millis,
                         it.used_cpu_millis, it.long_running_cpu_millis}));
    }
    json waiting = json::array();
    for (const auto& it : forecast.waiting) {
        waiting.push_back(json::array(
            {index_of(it.account), index_of(it.service), it.order.beyond_share,
             it.order.priority, it.core_ms}));
    }
    return pack(json::array(
        {forecast.epoch, to_milliseconds(now - forecast.computed_at),
         to_milliseconds(forecast.leading_for),
         rounded(forecast.pace * per_mille), names, std::move(services),
         std::move(drains), std::move(accounts), std::move(waiting)}));
}

std::optional<load_forecast> decode_forecast(std::string_view bytes,
                                             time_point requested_at)
{
    return unpack(bytes, [requested_at](const json& it) {
        load_forecast result{
            .epoch = it.at(0),
            .computed_at =
                requested_at -
                std::chrono::milliseconds{it.at(1).get<std::int64_t>()},
            .leading_for =
                std::chrono::milliseconds{it.at(2).get<std::int64_t>()},
            .pace = it.at(3).get<double>() / per_mille};
        const auto names = it.at(4).get<std::vector<std::string>>();
        const auto name = [&names](const json& index) {
            return names.at(index.get<std::size_t>());
        };
        for (const auto& row : it.at(5)) {
            result.services.push_back({.service = name(row.at(0)),
                                       .cpu_millis = row.at(1),
                                       .used_cpu_millis = row.at(2)});
        }
        for (const auto& row : it.at(6)) {
            result.drains.push_back({.service = name(row.at(0)),
                                     .priority = row.at(1),
                                     .running_cpu_millis = row.at(2),
                                     .completed_per_s = row.at(3)});
        }
        for (const auto& row : it.at(7)) {
            result.accounts.push_back({.account = name(row.at(0)),
                                       .limit_cpu_millis = row.at(1),
                                       .used_cpu_millis = row.at(2),
                                       .long_running_cpu_millis = row.at(3)});
        }
        for (const auto& row : it.at(8)) {
            result.waiting.push_back(
                {.account = name(row.at(0)),
                 .service = name(row.at(1)),
                 .order = {.beyond_share = row.at(2), .priority = row.at(3)},
                 .core_ms = row.at(4)});
        }
        return result;
    });
}

} // namespace rosemarytrail::fleet
