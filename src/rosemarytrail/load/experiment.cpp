#include <rosemarytrail/load/experiment.hpp>

#include <rosemarytrail/load/internal/field_reader.hpp>

namespace rosemarytrail::load {

namespace {

using internal::field_reader;

constexpr double microseconds_per_second = 1e6;
constexpr double microseconds_per_millisecond = 1e3;

target read_target(const nlohmann::json& object, std::size_t n, reason& why)
{
    target it;
    field_reader fields{object, "targets[" + std::to_string(n) + "]", why};
    fields.text("name", it.name);
    fields.text("key", it.key);
    fields.text("ready_path", it.ready_path);
    for (const auto& url : fields.array("urls")) {
        if (!url.is_string()) {
            fields.fail(result_code::settings_field_type,
                        "urls: not all are texts");
            break;
        }
        it.urls.push_back(url.get<std::string>());
    }
    fields.finish();
    return it;
}

phase read_phase(const nlohmann::json& object, std::size_t n, reason& why)
{
    phase it;
    double seconds = 1.0;
    double timeout_ms = 2000.0;
    field_reader fields{object, "phases[" + std::to_string(n) + "]", why};
    fields.text("name", it.name);
    fields.number("seconds", seconds, 0.01, 3600.0);
    fields.number("rate", it.rate, 0.01, 1e6);
    fields.number("post_fraction", it.post_fraction, 0.0, 1.0);
    fields.number("timeout_ms", timeout_ms, 1.0, 600000.0);
    fields.number("body_bytes", it.body_bytes, 0.0, 1048576.0);
    fields.flag("warm_up", it.warm_up);
    fields.finish();
    it.span =
        duration{static_cast<duration::rep>(seconds * microseconds_per_second)};
    it.timeout = duration{
        static_cast<duration::rep>(timeout_ms * microseconds_per_millisecond)};
    return it;
}

} // namespace

std::optional<experiment> parse_experiment(std::string_view text, reason& why)
{
    const auto object =
        nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
    if (object.is_discarded()) {
        why = {.code = result_code::settings_not_json,
               .detail = "the experiment is not JSON"};
        return std::nullopt;
    }
    reason fault;
    experiment it;
    field_reader fields{object, "experiment", fault};
    fields.number("seed", it.seed, 0.0, 1e15);
    fields.number("threads", it.threads, 1.0, 64.0);
    fields.number("connections", it.connections, 1.0, 65536.0);
    fields.number("in_flight", it.in_flight, 1.0, 1e6);
    for (const auto& value : fields.array("targets")) {
        it.targets.push_back(read_target(value, it.targets.size(), fault));
    }
    for (const auto& value : fields.array("phases")) {
        it.phases.push_back(read_phase(value, it.phases.size(), fault));
    }
    fields.finish();
    if (fault.code != result_code::ok) {
        why = fault;
        return std::nullopt;
    }
    return it;
}

} // namespace rosemarytrail::load
