#include <rosemarytrail/cli/subcommands.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace rosemarytrail::cli {

namespace {

using nlohmann::json;

bool is_path(const std::string& text)
{
    return text.starts_with('/') &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c < 0x7f; });
}

effect effect_of(const std::string& method) noexcept
{
    if (method == "GET" || method == "HEAD") {
        return effect::none;
    }
    return method == "POST" ? effect::once : effect::idempotent;
}

call make_call(const arguments& asked)
{
    call made{.method = asked.method,
              .path = "/v1/services/" + encode_segment(asked.operands[0]) +
                      asked.operands[1],
              .headers = {{"Authorization", "Bearer " + asked.key}},
              .body = asked.data,
              .changes = effect_of(asked.method)};
    if (!asked.idempotency_key.empty()) {
        made.headers.push_back({"Idempotency-Key", asked.idempotency_key});
    }
    if (asked.read_offset) {
        made.headers.push_back(
            {"X-Read-Offset", std::to_string(*asked.read_offset)});
    }
    return made;
}

std::string header_of(const http::response& answer, std::string_view name)
{
    return std::string{http::find_header(answer.headers, name).value_or("")};
}

/** @return Answer with what identifies it, for programs. */
std::string answer_json(const http::response& answer)
{
    auto body = json::parse(answer.body, nullptr, false);
    if (body.is_discarded()) {
        body = answer.body;
    }
    const json object{{"status", answer.status},
                      {"request_id", header_of(answer, "X-Request-Id")},
                      {"write_offset", header_of(answer, "X-Write-Offset")},
                      {"body", body}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

/** @return True if an upstream gave the answer, not an entry VM. */
bool is_from_upstream(const reply& outcome)
{
    return outcome.answer &&
           !http::find_header(outcome.answer->headers, "X-Rosemarytrail-Code");
}

} // namespace

exit_code run_request(const context& it)
{
    const auto& path = it.asked.operands[1];
    if (!is_path(path)) {
        it.out.write_error({.code = result_code::usage,
                            .detail = "PATH is \"" + path +
                                      "\"; allowed: / and printable ASCII "
                                      "without spaces"},
                           true);
        return exit_code::usage;
    }
    const auto outcome = it.entries.send(make_call(it.asked));
    if (!is_from_upstream(outcome)) {
        it.out.write_error(outcome.why, outcome.not_run);
        return outcome.result;
    }
    const auto& answer = *outcome.answer;
    it.out.write(it.out.json() ? answer_json(answer) : answer.body);
    return outcome.result == exit_code::ok ? exit_code::ok : exit_code::refused;
}

} // namespace rosemarytrail::cli
