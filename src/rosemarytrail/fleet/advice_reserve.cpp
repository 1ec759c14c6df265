#include <rosemarytrail/fleet/advice_reserve.hpp>

#include <cstdint>

namespace rosemarytrail::fleet {

namespace {

/** @return True if the amounts reach a bound; zero bounds nothing. */
[[nodiscard]] bool reaches(const resource_amounts& amounts,
                           const resource_amounts& bound)
{
    const auto reached = [](std::int64_t amount, std::int64_t most) {
        return most > 0 && amount >= most;
    };
    return reached(amounts.cpu_millis, bound.cpu_millis) ||
           reached(amounts.memory_mb, bound.memory_mb) ||
           reached(amounts.gpus, bound.gpus);
}

} // namespace

bool advice_reserve::add(const std::string& account,
                         const resource_amounts& limit,
                         const resource_amounts& demand, std::size_t tasks)
{
    auto& of_account = by_account_[account];
    if (reaches(total_, capacity_) || reaches(of_account, limit)) {
        return false;
    }
    const auto n = static_cast<std::int64_t>(tasks);
    const resource_amounts work{.cpu_millis = demand.cpu_millis * n,
                                .memory_mb = demand.memory_mb * n,
                                .gpus = demand.gpus * n};
    of_account += work;
    total_ += work;
    return true;
}

} // namespace rosemarytrail::fleet
