#ifndef ROSEMARYTRAIL_FLEET_ADVICE_RESERVE_HPP
#define ROSEMARYTRAIL_FLEET_ADVICE_RESERVE_HPP

#include <rosemarytrail/fleet/job.hpp>

#include <cstddef>
#include <map>
#include <string>

namespace rosemarytrail::fleet {

/**
 * @brief Selects the steps without available capacity that are to hold tickets.
 *
 * Capacity that is released is used at once only by steps that hold tickets
 * already. About as much as the whole capacity is released while tickets are
 * valid, so more waiting work than that cannot use them; for an account, the
 * same holds for its limit.
 */
class advice_reserve
{
public:
    /** @param capacity Capacity of the cell. */
    explicit advice_reserve(const resource_amounts& capacity)
        : capacity_{capacity}
    {}

    /**
     * @brief Adds the next step in the order of service.
     * @param account Client account of the step.
     * @param limit Limit of the account; zero is unlimited.
     * @param demand Resources of a task.
     * @param tasks Number of waiting tasks.
     * @return True if the step is to hold tickets; false if the steps before it
     * can use all that is released.
     */
    bool add(const std::string& account, const resource_amounts& limit,
             const resource_amounts& demand, std::size_t tasks);

private:
    resource_amounts capacity_;
    resource_amounts total_;
    std::map<std::string, resource_amounts> by_account_;
};

} // namespace rosemarytrail::fleet

#endif
