#include <rosemarytrail/backends/worker_wire.hpp>

#include <rosemarytrail/backends/json_fields.hpp>

#include <array>
#include <cstddef>
#include <span>

namespace rosemarytrail::backends {

namespace {

/** @brief Wire names, in the order of the enumerators. */
constexpr std::array<std::string_view, 5> command_names{
    "start", "checkpoint", "stop", "throttle", "acknowledge"};

/** @copydoc command_names */
constexpr std::array<std::string_view, 6> phase_names{
    "running", "succeeded", "failed", "stopped", "checkpointed", "lapsed"};

template <typename Enum>
void read_name(field_reader& fields, const char* field,
               std::span<const std::string_view> names, Enum& out)
{
    std::string text;
    fields.read(field, text);
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == text) {
            out = static_cast<Enum>(i);
            return;
        }
    }
    fields.fail();
}

void read_code(field_reader& fields, result_code& out)
{
    std::uint16_t number = static_cast<std::uint16_t>(result_code::ok);
    if (fields.find("code") == nullptr) {
        fields.fail();
    }
    fields.read("code", number);
    out = static_cast<result_code>(number);
    if (describe(out).code != out) {
        fields.fail();
    }
}

[[nodiscard]] json to_json(const worker_command& command)
{
    json result;
    result["kind"] = command_names.at(static_cast<std::size_t>(command.kind));
    result["job"] = command.task.job.str();
    result["index"] = command.task.index;
    result["attempt"] = command.attempt;
    write_resources(result, command.request);
    result["run_time_ms"] = to_milliseconds(command.run_time);
    result["service"] = command.service.str();
    return result;
}

[[nodiscard]] bool from_json(const json& value, worker_command& out)
{
    field_reader fields{value};
    read_name(fields, "kind", command_names, out.kind);
    fields.read("job", out.task.job);
    fields.read("index", out.task.index);
    fields.read("attempt", out.attempt);
    fields.read(out.request);
    fields.read_milliseconds("run_time_ms", out.run_time);
    fields.read("service", out.service);
    return fields.good() && !out.task.job.empty();
}

[[nodiscard]] json to_json(const task_report& task)
{
    json result;
    result["job"] = task.task.job.str();
    result["index"] = task.task.index;
    result["attempt"] = task.attempt;
    result["phase"] = phase_names.at(static_cast<std::size_t>(task.phase));
    write_resources(result, task.request);
    result["used_millicores"] = task.used.millicores;
    result["used_memory_mib"] = task.used.memory_mib;
    result["age_ms"] = to_milliseconds(task.age);
    result["service"] = task.service.str();
    return result;
}

[[nodiscard]] bool from_json(const json& value, task_report& out)
{
    field_reader fields{value};
    fields.read("job", out.task.job);
    fields.read("index", out.task.index);
    fields.read("attempt", out.attempt);
    read_name(fields, "phase", phase_names, out.phase);
    fields.read(out.request);
    fields.read("used_millicores", out.used.millicores);
    fields.read("used_memory_mib", out.used.memory_mib);
    fields.read_milliseconds("age_ms", out.age);
    fields.read("service", out.service);
    return fields.good() && !out.task.job.empty() && out.used.is_valid();
}

} // namespace

std::string encode_worker_batch(const worker_batch& batch)
{
    json result;
    result["epoch"] = batch.epoch;
    result["token"] = batch.token;
    result["lease_ms"] = to_milliseconds(batch.lease);
    result["renew"] = batch.renew;
    auto& commands = result["commands"] = json::array();
    for (const auto& it : batch.commands) {
        commands.push_back(to_json(it));
    }
    return dump_json(result);
}

std::optional<worker_batch> decode_worker_batch(std::string_view text)
{
    const auto value = parse_json(text);
    worker_batch result;
    field_reader fields{value};
    fields.read("epoch", result.epoch);
    fields.read("token", result.token);
    fields.read_milliseconds("lease_ms", result.lease);
    fields.read("renew", result.renew);
    fields.read_list("commands", [&result](const json& it) {
        return from_json(it, result.commands.emplace_back());
    });
    if (!fields.good()) {
        return std::nullopt;
    }
    return result;
}

std::string encode_worker_outcome(const worker_outcome& outcome)
{
    json result;
    result["code"] = static_cast<std::uint16_t>(outcome.code);
    result["epoch"] = outcome.epoch;
    result["token"] = outcome.token;
    result["token_span_ms"] = to_milliseconds(outcome.token_span);
    write_resources(result, outcome.capacity);
    result["busy_slots"] = outcome.busy_slots;
    auto& commands = result["commands"] = json::array();
    for (const auto& it : outcome.commands) {
        commands.push_back({{"code", static_cast<std::uint16_t>(it.code)}});
    }
    auto& tasks = result["tasks"] = json::array();
    for (const auto& it : outcome.tasks) {
        tasks.push_back(to_json(it));
    }
    return dump_json(result);
}

std::optional<worker_outcome> decode_worker_outcome(std::string_view text)
{
    const auto value = parse_json(text);
    worker_outcome result;
    field_reader fields{value};
    read_code(fields, result.code);
    fields.read("epoch", result.epoch);
    fields.read("token", result.token);
    fields.read_milliseconds("token_span_ms", result.token_span);
    fields.read(result.capacity);
    fields.read("busy_slots", result.busy_slots);
    fields.read_list("commands", [&result](const json& it) {
        field_reader command{it};
        read_code(command, result.commands.emplace_back().code);
        return command.good();
    });
    fields.read_list("tasks", [&result](const json& it) {
        return from_json(it, result.tasks.emplace_back());
    });
    if (!fields.good()) {
        return std::nullopt;
    }
    return result;
}

} // namespace rosemarytrail::backends
