#include <rosemarytrail/rpc/peer_client.hpp>

#include <rosemarytrail/rpc/internal/conversion.hpp>
#include <rosemarytrail/rpc/internal/heartbeat_codec.hpp>
#include <rosemarytrail/rpc/internal/limits.hpp>
#include <rosemarytrail/rpc/internal/socket_address.hpp>

#include <capnp/rpc-twoparty.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace rosemarytrail::rpc {

namespace {

constexpr unsigned max_doublings = 10;

kj::Duration to_kj(duration value)
{
    return value.count() * kj::MICROSECONDS;
}

/** Calls a callback exactly once, on destruction at the latest. */
template <typename Result>
class once_callback
{
public:
    using callback = std::function<void(std::optional<Result>)>;

    explicit once_callback(callback done)
        : done_{std::move(done)}
    {}
    once_callback(const once_callback&) = delete;
    once_callback& operator=(const once_callback&) = delete;
    ~once_callback() { finish(std::nullopt); }

    void finish(std::optional<Result> value)
    {
        if (auto done = std::exchange(done_, nullptr))
            done(std::move(value));
    }

private:
    callback done_;
};

/** Delta state of the heartbeats in both directions of a connection. */
struct heartbeat_codec
{
    internal::heartbeat_encoder encoder;
    internal::heartbeat_decoder decoder;
};

/** Established connection to a peer. */
struct connection
{
    connection(kj::Own<kj::AsyncIoStream> socket, std::size_t bytes)
        : stream{kj::mv(socket)}
        , network{*stream, capnp::rpc::twoparty::Side::CLIENT,
                  internal::reader_options(bytes)}
        , system{capnp::makeRpcClient(network)}
        , peer{bootstrap()}
    {}

    wire::Peer::Client bootstrap()
    {
        capnp::MallocMessageBuilder message;
        auto id = message.initRoot<capnp::rpc::twoparty::VatId>();
        id.setSide(capnp::rpc::twoparty::Side::SERVER);
        return system.bootstrap(id).castAs<wire::Peer>();
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    wire::Peer::Client peer;
    /** Shared with the calls, which may outlive the connection. */
    std::shared_ptr<heartbeat_codec> codec{std::make_shared<heartbeat_codec>()};
};

/** State of the connection to one address. */
struct link
{
    /** Incremented per connection, to detect events of a previous one. */
    std::uint64_t generation{0};
    /** Resolves once `open` is set; empty if disconnected. */
    std::optional<kj::ForkedPromise<void>> ready;
    kj::Own<connection> open;
    unsigned failures{0};
    kj::TimePoint retry_at{kj::origin<kj::TimePoint>()};
    kj::TimePoint last_used{kj::origin<kj::TimePoint>()};
    std::size_t in_flight{0};
};

/** Timeout behavior of a call. */
struct call_policy
{
    duration timeout{};
    /** Whether a timeout closes the connection. */
    bool closes_on_timeout{true};
};

} // namespace

struct peer_client::internal_state final : kj::TaskSet::ErrorHandler
{
    internal_state(const peer_client_options& how, kj::Network& net,
                   kj::Timer& clock, metrics::registry& metrics)
        : options{how}
        , network{net}
        , timer{clock}
        , calls{metrics.make_counter("rosemarytrail_peer_calls_total",
                                     "Calls to peers.")}
        , failures{metrics.make_counter(
              "rosemarytrail_peer_call_failures_total",
              "Calls to peers that got no valid answer.")}
        , connects{metrics.make_counter("rosemarytrail_peer_connects_total",
                                        "Connections made to peers.")}
    {}

    void taskFailed(kj::Exception&&) override {}

    void drop_idle()
    {
        const auto limit = to_kj(options.idle_timeout);
        for (auto at = links.begin(); at != links.end();) {
            auto& it = at->second;
            const bool idle =
                it.in_flight == 0 && timer.now() - it.last_used > limit;
            if (idle)
                close(it);
            at = idle ? links.erase(at) : std::next(at);
        }
    }

    /** Defers the destruction, as this may run in an event of the connection.
     */
    void close(link& it) const
    {
        ++it.generation;
        it.ready.reset();
        if (it.open.get() == nullptr)
            return;
        tasks->add(kj::evalLater([old = kj::mv(it.open)]() {}));
    }

    void record_failure(const std::string& address, std::uint64_t generation)
    {
        const auto found = links.find(address);
        if (found == links.end() || found->second.generation != generation)
            return;
        auto& it = found->second;
        const auto doublings = std::min(it.failures, max_doublings);
        const auto wait = std::min(options.max_backoff,
                                   options.min_backoff * (1U << doublings));
        ++it.failures;
        it.retry_at = timer.now() + to_kj(wait);
        close(it);
    }

    void connected(const std::string& address, std::uint64_t generation,
                   kj::Own<kj::AsyncIoStream> stream)
    {
        const auto found = links.find(address);
        if (found == links.end() || found->second.generation != generation)
            internal::fail_call(
                "connection was closed before the call was sent");
        connects.add();
        auto& it = found->second;
        it.open = kj::heap<connection>(kj::mv(stream), options.message_bytes);
        tasks->add(
            it.open->network.onDisconnect().then([this, address, generation] {
                record_failure(address, generation);
            }));
    }

    void connect(const std::string& address,
                 const internal::socket_address& target, link& it)
    {
        const auto generation = ++it.generation;
        auto node = network.getSockaddr(&target.storage, target.size);
        auto stream = node->connect().attach(kj::mv(node));
        it.ready =
            timer.timeoutAfter(to_kj(options.call_timeout), kj::mv(stream))
                .then([this, address,
                       generation](kj::Own<kj::AsyncIoStream> socket) {
                    connected(address, generation, kj::mv(socket));
                })
                .fork();
    }

    /** Returns the link to an address and connects it if necessary; null if the
     * address is invalid, a limit is reached or the retry backoff is active. */
    link* usable_link(const std::string& address)
    {
        drop_idle();
        const auto target = internal::parse_socket_address(address);
        if (!target)
            return nullptr;
        if (!links.contains(address) && links.size() >= options.addresses)
            return nullptr;
        auto& it = links[address];
        it.last_used = timer.now();
        if (it.in_flight >= options.calls_in_flight)
            return nullptr;
        if (!it.ready) {
            if (timer.now() < it.retry_at)
                return nullptr;
            connect(address, *target, it);
        }
        return &it;
    }

    connection& open_peer(const std::string& address, std::uint64_t generation)
    {
        const auto found = links.find(address);
        const bool open = found != links.end() &&
                          found->second.generation == generation &&
                          found->second.open.get() != nullptr;
        if (!open)
            internal::fail_call(
                "connection was closed before the call was sent");
        return *found->second.open;
    }

    void call_ended(const std::string& address)
    {
        const auto found = links.find(address);
        if (found != links.end())
            --found->second.in_flight;
    }

    void call_succeeded(const std::string& address)
    {
        const auto found = links.find(address);
        if (found != links.end())
            found->second.failures = 0;
    }

    void call_failed(const std::string& address, std::uint64_t generation,
                     const kj::Exception& ec, bool closes_on_timeout)
    {
        failures.add();
        const bool timed_out = ec.getType() == kj::Exception::Type::OVERLOADED;
        const bool disconnected =
            ec.getType() == kj::Exception::Type::DISCONNECTED;
        if (disconnected || (timed_out && closes_on_timeout))
            record_failure(address, generation);
    }

    template <typename Result, typename Send>
    void call(const std::string& address, call_policy policy, Send send,
              std::function<void(std::optional<Result>)> done)
    {
        auto outcome = std::make_shared<once_callback<Result>>(std::move(done));
        if (!tasks)
            return outcome->finish(std::nullopt);
        calls.add();
        auto* it = usable_link(address);
        if (it == nullptr) {
            failures.add();
            tasks->add(
                kj::evalLater([outcome] { outcome->finish(std::nullopt); }));
            return;
        }
        ++it->in_flight;
        const auto generation = it->generation;
        auto sent = it->ready->addBranch().then(
            [this, address, generation, invoke = std::move(send)]() mutable {
                return invoke(open_peer(address, generation));
            });
        tasks->add(
            timer.timeoutAfter(to_kj(policy.timeout), kj::mv(sent))
                .then(
                    [this, address, outcome](std::optional<Result> value) {
                        call_ended(address);
                        call_succeeded(address);
                        outcome->finish(std::move(value));
                    },
                    [this, address, generation, policy,
                     outcome](kj::Exception&& ec) {
                        call_ended(address);
                        call_failed(address, generation, ec,
                                    policy.closes_on_timeout);
                        outcome->finish(std::nullopt);
                    }));
    }

    [[nodiscard]] call_policy default_policy() const noexcept
    {
        return {.timeout = options.call_timeout, .closes_on_timeout = true};
    }

    peer_client_options options;
    kj::Network& network;
    kj::Timer& timer;
    metrics::counter& calls;
    metrics::counter& failures;
    metrics::counter& connects;
    std::map<std::string, link> links;
    std::unique_ptr<kj::TaskSet> tasks{std::make_unique<kj::TaskSet>(*this)};
};

peer_client::peer_client(const peer_client_options& options,
                         kj::Network& network, kj::Timer& timer,
                         metrics::registry& metrics)
    : state_{std::make_unique<internal_state>(options, network, timer, metrics)}
{}

peer_client::~peer_client()
{
    stop();
}

void peer_client::exchange(
    const std::string& address, control::heartbeat mine,
    std::function<void(std::optional<control::heartbeat>)> done)
{
    auto send = [mine = std::move(mine)](connection& to) {
        auto request = to.peer.exchangeRequest();
        request.setFull(to.codec->decoder.needs_full());
        to.codec->encoder.write(request.initMine(), mine);
        return request.send().then(
            [codec = to.codec](auto&& results) {
                return codec->decoder.read(results.getTheirs());
            },
            [codec = to.codec](
                kj::Exception&& ec) -> std::optional<control::heartbeat> {
                // The peer may not have received the base of the next delta.
                codec->encoder.reset();
                kj::throwFatalException(kj::mv(ec));
            });
    };
    state_->call<control::heartbeat>(address, state_->default_policy(),
                                     std::move(send), std::move(done));
}

void peer_client::relay(
    const std::string& address, std::uint64_t from, std::size_t bytes,
    std::function<void(std::optional<std::vector<backends::log_entry>>)> done)
{
    auto send = [from, bytes](connection& to) {
        auto request = to.peer.relayRequest();
        request.setFrom(from);
        request.setBytes(bytes);
        return request.send().then([](auto&& results) {
            return internal::read(results.getEntries());
        });
    };
    state_->call<std::vector<backends::log_entry>>(
        address, state_->default_policy(), std::move(send), std::move(done));
}

void peer_client::status(
    const std::string& address, const job_id& job,
    std::function<void(std::optional<control::job_status>)> done)
{
    auto send = [job](connection& to) {
        auto request = to.peer.statusRequest();
        request.setJob(job.str());
        return request.send().then(
            [](auto&& results) -> std::optional<control::job_status> {
                if (!results.getHeld())
                    return std::nullopt;
                return internal::read(results.getStatus());
            });
    };
    state_->call<control::job_status>(address, state_->default_policy(),
                                      std::move(send), std::move(done));
}

void peer_client::cancel(
    const std::string& address, const job_id& job,
    std::function<void(std::optional<control::cancel_outcome>)> done)
{
    const call_policy policy{.timeout = state_->options.cancel_timeout,
                             .closes_on_timeout = false};
    auto send = [job](connection& to) {
        auto request = to.peer.cancelRequest();
        request.setJob(job.str());
        return request.send().then([](auto&& results) {
            return internal::read(results.getOutcome());
        });
    };
    state_->call<control::cancel_outcome>(address, policy, std::move(send),
                                          std::move(done));
}

void peer_client::stop()
{
    // Ends the calls first: their callbacks may make further calls.
    state_->tasks.reset();
    state_->links.clear();
}

} // namespace rosemarytrail::rpc
