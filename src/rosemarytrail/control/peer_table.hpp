#ifndef ROSEMARYTRAIL_CONTROL_PEER_TABLE_HPP
#define ROSEMARYTRAIL_CONTROL_PEER_TABLE_HPP

#include <rosemarytrail/control/peer_network.hpp>
#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/time.hpp>

#include <cstdint>
#include <map>
#include <set>

namespace rosemarytrail::control {

/** @brief What is known of one peer. */
struct peer_view
{
    /** @brief Its newest heartbeat. */
    heartbeat last{};
    /** @brief When it was last heard. */
    time_point heard{};
    /** @brief When this process first knew of it. */
    time_point known{};
    bool ever_heard{false};
    bool call_in_flight{false};
    time_point next_call{};
};

/** @brief Peers and their newest heartbeats. */
class peer_table
{
public:
    /**
     * @brief Makes an empty table.
     * @param timeout Silence after which a peer counts as dead.
     */
    explicit peer_table(duration timeout) noexcept
        : timeout_{timeout}
    {}

    /**
     * @brief Keeps an entry for each member but oneself and drops others.
     * @param members Members of the cell.
     * @param self This process.
     * @param now Present time.
     */
    void follow_members(const std::set<incarnation_id>& members,
                        const incarnation_id& self, time_point now);

    /**
     * @brief Notes a heartbeat, sent or answered.
     * @param value The heartbeat.
     * @param now Present time.
     */
    void heard(const heartbeat& value, time_point now);

    /**
     * @brief Tells whether a peer is alive.
     * @param member Peer to ask about.
     * @param now Present time.
     * @return True if it was heard within the timeout.
     */
    [[nodiscard]] bool alive(const incarnation_id& member,
                             time_point now) const;

    /**
     * @brief Tells how long a peer has been silent.
     * @param member Peer to ask about.
     * @param now Present time.
     * @return Time since it was heard, or known if it never was.
     */
    [[nodiscard]] duration silent_for(const incarnation_id& member,
                                      time_point now) const;

    /**
     * @brief Newest offset that a peer is known to have applied.
     * @param member Peer, also one that has left.
     * @return Offset after that entry; zero if it was never heard.
     */
    [[nodiscard]] std::uint64_t applied_by(const incarnation_id& member) const;

    /**
     * @brief Live peers that are not shutting down.
     * @param now Present time.
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
