#ifndef ROSEMARYTRAIL_DAEMON_CONTROL_PLANE_HPP
#define ROSEMARYTRAIL_DAEMON_CONTROL_PLANE_HPP

#include <rosemarytrail/backends/log_client.hpp>
#include <rosemarytrail/backends/vm_list_client.hpp>
#include <rosemarytrail/backends/worker_client.hpp>
#include <rosemarytrail/control/controller.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time_source.hpp>
#include <rosemarytrail/daemon/control_thread.hpp>
#include <rosemarytrail/daemon/controller_access.hpp>
#include <rosemarytrail/daemon/shared_view.hpp>
#include <rosemarytrail/rpc/peer_client.hpp>
#include <rosemarytrail/rpc/peer_server.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace rosemarytrail::daemon {

/** @brief Options of the control plane of a daemon. */
struct control_plane_options
{
    control::controller_options controller{};
    rpc::peer_server_options peer_server{};
    rpc::peer_client_options peer_client{};
    control_thread_options thread{};
};

/** @brief Dependencies of the control plane; all outlive it. */
struct control_plane_ports
{
    backends::log_client& log;
    backends::vm_list_client& vms;
    backends::worker_client& workers;
    const time_source& clock;
    metrics::registry& metrics;
    /** @brief Receives the snapshots that traffic threads read. */
    shared_view& view;
    /** @brief Receives each routing table, on the control thread. */
    std::function<void(std::shared_ptr<const request::routing_table>)> routing;
    /** @brief Called at each tick, on the control thread. */
    std::function<void(time_point)> ticked;
};

/** @brief Control thread that runs the controller and the peer RPC. */
class control_plane final : public controller_access
{
public:
    /**
     * @brief Constructs a control plane that is not started.
     * @param options Options.
     * @param ports Dependencies; their callbacks may run on any thread.
     */
    control_plane(control_plane_options options, control_plane_ports ports);
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;
    ~control_plane() override;

    /**
     * @brief Starts the control thread and the peer server.
     * @param why Reason; set only if false is returned.
     * @return True if it was started.
     */
    [[nodiscard]] bool start(reason& why);

    [[nodiscard]] bool post(call it) override;

    /** @brief Starts to release all partitions and leave the cell. */
    void begin_shutdown();

    /** @return True once no partition is held and the cell has been left. */
    [[nodiscard]] bool shutdown_complete() const noexcept;

    /** @brief Stops the control thread. */
    void stop();

private:
    class loop;

    control_plane_options options_;
    control_plane_ports ports_;
    control_thread thread_;
    /** Owned by the control thread; set while the thread runs. */
    loop* loop_{nullptr};
    std::atomic<bool> shutdown_complete_{false};
};

} // namespace rosemarytrail::daemon

#endif
