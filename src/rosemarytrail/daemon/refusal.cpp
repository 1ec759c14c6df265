#include <rosemarytrail/daemon/refusal.hpp>

#include <rosemarytrail/core/result_code.hpp>
#include <rosemarytrail/proxy/refusal.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <cstdint>
#include <random>

namespace rosemarytrail::daemon {

namespace {

constexpr duration default_retry_after{std::chrono::seconds{1}};
constexpr std::size_t max_request_id_size = 128;
constexpr int too_many_requests = 429;
constexpr int unavailable = 503;
constexpr int min_error_status = 400;

/** HTTP status of a refusal; codes for waiting tasks have no own status. */
int status_of(const result_code_row& row)
{
    return row.http_status < min_error_status ? unavailable : row.http_status;
}

std::optional<duration> retry_after_of(const reason& why, int status)
{
    if (why.retry_after)
        return why.retry_after;
    if (status == too_many_requests || status == unavailable)
        return default_retry_after;
    return std::nullopt;
}

bool is_id_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
           c == ':';
}

std::string fresh_request_id()
{
    static const std::uint64_t process =
        (std::uint64_t{std::random_device{}()} << 32U) | std::random_device{}();
    static std::atomic<std::uint64_t> count{0};
    constexpr int hexadecimal = 16;
    std::array<char, 2 * hexadecimal + 1> buf{};
    auto* const end = buf.data() + buf.size();
    auto at = std::to_chars(buf.data(), end, process, hexadecimal).ptr;
    *at++ = '-';
    at = std::to_chars(at, end, ++count, hexadecimal).ptr;
    return {buf.data(), at};
}

} // namespace

http::response to_response(const refusal& value)
{
    auto why = value.why;
    const auto status = status_of(describe(why.code));
    why.retry_after = retry_after_of(why, status);
    auto answer = proxy::refusal(why, value.not_run, "");
    answer.status = status;
    if (value.current) {
        auto body = nlohmann::json::parse(answer.body);
        body["current"] = *value.current;
        answer.body = body.dump();
    }
    return answer;
}

std::string request_id_of(const http::request& head)
{
    const auto shown = http::find_header(head.headers, "X-Request-Id");
    const bool valid = shown && !shown->empty() &&
                       shown->size() <= max_request_id_size &&
                       std::ranges::all_of(*shown, is_id_character);
    return valid ? std::string{*shown} : fresh_request_id();
}

} // namespace rosemarytrail::daemon
