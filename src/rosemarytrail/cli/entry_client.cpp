#include <rosemarytrail/cli/entry_client.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace rosemarytrail::cli {

namespace {

using http::transport_result;
using nlohmann::json;

constexpr int first_error_status = 400;
constexpr int first_server_error = 500;
constexpr int unavailable = 503;
/** @brief Time to let an entry VM say itself that a deadline has passed. */
constexpr duration answer_margin{std::chrono::seconds{2}};

/** @brief Reply of one entry VM and whether another one may be asked. */
struct judgement
{
    reply outcome;
    bool ask_next{false};
};

bool is_bad_input(result_code code) noexcept
{
    return code >= result_code::document_not_json && code <= result_code::usage;
}

/** @brief Judges an answer that the entry VM itself gave. */
judgement judge_refusal(http::response answer)
{
    const auto body = json::parse(answer.body, nullptr, false);
    const auto read = [&body](const char* name, auto fallback) {
        using type = decltype(fallback);
        const bool found = body.is_object() && body.contains(name);
        const bool fits =
            found && (std::is_same_v<type, bool> ? body.at(name).is_boolean()
                      : std::is_same_v<type, std::string>
                          ? body.at(name).is_string()
                          : body.at(name).is_number_unsigned());
        return fits ? body.at(name).template get<type>() : fallback;
    };
    const auto number = read("code", std::uint16_t{0});
    const bool not_run = read("not_run", answer.status < first_server_error);
    judgement it{.ask_next = answer.status == unavailable || !not_run};
    it.outcome.why = {.code = static_cast<result_code>(number),
                      .detail = read("detail", std::string{})};
    it.outcome.not_run = not_run;
    it.outcome.result = is_bad_input(it.outcome.why.code) ? exit_code::usage
                        : not_run                         ? exit_code::refused
                                  : exit_code::outcome_unknown;
    it.outcome.answer = std::move(answer);
    return it;
}

judgement judge_answer(http::response answer)
{
    if (answer.status < first_error_status) {
        return {.outcome = {.result = exit_code::ok,
                            .answer = std::move(answer),
                            .not_run = false}};
    }
    if (http::find_header(answer.headers, "X-Rosemarytrail-Code")) {
        return judge_refusal(std::move(answer));
    }
    const bool failed = answer.status >= first_server_error;
    const reason why{
        .code = failed ? result_code::outcome_unknown : result_code::usage,
        .detail = "the answer has status " + std::to_string(answer.status)};
    return {.outcome = {.result = failed ? exit_code::outcome_unknown
                                         : exit_code::refused,
                        .answer = std::move(answer),
                        .why = why,
                        .not_run = !failed}};
}

judgement judge(http::client_response it, const std::string& entry)
{
    switch (it.transport) {
    case transport_result::complete:
        return judge_answer(std::move(it.answer));
    case transport_result::not_sent:
        return {.outcome = {.result = exit_code::unreachable,
                            .why = {.code = result_code::unreachable,
                                    .detail = entry + ": " + it.error}},
                .ask_next = true};
    default:
        return {.outcome = {.result = exit_code::outcome_unknown,
                            .why = {.code = result_code::outcome_unknown,
                                    .detail = entry +
                                              ": no whole answer: " + it.error},
                            .not_run = false},
                .ask_next = true};
    }
}

/** @brief A read that failed changed nothing, whatever became of it. */
reply as_read(reply it)
{
    if (it.result == exit_code::outcome_unknown) {
        it.result = it.answer ? exit_code::refused : exit_code::unreachable;
        it.not_run = true;
    }
    return it;
}

} // namespace

entry_client::entry_client(http::client& client,
                           std::vector<std::string> entries, duration timeout)
    : client_{client}
    , entries_{std::move(entries)}
    , timeout_{timeout}
{}

http::client_response entry_client::send_to(const std::string& entry,
                                            const call& it)
{
    auto headers = it.headers;
    headers.push_back(
        {"X-Deadline-Ms", std::to_string(to_milliseconds(timeout_))});
    return client_.fetch_and_wait({.method = it.method,
                                   .url = "http://" + entry + it.path,
                                   .headers = std::move(headers),
                                   .body = it.body,
                                   .timeout = timeout_ + answer_margin});
}

reply entry_client::send(const call& it)
{
    reply last{
        .why = {.code = result_code::usage, .detail = "no --entry was given"}};
    if (entries_.empty()) {
        last.result = exit_code::usage;
    }
    bool may_have_run = false;
    for (const auto& entry : entries_) {
        auto verdict = judge(send_to(entry, it), entry);
        last = std::move(verdict.outcome);
        if (last.result == exit_code::ok) {
            return last;
        }
        may_have_run = may_have_run || !last.not_run;
        const bool repeatable = last.not_run || it.changes != effect::once;
        if (!verdict.ask_next || !repeatable) {
            break;
        }
    }
    if (it.changes == effect::none) {
        return as_read(std::move(last));
    }
    // A later refusal says nothing of an earlier attempt without an answer.
    if (may_have_run && last.not_run) {
        last.result = exit_code::outcome_unknown;
        last.not_run = false;
    }
    return last;
}

std::string encode_segment(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned high_shift = 4;
    constexpr unsigned low_mask = 15;
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool plain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                           (c >= 'A' && c <= 'Z') || c == '-' || c == '_' ||
                           c == '.';
        if (plain) {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> high_shift];
        encoded += digits[byte & low_mask];
    }
    return encoded;
}

} // namespace rosemarytrail::cli
