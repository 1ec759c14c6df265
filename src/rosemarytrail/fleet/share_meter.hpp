#ifndef ROSEMARYTRAIL_FLEET_SHARE_METER_HPP
#define ROSEMARYTRAIL_FLEET_SHARE_METER_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/cell_config.hpp>

#include <map>
#include <string>

namespace rosemarytrail::fleet {

/**
 * @brief Compares the submission rate of each client account with its weight.
 *
 * Detects accounts that exceed their share: each has a leaky bucket that drains
 * at the account's weight in jobs per second.
 */
class share_meter
{
public:
    /**
     * @brief Records an accepted job.
     * @param account Account that submitted it.
     * @param weight Share of the account in jobs per second; not above zero
     * means no share is set.
     * @param now Current time.
     */
    void record(const std::string& account, double weight, time_point now);

    /**
     * @brief Checks whether one more job would exceed the share.
     * @param account Account.
     * @param weight Share of the account in jobs per second; not above zero
     * means no share is set.
     * @param now Current time.
     * @return True if the share would be exceeded; false if none is set.
     */
    [[nodiscard]] bool beyond(const std::string& account, double weight,
                              time_point now) const;

private:
    struct bucket
    {
        double used{};
        time_point at;
    };

    /** @return Fill level of the bucket at the given time, in jobs. */
    [[nodiscard]] static double level(const bucket& it, double weight,
                                      time_point now) noexcept;

    std::map<std::string, bucket> buckets_;
};

} // namespace rosemarytrail::fleet

#endif
