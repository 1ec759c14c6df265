#include <rosemarytrail/http/internal/curl_transfer.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace rosemarytrail::http::internal {

namespace {

constexpr int first_final_status = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

template <typename Value>
void set(CURL* easy, CURLoption option, Value value)
{
    curl_easy_setopt(easy, option, value);
}

[[nodiscard]] std::string_view trim(std::string_view text) noexcept
{
    constexpr std::string_view blanks = " \t\r\n";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

[[nodiscard]] int parse_status(std::string_view line) noexcept
{
    const auto space = line.find(' ');
    if (space == std::string_view::npos) {
        return 0;
    }
    int status = 0;
    std::from_chars(line.data() + space + 1, line.data() + line.size(), status);
    return status;
}

[[nodiscard]] bool breaks_line(std::string_view text) noexcept
{
    constexpr std::string_view breaks{"\r\n\0", 3};
    return text.find_first_of(breaks) != std::string_view::npos;
}

[[nodiscard]] bool has_body(const client_request& outgoing) noexcept
{
    const auto& method = outgoing.method;
    return !outgoing.body.empty() || method == "POST" || method == "PUT" ||
           method == "PATCH";
}

[[nodiscard]] long ceil_milliseconds(duration timeout) noexcept
{
    const auto n =
        std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
    return static_cast<long>(std::max<std::int64_t>(n, 1));
}

} // namespace

curl_transfer::curl_transfer(client_request outgoing, client::callback done,
                             time_point now)
    : outgoing_{std::move(outgoing)}
    , done_{std::move(done)}
    , start_{now}
{}

curl_transfer::~curl_transfer()
{
    curl_slist_free_all(header_list_);
}

std::string_view curl_transfer::host() const noexcept
{
    std::string_view url{outgoing_.url};
    const auto scheme = url.find("://");
    if (scheme != std::string_view::npos) {
        url.remove_prefix(scheme + 3);
    }
    return url.substr(0, url.find_first_of("/?"));
}

time_point curl_transfer::deadline() const noexcept
{
    return start_ + outgoing_.timeout;
}

std::string_view curl_transfer::validation_error() const noexcept
{
    if (breaks_line(outgoing_.url) || breaks_line(outgoing_.method)) {
        return "the request line has a line break";
    }
    for (const auto& it : outgoing_.headers) {
        if (breaks_line(it.name) || breaks_line(it.value)) {
            return "a header has a line break";
        }
    }
    return {};
}

void curl_transfer::add_headers()
{
    // Removes the headers that libcurl adds, unless the caller sets them.
    for (const std::string_view name : {"Expect", "Accept", "Content-Type"}) {
        if (!find_header(outgoing_.headers, name)) {
            const auto line = std::string{name} + ":";
            header_list_ = curl_slist_append(header_list_, line.c_str());
        }
    }
    for (const auto& it : outgoing_.headers) {
        const auto line =
            it.value.empty() ? it.name + ";" : it.name + ": " + it.value;
        header_list_ = curl_slist_append(header_list_, line.c_str());
    }
}

void curl_transfer::prepare(CURL* easy, const client_options& options,
                            socket_table& sockets, time_point now)
{
    easy_ = easy;
    sockets_ = &sockets;
    add_headers();
    set(easy, CURLOPT_PRIVATE, this);
    set(easy, CURLOPT_URL, outgoing_.url.c_str());
    set(easy, CURLOPT_PATH_AS_IS, 1L);
    set(easy, CURLOPT_PROTOCOLS_STR, "http");
    set(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    set(easy, CURLOPT_NOSIGNAL, 1L);
    set(easy, CURLOPT_PROXY, "");
    set(easy, CURLOPT_TCP_NODELAY, 1L);
    set(easy, CURLOPT_HTTPHEADER, header_list_);
    set(easy, CURLOPT_ERRORBUFFER, &error_[0]);
    set(easy, CURLOPT_CONNECTTIMEOUT_MS,
        ceil_milliseconds(options.connect_timeout));
    set(easy, CURLOPT_TIMEOUT_MS, ceil_milliseconds(deadline() - now));
    set(easy, CURLOPT_MAXAGE_CONN,
        std::max(ceil_milliseconds(options.idle_timeout) / 1000, 1L));
    set(easy, CURLOPT_FRESH_CONNECT, outgoing_.fresh_connection ? 1L : 0L);
    set(easy, CURLOPT_HEADERFUNCTION, &curl_transfer::on_header);
    set(easy, CURLOPT_HEADERDATA, this);
    set(easy, CURLOPT_WRITEFUNCTION, &curl_transfer::on_body);
    set(easy, CURLOPT_WRITEDATA, this);
    set(easy, CURLOPT_PREREQFUNCTION, &curl_transfer::on_send);
    set(easy, CURLOPT_PREREQDATA, this);
    set(easy, CURLOPT_OPENSOCKETFUNCTION, &curl_transfer::on_open);
    set(easy, CURLOPT_OPENSOCKETDATA, this);
    set(easy, CURLOPT_CLOSESOCKETFUNCTION, &curl_transfer::on_close);
    set(easy, CURLOPT_CLOSESOCKETDATA, &sockets);
    if (has_body(outgoing_)) {
        set(easy, CURLOPT_POST, 1L);
        set(easy, CURLOPT_POSTFIELDSIZE_LARGE,
            static_cast<curl_off_t>(outgoing_.body.size()));
        set(easy, CURLOPT_POSTFIELDS, outgoing_.body.data());
    } else if (outgoing_.method == "HEAD") {
        set(easy, CURLOPT_NOBODY, 1L);
    }
    set(easy, CURLOPT_CUSTOMREQUEST, outgoing_.method.c_str());
}

// libcurl retries a request if a reused connection closes before the first byte
// of the response, even though the request may have been executed. It calls
// this function before each attempt, which aborts the second one.
int curl_transfer::on_send(void* self, char* peer, char* /*local*/,
                           int peer_port, int local_port)
{
    auto& it = *static_cast<curl_transfer*>(self);
    ++it.sends_;
    if (it.sends_ > 1) {
        return CURL_PREREQFUNC_ABORT;
    }
    const auto& key =
        it.connection_.emplace(connection_key{peer, peer_port, local_port});
    if (local_port_of(it.opened_) == local_port) {
        it.sockets_->add(key, it.opened_, boot_clock::now());
        return CURL_PREREQFUNC_OK;
    }
    it.stale_ = it.sockets_->is_stale(key);
    return it.stale_ ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

curl_socket_t curl_transfer::on_open(void* self, curlsocktype /*purpose*/,
                                     curl_sockaddr* address)
{
    auto& it = *static_cast<curl_transfer*>(self);
    it.opened_ = ::socket(address->family, address->socktype | SOCK_CLOEXEC,
                          address->protocol);
    return it.opened_;
}

int curl_transfer::on_close(void* sockets, curl_socket_t socket)
{
    static_cast<socket_table*>(sockets)->remove(socket);
    return ::close(socket);
}

void curl_transfer::prepare_retry()
{
    curl_slist_free_all(header_list_);
    header_list_ = nullptr;
    easy_ = nullptr;
    sends_ = 0;
    stale_ = false;
    connection_.reset();
    outgoing_.fresh_connection = true;
}

std::size_t curl_transfer::on_header(char* data, std::size_t size,
                                     std::size_t n, void* self)
{
    auto& it = *static_cast<curl_transfer*>(self);
    return it.parse_header({data, size * n}) ? size * n : 0;
}

bool curl_transfer::parse_header(std::string_view line)
{
    if (line.starts_with("HTTP/")) {
        answer_.headers.clear();
        answer_.status = parse_status(line);
        return true;
    }
    line = trim(line);
    if (line.empty()) {
        return answer_.status < first_final_status || on_head_end();
    }
    const auto colon = std::min(line.find(':'), line.size());
    const auto rest = line.substr(std::min(colon + 1, line.size()));
    answer_.headers.push_back({.name = std::string{line.substr(0, colon)},
                               .value = std::string{trim(rest)}});
    return true;
}

bool curl_transfer::on_head_end()
{
    const auto& headers = answer_.headers;
    const auto& echo = outgoing_.echo;
    crossed_ =
        !echo.name.empty() && find_header(headers, echo.name) != echo.value;
    const bool bodiless = outgoing_.method == "HEAD" ||
                          answer_.status == status_no_content ||
                          answer_.status == status_not_modified;
    unframed_ = !bodiless && !find_header(headers, "Content-Length") &&
                !find_header(headers, "Transfer-Encoding");
    return !crossed_ && !unframed_;
}

std::size_t curl_transfer::on_body(char* data, std::size_t size, std::size_t n,
                                   void* self)
{
    auto& it = *static_cast<curl_transfer*>(self);
    auto& body = it.answer_.body;
    if (body.size() + size * n > it.outgoing_.answer_bytes) {
        it.too_large_ = true;
        return 0;
    }
    body.append(data, size * n);
    return size * n;
}

transport_result curl_transfer::classify(CURLcode code) const
{
    if (code == CURLE_OK) {
        return transport_result::complete;
    }
    if (crossed_) {
        return transport_result::crossed;
    }
    if (too_large_) {
        return transport_result::too_large;
    }
    long sent_bytes = 0;
    curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &sent_bytes);
    if (sends_ == 0 || sent_bytes == 0) {
        return transport_result::not_sent;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? transport_result::timed_out
                                            : transport_result::cut_off;
}

void curl_transfer::finish(CURLcode code, time_point now)
{
    const auto result = classify(code);
    if (result == transport_result::timed_out && connection_) {
        sockets_->mark_unresponsive(*connection_, now);
    }
    std::string error;
    if (result != transport_result::complete) {
        error = error_[0] == '\0' ? curl_easy_strerror(code) : &error_[0];
    }
    report(result, std::move(error), now);
}

void curl_transfer::finish_unsent(std::string error, time_point now)
{
    report(transport_result::not_sent, std::move(error), now);
}

void curl_transfer::report(transport_result result, std::string error,
                           time_point now)
{
    done_({.transport = result,
           .answer = std::move(answer_),
           .elapsed = now - start_,
           .error = std::move(error)});
}

} // namespace rosemarytrail::http::internal
