#include <rosemarytrail/cli/job_status.hpp>

#include <rosemarytrail/core/result_code.hpp>

#include <nlohmann/json.hpp>

namespace rosemarytrail::cli {

namespace {

using nlohmann::json;

std::string text_in(const json& object, const char* name)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_string() ? it->get<std::string>()
                                                 : std::string{};
}

template <typename Number>
Number number_in(const json& object, const char* name)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_number_unsigned() ? it->get<Number>()
                                                          : Number{};
}

std::vector<std::string> texts_in(const json& object, const char* name)
{
    std::vector<std::string> texts;
    for (const auto& it : object.value(name, json::array())) {
        if (it.is_string()) {
            texts.push_back(it.get<std::string>());
        }
    }
    return texts;
}

std::optional<job_status> read_status(const json& object)
{
    if (!object.is_object() || text_in(object, "job").empty() ||
        text_in(object, "phase").empty()) {
        return std::nullopt;
    }
    job_status it{.job = text_in(object, "job"),
                  .name = text_in(object, "name"),
                  .policy = text_in(object, "class"),
                  .phase = text_in(object, "phase"),
                  .tasks = number_in<std::uint32_t>(object, "tasks"),
                  .queued = number_in<std::uint32_t>(object, "queued"),
                  .running = number_in<std::uint32_t>(object, "running"),
                  .succeeded = number_in<std::uint32_t>(object, "succeeded"),
                  .failed = number_in<std::uint32_t>(object, "failed"),
                  .from_holder =
                      object.value("from_holder", json()) == json(true),
                  .vms = texts_in(object, "vms")};
    const auto wait = object.find("waits_for");
    if (wait != object.end() && wait->is_object()) {
        it.waits_for = number_in<std::uint32_t>(*wait, "code");
        it.wait_reason = text_in(*wait, "reason");
        it.wait_meaning = text_in(*wait, "meaning");
        it.wait_detail = text_in(*wait, "detail");
        it.waits_since_ms = number_in<std::uint64_t>(*wait, "since_ms");
    }
    return it;
}

std::string wait_cell(const job_status& it)
{
    return it.waits_for == 0
               ? "-"
               : std::to_string(it.waits_for) + " " + it.wait_reason;
}

} // namespace

std::optional<job_status> parse_job_status(std::string_view body)
{
    return read_status(json::parse(body, nullptr, false));
}

std::optional<std::vector<job_status>> parse_job_list(std::string_view body)
{
    const auto object = json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("jobs") ||
        !object.at("jobs").is_array()) {
        return std::nullopt;
    }
    std::vector<job_status> jobs;
    for (const auto& it : object.at("jobs")) {
        auto status = read_status(it);
        if (!status) {
            return std::nullopt;
        }
        jobs.push_back(std::move(*status));
    }
    return jobs;
}

bool is_over(const job_status& it) noexcept
{
    return it.phase == "finished" || it.phase == "failed" ||
           it.phase == "cancelled" || it.phase == "rejected";
}

bool has_succeeded(const job_status& it) noexcept
{
    return it.phase == "finished" && it.failed == 0;
}

table_row status_heads()
{
    return {"JOB",    "NAME",    "CLASS",     "PHASE",  "TASKS",
            "QUEUED", "RUNNING", "SUCCEEDED", "FAILED", "WAITS FOR"};
}

table_row status_row(const job_status& it)
{
    return {it.job,
            it.name,
            it.policy,
            it.phase,
            std::to_string(it.tasks),
            std::to_string(it.queued),
            std::to_string(it.running),
            std::to_string(it.succeeded),
            std::to_string(it.failed),
            wait_cell(it)};
}

std::string explain(const job_status& it)
{
    auto text = "job " + it.job + " is " + it.phase + ": " +
                std::to_string(it.running) + " of " + std::to_string(it.tasks) +
                " tasks running, " + std::to_string(it.queued) + " queued, " +
                std::to_string(it.succeeded) + " succeeded, " +
                std::to_string(it.failed) + " failed\n";
    if (it.waits_for == 0) {
        text += "nothing holds it back\n";
    } else {
        text += "it waits for " + std::to_string(it.waits_for) + " " +
                it.wait_reason + ", for " + std::to_string(it.waits_since_ms) +
                " ms: " + it.wait_meaning + "\n";
    }
    if (!it.wait_detail.empty()) {
        text += it.wait_detail + "\n";
    }
    if (!it.from_holder && !is_over(it)) {
        text += "the holder of its partition did not answer; this is what the "
                "log says\n";
    }
    return text;
}

std::string explain_json(const job_status& it)
{
    json object{{"job", it.job},         {"phase", it.phase},
                {"tasks", it.tasks},     {"queued", it.queued},
                {"running", it.running}, {"from_holder", it.from_holder}};
    if (it.waits_for != 0) {
        object["waits_for"] = {{"code", it.waits_for},
                               {"reason", it.wait_reason},
                               {"meaning", it.wait_meaning},
                               {"detail", it.wait_detail},
                               {"since_ms", it.waits_since_ms}};
    }
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace rosemarytrail::cli
