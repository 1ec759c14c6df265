#include <rosemarytrail/request/answer_check.hpp>

#include <charconv>

namespace rosemarytrail::request {

namespace {

constexpr int service_unavailable = 503;
constexpr int first_failure_status = 500;

bool is_stale(const http::response& answer, const answer_demand& demand)
{
    if (!demand.read_offset || demand.known_offset >= *demand.read_offset) {
        return false;
    }
    const auto reached = find_offset(answer.headers, "X-Write-Offset");
    return !reached || *reached < *demand.read_offset;
}

} // namespace

answer_verdict check_answer(const http::client_response& result,
                            const answer_demand& demand)
{
    switch (result.transport) {
    case http::transport_result::not_sent:
        return answer_verdict::not_sent;
    case http::transport_result::timed_out:
        return answer_verdict::late;
    case http::transport_result::cut_off:
    case http::transport_result::too_large:
        return answer_verdict::cut_off;
    case http::transport_result::crossed:
        return answer_verdict::crossed;
    case http::transport_result::complete:
        break;
    }
    const auto& answer = result.answer;
    const auto id = http::find_header(answer.headers, "X-Request-Id");
    if (!id || *id != demand.request_id) {
        return answer_verdict::crossed;
    }
    const auto mark = http::find_header(answer.headers, "X-Not-Run");
    if (answer.status == service_unavailable && mark && *mark == "1") {
        return answer_verdict::refused;
    }
    if (answer.status >= first_failure_status) {
        return answer_verdict::failed;
    }
    return is_stale(answer, demand) ? answer_verdict::stale
                                    : answer_verdict::whole;
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

result_code code_of(answer_verdict verdict) noexcept
{
    switch (verdict) {
    case answer_verdict::refused:
        return result_code::upstream_refused;
    case answer_verdict::not_sent:
        return result_code::upstream_unreachable;
    case answer_verdict::crossed:
        return result_code::answer_crossed;
    case answer_verdict::cut_off:
        return result_code::upstream_cut_off;
    case answer_verdict::late:
        return result_code::upstream_timed_out;
    case answer_verdict::failed:
        return result_code::upstream_failed;
    case answer_verdict::stale:
        return result_code::read_offset_not_reached;
    case answer_verdict::whole:
        break;
    }
    return result_code::ok;
}

} // namespace rosemarytrail::request
