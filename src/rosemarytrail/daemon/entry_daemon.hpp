#ifndef ROSEMARYTRAIL_DAEMON_ENTRY_DAEMON_HPP
#define ROSEMARYTRAIL_DAEMON_ENTRY_DAEMON_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/settings/daemon_settings.hpp>

#include <memory>

namespace rosemarytrail::daemon {

/**
 * @brief Makes the name of a fresh incarnation, such as `zone-a-1f2e…`.
 * @param zone Availability zone of the daemon.
 * @return Name that no other incarnation has.
 */
[[nodiscard]] incarnation_id make_incarnation(const zone_id& zone);

/** @brief Everything that runs on one entry VM. */
class entry_daemon
{
public:
    /**
     * @brief Prepares a daemon; nothing runs yet.
     * @param settings Checked settings.
     * @param self Its incarnation.
     */
    entry_daemon(const settings::daemon_settings& settings,
                 const incarnation_id& self);
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;
    ~entry_daemon();

    /**
     * @brief Listens to peers and callers and starts to join the cell.
     * @param why Set if false; nothing runs then.
     * @return True if it runs.
     */
    [[nodiscard]] bool start(reason& why);

    /**
     * @brief Shuts down gracefully, within the bound of the settings.
     *
     * The daemon is not ready at once and serves until the balancer has had
     * time to see that; then it takes nothing new, hands over what it holds
     * and finishes what is in flight.
     * @return False if the bound passed first; the process should then end
     * without destroying the daemon.
     */
    [[nodiscard]] bool shut_down();

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

} // namespace rosemarytrail::daemon

#endif
