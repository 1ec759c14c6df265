#include <rosemarytrail/request/response_check.hpp>

#include <charconv>

namespace rosemarytrail::request {

namespace {

constexpr int service_unavailable = 503;
constexpr int first_failure_status = 500;

bool is_stale(const http::response& answer,
              const response_requirements& requirements)
{
    if (!requirements.read_offset ||
        requirements.known_offset >= *requirements.read_offset) {
        return false;
    }
    const auto write_offset = find_offset(answer.headers, "X-Write-Offset");
    return !write_offset || *write_offset < *requirements.read_offset;
}

} // namespace

response_status check_response(const http::client_response& result,
                               const response_requirements& requirements)
{
    switch (result.transport) {
    case http::transport_result::not_sent:
        return response_status::not_sent;
    case http::transport_result::timed_out:
        return response_status::late;
    case http::transport_result::cut_off:
    case http::transport_result::too_large:
        return response_status::cut_off;
    case http::transport_result::crossed:
        return response_status::crossed;
    case http::transport_result::complete:
        break;
    }
    const auto& answer = result.answer;
    const auto id = http::find_header(answer.headers, "X-Request-Id");
    if (!id || *id != requirements.request_id) {
        return response_status::crossed;
    }
    const auto not_run = http::find_header(answer.headers, "X-Not-Run");
    if (answer.status == service_unavailable && not_run && *not_run == "1") {
        return response_status::refused;
    }
    if (answer.status >= first_failure_status) {
        return response_status::failed;
    }
    return is_stale(answer, requirements) ? response_status::stale
                                          : response_status::whole;
}

std::optional<std::uint64_t> find_offset(std::span<const http::header> headers,
                                         std::string_view name) noexcept
{
    const auto text = http::find_header(headers, name);
    if (!text || text->empty()) {
        return std::nullopt;
    }
    std::uint64_t n = 0;
    const char* const end = text->data() + text->size();
    const auto [it, ec] = std::from_chars(text->data(), end, n);
    if (ec != std::errc{} || it != end) {
        return std::nullopt;
    }
    return n;
}

result_code code_of(response_status status) noexcept
{
    switch (status) {
    case response_status::refused:
        return result_code::upstream_refused;
    case response_status::not_sent:
        return result_code::upstream_unreachable;
    case response_status::crossed:
        return result_code::answer_crossed;
    case response_status::cut_off:
        return result_code::upstream_cut_off;
    case response_status::late:
        return result_code::upstream_timed_out;
    case response_status::failed:
        return result_code::upstream_failed;
    case response_status::stale:
        return result_code::read_offset_not_reached;
    case response_status::whole:
        break;
    }
    return result_code::ok;
}

} // namespace rosemarytrail::request
