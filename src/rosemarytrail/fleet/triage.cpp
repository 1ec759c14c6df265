#include <rosemarytrail/fleet/triage.hpp>

#include <algorithm>
#include <cmath>

namespace rosemarytrail::fleet {

namespace {

/** @brief A result within this multiple of the objective has some value. */
constexpr int useful_multiple = 3;
/** @brief A job's value, in parts that do not and that do depend on its
 * work. */
constexpr double fixed_value = 0.3;
constexpr double value_per_work = 0.7;

} // namespace

std::optional<time_point> useful_until(const triage_view& view)
{
    if (!view.objective) {
        return std::nullopt;
    }
    return view.accepted + (*view.objective - view.accepted) * useful_multiple;
}

triage_class classify(const triage_view& view, time_point now)
{
    if (!view.objective || now + view.remaining <= *view.objective) {
        return triage_class::on_time;
    }
    return now + view.remaining <= *useful_until(view) ? triage_class::late
                                                       : triage_class::overdue;
}

time_point latest_start(const triage_view& view, triage_class its_class)
{
    if (!view.objective) {
        return time_point::max();
    }
    const auto end = its_class == triage_class::on_time ? *view.objective
                                                        : *useful_until(view);
    return end - view.remaining;
}

double value_of(double relative_work)
{
    return fixed_value + value_per_work * relative_work;
}

double overload_key(overload_order order, const triage_view& view)
{
    switch (order) {
    case overload_order::shortest_work:
        return view.remaining_work;
    case overload_order::value:
        return -value_of(view.relative_work) /
               std::max(view.remaining_work, 1.0);
    case overload_order::newest:
        return -static_cast<double>(view.accepted.time_since_epoch().count());
    default:
        return 0;
    }
}

bool exceeds_capacity(std::span<const due_work> work, double ahead,
                      double cores, time_point now)
{
    if (cores <= 0) {
        return !work.empty();
    }
    auto sum = ahead;
    return std::ranges::any_of(work, [&](const due_work& it) {
        const std::chrono::duration<double, std::milli> wait{sum / cores};
        sum += it.core_ms;
        return it.latest_start != time_point::max() &&
               now + std::chrono::duration_cast<duration>(wait) >
                   it.latest_start;
    });
}

} // namespace rosemarytrail::fleet
