#include <rosemarytrail/rpc/peer_server.hpp>

#include <rosemarytrail/rpc/internal/conversion.hpp>
#include <rosemarytrail/rpc/internal/heartbeat_codec.hpp>
#include <rosemarytrail/rpc/internal/limits.hpp>
#include <rosemarytrail/rpc/internal/socket_address.hpp>

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <utility>

namespace rosemarytrail::rpc {

namespace {

constexpr kj::Duration accept_retry_delay = 100 * kj::MILLISECONDS;

job_id read_job(capnp::Text::Reader from)
{
    return job_id{std::string{from.begin(), from.size()}};
}

/** Capability that is exported to the connection of a peer. */
class peer_capability final : public wire::Peer::Server
{
public:
    peer_capability(peer_handler& target, kj::Timer& timer,
                    std::size_t relay_bytes, metrics::counter& calls,
                    kj::TimePoint& last_call)
        : target_{target}
        , timer_{timer}
        , relay_bytes_{relay_bytes}
        , calls_{calls}
        , last_call_{last_call}
    {}

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        record_call();
        const auto params = context.getParams();
        const auto theirs = decoder_.read(params.getMine());
        if (!theirs)
            internal::fail_call("malformed heartbeat");
        const auto mine = target_.on_heartbeat(*theirs);
        if (params.getFull())
            encoder_.reset();
        encoder_.write(context.getResults().initTheirs(), mine);
        return kj::READY_NOW;
    }

    kj::Promise<void> relay(RelayContext context) override
    {
        record_call();
        const auto params = context.getParams();
        const auto bytes =
            std::min<std::uint64_t>(params.getBytes(), relay_bytes_);
        const auto entries = target_.on_relay(params.getFrom(), bytes);
        const auto size = static_cast<unsigned>(entries.size());
        internal::write(context.getResults().initEntries(size), entries);
        return kj::READY_NOW;
    }

    kj::Promise<void> status(StatusContext context) override
    {
        record_call();
        const auto value =
            target_.on_status(read_job(context.getParams().getJob()));
        auto results = context.getResults();
        results.setHeld(value.has_value());
        if (value)
            internal::write(results.initStatus(), *value);
        return kj::READY_NOW;
    }

    kj::Promise<void> cancel(CancelContext context) override
    {
        record_call();
        auto pair = kj::newPromiseAndFulfiller<control::cancel_outcome>();
        // std::function requires a copyable target, so the fulfiller is shared.
        auto fulfiller =
            std::make_shared<decltype(pair.fulfiller)>(kj::mv(pair.fulfiller));
        target_.on_cancel(read_job(context.getParams().getJob()),
                          [fulfiller](control::cancel_outcome outcome) {
                              (*fulfiller)->fulfill(kj::mv(outcome));
                          });
        return pair.promise.then(
            [context](control::cancel_outcome outcome) mutable {
                internal::write(context.getResults().initOutcome(), outcome);
            });
    }

private:
    void record_call()
    {
        last_call_ = timer_.now();
        calls_.add();
    }

    peer_handler& target_;
    kj::Timer& timer_;
    std::size_t relay_bytes_;
    metrics::counter& calls_;
    kj::TimePoint& last_call_;
    internal::heartbeat_decoder decoder_;
    internal::heartbeat_encoder encoder_;
};

} // namespace

struct peer_server::internal_state final : kj::TaskSet::ErrorHandler
{
    /** Connection of a peer. */
    struct connection
    {
        connection(internal_state& owner, kj::Own<kj::AsyncIoStream> socket)
            : server{owner}
            , last_call{owner.timer.now()}
            , stream{kj::mv(socket)}
            , network{*stream, capnp::rpc::twoparty::Side::SERVER,
                      internal::reader_options(owner.options.message_bytes)}
            , system{capnp::makeRpcServer(
                  network,
                  wire::Peer::Client{kj::heap<peer_capability>(
                      owner.target, owner.timer, owner.options.relay_bytes,
                      owner.calls, last_call)})}
        {
            system.setFlowLimit(owner.options.message_bytes /
                                sizeof(capnp::word));
            ++server.open;
        }

        connection(const connection&) = delete;
        connection& operator=(const connection&) = delete;

        ~connection() { --server.open; }

        kj::Promise<void> idle()
        {
            const auto limit =
                server.options.idle_timeout.count() * kj::MICROSECONDS;
            return server.timer.atTime(last_call + limit)
                .then([this, limit]() -> kj::Promise<void> {
                    if (server.timer.now() - last_call < limit)
                        return idle();
                    return kj::READY_NOW;
                });
        }

        internal_state& server;
        kj::TimePoint last_call;
        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyVatNetwork network;
        capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    };

    internal_state(peer_server_options how, kj::Network& net, kj::Timer& clock,
                   peer_handler& handler, metrics::registry& metrics)
        : options{std::move(how)}
        , network{net}
        , timer{clock}
        , target{handler}
        , calls{metrics.make_counter("rosemarytrail_peer_calls_served_total",
                                     "Calls of peers that arrived here.")}
        , faults{metrics.make_counter(
              "rosemarytrail_peer_connection_faults_total",
              "Connections of peers that ended with a fault.")}
        , refused{metrics.make_counter(
              "rosemarytrail_peer_connections_refused_total",
              "Connections of peers closed because there were too many.")}
    {}

    void taskFailed(kj::Exception&&) override { faults.add(); }

    void accept_next()
    {
        tasks->add(receiver->accept().then(
            [this](kj::Own<kj::AsyncIoStream> socket) {
                serve(kj::mv(socket));
                accept_next();
            },
            [this](kj::Exception&&) {
                faults.add();
                tasks->add(timer.afterDelay(accept_retry_delay).then([this] {
                    accept_next();
                }));
            }));
    }

    void serve(kj::Own<kj::AsyncIoStream> socket)
    {
        if (open >= options.connections) {
            refused.add();
            return;
        }
        auto it = kj::heap<connection>(*this, kj::mv(socket));
        auto ended = it->network.onDisconnect().exclusiveJoin(it->idle());
        tasks->add(ended.attach(kj::mv(it)));
    }

    peer_server_options options;
    kj::Network& network;
    kj::Timer& timer;
    peer_handler& target;
    metrics::counter& calls;
    metrics::counter& faults;
    metrics::counter& refused;
    std::size_t open{0};
    kj::Own<kj::ConnectionReceiver> receiver;
    std::unique_ptr<kj::TaskSet> tasks{std::make_unique<kj::TaskSet>(*this)};
};

peer_server::peer_server(peer_server_options options, kj::Network& network,
                         kj::Timer& timer, peer_handler& target,
                         metrics::registry& metrics)
    : state_{std::make_unique<internal_state>(std::move(options), network,
                                              timer, target, metrics)}
{}

peer_server::~peer_server() = default;

std::optional<std::uint16_t> peer_server::start(reason& why)
{
    const auto& options = state_->options;
    const auto address =
        internal::make_socket_address(options.address, options.port);
    if (!address) {
        why = {.code = result_code::unreachable,
               .detail = "not an IP address: " + options.address};
        return std::nullopt;
    }
    try {
        state_->receiver =
            state_->network.getSockaddr(&address->storage, address->size)
                ->listen();
    } catch (const kj::Exception& ec) {
        why = {.code = result_code::unreachable,
               .detail = "cannot listen on " + options.address + ":" +
                         std::to_string(options.port) + ": " +
                         ec.getDescription().cStr()};
        return std::nullopt;
    }
    state_->accept_next();
    return static_cast<std::uint16_t>(state_->receiver->getPort());
}

void peer_server::stop()
{
    state_->tasks = std::make_unique<kj::TaskSet>(*state_);
    state_->receiver = nullptr;
}

std::size_t peer_server::connections() const noexcept
{
    return state_->open;
}

} // namespace rosemarytrail::rpc
