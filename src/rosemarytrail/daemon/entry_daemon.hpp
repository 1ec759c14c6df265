#ifndef ROSEMARYTRAIL_DAEMON_ENTRY_DAEMON_HPP
#define ROSEMARYTRAIL_DAEMON_ENTRY_DAEMON_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/settings/daemon_settings.hpp>

#include <memory>

namespace rosemarytrail::daemon {

/**
 * @brief Generates the name of a new incarnation, such as `zone-a-1f2e…`.
 * @param zone Availability zone of the daemon.
 * @return Unique name.
 */
[[nodiscard]] incarnation_id make_incarnation(const zone_id& zone);

/** @brief Daemon of one entry VM. */
class entry_daemon
{
public:
    /**
     * @brief Constructs a daemon that is not started.
     * @param settings Validated settings.
     * @param self Incarnation of the daemon.
     */
    entry_daemon(const settings::daemon_settings& settings,
                 const incarnation_id& self);
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;
    ~entry_daemon();

    /**
     * @brief Starts the peer and API servers and begins to join the cell.
     * @param why Reason; set only if false is returned, and nothing runs then.
     * @return True if it was started.
     */
    [[nodiscard]] bool start(reason& why);

    /**
     * @brief Shuts down gracefully within the configured timeout.
     *
     * The daemon reports unready at once and serves until the balancer has had
     * time to see that. Then it accepts no new work, hands over its partitions
     * and completes the requests in flight.
     * @return False if the timeout expired first; the process should then exit
     * without destroying the daemon.
     */
    [[nodiscard]] bool shut_down();

private:
    struct internal_state;
    std::unique_ptr<internal_state> state_;
};

} // namespace rosemarytrail::daemon

#endif
