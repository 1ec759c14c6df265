#include <rosemarytrail/http/server.hpp>

#include <rosemarytrail/http/internal/acceptor.hpp>
#include <rosemarytrail/http/internal/exchange_state.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <limits>
#include <utility>

namespace rosemarytrail::http {

namespace {

using internal::exchange_state;

using state_pointer = std::shared_ptr<exchange_state>;

/** @brief Memory for the head of a request; a larger head gets 431. */
constexpr std::size_t connection_memory_bytes = std::size_t{32} << 10U;

/** @brief What a handler holds of an exchange. */
class exchange_handle final : public exchange
{
public:
    explicit exchange_handle(state_pointer state) noexcept
        : state_{std::move(state)}
    {}
    exchange_handle(const exchange_handle&) = delete;
    exchange_handle& operator=(const exchange_handle&) = delete;

    ~exchange_handle() override { state_->answer({.whole = {.status = 500}}); }

    [[nodiscard]] const request& incoming() const noexcept override
    {
        return state_->incoming();
    }

    void respond(response answer) override
    {
        state_->answer({.whole = std::move(answer)});
    }

    void cut_off(response answer, std::size_t partial_bytes) override
    {
        state_->answer(
            {.whole = std::move(answer), .cut_after = partial_bytes});
    }

    void respond_twice(response answer) override
    {
        state_->answer({.whole = std::move(answer), .twice = true});
    }

private:
    state_pointer state_;
};

/** @brief Body size and transfer as declared by the headers of a request. */
struct announced_body
{
    std::size_t bytes{};
    bool chunked{false};
    bool awaits_continue{false};
};

[[nodiscard]] announced_body announced(const request& head)
{
    announced_body result;
    result.chunked = find_header(head.headers, "Transfer-Encoding").has_value();
    result.awaits_continue = find_header(head.headers, "Expect").has_value();
    const auto length = find_header(head.headers, "Content-Length");
    if (!length) {
        return result;
    }
    const auto* end = length->data() + length->size();
    const auto [last, ec] = std::from_chars(length->data(), end, result.bytes);
    if (ec != std::errc{} || last != end) {
        result.bytes = std::numeric_limits<std::size_t>::max();
    }
    return result;
}

[[nodiscard]] response too_large_response(int status)
{
    const auto& row = describe(result_code::body_too_large);
    return {.status = status,
            .headers = {{"Content-Type", "application/json"},
                        {"X-Rosemarytrail-Code",
                         std::to_string(static_cast<int>(row.code))}},
            .body = "{\"code\":" + std::to_string(static_cast<int>(row.code)) +
                    ",\"reason\":\"" + std::string{row.name} +
                    "\",\"not_run\":true}"};
}

} // namespace

struct server::internal_state
{
    internal_state(const server_options& options_, handler& target_)
        : options{options_}
        , target{target_}
    {}

    server_options options;
    handler& target;
    MHD_Daemon* daemon{};
    internal::acceptor acceptor;
    std::atomic<bool> draining{false};
    std::atomic<std::size_t> in_flight{0};
    std::atomic<unsigned> open_connections{0};
    internal::waiting_exchanges waiting;

    static MHD_Result access(void* context, MHD_Connection* connection,
                             const char* url, const char* method,
                             const char* version, const char* data,
                             std::size_t* size, void** slot);
    static void connection_changed(void* context, MHD_Connection* connection,
                                   void** slot,
                                   MHD_ConnectionNotificationCode code);
    static void completed(void* context, MHD_Connection* connection,
                          void** slot, MHD_RequestTerminationCode code);

    [[nodiscard]] MHD_Daemon* start_daemon();
    void add_connection(int socket);
    [[nodiscard]] MHD_Result on_head(exchange_state& it);
    [[nodiscard]] MHD_Result on_body(exchange_state& it,
                                     std::string_view part) const;
    [[nodiscard]] MHD_Result on_end(const state_pointer& it);
    [[nodiscard]] MHD_Result reject(exchange_state& it, response answer);
    void on_completed(exchange_state& it);
};

namespace {

constexpr int http_payload_too_large = 413;
constexpr int http_head_too_large = 431;

void* on_uri(void* /*context*/, const char* uri, MHD_Connection* /*unused*/)
{
    return new state_pointer{std::make_shared<exchange_state>(uri)};
}

} // namespace

MHD_Result server::internal_state::reject(exchange_state& it, response answer)
{
    const auto body = announced(it.incoming());
    it.answer({.whole = std::move(answer)});
    it.dispatched = true;
    if (body.chunked || body.awaits_continue ||
        body.bytes > internal::max_discarded_body_bytes) {
        return it.proceed(waiting, true);
    }
    it.mode = exchange_state::body_mode::drop;
    return MHD_YES;
}

MHD_Result server::internal_state::on_head(exchange_state& it)
{
    in_flight.fetch_add(1, std::memory_order_relaxed);
    if (it.incoming().headers.size() > options.headers) {
        return reject(it, too_large_response(http_head_too_large));
    }
    if (announced(it.incoming()).bytes > options.body_bytes) {
        return reject(it, too_large_response(http_payload_too_large));
    }
    auto rejection = target.on_head(it.incoming());
    if (rejection) {
        return reject(it, std::move(*rejection));
    }
    return MHD_YES;
}

MHD_Result server::internal_state::on_end(const state_pointer& it)
{
    if (!it->dispatched) {
        it->dispatched = true;
        target.on_request(std::make_shared<exchange_handle>(it));
    }
    return it->proceed(waiting, draining.load(std::memory_order_relaxed));
}

MHD_Result server::internal_state::on_body(exchange_state& it,
                                           std::string_view part) const
{
    if (it.add_body(part, options.body_bytes)) {
        return MHD_YES;
    }
    if (it.mode == exchange_state::body_mode::drop) {
        return MHD_NO;
    }
    it.mode = exchange_state::body_mode::drop;
    it.dispatched = true;
    it.answer({.whole = too_large_response(http_payload_too_large)});
    return MHD_YES;
}

MHD_Result
server::internal_state::access(void* context, MHD_Connection* connection,
                               const char* /*url*/, const char* method,
                               const char* /*version*/, const char* data,
                               std::size_t* size, void** slot)
{
    auto& self = *static_cast<internal_state*>(context);
    const auto& it = *static_cast<state_pointer*>(*slot);
    if (!it->head_seen) {
        it->head_seen = true;
        it->read_head(connection, method);
        return self.on_head(*it);
    }
    if (*size == 0) {
        return self.on_end(it);
    }
    const std::string_view part{data, *size};
    *size = 0;
    return self.on_body(*it, part);
}

void server::internal_state::completed(void* context,
                                       MHD_Connection* /*connection*/,
                                       void** slot,
                                       MHD_RequestTerminationCode /*code*/)
{
    auto* held = static_cast<state_pointer*>(*slot);
    if (held == nullptr) {
        return;
    }
    static_cast<internal_state*>(context)->on_completed(**held);
    delete held;
    *slot = nullptr;
}

void server::internal_state::on_completed(exchange_state& it)
{
    it.end();
    waiting.remove(it);
    if (it.head_seen) {
        in_flight.fetch_sub(1, std::memory_order_relaxed);
    }
}

server::server(const server_options& options, handler& target)
    : state_{std::make_unique<internal_state>(options, target)}
{}

server::~server()
{
    stop();
}

// libmicrohttpd limits connections per thread, and it assigns a connection to a
// full thread even while another one has capacity.
void server::internal_state::add_connection(int socket)
{
    if (open_connections.fetch_add(1) >= options.connections) {
        open_connections.fetch_sub(1);
        ::close(socket);
        return;
    }
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    auto* generic = reinterpret_cast<sockaddr*>(&peer);
    ::getpeername(socket, generic, &size);
    if (MHD_add_connection(daemon, socket, generic, size) != MHD_YES) {
        open_connections.fetch_sub(1);
    }
}

void server::internal_state::connection_changed(
    void* context, MHD_Connection* /*connection*/, void** /*slot*/,
    MHD_ConnectionNotificationCode code)
{
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        static_cast<internal_state*>(context)->open_connections.fetch_sub(1);
    }
}

MHD_Daemon* server::internal_state::start_daemon()
{
    const auto idle_seconds =
        std::chrono::ceil<std::chrono::seconds>(options.idle_timeout).count();
    const unsigned threads = std::max(options.threads, 1U);
    // Higher than `options.connections`, which add_connection() enforces, also
    // while closed connections are being cleaned up.
    const auto connections = std::size_t{options.connections} * threads * 2;
    std::vector<MHD_OptionItem> items{
        {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(connections),
         nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(idle_seconds),
         nullptr},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
         static_cast<intptr_t>(connection_memory_bytes), nullptr},
        {MHD_OPTION_NOTIFY_CONNECTION,
         reinterpret_cast<intptr_t>(&internal_state::connection_changed), this},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&on_uri),
         nullptr},
        {MHD_OPTION_NOTIFY_COMPLETED,
         reinterpret_cast<intptr_t>(&internal_state::completed), this}};
    // Without a pool, the daemon runs a single thread of its own.
    if (threads > 1) {
        items.push_back({MHD_OPTION_THREAD_POOL_SIZE,
                         static_cast<intptr_t>(threads), nullptr});
    }
    items.push_back({MHD_OPTION_END, 0, nullptr});
    constexpr unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD |
                               MHD_ALLOW_SUSPEND_RESUME |
                               MHD_USE_NO_LISTEN_SOCKET;
    return MHD_start_daemon(flags, 0, nullptr, nullptr, &internal_state::access,
                            this, MHD_OPTION_ARRAY, items.data(),
                            MHD_OPTION_END);
}

std::optional<std::uint16_t> server::start(reason& why)
{
    state_->daemon = state_->start_daemon();
    if (state_->daemon == nullptr) {
        why = {.code = result_code::unreachable,
               .detail = "cannot start the threads of the HTTP server"};
        return std::nullopt;
    }
    const auto& options = state_->options;
    const auto port = state_->acceptor.start(
        options.address, options.port,
        [state = state_.get()](int socket) { state->add_connection(socket); },
        why);
    if (!port) {
        stop();
    }
    return port;
}

void server::stop_accepting()
{
    if (state_->draining.exchange(true)) {
        return;
    }
    state_->acceptor.stop();
}

std::size_t server::in_flight() const noexcept
{
    return state_->in_flight.load(std::memory_order_relaxed);
}

void server::stop()
{
    if (state_->daemon == nullptr) {
        return;
    }
    stop_accepting();
    state_->waiting.abandon_all();
    MHD_stop_daemon(state_->daemon);
    state_->daemon = nullptr;
}

} // namespace rosemarytrail::http
