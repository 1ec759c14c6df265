#ifndef ROSEMARYTRAIL_STATE_FRESHNESS_HPP
#define ROSEMARYTRAIL_STATE_FRESHNESS_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rosemarytrail::state {

/** @brief Durations of the wait-out rule; must be equal on all members. */
struct freshness_options
{
    /** @brief Period H: age at which evidence of freshness expires. */
    duration news_period{std::chrono::seconds{3}};
    /** @brief Maximum lifetime of a command token on a worker. */
    duration command_bound{std::chrono::seconds{2}};
    /** @brief Lease duration of a task. */
    duration task_lease{std::chrono::seconds{10}};
    /** @brief Margin for clock drift over the whole wait. */
    duration drift_margin{std::chrono::milliseconds{500}};
};

/**
 * @brief Tracks whether this process may act as a holder.
 *
 * It may act if, within the last `news_period`, it read the tail of the log, or
 * enough peers responded to form, with itself, a majority of its region.
 * Evidence counts from the time its request was sent, and only once the log is
 * applied locally up to the reported offset.
 */
class freshness
{
public:
    /** @param options Durations of the rule. */
    explicit freshness(const freshness_options& options);

    /**
     * @brief Records that the tail of the log was read.
     * @param requested_at Time when the read request was sent.
     * @param next_offset Offset after the last entry of the log.
     */
    void log_tail_read(time_point requested_at, std::uint64_t next_offset);

    /**
     * @brief Records a response of a peer.
     * @param peer Peer that responded.
     * @param requested_at Time when the request was sent.
     * @param next_offset Offset up to which the peer has applied the log.
     */
    void peer_responded(const incarnation_id& peer, time_point requested_at,
                        std::uint64_t next_offset);

    /**
     * @brief Discards the evidence of peers that are no longer members.
     * @param members Current members of the region.
     */
    void keep_only(const std::set<incarnation_id>& members);

    /**
     * @brief Checks whether the process may start tasks and renew leases.
     * @param self This process.
     * @param members Members of the region, including this process.
     * @param applied Offset after the last entry applied locally.
     * @param now Current time.
     * @return True if the evidence is fresh enough.
     */
    [[nodiscard]] bool may_act(const incarnation_id& self,
                               const std::set<incarnation_id>& members,
                               std::uint64_t applied, time_point now) const;

    /**
     * @brief Returns when `may_act` becomes false without further evidence.
     * @param self This process.
     * @param members Members of the region, including this process.
     * @param applied Offset after the last entry applied locally.
     * @return Time when the evidence expires; the clock's epoch if there is
     * none, `time_point::max()` if the process is the region's only member.
     */
    [[nodiscard]] time_point acts_until(const incarnation_id& self,
                                        const std::set<incarnation_id>& members,
                                        std::uint64_t applied) const;

private:
    /** @brief Response that proves freshness once its offset is applied. */
    struct evidence
    {
        time_point requested_at{};
        std::uint64_t next_offset{};
    };
    /** @brief Evidence of one source, ascending by request time and offset. */
    using evidence_list = std::vector<evidence>;

    static void add(evidence_list& list, const evidence& value);
    [[nodiscard]] static std::optional<time_point>
    newest(const evidence_list& list, std::uint64_t applied);

    freshness_options options_;
    evidence_list log_;
    std::map<incarnation_id, evidence_list> peers_;
};

} // namespace rosemarytrail::state

#endif
