#ifndef ROSEMARYTRAIL_PLACEMENT_INTERNAL_TEAM_TABLE_HPP
#define ROSEMARYTRAIL_PLACEMENT_INTERNAL_TEAM_TABLE_HPP

#include <rosemarytrail/placement/internal/interner.hpp>
#include <rosemarytrail/placement/internal/job_table.hpp>

#include <set>
#include <vector>

namespace rosemarytrail::placement::internal {

/** @brief Queue of a team's jobs with tasks that may start. */
struct team_queue
{
    std::set<queue_key> jobs;
    /** @brief Changed since it was last found blocked. */
    bool is_dirty{true};
    /** @brief Version of the room at which it was last found blocked. */
    std::uint64_t blocked_at{};
};

/** @brief Team, what it uses and what it has queued. */
struct team_state
{
    team_view view{};
    resources used{};
    resources queued{};
    /** @brief Part of `used` whose stop was decided. */
    resources stopping{};
    /** @brief Allowance kept for a gang that holds a reservation. */
    resources reserved{};
    /** @brief Weighted dominant share of the fleet. */
    double share{};
    team_queue urgent;
    team_queue normal;
    retry_budget budget{0.0, 0.0};
    /** @brief Committed tasks. */
    std::uint32_t committed{};

    [[nodiscard]] team_queue& queue(bool is_urgent) noexcept
    {
        return is_urgent ? urgent : normal;
    }
};

/** @brief Teams and the shares that order them. */
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

    /** @brief Adds to, or takes from, what a team uses. */
    void use(index team, const resources& amount);

    /** @return Weighted share of a team if it used an amount more. */
    [[nodiscard]] double share_with(index team, const resources& more) const;

private:
    interner<team_id> ids_;
    std::vector<team_state> teams_;
    fleet_totals fleet_{};
};

} // namespace rosemarytrail::placement::internal

#endif
