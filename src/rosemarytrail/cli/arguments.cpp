#include <rosemarytrail/cli/arguments.hpp>

#include <rosemarytrail/cli/command.hpp>
#include <rosemarytrail/cli/text.hpp>
#include <rosemarytrail/settings/address.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/time/time.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <map>

ABSL_FLAG(std::vector<std::string>, entry, {},
          "ip:port of an entry VM; may be given more than once, in the order "
          "to try; environment ROSEMARYTRAIL_ENTRY");
ABSL_FLAG(std::string, key, "",
          "key of a client account; better given by ROSEMARYTRAIL_KEY, since "
          "others on the VM see a command line");
ABSL_FLAG(std::string, operator_key, "",
          "operator key; better given by ROSEMARYTRAIL_OPERATOR_KEY");
ABSL_FLAG(bool, json, false, "write JSON for programs");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(10),
          "longest time to wait, such as 500ms or 1m");
ABSL_FLAG(std::string, team, "", "team that the key is for");
ABSL_FLAG(std::string, account, "", "client account that shows the key");
ABSL_FLAG(std::string, replaces, "",
          "revision to replace, 0 for a new document; default: the present "
          "one");
ABSL_FLAG(std::string, submission_id, "",
          "id that makes the submission idempotent; default: a fresh one");
ABSL_FLAG(std::string, wait, "", "wait until the job is: over or running");
ABSL_FLAG(std::string, read_offset, "",
          "answer only once this record is applied, as printed by submit");
ABSL_FLAG(std::string, method, "GET", "method: GET, HEAD, PUT, DELETE or POST");
ABSL_FLAG(std::string, data, "", "body of the request");
ABSL_FLAG(std::string, idempotency_key, "",
          "key under which a POST runs at most once");
ABSL_FLAG(std::string, filter, "", "only names that contain this text");

namespace rosemarytrail::cli {

namespace {

constexpr std::string_view help_flag = "help";
constexpr std::string_view entry_flag = "entry";
constexpr std::string_view negation = "no";

reason usage_error(std::string detail)
{
    return {.code = result_code::usage, .detail = std::move(detail)};
}

reason flag_fault(std::string_view name, std::string_view text,
                  std::string_view allowed)
{
    std::string detail = "flag --";
    detail += name;
    detail += " is \"";
    detail += text;
    detail += "\"; allowed: ";
    detail += allowed;
    return usage_error(std::move(detail));
}

/** @brief Words of a command line, told apart. */
struct split_words
{
    bool help{false};
    std::vector<std::string> operands;
    std::map<std::string, std::string> flags;
};

bool is_known(std::string_view name, std::string_view names)
{
    const auto all = split_text(names, ',');
    return std::find(all.begin(), all.end(), name) != all.end();
}

/** @brief Abseil has a string view of its own. */
absl::CommandLineFlag* find_flag(std::string_view name)
{
    return absl::FindCommandLineFlag({name.data(), name.size()});
}

bool is_boolean(std::string_view name)
{
    const auto* flag = find_flag(name);
    return flag != nullptr && flag->IsOfType<bool>();
}

void set_flag(split_words& into, const std::string& name,
              std::string_view value)
{
    auto& text = into.flags[name];
    if (name == entry_flag && !text.empty()) {
        text += ',';
        text += value;
        return;
    }
    text = value;
}

/** @brief Takes one flag over; moves `n` on if its value is the next word. */
bool split_flag(std::span<const char* const> words, std::size_t& n,
                split_words& into, reason& why)
{
    std::string_view word{words[n]};
    word.remove_prefix(2);
    const auto equals = word.find('=');
    const std::string name{word.substr(0, equals)};
    if (name == help_flag) {
        into.help = true;
    } else if (equals != std::string_view::npos) {
        set_flag(into, name, word.substr(equals + 1));
    } else if (is_boolean(name)) {
        set_flag(into, name, "true");
    } else if (name.starts_with(negation) && is_boolean(name.substr(2))) {
        set_flag(into, name.substr(2), "false");
    } else if (n + 1 < words.size()) {
        set_flag(into, name, words[++n]);
    } else {
        why = usage_error("flag --" + name + " has no value");
        return false;
    }
    return true;
}

bool split(std::span<const char* const> words, split_words& into, reason& why)
{
    bool only_operands = false;
    for (std::size_t n = 0; n < words.size(); ++n) {
        const std::string_view word{words[n]};
        if (!only_operands && word == "--") {
            only_operands = true;
        } else if (only_operands || !word.starts_with("--")) {
            into.operands.emplace_back(word);
        } else if (!split_flag(words, n, into, why)) {
            return false;
        }
    }
    return true;
}

/** @brief Takes the name of the subcommand, of one or two words, off. */
const command* take_command(std::vector<std::string>& operands)
{
    for (const std::size_t length : {2U, 1U}) {
        if (operands.size() < length) {
            continue;
        }
        const auto* found =
            find_command(join_text(std::span{operands}.first(length), " "));
        if (found != nullptr) {
            operands.erase(operands.begin(),
                           operands.begin() +
                               static_cast<std::ptrdiff_t>(length));
            return found;
        }
    }
    return nullptr;
}

/** @brief Sets all flags to their defaults; Abseil's saver writes log lines. */
void reset_flags()
{
    std::string error;
    for (const auto& it : commands()) {
        const auto names =
            std::string{common_flags} + "," + std::string{it.flags};
        for (const auto& name : split_text(names, ',')) {
            auto* flag = find_flag(name);
            flag->ParseFrom(flag->DefaultValue(), &error);
        }
    }
}

bool apply_flags(const split_words& words, std::string_view allowed,
                 reason& why)
{
    for (const auto& [name, value] : words.flags) {
        if (!is_known(name, allowed)) {
            why = usage_error("flag --" + name + " is unknown here; allowed: " +
                              join_text(split_text(allowed, ','), ", "));
            return false;
        }
        std::string error;
        if (!find_flag(name)->ParseFrom(value, &error)) {
            why = flag_fault(name, value, find_flag(name)->Help());
            return false;
        }
    }
    return true;
}

std::string from_environment(const std::string& value, const char* name)
{
    const char* set = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value.empty() && set != nullptr ? std::string{set} : value;
}

bool read_number(const std::string& name, const std::string& text,
                 std::optional<std::uint64_t>& into, reason& why)
{
    std::uint64_t value{};
    if (text.empty()) {
        return true;
    }
    const auto* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc{} || stop != end) {
        why = flag_fault(name, text, "whole number from 0");
        return false;
    }
    into = value;
    return true;
}

bool check_choice(const std::string& name, const std::string& text,
                  std::string_view choices, reason& why)
{
    if (text.empty() || is_known(text, choices)) {
        return true;
    }
    why = flag_fault(name, text, join_text(split_text(choices, ','), ", "));
    return false;
}

bool read_entries(arguments& into, reason& why)
{
    auto entries = absl::GetFlag(FLAGS_entry);
    if (entries.empty()) {
        entries = split_text(from_environment("", "ROSEMARYTRAIL_ENTRY"), ',');
    }
    for (const auto& it : entries) {
        if (!settings::is_endpoint(it)) {
            why = flag_fault(entry_flag, it, settings::endpoint_allowed);
            return false;
        }
    }
    into.entries = std::move(entries);
    return true;
}

bool read_timeout(arguments& into, reason& why)
{
    constexpr auto longest = absl::Hours(1);
    const auto span = absl::GetFlag(FLAGS_timeout);
    if (span < absl::Milliseconds(1) || span > longest) {
        why = flag_fault("timeout", absl::FormatDuration(span), "1ms to 1h");
        return false;
    }
    into.timeout = duration{absl::ToInt64Microseconds(span)};
    return true;
}

bool read_flags(arguments& into, reason& why)
{
    into.json = absl::GetFlag(FLAGS_json);
    into.key = from_environment(absl::GetFlag(FLAGS_key), "ROSEMARYTRAIL_KEY");
    into.operator_key = from_environment(absl::GetFlag(FLAGS_operator_key),
                                         "ROSEMARYTRAIL_OPERATOR_KEY");
    into.team = absl::GetFlag(FLAGS_team);
    into.account = absl::GetFlag(FLAGS_account);
    into.submission_id = absl::GetFlag(FLAGS_submission_id);
    into.wait = absl::GetFlag(FLAGS_wait);
    into.method = absl::GetFlag(FLAGS_method);
    into.data = absl::GetFlag(FLAGS_data);
    into.idempotency_key = absl::GetFlag(FLAGS_idempotency_key);
    into.filter = absl::GetFlag(FLAGS_filter);
    return read_number("replaces", absl::GetFlag(FLAGS_replaces), into.replaces,
                       why) &&
           read_number("read_offset", absl::GetFlag(FLAGS_read_offset),
                       into.read_offset, why) &&
           check_choice("wait", into.wait, "over,running", why) &&
           check_choice("method", into.method, "GET,HEAD,PUT,DELETE,POST",
                        why) &&
           read_entries(into, why) && read_timeout(into, why);
}

bool check_operands(const command& asked,
                    const std::vector<std::string>& operands, reason& why)
{
    if (operands.size() >= asked.least_operands &&
        operands.size() <= asked.most_operands) {
        return true;
    }
    why = usage_error("wrong number of arguments; usage: rosemarytrail " +
                      usage_line(asked));
    return false;
}

} // namespace

std::optional<arguments> parse_arguments(std::span<const char* const> words,
                                         reason& why)
{
    split_words split_up;
    if (!split(words, split_up, why)) {
        return std::nullopt;
    }
    arguments read;
    read.help = split_up.help;
    const auto* asked = take_command(split_up.operands);
    if (asked == nullptr) {
        if (read.help && split_up.operands.empty()) {
            return read;
        }
        why = usage_error(
            (split_up.operands.empty()
                 ? std::string{"no command"}
                 : "command " + split_up.operands.front() + " is unknown") +
            "; allowed: " + command_names());
        return std::nullopt;
    }
    read.command = asked->name;
    read.operands = split_up.operands;
    reset_flags();
    const auto allowed =
        std::string{common_flags} + "," + std::string{asked->flags};
    if (!apply_flags(split_up, allowed, why) || !read_flags(read, why)) {
        return std::nullopt;
    }
    if (!read.help && !check_operands(*asked, read.operands, why)) {
        return std::nullopt;
    }
    return read;
}

std::string describe_flags(std::string_view names)
{
    std::string text;
    for (const auto& name : split_text(names, ',')) {
        const auto* flag = find_flag(name);
        if (flag != nullptr) {
            text += text.empty() ? "" : "\n";
            text += "  --" + name + ": " + flag->Help();
        }
    }
    return text;
}

} // namespace rosemarytrail::cli
