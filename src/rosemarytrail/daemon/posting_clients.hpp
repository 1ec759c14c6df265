#ifndef ROSEMARYTRAIL_DAEMON_POSTING_CLIENTS_HPP
#define ROSEMARYTRAIL_DAEMON_POSTING_CLIENTS_HPP

#include <rosemarytrail/backends/log_client.hpp>
#include <rosemarytrail/backends/vm_list_client.hpp>
#include <rosemarytrail/backends/worker_client.hpp>
#include <rosemarytrail/daemon/control_thread.hpp>

#include <functional>
#include <string>

namespace rosemarytrail::daemon {

/** @brief Log client whose callbacks run on the control thread. */
class posting_log_client final : public backends::log_client
{
public:
    /**
     * @brief Wraps a client.
     * @param target Client to wrap; outlives this one.
     * @param control Thread for the callbacks; outlives the target.
     */
    posting_log_client(backends::log_client& target, control_thread& control)
        : target_{target}
        , control_{control}
    {}

    void append(std::string stream, std::string payload,
                std::function<void(backends::append_outcome)> done) override
    {
        target_.append(std::move(stream), std::move(payload),
                       deliver_on(control_, std::move(done)));
    }

    void read(backends::read_options options,
              std::function<void(backends::read_outcome)> done) override
    {
        target_.read(std::move(options), deliver_on(control_, std::move(done)));
    }

private:
    backends::log_client& target_;
    control_thread& control_;
};

/** @brief VM list client whose callbacks run on the control thread. */
class posting_vm_list_client final : public backends::vm_list_client
{
public:
    /** @copydoc posting_log_client::posting_log_client */
    posting_vm_list_client(backends::vm_list_client& target,
                           control_thread& control)
        : target_{target}
        , control_{control}
    {}

    void fetch(std::function<void(backends::vm_list_outcome)> done) override
    {
        target_.fetch(deliver_on(control_, std::move(done)));
    }

private:
    backends::vm_list_client& target_;
    control_thread& control_;
};

/** @brief Worker client whose callbacks run on the control thread. */
class posting_worker_client final : public backends::worker_client
{
public:
    /** @copydoc posting_log_client::posting_log_client */
    posting_worker_client(backends::worker_client& target,
                          control_thread& control)
        : target_{target}
        , control_{control}
    {}

    void send(const std::string& address, backends::worker_batch batch,
              std::function<void(backends::worker_outcome)> done) override
    {
        target_.send(address, std::move(batch),
                     deliver_on(control_, std::move(done)));
    }

private:
    backends::worker_client& target_;
    control_thread& control_;
};

} // namespace rosemarytrail::daemon

#endif
