#include <rosemarytrail/daemon/control_plane.hpp>

#include <rosemarytrail/daemon/posting_clients.hpp>
#include <rosemarytrail/logging/log.hpp>
#include <rosemarytrail/rpc/peer_handler.hpp>

#include <utility>

namespace rosemarytrail::daemon {

namespace {

/** Interval between publications of the live members. */
constexpr duration live_period{std::chrono::milliseconds{500}};

/** Handles the RPCs of peers with the controller. */
class controller_peer_handler final : public rpc::peer_handler
{
public:
    controller_peer_handler(control::controller& target,
                            const time_source& clock)
        : target_{target}
        , clock_{clock}
    {}

    control::heartbeat on_heartbeat(const control::heartbeat& theirs) override
    {
        return target_.on_heartbeat(theirs, clock_.now());
    }

    std::vector<backends::log_entry> on_relay(std::uint64_t from,
                                              std::size_t bytes) override
    {
        return target_.relay(from, bytes);
    }

    std::optional<control::job_status> on_status(const job_id& job) override
    {
        return target_.local_status(job, clock_.now());
    }

    void on_cancel(const job_id& job,
                   std::function<void(control::cancel_outcome)> done) override
    {
        target_.local_cancel(job, std::move(done));
    }

private:
    control::controller& target_;
    const time_source& clock_;
};

logging::level weight_of(result_code code)
{
    return code == result_code::ok ? logging::level::info
                                   : logging::level::warning;
}

} // namespace

/** Objects that are owned by the control thread. */
class control_plane::loop final : public control_loop
{
public:
    loop(control_plane& owner, kj::AsyncIoContext& context)
        : owner_{owner}
        , log_{owner.ports_.log, owner.thread_}
        , vms_{owner.ports_.vms, owner.thread_}
        , workers_{owner.ports_.workers, owner.thread_}
        , client_{owner.options_.peer_client, context.provider->getNetwork(),
                  context.provider->getTimer(), owner.ports_.metrics}
        , controller_{owner.options_.controller, make_ports()}
        , handler_{controller_, owner.ports_.clock}
        , server_{owner.options_.peer_server, context.provider->getNetwork(),
                  context.provider->getTimer(), handler_, owner.ports_.metrics}
    {}

    ~loop() override
    {
        server_.stop();
        // Its responses go to the controller, which must outlive it.
        client_.stop();
    }

    [[nodiscard]] bool listen(reason& why)
    {
        return server_.start(why).has_value();
    }

    void tick(time_point now) override
    {
        controller_.tick(now);
        auto& view = owner_.ports_.view;
        view.set_readiness(controller_.not_ready(now), now);
        if (now >= next_live_) {
            next_live_ = now + live_period;
            publish_live();
        }
        owner_.shutdown_complete_ = controller_.shutdown_complete();
        if (owner_.ports_.ticked)
            owner_.ports_.ticked(now);
    }

    [[nodiscard]] control::controller& target() noexcept { return controller_; }

private:
    control::controller_ports make_ports()
    {
        auto routing =
            [this](std::shared_ptr<const request::routing_table> table) {
                owner_.ports_.view.set_table(table);
                owner_.ports_.routing(std::move(table));
            };
        auto changed = [](result_code code, const std::string& text) {
            logging::change(weight_of(code), code, text);
        };
        return {.log = log_,
                .vms = vms_,
                .workers = workers_,
                .peers = client_,
                .clock = owner_.ports_.clock,
                .metrics = owner_.ports_.metrics,
                .routing = std::move(routing),
                .changed = std::move(changed)};
    }

    void publish_live()
    {
        std::set<incarnation_id> live;
        for (const auto& it : controller_.view().members) {
            if (it.alive)
                live.insert(it.member);
        }
        live.insert(owner_.options_.controller.self);
        owner_.ports_.view.set_live(std::move(live));
    }

    control_plane& owner_;
    posting_log_client log_;
    posting_vm_list_client vms_;
    posting_worker_client workers_;
    rpc::peer_client client_;
    control::controller controller_;
    controller_peer_handler handler_;
    rpc::peer_server server_;
    time_point next_live_{};
};

control_plane::control_plane(control_plane_options options,
                             control_plane_ports ports)
    : options_{std::move(options)}
    , ports_{std::move(ports)}
    , thread_{options_.thread, ports_.clock, ports_.metrics}
{}

control_plane::~control_plane()
{
    stop();
}

bool control_plane::start(reason& why)
{
    const auto make = [this](kj::AsyncIoContext& context,
                             reason& ec) -> std::unique_ptr<control_loop> {
        auto made = std::make_unique<loop>(*this, context);
        if (!made->listen(ec))
            return nullptr;
        loop_ = made.get();
        return made;
    };
    return thread_.start(make, why);
}

bool control_plane::post(call it)
{
    return thread_.post([this, it = std::move(it)] {
        it(loop_->target(), ports_.clock.now());
    });
}

void control_plane::begin_shutdown()
{
    thread_.deliver(
        [this] { loop_->target().begin_shutdown(ports_.clock.now()); });
}

bool control_plane::shutdown_complete() const noexcept
{
    return shutdown_complete_;
}

void control_plane::stop()
{
    thread_.stop();
}

} // namespace rosemarytrail::daemon
