#include <rosemarytrail/proxy/forwarding.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <span>

namespace rosemarytrail::proxy {

namespace {

/** @brief Hop-by-hop headers, which are not forwarded. */
constexpr std::array<std::string_view, 9> connection_headers{
    "connection", "content-length", "keep-alive",        "proxy-connection",
    "te",         "trailer",        "transfer-encoding", "upgrade",
    "expect"};

/** @brief Request headers that are dropped or replaced before forwarding. */
constexpr std::array<std::string_view, 8> replaced_headers{
    "host",
    "authorization",
    "x-operator-key",
    "x-request-id",
    "x-caller-request-id",
    "x-deadline-ms",
    "x-team",
    "x-retried"};

bool equals_ignoring_case(std::string_view lhs, std::string_view lower)
{
    const auto equal = [](unsigned char a, unsigned char b) {
        return std::tolower(a) == b;
    };
    return std::ranges::equal(lhs, lower, equal);
}

bool is_one_of(std::string_view name, std::span<const std::string_view> names)
{
    return std::ranges::any_of(names, [&](std::string_view it) {
        return equals_ignoring_case(name, it);
    });
}

bool is_url_safe(unsigned char c)
{
    constexpr std::string_view others{"-._~!$&'()*+,;=:@/%"};
    return std::isalnum(c) != 0 ||
           others.find(static_cast<char>(c)) != std::string_view::npos;
}

/** @brief Percent-encodes characters that are not allowed in a request line. */
void append_escaped(std::string& url, std::string_view path)
{
    constexpr std::string_view digits{"0123456789ABCDEF"};
    for (const char it : path) {
        const auto c = static_cast<unsigned char>(it);
        if (is_url_safe(c)) {
            url += it;
            continue;
        }
        url += '%';
        url += digits[c >> 4U];
        url += digits[c & 15U];
    }
}

std::string make_url(std::string_view address, const service_request& target,
                     std::string_view query)
{
    std::string url{"http://"};
    url += address;
    url += '/';
    append_escaped(url, target.service.str());
    url += '/';
    append_escaped(url, target.path);
    if (!query.empty()) {
        url += '?';
        url += query;
    }
    return url;
}

} // namespace

http::client_request make_upstream_request(const http::request& incoming,
                                           const service_request& target,
                                           const attempt_options& options)
{
    http::client_request it{
        .method = incoming.method,
        .url = make_url(options.address, target, incoming.query),
        .body = incoming.body,
        .timeout = options.remaining,
        .answer_bytes = options.answer_bytes};
    for (const auto& header : incoming.headers) {
        if (!is_one_of(header.name, connection_headers) &&
            !is_one_of(header.name, replaced_headers)) {
            it.headers.push_back(header);
        }
    }
    const auto remaining =
        std::max<std::int64_t>(1, to_milliseconds(options.remaining));
    it.echo = {"X-Request-Id", std::string{options.upstream_id}};
    it.headers.push_back(it.echo);
    it.headers.push_back(
        {"X-Caller-Request-Id", std::string{options.request_id}});
    it.headers.push_back({"X-Deadline-Ms", std::to_string(remaining)});
    it.headers.push_back({"X-Team", options.team.str()});
    if (options.retried) {
        it.headers.push_back({"X-Retried", "1"});
    }
    return it;
}

http::response make_caller_response(http::response answer,
                                    std::string_view request_id,
                                    const vm_id& upstream)
{
    std::erase_if(answer.headers, [](const http::header& it) {
        return is_one_of(it.name, connection_headers) ||
               equals_ignoring_case(it.name, "x-request-id") ||
               equals_ignoring_case(it.name, "x-upstream") ||
               equals_ignoring_case(it.name, "date") ||
               equals_ignoring_case(it.name, "server");
    });
    answer.headers.push_back({"X-Request-Id", std::string{request_id}});
    answer.headers.push_back({"X-Upstream", upstream.str()});
    return answer;
}

} // namespace rosemarytrail::proxy
