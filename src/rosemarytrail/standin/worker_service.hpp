#ifndef ROSEMARYTRAIL_STANDIN_WORKER_SERVICE_HPP
#define ROSEMARYTRAIL_STANDIN_WORKER_SERVICE_HPP

#include <rosemarytrail/backends/vm_list_client.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/http/client.hpp>
#include <rosemarytrail/http/server.hpp>
#include <rosemarytrail/standin/delay_queue.hpp>
#include <rosemarytrail/standin/upstream_service.hpp>
#include <rosemarytrail/standin/worker_model.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarytrail::standin {

/** @brief Worker and upstream of one VM. */
class hosted_vm
{
public:
    /**
     * @brief Makes a VM on which nothing runs.
     * @param row Its row in the VM list.
     * @param options How its worker is built.
     * @param runs Counts the runs of requests.
     * @param delays Holds answers back; is stopped before this ends.
     */
    hosted_vm(backends::vm_entry row, const worker_options& options,
              shared_run_counter& runs, delay_queue& delays);

    /**
     * @brief Serves the command interface.
     * @param it Exchange to answer.
     * @param path Path below the prefix of the VM.
     */
    void serve_command(const std::shared_ptr<http::exchange>& it,
                       std::string_view path);

    /**
     * @brief Serves requests to the services whose tasks run here.
     * @param it Exchange to answer.
     * @param path Path below the prefix of the VM.
     */
    void serve_request(const std::shared_ptr<http::exchange>& it,
                       std::string_view path);

    /** @param faults What goes wrong with the worker from now on. */
    void set_faults(const worker_faults& faults);

    /** @return Row for the VM list. */
    [[nodiscard]] backends::vm_entry row();

private:
    void apply(const std::shared_ptr<http::exchange>& it);
    [[nodiscard]] bool serves(const service_id& service);

    std::mutex lock_;
    backends::vm_entry row_;
    worker_model model_;
    upstream_service upstream_;
    delay_queue& delays_;
};

/**
 * @brief VMs of one process.
 *
 * A single VM is served at the root; of several, each below `/<vm>`.
 */
class vm_host
{
public:
    /**
     * @brief Adds a VM; only before requests come.
     * @param row Row of the VM list.
     * @param options How the worker is built.
     * @param faults What goes wrong from the start.
     */
    void add(const backends::vm_entry& row, const worker_options& options,
             const worker_faults& faults);

    /** @return All VMs. */
    [[nodiscard]] const std::vector<std::unique_ptr<hosted_vm>>&
    vms() const noexcept
    {
        return vms_;
    }

    /**
     * @brief Finds the VM that a path belongs to.
     * @param path Path of a request; the prefix is taken off.
     * @return The VM, or null.
     */
    [[nodiscard]] hosted_vm* find(std::string_view& path) const;

private:
    shared_run_counter runs_;
    std::vector<std::unique_ptr<hosted_vm>> vms_;
    std::map<std::string, hosted_vm*, std::less<>> by_prefix_;
    // Ends first, so that nothing held back reaches a VM that is gone.
    delay_queue delays_;
};

/** @brief Passes requests to the VM of a host that the path names. */
class host_handler final : public http::handler
{
public:
    /** @brief Member function of a VM that serves a request. */
    using function = void (hosted_vm::*)(const std::shared_ptr<http::exchange>&,
                                         std::string_view);

    /**
     * @brief Makes a handler.
     * @param host VMs; outlives this.
     * @param serve How a VM serves the request.
     */
    host_handler(const vm_host& host, function serve) noexcept
        : host_{host}
        , serve_{serve}
    {}

    std::optional<http::response> on_head(const http::request& head) override;
    void on_request(std::shared_ptr<http::exchange> it) override;

private:
    const vm_host& host_;
    function serve_;
};

/** @brief Keeps the VMs of a host in the VM list. */
class vm_registration
{
public:
    /**
     * @brief Makes a registration that has not sent anything.
     * @param host VMs; outlives this, as the client does.
     * @param client Sends the requests.
     * @param vm_list_url Base address of the VM list.
     */
    vm_registration(const vm_host& host, http::client& client,
                    std::string vm_list_url);

    /** @brief Sends the rows of all VMs; waits for the answers. */
    void send();

    /** @brief Strikes all VMs off; waits for the answers. */
    void withdraw();

private:
    using make_request = std::function<http::client_request(
        const backends::vm_entry&, std::string)>;

    void send_all(const make_request& make);

    const vm_host& host_;
    http::client& client_;
    std::string vm_list_url_;
};

} // namespace rosemarytrail::standin

#endif
