#include <rosemarytrail/cli/config_client.hpp>
#include <rosemarytrail/cli/input_file.hpp>
#include <rosemarytrail/cli/subcommands.hpp>
#include <rosemarytrail/documents/json_fields.hpp>
#include <rosemarytrail/documents/key_secret.hpp>

#include <nlohmann/json.hpp>

namespace rosemarytrail::cli {

namespace {

using nlohmann::json;

/** @brief Times that a withdrawal is tried against racing publications. */
constexpr int withdrawal_attempts = 4;

exit_code fail_usage(const context& it, const std::string& detail)
{
    it.out.write_error({.code = result_code::usage, .detail = detail}, true);
    return exit_code::usage;
}

exit_code write_refusal(const context& it, const config_write& written)
{
    auto why = written.outcome.why;
    if (written.revision) {
        why.detail +=
            "; the revision in force is " + std::to_string(*written.revision);
    }
    it.out.write_error(why, written.outcome.not_run);
    return written.outcome.result;
}

exit_code write_revision(const context& it, const std::string& name,
                         std::uint64_t revision)
{
    it.out.write(it.out.json()
                     ? json{{"name", name}, {"revision", revision}}.dump()
                     : name + " is in force with revision " +
                           std::to_string(revision));
    return exit_code::ok;
}

bool check_identifier(const context& it, const std::string& what,
                      const std::string& text)
{
    if (documents::is_identifier(text)) {
        return true;
    }
    fail_usage(it, documents::describe_fault(what, text,
                                             documents::identifier_allowed));
    return false;
}

/** @brief Reads a key document that is in force. */
std::optional<key_spec> read_key(const context& it, config_client& config,
                                 const std::string& name,
                                 std::uint64_t& revision, exit_code& failed)
{
    const auto present = config.read(name);
    failed = present.outcome.result;
    if (failed != exit_code::ok) {
        it.out.write_error(present.outcome.why, present.outcome.not_run);
        return std::nullopt;
    }
    revision = present.revision;
    if (revision == 0) {
        failed = exit_code::refused;
        it.out.write_error(
            {.code = result_code::key_unknown, .detail = "there is no " + name},
            true);
        return std::nullopt;
    }
    reason why;
    const auto document = documents::parse_published(present.document, why);
    const auto* key = document ? std::get_if<key_spec>(&*document) : nullptr;
    if (key == nullptr) {
        failed = exit_code::refused;
        it.out.write_error(why, true);
        return std::nullopt;
    }
    return *key;
}

exit_code write_secret(const context& it, const std::string& name,
                       const std::string& shown, std::uint64_t revision)
{
    if (it.out.json()) {
        it.out.write(
            json{{"name", name}, {"revision", revision}, {"key", shown}}
                .dump());
        return exit_code::ok;
    }
    write_revision(it, name, revision);
    it.out.write("the key, shown once: " + shown);
    return exit_code::ok;
}

} // namespace

exit_code run_publish(const context& it)
{
    const auto text = read_input(it, it.asked.operands.front());
    if (!text) {
        return exit_code::usage;
    }
    reason why;
    const auto document = documents::parse_published(*text, why);
    if (!document) {
        it.out.write_error(why, true);
        return exit_code::usage;
    }
    const auto name = name_of(*document);
    config_client config{it.entries, it.asked.operator_key};
    auto replaces = it.asked.replaces;
    if (!replaces) {
        const auto present = config.read(name);
        if (present.outcome.result != exit_code::ok) {
            it.out.write_error(present.outcome.why, present.outcome.not_run);
            return present.outcome.result;
        }
        replaces = present.revision;
    }
    const auto written = config.publish(name, *text, *replaces);
    return written.outcome.result == exit_code::ok
               ? write_revision(it, name, *written.revision)
               : write_refusal(it, written);
}

exit_code run_key_give(const context& it)
{
    const auto& id = it.asked.operands.front();
    if (!check_identifier(it, "KEY", id) ||
        !check_identifier(it, "--team", it.asked.team) ||
        !check_identifier(it, "--account", it.asked.account)) {
        return exit_code::usage;
    }
    const auto secret = documents::make_secret();
    const auto salt = documents::make_salt();
    const documents::published document =
        key_spec{.key = key_id{id},
                 .team = team_id{it.asked.team},
                 .account = it.asked.account,
                 .salt = salt,
                 .hash = documents::hash_secret(salt, secret)};
    const auto name = name_of(document);
    config_client config{it.entries, it.asked.operator_key};
    const auto written =
        config.publish(name, documents::format_published(document),
                       it.asked.replaces.value_or(0));
    return written.outcome.result == exit_code::ok
               ? write_secret(it, name, id + "." + secret, *written.revision)
               : write_refusal(it, written);
}

exit_code run_key_withdraw(const context& it)
{
    const auto& id = it.asked.operands.front();
    if (!check_identifier(it, "KEY", id)) {
        return exit_code::usage;
    }
    const auto name = "key/" + id;
    config_client config{it.entries, it.asked.operator_key};
    config_write written;
    for (int n = 0; n < withdrawal_attempts; ++n) {
        std::uint64_t revision{};
        exit_code failed{};
        auto key = read_key(it, config, name, revision, failed);
        if (!key) {
            return failed;
        }
        if (key->withdrawn) {
            return write_revision(it, name, revision);
        }
        key->withdrawn = true;
        written =
            config.publish(name, documents::format_published(*key), revision);
        if (written.outcome.result == exit_code::ok) {
            return write_revision(it, name, *written.revision);
        }
        if (!written.revision) {
            break;
        }
    }
    return write_refusal(it, written);
}

} // namespace rosemarytrail::cli
