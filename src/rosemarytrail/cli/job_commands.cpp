#include <rosemarytrail/cli/input_file.hpp>
#include <rosemarytrail/cli/job_status.hpp>
#include <rosemarytrail/cli/log_story.hpp>
#include <rosemarytrail/cli/subcommands.hpp>
#include <rosemarytrail/core/time.hpp>
#include <rosemarytrail/documents/document.hpp>
#include <rosemarytrail/documents/key_secret.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

namespace rosemarytrail::cli {

namespace {

using nlohmann::json;

/** @brief Span between two looks at a job that is waited for. */
constexpr duration wait_period{std::chrono::milliseconds{200}};

call make_call(const context& it, const std::string& method,
               const std::string& path)
{
    call made{.method = method,
              .path = path,
              .headers = {{"Authorization", "Bearer " + it.asked.key}}};
    if (it.asked.read_offset) {
        made.headers.push_back(
            {"X-Read-Offset", std::to_string(*it.asked.read_offset)});
    }
    return made;
}

std::string job_path(const std::string& job)
{
    return "/v1/jobs/" + encode_segment(job);
}

exit_code write_failure(const context& it, const reply& outcome)
{
    it.out.write_error(outcome.why, outcome.not_run);
    return outcome.result;
}

reply read_status(const context& it)
{
    return it.entries.send(
        make_call(it, "GET", job_path(it.asked.operands.front())));
}

exit_code write_unreadable(const context& it)
{
    it.out.write_error({.code = result_code::outcome_unknown,
                        .detail = "the answer is not the expected JSON"},
                       false);
    return exit_code::outcome_unknown;
}

exit_code write_status(const context& it, const std::string& body)
{
    const auto status = parse_job_status(body);
    if (!status) {
        return write_unreadable(it);
    }
    if (it.out.json()) {
        it.out.write(body);
    } else {
        const std::vector<table_row> rows{status_heads(), status_row(*status)};
        it.out.write_table(rows);
    }
    return exit_code::ok;
}

/** @return How a wait ended, or nothing while it goes on. */
std::optional<exit_code> end_of_wait(const job_status& it,
                                     const std::string& wanted)
{
    if (is_over(it)) {
        const bool wanted_end = wanted == "over" && has_succeeded(it);
        return wanted_end ? exit_code::ok : exit_code::refused;
    }
    if (wanted == "running" && it.running == it.tasks) {
        return exit_code::ok;
    }
    return std::nullopt;
}

exit_code write_wait_timeout(const context& it, const reply& last)
{
    if (last.result != exit_code::ok) {
        return write_failure(it, last);
    }
    it.out.write_error({.code = result_code::deadline_passed,
                        .detail = "the job is not " + it.asked.wait +
                                  " yet: " + last.answer->body},
                       false);
    return exit_code::outcome_unknown;
}

exit_code wait_for_status(const context& it)
{
    const auto deadline = boot_clock::now() + it.asked.timeout;
    while (true) {
        const auto last = read_status(it);
        if (last.result == exit_code::ok) {
            const auto status = parse_job_status(last.answer->body);
            const auto end = status ? end_of_wait(*status, it.asked.wait)
                                    : exit_code::outcome_unknown;
            if (end) {
                const auto written = write_status(it, last.answer->body);
                return written == exit_code::ok ? *end : written;
            }
        } else if (last.result != exit_code::unreachable && last.answer &&
                   last.answer->status < 500) {
            return write_failure(it, last);
        }
        if (boot_clock::now() + wait_period > deadline) {
            return write_wait_timeout(it, last);
        }
        std::this_thread::sleep_for(wait_period);
    }
}

exit_code write_accepted(const context& it, const std::string& body)
{
    const auto object = json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("job") ||
        !object.at("job").is_string()) {
        return write_unreadable(it);
    }
    if (it.out.json()) {
        it.out.write(body);
    } else {
        it.out.write("job " + object.at("job").get<std::string>() +
                     " is accepted; record " +
                     object.value("offset", json()).dump());
    }
    return exit_code::ok;
}

exit_code explain_by_logs(const context& it)
{
    const auto& operands = it.asked.operands;
    std::vector<std::string> logs;
    for (std::size_t i = 1; i < operands.size(); ++i) {
        auto text = read_input(it, operands[i]);
        if (!text) {
            return exit_code::usage;
        }
        logs.push_back(std::move(*text));
    }
    const auto story = read_log_story(operands.front(), logs);
    if (story.events.empty()) {
        it.out.write_error({.code = result_code::job_unknown,
                            .detail = "no log line names " + operands.front()},
                           true);
        return exit_code::refused;
    }
    it.out.write(it.out.json() ? to_json(story) : to_text(story));
    return exit_code::ok;
}

} // namespace

exit_code run_submit(const context& it)
{
    const auto text = read_input(it, it.asked.operands.front());
    if (!text) {
        return exit_code::usage;
    }
    reason why;
    if (!documents::parse_job(*text, why)) {
        it.out.write_error(why, true);
        return exit_code::usage;
    }
    const auto id = it.asked.submission_id.empty() ? documents::make_salt()
                                                   : it.asked.submission_id;
    auto post = make_call(it, "POST", "/v1/jobs");
    post.headers.push_back({"X-Submission-Id", id});
    post.body = *text;
    post.changes = effect::idempotent;
    auto outcome = it.entries.send(post);
    if (outcome.result == exit_code::ok) {
        return write_accepted(it, outcome.answer->body);
    }
    if (outcome.result == exit_code::outcome_unknown) {
        outcome.why.detail += "; ask again with --submission_id " + id;
    }
    return write_failure(it, outcome);
}

exit_code run_cancel(const context& it)
{
    const auto& job = it.asked.operands.front();
    auto made = make_call(it, "DELETE", job_path(job));
    made.changes = effect::idempotent;
    const auto outcome = it.entries.send(made);
    if (outcome.result != exit_code::ok) {
        return write_failure(it, outcome);
    }
    const auto object = json::parse(outcome.answer->body, nullptr, false);
    if (!object.is_object()) {
        return write_unreadable(it);
    }
    if (it.out.json()) {
        it.out.write(outcome.answer->body);
        return exit_code::ok;
    }
    const auto yes_or_no = [&object](const char* name) {
        return object.value(name, json()) == json(true) ? "yes" : "no";
    };
    it.out.write("job " + job +
                 " is cancelled; in effect: " + yes_or_no("in_effect") +
                 ", recorded: " + yes_or_no("recorded"));
    return exit_code::ok;
}

exit_code run_status(const context& it)
{
    if (!it.asked.wait.empty()) {
        return wait_for_status(it);
    }
    const auto outcome = read_status(it);
    return outcome.result == exit_code::ok
               ? write_status(it, outcome.answer->body)
               : write_failure(it, outcome);
}

exit_code run_explain(const context& it)
{
    if (it.asked.operands.size() > 1) {
        return explain_by_logs(it);
    }
    const auto outcome = read_status(it);
    if (outcome.result != exit_code::ok) {
        return write_failure(it, outcome);
    }
    const auto status = parse_job_status(outcome.answer->body);
    if (!status) {
        return write_unreadable(it);
    }
    it.out.write(it.out.json() ? explain_json(*status) : explain(*status));
    return exit_code::ok;
}

exit_code run_list(const context& it)
{
    const auto outcome = it.entries.send(make_call(it, "GET", "/v1/jobs"));
    if (outcome.result != exit_code::ok) {
        return write_failure(it, outcome);
    }
    const auto jobs = parse_job_list(outcome.answer->body);
    if (!jobs) {
        return write_unreadable(it);
    }
    if (it.out.json()) {
        it.out.write(outcome.answer->body);
        return exit_code::ok;
    }
    std::vector<table_row> rows{status_heads()};
    std::transform(jobs->begin(), jobs->end(), std::back_inserter(rows),
                   status_row);
    it.out.write_table(rows);
    return exit_code::ok;
}

} // namespace rosemarytrail::cli
