#include <rosemarytrail/fleet/ledger_codec.hpp>

#include <rosemarytrail/fleet/msgpack.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace rosemarytrail::fleet {

namespace {

using json = nlohmann::json;

/** @brief Maximum number of failed runs of a task. */
constexpr std::uint64_t max_failed_runs = 1'000'000;
/** @brief Maximum numbers of steps of a job, of tasks of a step and of
 * occurrences. Submissions have lower limits, so no accepted job is above. */
constexpr std::size_t max_steps = 10'000;
constexpr std::uint32_t max_tasks = 1'000'000;
constexpr std::uint32_t max_occurrences = 1'000'000;

constexpr char kind_letters[] = {'j', 'c', 's', 'a', 'f',
                                 'l', 'b', 'w', 'r', 'o'};

[[nodiscard]] json pack_amounts(const resource_amounts& it)
{
    return {it.cpu_millis, it.memory_mb, it.gpus};
}

[[nodiscard]] resource_amounts read_amounts(const json& it)
{
    return {.cpu_millis = it.at(0), .memory_mb = it.at(1), .gpus = it.at(2)};
}

[[nodiscard]] json pack_step(const step_spec& it)
{
    return {it.tasks,          pack_amounts(it.demand),
            it.estimate_ms,    it.depends_on,
            it.checkpoints,    it.gang,
            it.same_rack,      it.speculative,
            it.long_running,   it.scavenger,
            it.required_label, it.data_rack,
            it.tasks_per_vm,   it.image,
            it.target_ms,      it.max_unavailable};
}

[[nodiscard]] step_spec read_step(const json& it)
{
    return {.tasks = it.at(0),
            .demand = read_amounts(it.at(1)),
            .estimate_ms = it.at(2),
            .depends_on = it.at(3).get<std::vector<std::uint32_t>>(),
            .checkpoints = it.at(4),
            .gang = it.at(5),
            .same_rack = it.at(6),
            .speculative = it.at(7),
            .long_running = it.at(8),
            .scavenger = it.at(9),
            .required_label = it.at(10).get<std::string>(),
            .data_rack = it.at(11).get<std::string>(),
            .tasks_per_vm = it.at(12),
            .image = it.at(13).get<std::string>(),
            .target_ms = it.at(14),
            .max_unavailable = it.at(15)};
}

[[nodiscard]] json pack_queue(const queue_policy& it)
{
    json advice;
    if (it.advice) {
        advice = {it.advice->base_ms, it.advice->per_worker_ms,
                  it.advice->valid_ms};
    }
    return {it.name,         it.service,           it.priority, it.max_attempts,
            it.slack_factor, it.target_latency_ms, advice};
}

[[nodiscard]] queue_policy read_queue(const json& it)
{
    queue_policy result{.name = it.at(0).get<std::string>(),
                        .service = it.at(1).get<std::string>(),
                        .priority = it.at(2),
                        .max_attempts = it.at(3),
                        .slack_factor = it.at(4),
                        .target_latency_ms = it.at(5),
                        .advice = std::nullopt};
    if (const auto& advice = it.at(6); !advice.is_null()) {
        result.advice = advice_policy{.base_ms = advice.at(0),
                                      .per_worker_ms = advice.at(1),
                                      .valid_ms = advice.at(2)};
    }
    return result;
}

[[nodiscard]] json pack_crashes(const crash_history& it)
{
    json unexplained = json::array();
    for (const auto& worker : it.unexplained) {
        unexplained.push_back(json::array({worker.id, worker.run_confirmed}));
    }
    return json::array({it.confirmed, it.possible, std::move(unexplained)});
}

[[nodiscard]] crash_history read_crashes(const json& it)
{
    crash_history result{
        .confirmed = it.at(0), .possible = it.at(1), .unexplained = {}};
    for (const auto& worker : it.at(2)) {
        result.unexplained.push_back({.id = worker.at(0).get<std::string>(),
                                      .run_confirmed = worker.at(1)});
    }
    return result;
}

/** @brief Reads the failed runs of a task; earlier versions wrote only their
 * number. Throws if it is out of range: memory would be allocated for it. */
[[nodiscard]] std::vector<std::uint32_t> read_failed_runs(const json& it)
{
    if (it.is_number()) {
        if (!it.is_number_unsigned() ||
            it.get<std::uint64_t>() > max_failed_runs) {
            throw std::out_of_range{"number of failed runs"};
        }
        return std::vector<std::uint32_t>(it.get<std::size_t>(), 0);
    }
    return it.get<std::vector<std::uint32_t>>();
}

[[nodiscard]] json pack_task(const task_progress& it)
{
    json row = json::array({it.run, it.failed_runs, it.worker, it.checkpoint});
    const bool has_starts =
        it.confirmed || it.begun || !it.earlier_start.empty();
    if (!it.crashes.empty() || has_starts) {
        row.push_back(it.crashes.empty() ? json() : pack_crashes(it.crashes));
    }
    if (has_starts) {
        row.push_back(it.confirmed);
    }
    if (it.begun || !it.earlier_start.empty()) {
        row.push_back(it.earlier_start);
    }
    if (it.begun) {
        row.push_back(true);
    }
    return row;
}

/** @brief Checks that a job can be tracked: memory is allocated for each of its
 * tasks, and steps are found by their number. */
[[nodiscard]] bool is_trackable(const job_spec& it)
{
    if (it.steps.empty() || it.steps.size() > max_steps ||
        it.occurrences > max_occurrences) {
        return false;
    }
    for (std::size_t i = 0; i < it.steps.size(); ++i) {
        const auto& step = it.steps[i];
        const bool depends_on_earlier = std::ranges::all_of(
            step.depends_on, [i](std::uint32_t n) { return n < i; });
        if (!depends_on_earlier || step.tasks > max_tasks) {
            return false;
        }
    }
    return true;
}

} // namespace

std::uint32_t tasks_per_entry(std::uint32_t max_attempts)
{
    constexpr std::uint64_t entry_bytes = std::uint64_t{1} << 16U;
    // Run, worker, checkpoint and crashes of a task.
    constexpr std::uint64_t task_bytes = 400;
    constexpr std::uint64_t failed_run_bytes = 5;
    const auto n = entry_bytes / (task_bytes + failed_run_bytes * max_attempts);
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(n, 1));
}

ledger_entry progress_removal(const task_key& first)
{
    return {.key = encode_key({.kind = entry_kind::progress,
                               .step = first.step,
                               .first_task = first.index}),
            .value = std::nullopt};
}

std::string encode_key(const entry_key& it)
{
    std::string letter(1, kind_letters[static_cast<int>(it.kind)]);
    switch (it.kind) {
    case entry_kind::leader:
    case entry_kind::batch_mark:
    case entry_kind::run_times:
        return letter;
    case entry_kind::worker:
        return letter + "/" + it.worker;
    case entry_kind::progress:
        return letter + "/" +
               (it.first_task == 0 ? to_text(it.step)
                                   : to_text(task_key{.step = it.step,
                                                      .index = it.first_task}));
    case entry_kind::advice:
        return letter + "/" + to_text(it.step);
    default:
        return letter + "/" + to_text(it.step.job);
    }
}

std::optional<entry_key> decode_key(std::string_view text)
{
    if (text == "l") {
        return entry_key{.kind = entry_kind::leader, .step = {}, .worker = {}};
    }
    if (text == "b") {
        return entry_key{
            .kind = entry_kind::batch_mark, .step = {}, .worker = {}};
    }
    if (text == "r") {
        return entry_key{
            .kind = entry_kind::run_times, .step = {}, .worker = {}};
    }
    if (text.size() < 3 || text[1] != '/') {
        return std::nullopt;
    }
    const auto* letter = std::ranges::find(kind_letters, text[0]);
    if (letter == std::end(kind_letters) || *letter == 'r') {
        return std::nullopt;
    }
    entry_key result{
        .kind = static_cast<entry_kind>(letter - std::begin(kind_letters)),
        .step = {},
        .worker = {}};
    text.remove_prefix(2);
    if (result.kind == entry_kind::worker) {
        result.worker = text;
        return result;
    }
    if (result.kind == entry_kind::progress) {
        if (const auto task = parse_task_key(text)) {
            result.step = task->step;
            result.first_task = task->index;
            return result;
        }
    }
    if (result.kind == entry_kind::progress ||
        result.kind == entry_kind::advice) {
        const auto step = parse_step_key(text);
        if (!step) {
            return std::nullopt;
        }
        result.step = *step;
        return result;
    }
    const auto id = parse_job_id(text);
    if (!id) {
        return std::nullopt;
    }
    result.step.job = *id;
    return result;
}

std::string encode(const job_record& it)
{
    json steps = json::array();
    for (const auto& step : it.spec.steps) {
        steps.push_back(pack_step(step));
    }
    return pack(
        json::array({it.id, it.account, it.acceptor, it.accepted_unix_ms,
                     pack_queue(it.queue), it.spec.payload, std::move(steps),
                     it.spec.occurrences, it.spec.first_due_ms,
                     it.spec.interval_ms, it.beyond_share}));
}

// A step is written again at each change of one of its tasks, so a task that
// is done or was never started takes one byte. The last byte tells whether a
// task has begun.
std::string encode(std::span<const task_progress> it)
{
    json rows = json::array();
    for (const auto& task : it) {
        if (task.done) {
            rows.push_back(true);
        } else if (task == task_progress{}) {
            rows.push_back(false);
        } else {
            rows.push_back(pack_task(task));
        }
    }
    rows.push_back(std::ranges::any_of(it, &task_progress::has_begun) ? 1U
                                                                      : 0U);
    return pack(rows);
}

std::string encode_occurrences(std::uint32_t completed)
{
    return pack(json::array({completed}));
}

std::optional<std::uint32_t> decode_occurrences(std::string_view bytes)
{
    return unpack(bytes,
                  [](const json& it) { return it.at(0).get<std::uint32_t>(); });
}

std::string encode(const advice_grant& it)
{
    json rows = json::array();
    for (const auto& row : it.rows) {
        rows.push_back(json::array({row.worker, row.ticket}));
    }
    return pack(
        json::array({it.valid_ms, std::move(rows), it.granted_unix_ms}));
}

std::string encode(const job_outcome& it)
{
    return pack(json::array({static_cast<int>(it.state), it.unix_ms}));
}

std::string encode(const leader_record& it)
{
    return pack(json::array({it.epoch, it.node}));
}

std::string encode(const worker_record& it)
{
    return pack(json::array(
        {it.epoch, it.address, it.renewing, it.incarnation, it.restarted}));
}

std::optional<worker_record> decode_worker(std::string_view bytes)
{
    return unpack(bytes, [](const json& it) {
        return worker_record{.epoch = it.at(0),
                             .address = it.at(1).get<std::string>(),
                             .renewing = it.at(2),
                             .incarnation =
                                 it.size() > 3 ? it[3].get<std::int64_t>() : 0,
                             .restarted = it.size() > 4 && it[4].get<bool>()};
    });
}

// Ratios are written in thousandths, which are shorter than floating-point
// numbers.
std::string encode(std::span<const run_time_ratio> it)
{
    constexpr double thousandths = 1000.0;
    json rows = json::array();
    for (const auto& row : it) {
        rows.push_back(
            json::array({row.key, std::llround(row.median * thousandths),
                         std::llround(row.ninth_decile * thousandths)}));
    }
    return pack(rows);
}

std::optional<std::vector<run_time_ratio>>
decode_run_times(std::string_view bytes)
{
    constexpr double thousandths = 1000.0;
    return unpack(bytes, [](const json& it) {
        std::vector<run_time_ratio> result;
        for (const auto& row : it) {
            result.push_back(
                {.key = row.at(0).get<std::string>(),
                 .median = row.at(1).get<double>() / thousandths,
                 .ninth_decile = row.at(2).get<double>() / thousandths});
        }
        return result;
    });
}

std::string encode(const batch_mark& it)
{
    return pack(json::array({it.epoch, it.sequence}));
}

std::optional<batch_mark> decode_batch_mark(std::string_view bytes)
{
    return unpack(bytes, [](const json& it) {
        return batch_mark{.epoch = it.at(0), .sequence = it.at(1)};
    });
}

std::optional<job_record> decode_job(std::string_view bytes)
{
    return unpack(bytes, [](const json& it) {
        job_record result{.id = it.at(0),
                          .account = it.at(1).get<std::string>(),
                          .acceptor = it.at(2).get<std::string>(),
                          .accepted_unix_ms = it.at(3),
                          .beyond_share = it.at(10),
                          .queue = read_queue(it.at(4)),
                          .spec = {.payload = it.at(5).get<std::string>(),
                                   .steps = {},
                                   .occurrences = it.at(7),
                                   .first_due_ms = it.at(8),
                                   .interval_ms = it.at(9)}};
        for (const auto& step : it.at(6)) {
            result.spec.steps.push_back(read_step(step));
        }
        if (!is_trackable(result.spec)) {
            throw std::out_of_range{"work of a job"};
        }
        return result;
    });
}

std::optional<std::vector<task_progress>>
decode_progress(std::string_view bytes)
{
    return unpack(bytes, [](const json& it) {
        std::vector<task_progress> result;
        for (const auto& row : it) {
            if (row.is_boolean()) {
                result.push_back({.done = row.get<bool>()});
                continue;
            }
            if (row.is_number() && !result.empty() && &row == &it.back()) {
                break;
            }
            result.push_back({.run = row.at(0),
                              .failed_runs = read_failed_runs(row.at(1)),
                              .worker = row.at(2).get<std::string>(),
                              .checkpoint = row.at(3).get<std::string>(),
                              .crashes = row.size() > 4 && !row[4].is_null()
                                             ? read_crashes(row[4])
                                             : crash_history{},
                              .confirmed = row.size() > 5 && row[5],
                              .earlier_start = row.size() > 6
                                                   ? row[6].get<std::string>()
                                                   : std::string{},
                              .begun = row.size() > 7 && row[7]});
        }
        return result;
    });
}

bool records_start(std::string_view bytes)
{
    return !bytes.empty() && bytes.back() == char{1};
}

std::optional<advice_grant> decode_advice(std::string_view bytes)
{
    return unpack(bytes, [](const json& it) {
        advice_grant result{
            .rows = {}, .valid_ms = it.at(0), .granted_unix_ms = it.at(2)};
        for (const auto& row : it.at(1)) {
            result.rows.push_back({.worker = row.at(0).get<std::string>(),
                                   .ticket = row.at(1).get<std::string>()});
        }
        return result;
    });
}

std::optional<job_outcome> decode_outcome(std::string_view bytes)
{
    return unpack(bytes, [](const json& it) {
        return job_outcome{.state = static_cast<job_state>(it.at(0).get<int>()),
                           .unix_ms = it.at(1)};
    });
}

std::optional<leader_record> decode_leader(std::string_view bytes)
{
    return unpack(bytes, [](const json& it) {
        return leader_record{.epoch = it.at(0),
                             .node = it.at(1).get<std::string>()};
    });
}

} // namespace rosemarytrail::fleet
