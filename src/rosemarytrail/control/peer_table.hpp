#ifndef ROSEMARYTRAIL_CONTROL_PEER_TABLE_HPP
#define ROSEMARYTRAIL_CONTROL_PEER_TABLE_HPP

#include <rosemarytrail/control/peer_network.hpp>
#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <map>
#include <set>

namespace rosemarytrail::control {

/** @brief State of one peer. */
struct peer_view
{
    /** @brief Last heartbeat of the peer. */
    heartbeat last{};
    /** @brief Time of the last heartbeat. */
    time_point last_heartbeat{};
    /** @brief Time at which this process discovered the peer. */
    time_point known{};
    bool has_heartbeat{false};
    bool call_in_flight{false};
    time_point next_call{};
};

/** @brief Peers and their last heartbeats. */
class peer_table
{
public:
    /**
     * @brief Constructs an empty table.
     * @param timeout Time without a heartbeat after which a peer is dead.
     */
    explicit peer_table(duration timeout) noexcept
        : timeout_{timeout}
    {}

    /**
     * @brief Synchronizes the entries with the members, excluding this process.
     * @param members Members of the cell.
     * @param self Incarnation of this process.
     * @param now Current time.
     */
    void sync_members(const std::set<incarnation_id>& members,
                      const incarnation_id& self, time_point now);

    /**
     * @brief Records a heartbeat received as a request or a response.
     * @param value The heartbeat.
     * @param now Current time.
     */
    void record_heartbeat(const heartbeat& value, time_point now);

    /**
     * @brief Checks whether a peer is alive.
     * @param member Peer to look up.
     * @param now Current time.
     * @return True if a heartbeat arrived within the timeout.
     */
    [[nodiscard]] bool alive(const incarnation_id& member,
                             time_point now) const;

    /**
     * @brief Returns how long a peer has been unresponsive.
     * @param member Peer to look up.
     * @param now Current time.
     * @return Time since its last heartbeat, or since discovery if none came.
     */
    [[nodiscard]] duration unresponsive_for(const incarnation_id& member,
                                            time_point now) const;

    /**
     * @brief Returns the last offset that a peer is known to have applied.
     * @param member Peer; may have left the cell.
     * @return Offset after that entry; zero if no heartbeat ever arrived.
     */
    [[nodiscard]] std::uint64_t applied_by(const incarnation_id& member) const;

    /**
     * @brief Lists the live peers that are not shutting down.
     * @param now Current time.
     * @return Their incarnations.
     */
    [[nodiscard]] std::set<incarnation_id> working(time_point now) const;

    /** @return Peers by incarnation. */
    [[nodiscard]] std::map<incarnation_id, peer_view>& peers() noexcept
    {
        return peers_;
    }

    /** @return Peers by incarnation. */
    [[nodiscard]] const std::map<incarnation_id, peer_view>&
    peers() const noexcept
    {
        return peers_;
    }

private:
    duration timeout_;
    std::map<incarnation_id, peer_view> peers_;
    std::map<incarnation_id, std::uint64_t> applied_;
};

} // namespace rosemarytrail::control

#endif
