#ifndef ROSEMARYTRAIL_CONTROL_CLAIM_POLICY_HPP
#define ROSEMARYTRAIL_CONTROL_CLAIM_POLICY_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace rosemarytrail::control {

/** @brief Condition of the holder of a partition. */
enum class holder_condition : std::uint8_t
{
    /** @brief The partition has never been claimed. */
    none,
    /** @brief This process holds the partition. */
    self,
    /** @brief The holder responds and is not shutting down. */
    alive,
    /** @brief The holder responds and is shutting down. */
    draining,
    /** @brief The holder is unresponsive or has left the cell. */
    unavailable
};

/** @brief Delays that limit how often partitions change their holder. */
struct claim_options
{
    /** @brief Delay before claiming a partition from a live holder. */
    duration rebalance_after{std::chrono::seconds{5}};
    /** @brief Delay before claiming from an unresponsive holder. */
    duration takeover_after{std::chrono::milliseconds{500}};
    /** @brief Takeover delay while no majority of the members is reachable. */
    duration isolated_after{std::chrono::seconds{20}};
};

/**
 * @brief Decides when to claim a partition that this process should hold.
 *
 * A partition that is wanted only briefly, for example while a member flaps,
 * is not claimed. Partitions of live holders are claimed one at a time, at
 * least `takeover_after` apart; those without a holder or with a draining one
 * are claimed without delay.
 */
class claim_policy
{
public:
    /** @param options Delays of the policy. */
    explicit claim_policy(const claim_options& options) noexcept
        : options_{options}
    {}

    /**
     * @brief Updates the condition of a partition.
     * @param partition The partition.
     * @param wanted Whether this process should hold it.
     * @param holder Condition of its holder.
     * @param majority Whether a majority of the members is reachable.
     * @param now Current time.
     * @return True if the process should claim it now.
     */
    [[nodiscard]] bool should_claim(partition_id partition, bool wanted,
                                    holder_condition holder, bool majority,
                                    time_point now);

    /**
     * @brief Records that a claim was submitted or completed.
     * @param partition The partition.
     * @param pending Whether the claim is in flight.
     */
    void set_pending(partition_id partition, bool pending);

private:
    [[nodiscard]] duration claim_delay(holder_condition holder,
                                       bool majority) const noexcept;

    claim_options options_;
    std::map<partition_id, time_point> wanted_since_;
    std::map<partition_id, holder_condition> last_;
    std::set<partition_id> pending_;
    time_point last_rebalance_{};
};

} // namespace rosemarytrail::control

#endif
