#ifndef ROSEMARYTRAIL_FLEET_SHARE_METER_HPP
#define ROSEMARYTRAIL_FLEET_SHARE_METER_HPP

#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/fleet/cell_config.hpp>

#include <map>
#include <string>

namespace rosemarytrail::fleet {

/**
 * @brief Measures what each client account sends against its weight.
 *
 * Answers one account that sends many times its share: a bucket of tokens that
 * fills by the account's weight in jobs a second.
 */
class share_meter
{
public:
    /**
     * @brief Notes an accepted job.
     * @param account Account that sent it.
     * @param weight Its jobs a second; not above zero means no share is set.
     * @param now Present time.
     */
    void note(const std::string& account, double weight, time_point now);

    /**
     * @brief Tells whether one more job would be beyond the share.
     * @param account Account.
     * @param weight Its jobs a second; not above zero means no share is set.
     * @param now Present time.
     * @return True if so.
     */
    [[nodiscard]] bool beyond(const std::string& account, double weight,
                              time_point now) const;

private:
    struct bucket
    {
        double used{};
        time_point at;
    };

    /** @return Jobs of the bucket that are not worked off by now. */
    [[nodiscard]] static double level(const bucket& it, double weight,
                                      time_point now) noexcept;

    std::map<std::string, bucket> buckets_;
};

} // namespace rosemarytrail::fleet

#endif
