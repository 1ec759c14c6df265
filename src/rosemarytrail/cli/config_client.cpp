#include <rosemarytrail/cli/config_client.hpp>

#include <nlohmann/json.hpp>

#include <charconv>

namespace rosemarytrail::cli {

namespace {

using nlohmann::json;

constexpr int not_found = 404;
constexpr int conflict = 409;

std::optional<std::uint64_t> revision_of(const http::response& answer)
{
    auto tag = http::find_header(answer.headers, "ETag").value_or("");
    if (tag.size() >= 2 && tag.front() == '"') {
        tag = tag.substr(1, tag.size() - 2);
    }
    std::uint64_t value{};
    const auto* end = tag.data() + tag.size();
    const auto [stop, ec] = std::from_chars(tag.data(), end, value);
    if (ec != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::uint64_t> number_in(const std::string& body,
                                       const char* name)
{
    const auto object = json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains(name) ||
        !object.at(name).is_number_unsigned()) {
        return std::nullopt;
    }
    return object.at(name).get<std::uint64_t>();
}

bool is_same_document(const std::string& lhs, const std::string& rhs)
{
    const auto left = json::parse(lhs, nullptr, false);
    return !left.is_discarded() && left == json::parse(rhs, nullptr, false);
}

reply malformed_answer()
{
    return {.result = exit_code::outcome_unknown,
            .why = {.code = result_code::outcome_unknown,
                    .detail = "the answer bears no revision"},
            .not_run = false};
}

} // namespace

config_client::config_client(entry_client& entries, std::string operator_key)
    : entries_{entries}
    , operator_key_{std::move(operator_key)}
{}

call config_client::make_call(const std::string& method,
                              const std::string& name) const
{
    return {.method = method,
            .path = "/v1/config/" + name,
            .headers = {{"X-Operator-Key", operator_key_}}};
}

config_read config_client::read(const std::string& name)
{
    config_read it{.outcome = entries_.send(make_call("GET", name))};
    const auto& answer = it.outcome.answer;
    if (it.outcome.result == exit_code::ok) {
        const auto revision = revision_of(*answer);
        if (!revision) {
            it.outcome = malformed_answer();
            return it;
        }
        it.revision = *revision;
        it.document = answer->body;
    } else if (answer && answer->status == not_found) {
        it.outcome = {.result = exit_code::ok};
    }
    return it;
}

config_write config_client::publish(const std::string& name,
                                    const std::string& document,
                                    std::uint64_t replaces)
{
    auto put = make_call("PUT", name);
    put.headers.push_back({"If-Match", std::to_string(replaces)});
    put.body = document;
    put.changes = effect::idempotent;
    config_write it{.outcome = entries_.send(put)};
    const auto& answer = it.outcome.answer;
    if (it.outcome.result == exit_code::ok) {
        it.revision = number_in(answer->body, "revision");
        if (!it.revision) {
            it.outcome = malformed_answer();
        }
        return it;
    }
    if (answer && answer->status == conflict) {
        it.revision = number_in(answer->body, "current");
    }
    if (it.outcome.result == exit_code::outcome_unknown) {
        const auto present = read(name);
        if (present.outcome.result == exit_code::ok &&
            present.revision != replaces &&
            is_same_document(present.document, document)) {
            it = {.outcome = present.outcome, .revision = present.revision};
        }
    }
    return it;
}

std::string name_of(const documents::published& document)
{
    if (const auto* team = std::get_if<team_spec>(&document)) {
        return "team/" + team->team.str();
    }
    return "key/" + std::get<key_spec>(document).key.str();
}

} // namespace rosemarytrail::cli
