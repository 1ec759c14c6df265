#ifndef ROSEMARYTRAIL_SETTINGS_DAEMON_SETTINGS_HPP
#define ROSEMARYTRAIL_SETTINGS_DAEMON_SETTINGS_HPP

#include <rosemarytrail/core/id.hpp>
#include <rosemarytrail/core/reason.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/documents/json_fields.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace rosemarytrail::settings {

/** @brief Settings of one daemon, read from one JSON file. */
struct daemon_settings
{
    /** @brief IP number of this entry VM; `address`. */
    std::string address{"127.0.0.1"};
    /** @brief Port for callers and operators; `api_port`; 1 to 65535. */
    std::uint16_t api_port{};
    /** @brief Port for peers; `peer_port`; 1 to 65535. */
    std::uint16_t peer_port{};
    /** @brief Region; `region`. */
    std::string region{"region-1"};
    /** @brief Availability zone; `availability_zone`. */
    zone_id zone{};
    /** @brief Base address of the log, `http://ip:port`; `log_url`. */
    std::string log_url;
    /** @brief Name of the cell's stream in the log; `stream`. */
    std::string stream{"cell"};
    /** @brief Base address of the VM list; `vm_list_url`. */
    std::string vm_list_url;
    /** @brief Salt of the operator key, in hexadecimal; `operator_key_salt`. */
    std::string operator_key_salt;
    /** @brief Hash of the operator key; `operator_key_hash`. */
    std::string operator_key_hash;
    /** @brief Partitions of the cell; `partitions`; 1 to 256. */
    std::uint32_t partitions{16};
    /** @brief Event-loop threads for traffic; `traffic_threads`; 1 to 64. */
    unsigned traffic_threads{2};
    /** @brief Most connections from callers; `connections`; 1 to 65536. */
    unsigned connections{2048};
    /** @brief Largest request body; `body_bytes`; 1 KiB to 64 MiB. */
    std::size_t body_bytes{std::size_t{1} << 20U};
    /** @brief Largest requests a second of an account; `account_rate`; 1 to
     * 1000000. */
    double account_rate{10000.0};
    /** @brief Requests in flight to upstreams at most; `requests_in_flight`; 1
     * to 1000000. */
    std::uint32_t requests_in_flight{1024};
    /** @brief Longest time for a request; `request_timeout_ms`; 10 to 600000.
     */
    duration request_timeout{std::chrono::seconds{10}};
    /** @brief Appends a second at most; `appends_per_second`; 1 to 1000. */
    double appends_per_second{20.0};
    /** @brief Span between heartbeats; `heartbeat_ms`; 10 to 10000. */
    duration heartbeat{std::chrono::milliseconds{200}};
    /** @brief Silence after which a peer counts as dead; `peer_timeout_ms`;
     * above `heartbeat_ms`. */
    duration peer_timeout{std::chrono::milliseconds{1500}};
    /** @brief Span between batches to a worker; `worker_period_ms`; 10 to
     * 60000. */
    duration worker_period{std::chrono::milliseconds{500}};
    /** @brief Period H of the wait-out rule; `news_period_ms`; above
     * `heartbeat_ms`. */
    duration news_period{std::chrono::seconds{3}};
    /** @brief Longest life of a command token; `command_bound_ms`; above
     * `worker_period_ms`. */
    duration command_bound{std::chrono::seconds{2}};
    /** @brief Lease of a task; `task_lease_ms`; above `worker_period_ms`. */
    duration task_lease{std::chrono::seconds{10}};
    /** @brief Margin for clock drift; `drift_margin_ms`; 0 to 60000. */
    duration drift_margin{std::chrono::milliseconds{500}};
    /** @brief Bound on a graceful shutdown; `shutdown_ms`; above
     * `request_timeout_ms`. */
    duration shutdown{std::chrono::seconds{20}};
    /** @brief Least level of log lines: info, warning, error; `log_level`. */
    std::string log_level{"info"};
};

/** @return Rules of all fields, in the order of docs/OPERATIONS.md. */
[[nodiscard]] std::span<const documents::field_rule>
daemon_settings_rules() noexcept;

/**
 * @brief Checks and reads settings.
 * @param text JSON.
 * @param why Set if nothing is returned; one line that names the field, the
 * value and what is allowed.
 * @return The settings.
 */
[[nodiscard]] std::optional<daemon_settings>
parse_daemon_settings(std::string_view text, reason& why);

/**
 * @brief Checks and reads a settings file.
 * @param path Path of the file.
 * @param why Set if nothing is returned.
 * @return The settings.
 */
[[nodiscard]] std::optional<daemon_settings>
load_daemon_settings(const std::string& path, reason& why);

} // namespace rosemarytrail::settings

#endif
