#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_TEAM_TABLE_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_TEAM_TABLE_HPP

#include <rosemarytrail/placement/internal/interner.hpp>
#include <rosemarytrail/placement/internal/job_table.hpp>

#include <set>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Jobs of a team that have ready tasks. */
struct team_queue
{
    std::set<queue_key> jobs;
    /** @brief Whether the queue has changed since it was last found blocked. */
    bool is_dirty{true};
    /** @brief Capacity version at which the queue was last found blocked. */
    std::uint64_t blocked_at{};
};

/** @brief State of a team: resources used and queued. */
struct team_state
{
    team_view view{};
    resources used{};
    resources queued{};
    /** @brief Share of `used` whose tasks are being stopped. */
    resources stopping{};
    /** @brief Allowance reserved for a gang that VMs drain for. */
    resources reserved{};
    /** @brief Dominant share of the fleet divided by the weight. */
    double share{};
    team_queue urgent;
    team_queue normal;
    retry_budget budget{0.0, 0.0};
    /** @brief Number of committed tasks. */
    std::uint32_t committed{};

    [[nodiscard]] team_queue& queue(bool is_urgent) noexcept
    {
        return is_urgent ? urgent : normal;
    }
};

/** @brief Teams and their weighted shares. */
class team_table
{
public:
    index intern(const team_id& team);
    [[nodiscard]] index find(const team_id& team) const
    {
        return ids_.find(team);
    }

    void upsert(const team_view& view);
    void set_fleet(const fleet_totals& totals);
    [[nodiscard]] const fleet_totals& fleet() const noexcept { return fleet_; }

    [[nodiscard]] team_state& operator[](index team) { return teams_[team]; }
    [[nodiscard]] const team_state& operator[](index team) const
    {
        return teams_[team];
    }

    [[nodiscard]] std::size_t size() const noexcept { return teams_.size(); }

    /** @brief Adds an amount, which may be negative, to the use of a team. */
    void use(index team, const resources& amount);

    /** @return Weighted share of a team with an additional amount in use. */
    [[nodiscard]] double share_with(index team, const resources& more) const;

private:
    interner<team_id> ids_;
    std::vector<team_state> teams_;
    fleet_totals fleet_{};
};

} // namespace rosemarytrail::placement::internal

#endif
