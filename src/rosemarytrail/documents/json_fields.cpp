#include <rosemarytrail/documents/json_fields.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <vector>

namespace rosemarytrail::documents {

namespace {

using nlohmann::json;

constexpr std::size_t identifier_length = 64;
constexpr std::size_t salt_digits = 32;
constexpr std::size_t hash_digits = 64;
/** @brief Longest part of a value that an error line shows, in characters. */
constexpr std::size_t shown_characters = 80;

/** @brief Remembers the field names of each open object. */
class repeated_field_finder
{
public:
    /** @brief Sees one event of the parser. */
    void see(json::parse_event_t event, const json& value)
    {
        switch (event) {
        case json::parse_event_t::object_start:
            open_.emplace_back();
            break;
        case json::parse_event_t::object_end:
            open_.pop_back();
            break;
        case json::parse_event_t::key:
            see_name(value.get<std::string>());
            break;
        default:
            break;
        }
    }

    /** @return Name of the first field given twice, if there is one. */
    [[nodiscard]] const std::optional<std::string>& found() const noexcept
    {
        return found_;
    }

private:
    void see_name(const std::string& name)
    {
        if (!open_.back().insert(name).second && !found_) {
            found_ = name;
        }
    }

    std::vector<std::set<std::string>> open_;
    std::optional<std::string> found_;
};

/** @return Value on one line of ASCII, cut where it is long. */
std::string show(const json& value)
{
    constexpr int no_indent = -1;
    auto text =
        value.dump(no_indent, ' ', true, json::error_handler_t::replace);
    if (text.size() > shown_characters) {
        text.resize(shown_characters);
        text += "...";
    }
    return text;
}

std::string show_number(double value)
{
    return std::trunc(value) == value
               ? json(static_cast<std::int64_t>(value)).dump()
               : json(value).dump();
}

std::string_view type_name(field_type type) noexcept
{
    constexpr std::array<std::string_view, 5> names{
        "text", "whole number", "number", "true or false", "object"};
    return names[static_cast<std::size_t>(type)];
}

std::string allowed_range(const field_rule& rule)
{
    return std::string{type_name(rule.type)} + " from " +
           show_number(rule.least) + " to " + show_number(rule.most);
}

/** @return What a field may hold, for people. */
std::string allowed(const field_rule& rule)
{
    if (rule.type == field_type::integer || rule.type == field_type::number) {
        return allowed_range(rule);
    }
    if (rule.type == field_type::text && !rule.allowed.empty()) {
        return std::string{rule.allowed};
    }
    return std::string{type_name(rule.type)};
}

bool has_type(const json& value, field_type type) noexcept
{
    switch (type) {
    case field_type::text:
        return value.is_string();
    case field_type::integer:
        return value.is_number_integer();
    case field_type::number:
        return value.is_number();
    case field_type::boolean:
        return value.is_boolean();
    case field_type::object:
        return value.is_object();
    }
    return false;
}

bool in_range(const json& value, const field_rule& rule)
{
    if (rule.type == field_type::integer || rule.type == field_type::number) {
        const auto n = value.get<double>();
        return n >= rule.least && n <= rule.most;
    }
    if (rule.type == field_type::text && rule.accepts != nullptr) {
        return rule.accepts(value.get_ref<const std::string&>());
    }
    return true;
}

std::string known_names(std::span<const field_rule> rules)
{
    std::string names;
    for (const auto& it : rules) {
        names += names.empty() ? "" : ", ";
        names += it.name;
    }
    return names;
}

const field_rule* find_rule(std::span<const field_rule> rules,
                            std::string_view name) noexcept
{
    const auto it = std::find_if(
        rules.begin(), rules.end(),
        [name](const field_rule& rule) { return rule.name == name; });
    return it == rules.end() ? nullptr : &*it;
}

bool check_value(const json& value, const field_rule& rule,
                 const field_codes& codes, const std::string& path, reason& why)
{
    if (!has_type(value, rule.type)) {
        why = {codes.type, describe_fault(path, value, allowed(rule))};
        return false;
    }
    if (!in_range(value, rule)) {
        why = {codes.range, describe_fault(path, value, allowed(rule))};
        return false;
    }
    return true;
}

bool check_required(const json& object, std::span<const field_rule> rules,
                    const field_codes& codes, std::string_view prefix,
                    reason& why)
{
    for (const auto& it : rules) {
        if (it.required && !object.contains(it.name)) {
            why = {codes.missing, "field " + std::string{prefix} +
                                      std::string{it.name} +
                                      " is missing; allowed: " + allowed(it)};
            return false;
        }
    }
    return true;
}

bool is_hexadecimal(std::string_view text) noexcept
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
}

bool is_identifier_character(char c) noexcept
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
}

} // namespace

std::optional<json> parse_object(std::string_view text,
                                 const field_codes& codes, reason& why)
{
    repeated_field_finder repeated;
    const auto see = [&repeated](int, json::parse_event_t event, json& value) {
        repeated.see(event, value);
        return true;
    };
    auto object = json::parse(text, see, false);
    if (object.is_discarded()) {
        why = {codes.not_json, "the text is not JSON"};
        return std::nullopt;
    }
    if (!object.is_object()) {
        why = {codes.not_json,
               "the text is " + show(object) + "; allowed: one JSON object"};
        return std::nullopt;
    }
    if (repeated.found()) {
        why = {codes.not_json,
               "field " + show(*repeated.found()) + " is given twice"};
        return std::nullopt;
    }
    return object;
}

bool check_fields(const json& object, std::span<const field_rule> rules,
                  const field_codes& codes, std::string_view prefix,
                  reason& why)
{
    for (const auto& [name, value] : object.items()) {
        const auto* rule = find_rule(rules, name);
        if (rule == nullptr) {
            const auto shown = show(name);
            const auto inner = shown.substr(1, shown.size() - 2);
            why = {codes.unknown, "field " + std::string{prefix} + inner +
                                      " is unknown, its value is " +
                                      show(value) +
                                      "; allowed: " + known_names(rules)};
            return false;
        }
        const auto path = std::string{prefix} + name;
        if (!check_value(value, *rule, codes, path, why)) {
            return false;
        }
    }
    return check_required(object, rules, codes, prefix, why);
}

std::string describe_fault(std::string_view field, const json& value,
                           std::string_view allowed)
{
    return "field " + std::string{field} + " is " + show(value) +
           "; allowed: " + std::string{allowed};
}

bool is_identifier(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= identifier_length &&
           std::all_of(text.begin(), text.end(), is_identifier_character);
}

bool is_salt(std::string_view text) noexcept
{
    return text.size() == salt_digits && is_hexadecimal(text);
}

bool is_hash(std::string_view text) noexcept
{
    return text.size() == hash_digits && is_hexadecimal(text);
}

} // namespace rosemarytrail::documents
