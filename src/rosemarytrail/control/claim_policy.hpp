#ifndef ROSEMARYTRAIL_CONTROL_CLAIM_POLICY_HPP
#define ROSEMARYTRAIL_CONTROL_CLAIM_POLICY_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace rosemarytrail::control {

/** @brief What the policy knows of the holder of a partition. */
enum class holder_condition : std::uint8_t
{
    /** @brief Nobody ever claimed the partition. */
    none,
    /** @brief This process holds it. */
    self,
    /** @brief It answers and goes on. */
    alive,
    /** @brief It answers and is shutting down. */
    draining,
    /** @brief It is silent or has left. */
    gone
};

/** @brief Spans that damp the movement of partitions. */
struct claim_options
{
    /** @brief How long a partition of a live holder must be wanted. */
    duration rebalance_after{std::chrono::seconds{5}};
    /** @brief How long a silent holder's partition must be wanted. */
    duration takeover_after{std::chrono::milliseconds{500}};
    /** @brief The same while fewer than a majority of members is heard. */
    duration isolated_after{std::chrono::seconds{20}};
};

/**
 * @brief Decides when to claim a partition that this process should hold.
 *
 * A partition that is wanted only for a moment, as with a flapping member, is
 * not claimed; of a live holder only one at a time.
 */
class claim_policy
{
public:
    /** @param options Spans of the policy. */
    explicit claim_policy(const claim_options& options) noexcept
        : options_{options}
    {}

    /**
     * @brief Notes what is known of a partition.
     * @param partition The partition.
     * @param wanted Whether this process should hold it.
     * @param holder What is known of its holder.
     * @param majority Whether a majority of the members is heard.
     * @param now Present time.
     * @return True if the process should claim it now.
     */
    [[nodiscard]] bool should_claim(partition_id partition, bool wanted,
                                    holder_condition holder, bool majority,
                                    time_point now);

    /**
     * @brief Notes that a claim was written or came back.
     * @param partition The partition.
     * @param pending Whether the claim is on its way.
     */
    void set_pending(partition_id partition, bool pending);

private:
    [[nodiscard]] duration patience(holder_condition holder,
                                    bool majority) const noexcept;

    claim_options options_;
    std::map<partition_id, time_point> wanted_since_;
    std::map<partition_id, holder_condition> last_;
    std::set<partition_id> pending_;
    time_point last_rebalance_{};
};

} // namespace rosemarytrail::control

#endif
