#include <rosemarytrail/proxy/refusal.hpp>

#include <rosemarytrail/core/result_code.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <string>

namespace rosemarytrail::proxy {

namespace {

void add_retry_delay(std::vector<http::header>& headers, duration delay)
{
    const auto rounded =
        std::max(delay, duration{std::chrono::milliseconds{1}});
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(rounded);
    const auto milliseconds =
        std::chrono::ceil<std::chrono::milliseconds>(rounded);
    headers.push_back({"Retry-After", std::to_string(seconds.count())});
    headers.push_back({"Retry-After-Ms", std::to_string(milliseconds.count())});
}

} // namespace

http::response refusal(const reason& why, bool not_run,
                       std::string_view request_id)
{
    const auto& row = describe(why.code);
    const auto number = static_cast<int>(why.code);
    const nlohmann::json body{
        {"code", number},
        {"reason", row.name},
        {"detail", why.detail.empty() ? std::string{row.meaning} : why.detail},
        {"not_run", not_run}};
    http::response answer{.status = row.http_status};
    answer.body =
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.headers.push_back({"X-Rosemarytrail-Code", std::to_string(number)});
    if (!request_id.empty()) {
        answer.headers.push_back({"X-Request-Id", std::string{request_id}});
    }
    if (why.retry_after) {
        add_retry_delay(answer.headers, *why.retry_after);
    }
    return answer;
}

} // namespace rosemarytrail::proxy
