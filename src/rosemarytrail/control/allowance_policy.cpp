#include <rosemarytrail/control/allowance_policy.hpp>

#include <algorithm>

namespace rosemarytrail::control {

namespace {

[[nodiscard]] resources at_least_zero(const resources& it) noexcept
{
    return {std::max<std::int64_t>(0, it.millicores),
            std::max<std::int64_t>(0, it.memory_mib),
            std::max<std::int64_t>(0, it.accelerators)};
}

[[nodiscard]] resources lacking(const allowance_view& it) noexcept
{
    return at_least_zero(it.used + it.queued - it.allowance);
}

[[nodiscard]] std::int64_t weight(const resources& it) noexcept
{
    constexpr std::int64_t accelerator_weight = 1000;
    return it.millicores + it.memory_mib + accelerator_weight * it.accelerators;
}

} // namespace

std::optional<allowance_transfer>
choose_transfer(const allowance_view& mine, std::span<const allowance_view> all)
{
    const auto spare = at_least_zero(mine.allowance - mine.used - mine.queued);
    if (spare.is_zero()) {
        return std::nullopt;
    }
    std::optional<allowance_transfer> best;
    for (const auto& it : all) {
        if (it.partition == mine.partition) {
            continue;
        }
        const auto amount = component_min(spare, lacking(it));
        if (!amount.is_zero() &&
            (!best || weight(amount) > weight(best->amount))) {
            best = allowance_transfer{.to = it.partition, .amount = amount};
        }
    }
    return best;
}

} // namespace rosemarytrail::control
