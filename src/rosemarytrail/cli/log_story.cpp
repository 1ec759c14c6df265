#include <rosemarytrail/cli/log_story.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>

namespace rosemarytrail::cli {

namespace {

using json = nlohmann::ordered_json;

/** @brief What happens this long before or after a job may bear on it: the
 * time in which a silent leader is replaced. */
constexpr std::int64_t beside_ms = 4000;

/** @brief Events that bear on all jobs. */
constexpr std::array<std::string_view, 13> bearing_on_all{
    "started",          "stopping",   "stopped",        "reload",
    "lead_taken",       "lead_lost",  "leader_lost",    "claim_failed",
    "claim_lost",       "store_lost", "store_regained", "log_lines_left_out",
    "log_lines_dropped"};

/** @brief Decisions that bear on all jobs. */
constexpr std::array<std::string_view, 4> bearing_decisions{
    "tasks lost", "worker restarted", "worker answers again",
    "worker set aside"};

[[nodiscard]] std::string text_of(const json& value)
{
    return value.is_string()
               ? value.get<std::string>()
               : value.dump(-1, ' ', false, json::error_handler_t::replace);
}

[[nodiscard]] std::optional<logged_event> parse_event(std::string_view line)
{
    const auto begin = line.find("{\"ts_ms\"");
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    const auto object = json::parse(line.substr(begin), nullptr, false);
    if (!object.is_object() || !object.at("ts_ms").is_number_integer()) {
        return std::nullopt;
    }
    logged_event result{.ts_ms = object.at("ts_ms")};
    for (const auto& [key, value] : object.items()) {
        if (key == "node") {
            result.node = text_of(value);
        } else if (key == "event") {
            result.name = text_of(value);
        } else if (key != "ts_ms" && key != "level" && key != "program") {
            result.fields.emplace_back(key, text_of(value));
        }
    }
    return result;
}

[[nodiscard]] bool names_job(const logged_event& event, std::string_view job)
{
    return std::ranges::any_of(event.fields, [job](const auto& it) {
        return it.second.find(job) != std::string::npos;
    });
}

[[nodiscard]] bool bears_on_all(const logged_event& event)
{
    if (std::ranges::find(bearing_on_all, event.name) != bearing_on_all.end()) {
        return true;
    }
    return event.name == "decision" &&
           std::ranges::any_of(event.fields, [](const auto& it) {
               return it.first == "what" &&
                      std::ranges::find(bearing_decisions, it.second) !=
                          bearing_decisions.end();
           });
}

} // namespace

log_story read_log_story(std::string_view job,
                         std::span<const std::string> logs)
{
    log_story result;
    std::vector<logged_event> beside;
    for (const std::string_view text : logs) {
        for (std::size_t at = 0; at < text.size();) {
            const auto end = std::min(text.find('\n', at), text.size());
            auto event = parse_event(text.substr(at, end - at));
            at = end + 1;
            if (!event) {
                ++result.unread;
            } else if (names_job(*event, job)) {
                event->about_job = true;
                result.events.push_back(std::move(*event));
            } else if (bears_on_all(*event)) {
                beside.push_back(std::move(*event));
            }
        }
    }
    if (result.events.empty()) {
        return result;
    }
    const auto [first, last] =
        std::ranges::minmax(result.events, {}, &logged_event::ts_ms);
    const auto from = first.ts_ms - beside_ms;
    const auto to = last.ts_ms + beside_ms;
    std::ranges::copy_if(beside, std::back_inserter(result.events),
                         [from, to](const logged_event& it) {
                             return it.ts_ms >= from && it.ts_ms <= to;
                         });
    std::ranges::stable_sort(result.events, {}, &logged_event::ts_ms);
    return result;
}

std::string to_text(const log_story& story)
{
    constexpr double ms_per_s = 1000;
    const auto first = std::ranges::find_if(
        story.events, [](const logged_event& it) { return it.about_job; });
    std::string result;
    for (const auto& event : story.events) {
        std::array<char, 32> time{};
        std::snprintf(time.data(), time.size(), "%+9.3f s",
                      static_cast<double>(event.ts_ms - first->ts_ms) /
                          ms_per_s);
        result += (result.empty() ? "" : "\n");
        result += std::string{time.data()} + (event.about_job ? " * " : "   ") +
                  event.node + " " + event.name;
        for (const auto& [key, value] : event.fields) {
            result.append(" ").append(key).append("=").append(value);
        }
    }
    if (story.unread > 0) {
        result += "\n" + std::to_string(story.unread) +
                  " lines are no events of a node";
    }
    return result;
}

std::string to_json(const log_story& story)
{
    auto rows = json::array();
    for (const auto& event : story.events) {
        json row{{"ts_ms", event.ts_ms},
                 {"node", event.node},
                 {"event", event.name},
                 {"about_job", event.about_job}};
        for (const auto& [key, value] : event.fields) {
            row[key] = value;
        }
        rows.push_back(std::move(row));
    }
    return rows.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace rosemarytrail::cli
