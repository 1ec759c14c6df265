#include <rosemarytrail/settings/daemon_settings.hpp>

#include <rosemarytrail/documents/text_file.hpp>
#include <rosemarytrail/settings/address.hpp>

#include <array>
#include <type_traits>

namespace rosemarytrail::settings {

namespace {

using documents::describe_fault;
using documents::field_rule;
using documents::field_type;
using nlohmann::json;

constexpr documents::field_codes codes{
    .not_json = result_code::settings_not_json,
    .unknown = result_code::settings_field_unknown,
    .type = result_code::settings_field_type,
    .range = result_code::settings_field_range,
    .missing = result_code::settings_field_missing};

constexpr double most_port = 65'535;
constexpr double most_partitions = 256;
constexpr double most_threads = 64;
constexpr double most_connections = 65'536;
constexpr double least_body_bytes = 1'024;
constexpr double most_body_bytes = 67'108'864;
constexpr double most_account_rate = 1'000'000;
constexpr double most_in_flight = 1'000'000;
constexpr double most_appends = 1'000;
constexpr double second_ms = 1'000;
constexpr double minute_ms = 60 * second_ms;

/** @brief Rule of one field and the function that takes its value over. */
struct setting
{
    field_rule rule;
    void (*read)(const json& value, daemon_settings& into);
};

/** @brief Takes a text, a number or an identifier over. */
template <auto Member>
void read_value(const json& value, daemon_settings& into)
{
    using type = std::remove_reference_t<decltype(into.*Member)>;
    if constexpr (std::is_same_v<type, zone_id>) {
        into.*Member = zone_id{value.get<std::string>()};
    } else if constexpr (std::is_same_v<type, duration>) {
        into.*Member = std::chrono::milliseconds{value.get<std::int64_t>()};
    } else {
        into.*Member = value.get<type>();
    }
}

bool is_log_level(std::string_view text) noexcept
{
    return text == "info" || text == "warning" || text == "error";
}

template <auto Member>
constexpr setting text(std::string_view name, bool required,
                       bool (*accepts)(std::string_view),
                       std::string_view allowed) noexcept
{
    return {.rule = {.name = name,
                     .type = field_type::text,
                     .required = required,
                     .accepts = accepts,
                     .allowed = allowed},
            .read = read_value<Member>};
}

template <auto Member>
constexpr setting integer(std::string_view name, double least, double most,
                          bool required = false) noexcept
{
    return {.rule = {.name = name,
                     .type = field_type::integer,
                     .required = required,
                     .least = least,
                     .most = most},
            .read = read_value<Member>};
}

template <auto Member>
constexpr setting number(std::string_view name, double least,
                         double most) noexcept
{
    return {.rule = {.name = name,
                     .type = field_type::number,
                     .least = least,
                     .most = most},
            .read = read_value<Member>};
}

using fields = daemon_settings;

constexpr std::array table{
    text<&fields::address>("address", false, is_ip_number, ip_number_allowed),
    integer<&fields::api_port>("api_port", 1, most_port, true),
    integer<&fields::peer_port>("peer_port", 1, most_port, true),
    text<&fields::region>("region", false, documents::is_identifier,
                          documents::identifier_allowed),
    text<&fields::zone>("availability_zone", true, documents::is_identifier,
                        documents::identifier_allowed),
    text<&fields::log_url>("log_url", true, is_base_url, base_url_allowed),
    text<&fields::stream>("stream", false, documents::is_identifier,
                          documents::identifier_allowed),
    text<&fields::vm_list_url>("vm_list_url", true, is_base_url,
                               base_url_allowed),
    text<&fields::operator_key_salt>(
        "operator_key_salt", true, documents::is_salt, documents::salt_allowed),
    text<&fields::operator_key_hash>(
        "operator_key_hash", true, documents::is_hash, documents::hash_allowed),
    integer<&fields::partitions>("partitions", 1, most_partitions),
    integer<&fields::traffic_threads>("traffic_threads", 1, most_threads),
    integer<&fields::connections>("connections", 1, most_connections),
    integer<&fields::body_bytes>("body_bytes", least_body_bytes,
                                 most_body_bytes),
    number<&fields::account_rate>("account_rate", 1, most_account_rate),
    integer<&fields::requests_in_flight>("requests_in_flight", 1,
                                         most_in_flight),
    integer<&fields::request_timeout>("request_timeout_ms", 10, 10 * minute_ms),
    number<&fields::appends_per_second>("appends_per_second", 1, most_appends),
    integer<&fields::heartbeat>("heartbeat_ms", 10, 10 * second_ms),
    integer<&fields::peer_timeout>("peer_timeout_ms", 20, minute_ms),
    integer<&fields::worker_period>("worker_period_ms", 10, minute_ms),
    integer<&fields::news_period>("news_period_ms", 100, minute_ms),
    integer<&fields::command_bound>("command_bound_ms", 10, minute_ms),
    integer<&fields::task_lease>("task_lease_ms", 100, 60 * minute_ms),
    integer<&fields::drift_margin>("drift_margin_ms", 0, minute_ms),
    integer<&fields::shutdown>("shutdown_ms", 100, 10 * minute_ms),
    text<&fields::log_level>("log_level", false, is_log_level,
                             "info, warning or error")};

constexpr auto rules = [] {
    std::array<field_rule, table.size()> copy{};
    for (std::size_t n = 0; n < table.size(); ++n) {
        copy[n] = table[n].rule;
    }
    return copy;
}();

/** @brief Says that one span must be longer than another. */
struct span_order
{
    std::string_view longer;
    duration daemon_settings::*longer_span;
    std::string_view shorter;
    duration daemon_settings::*shorter_span;
};

constexpr std::array span_orders{
    // A peer is silent for a whole heartbeat while it is well.
    span_order{"peer_timeout_ms", &fields::peer_timeout, "heartbeat_ms",
               &fields::heartbeat},
    // News comes with heartbeats, so a shorter period never holds.
    span_order{"news_period_ms", &fields::news_period, "heartbeat_ms",
               &fields::heartbeat},
    // Leases and tokens are renewed once in each worker period.
    span_order{"task_lease_ms", &fields::task_lease, "worker_period_ms",
               &fields::worker_period},
    span_order{"command_bound_ms", &fields::command_bound, "worker_period_ms",
               &fields::worker_period},
    // A graceful shutdown waits for the longest request.
    span_order{"shutdown_ms", &fields::shutdown, "request_timeout_ms",
               &fields::request_timeout}};

bool check_span_orders(const daemon_settings& read, reason& why)
{
    for (const auto& it : span_orders) {
        const auto longer = to_milliseconds(read.*it.longer_span);
        const auto shorter = to_milliseconds(read.*it.shorter_span);
        if (longer <= shorter) {
            why = {result_code::settings_field_range,
                   describe_fault(it.longer, longer,
                                  "more than " + std::string{it.shorter} +
                                      ", which is " + std::to_string(shorter))};
            return false;
        }
    }
    return true;
}

bool check_ports(const daemon_settings& read, reason& why)
{
    if (read.api_port == read.peer_port) {
        why = {result_code::settings_field_range,
               describe_fault("peer_port", read.peer_port,
                              "another port than api_port")};
        return false;
    }
    return true;
}

} // namespace

std::span<const field_rule> daemon_settings_rules() noexcept
{
    return rules;
}

std::optional<daemon_settings> parse_daemon_settings(std::string_view text,
                                                     reason& why)
{
    const auto object = documents::parse_object(text, codes, why);
    if (!object || !documents::check_fields(*object, rules, codes, "", why)) {
        return std::nullopt;
    }
    daemon_settings read;
    for (const auto& it : table) {
        const auto found = object->find(it.rule.name);
        if (found != object->end()) {
            it.read(*found, read);
        }
    }
    if (!check_ports(read, why) || !check_span_orders(read, why)) {
        return std::nullopt;
    }
    return read;
}

std::optional<daemon_settings> load_daemon_settings(const std::string& path,
                                                    reason& why)
{
    const auto text = documents::read_text_file(path);
    if (!text) {
        why = {result_code::settings_unreadable,
               "file " + path + " cannot be read"};
        return std::nullopt;
    }
    return parse_daemon_settings(*text, why);
}

} // namespace rosemarytrail::settings
