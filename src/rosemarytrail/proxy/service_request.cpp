#include <rosemarytrail/proxy/service_request.hpp>

#include <rosemarytrail/request/response_check.hpp>
#include <rosemarytrail/request/retry_policy.hpp>

#include <xxhash.h>

#include <algorithm>
#include <string_view>

namespace rosemarytrail::proxy {

namespace {

constexpr std::string_view prefix{"/v1/services/"};
constexpr std::size_t max_idempotency_key_bytes{256};

/**
 * @brief Parses an optional numeric header; fails if it is present but
 * malformed.
 */
bool read_number(const http::request& head, std::string_view name,
                 std::optional<std::uint64_t>& value, reason& why)
{
    value = request::find_offset(head.headers, name);
    if (value || !http::find_header(head.headers, name)) {
        return true;
    }
    why = {.code = result_code::usage,
           .detail = std::string{name} + " must be a whole number"};
    return false;
}

bool read_key(const http::request& head, service_request& it, reason& why)
{
    if (it.idempotent) {
        return true;
    }
    const auto key = http::find_header(head.headers, "Idempotency-Key");
    if (!key || key->empty()) {
        why = {.code = result_code::idempotency_key_missing};
        return false;
    }
    if (key->size() > max_idempotency_key_bytes) {
        why = {.code = result_code::usage,
               .detail = "Idempotency-Key is longer than 256 bytes"};
        return false;
    }
    it.idempotency_key = *key;
    return true;
}

std::uint64_t extend_hash(std::uint64_t seed, std::string_view text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

std::optional<service_request> parse_service_request(const http::request& head,
                                                     duration max_timeout,
                                                     reason& why)
{
    const std::string_view path{head.path};
    const auto rest = path.substr(std::min(prefix.size(), path.size()));
    const auto slash = rest.find('/');
    if (!path.starts_with(prefix) || slash == 0 || rest.empty()) {
        why = {.code = result_code::path_unknown};
        return std::nullopt;
    }
    service_request it;
    it.service = service_id{std::string{rest.substr(0, slash)}};
    it.path = slash == std::string_view::npos ? "" : rest.substr(slash + 1);
    it.idempotent = request::is_idempotent(head.method);
    it.retried = was_sent_before(head);
    const auto upstream = http::find_header(head.headers, "X-Read-Upstream");
    it.read_upstream = vm_id{std::string{upstream.value_or("")}};
    std::optional<std::uint64_t> deadline;
    if (!read_number(head, "X-Deadline-Ms", deadline, why) ||
        !read_number(head, "X-Read-Offset", it.read_offset, why) ||
        !read_key(head, it, why)) {
        return std::nullopt;
    }
    it.timeout = max_timeout;
    const auto max_ms =
        static_cast<std::uint64_t>(to_milliseconds(max_timeout));
    if (deadline && *deadline < max_ms) {
        it.timeout = std::chrono::milliseconds{*deadline};
    }
    return it;
}

bool was_sent_before(const http::request& head) noexcept
{
    return http::find_header(head.headers, "X-Retried").has_value();
}

std::uint64_t fingerprint(const http::request& incoming)
{
    std::uint64_t it = extend_hash(0, incoming.method);
    it = extend_hash(it, incoming.path);
    it = extend_hash(it, incoming.query);
    return extend_hash(it, incoming.body);
}

} // namespace rosemarytrail::proxy
