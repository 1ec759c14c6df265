#include <rosemarytrail/documents/document.hpp>
#include <rosemarytrail/state/internal/rules.hpp>

#include <optional>

namespace rosemarytrail::state::internal {

namespace {

/** @brief Checks the ids, the team and the partition of a new job. */
record_result check_names(const cell_data& data, const job_accepted& value)
{
    if (const job_state* it = data.jobs.find(value.job); it != nullptr) {
        return make_void(result_code::record_void_duplicate,
                         value.job.str() + " already exists", it->accepted);
    }
    if (const job_state* it =
            data.jobs.find_submission(value.team, value.submission);
        it != nullptr) {
        return make_void(result_code::record_void_duplicate, it->job.str(),
                         it->accepted);
    }
    if (value.job.empty()) {
        return make_void(result_code::record_void_document, "job has no id");
    }
    if (!data.teams.contains(value.team)) {
        return make_void(result_code::record_void_document,
                         "team " + value.team.str() + " is unknown");
    }
    return check_partition(data, value.partition);
}

/** @brief Checks that a job exists, is open and is in the partition. */
record_result check_open(const cell_data& data, const job_id& job,
                         partition_id partition)
{
    const job_state* it = data.jobs.find(job);
    if (it == nullptr) {
        return make_void(result_code::job_unknown, job.str());
    }
    if (it->phase != job_phase::accepted) {
        return make_void(result_code::record_void_duplicate,
                         job.str() + " has already ended");
    }
    if (it->partition != partition) {
        return make_void(result_code::record_void_epoch,
                         job.str() + " is in partition " +
                             std::to_string(it->partition));
    }
    return {};
}

/** @brief Applies the result of one task, unless it is void. */
record_result fold_task(cell_data& data, const task_finished& value,
                        partition_id partition)
{
    const job_id& job = value.task.job;
    record_result result = check_open(data, job, partition);
    if (result.code != result_code::ok) {
        return result;
    }
    const job_state* it = data.jobs.find(job);
    if (value.task.index >= it->spec.tasks) {
        return make_void(result_code::record_void_document,
                         job.str() + " has no task " +
                             std::to_string(value.task.index));
    }
    if (it->finished.contains(value.task.index)) {
        return make_void(result_code::record_void_duplicate,
                         job.str() + " task " +
                             std::to_string(value.task.index) +
                             " has already ended");
    }
    data.jobs.finish_task(job, value.task.index, value.code);
    if (it->finished.size() == it->spec.tasks) {
        data.jobs.end(job, job_phase::finished, result_code::ok);
    }
    return result;
}

} // namespace

record_result fold(cell_data& data, const job_accepted& value,
                   const record_context& context)
{
    record_result result = check_names(data, value);
    if (result.code != result_code::ok) {
        return result;
    }
    reason why;
    auto spec = documents::parse_job(value.document, why);
    if (!spec) {
        return make_void(result_code::record_void_document,
                         std::move(why.detail));
    }
    if (spec->team != value.team) {
        return make_void(result_code::record_void_document,
                         "job document is of team " + spec->team.str() +
                             ", the key of team " + value.team.str());
    }
    data.jobs.add({.job = value.job,
                   .spec = std::move(*spec),
                   .partition = value.partition,
                   .accepted = context.number},
                  value.submission);
    return result;
}

record_result fold(cell_data& data, const job_cancelled& value,
                   const record_context& /*context*/)
{
    const job_state* it = data.jobs.find(value.job);
    if (it == nullptr) {
        return make_void(result_code::job_unknown, value.job.str());
    }
    if (it->phase != job_phase::accepted) {
        return make_void(result_code::record_void_duplicate,
                         value.job.str() + " has already ended", it->accepted);
    }
    data.jobs.end(value.job, job_phase::cancelled, result_code::ok);
    return {};
}

record_result fold(cell_data& data, const tasks_finished& value,
                   const record_context& context)
{
    record_result result =
        check_holder(data, value.partition, value.epoch, context);
    if (result.code != result_code::ok) {
        return result;
    }
    std::size_t applied = 0;
    std::map<result_code, std::uint64_t> void_counts;
    for (const task_finished& it : value.tasks) {
        record_result task = fold_task(data, it, value.partition);
        if (task.code == result_code::ok) {
            ++applied;
            continue;
        }
        ++void_counts[task.code];
        result.detail = std::move(task.detail);
        result.code = task.code;
    }
    if (applied == 0) {
        return result;
    }
    for (const auto& it : void_counts) {
        data.skipped_records[it.first] += it.second;
    }
    result.code = result_code::ok;
    return result;
}

record_result fold(cell_data& data, const job_rejected& value,
                   const record_context& context)
{
    record_result result =
        check_holder(data, value.partition, value.epoch, context);
    if (result.code == result_code::ok) {
        result = check_open(data, value.job, value.partition);
    }
    if (result.code == result_code::ok) {
        data.jobs.end(value.job, job_phase::rejected, value.code);
    }
    return result;
}

record_result fold(cell_data& /*data*/, const intent_opened& /*value*/,
                   const record_context& /*context*/)
{
    return {};
}

record_result fold(cell_data& /*data*/, const intent_closed& /*value*/,
                   const record_context& /*context*/)
{
    return {};
}

} // namespace rosemarytrail::state::internal
