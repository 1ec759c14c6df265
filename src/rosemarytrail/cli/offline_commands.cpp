#include <rosemarytrail/cli/input_file.hpp>
#include <rosemarytrail/cli/subcommands.hpp>

#include <rosemarytrail/documents/document.hpp>
#include <rosemarytrail/documents/json_fields.hpp>
#include <rosemarytrail/documents/key_secret.hpp>
#include <rosemarytrail/settings/daemon_settings.hpp>

#include <nlohmann/json.hpp>

#include <optional>

namespace rosemarytrail::cli {

namespace {

using nlohmann::json;

/** @return Kind of a text by its field `kind`; settings have none. */
std::string kind_of(const std::string& text)
{
    const auto object = json::parse(text, nullptr, false);
    if (!object.is_object() || !object.contains("kind")) {
        return "settings";
    }
    const auto& kind = object.at("kind");
    return kind.is_string() ? kind.get<std::string>() : std::string{};
}

bool is_valid(const std::string& kind, const std::string& text, reason& why)
{
    if (kind == "settings") {
        return settings::parse_daemon_settings(text, why).has_value();
    }
    if (kind == "job") {
        return documents::parse_job(text, why).has_value();
    }
    if (kind == "team" || kind == "key") {
        return documents::parse_published(text, why).has_value();
    }
    why = {.code = result_code::document_field_range,
           .detail =
               documents::describe_fault("kind", kind, "job, team or key")};
    return false;
}

} // namespace

exit_code run_check(const context& it)
{
    const auto& path = it.asked.operands.front();
    const auto text = read_input(it, path);
    if (!text) {
        return exit_code::usage;
    }
    const auto kind = kind_of(*text);
    reason why;
    if (!is_valid(kind, *text, why)) {
        it.out.write_error(why, true);
        return exit_code::usage;
    }
    it.out.write(
        it.out.json()
            ? json{{"file", path}, {"kind", kind}, {"valid", true}}.dump(
                  -1, ' ', true, json::error_handler_t::replace)
            : path + ": valid " + kind);
    return exit_code::ok;
}

exit_code run_operator_key(const context& it)
{
    const auto secret = documents::make_secret();
    const auto salt = documents::make_salt();
    const auto hash = documents::hash_secret(salt, secret);
    if (it.out.json()) {
        it.out.write(json{
            {"operator_key", secret},
            {"operator_key_salt", salt},
            {"operator_key_hash",
             hash}}.dump());
        return exit_code::ok;
    }
    it.out.write("operator key, shown once: " + secret);
    it.out.write("for the settings of every entry VM:");
    it.out.write("  \"operator_key_salt\": \"" + salt + "\",");
    it.out.write("  \"operator_key_hash\": \"" + hash + "\"");
    return exit_code::ok;
}

} // namespace rosemarytrail::cli
