#include <rosemarytrail/cell/internal/node_state.hpp>

#include <rosemarytrail/fleet/admission.hpp>
#include <rosemarytrail/logging/event_log.hpp>

#include <utility>

namespace rosemarytrail::cell {

namespace {

/** @brief Interval at which a follower fetches the forecast. */
constexpr duration fetch_interval{std::chrono::milliseconds{500}};

[[nodiscard]] std::string ms_text(duration it)
{
    return std::to_string(to_milliseconds(it));
}

} // namespace

std::optional<fleet::load_forecast> node::forecast(time_point now)
{
    auto& it = *state_;
    return it.leadership ? std::optional{it.leadership->decisions.forecast(now)}
                         : std::nullopt;
}

// Nodes that do not follow the ledger forward submissions and need none.
void node::internal_state::update_forecast(time_point now)
{
    if (leadership) {
        const auto& computed = leadership->decisions.forecast(now);
        if (!forecast || forecast->epoch != computed.epoch ||
            forecast->computed_at < computed.computed_at) {
            forecast = computed;
        }
        return;
    }
    const auto leader = leader_address();
    if (!ledger.running() || leader.empty() || forecast_in_flight ||
        now < next_forecast || leader == address_of(options.member)) {
        return;
    }
    forecast_in_flight = true;
    next_forecast = now + fetch_interval;
    peers.fetch_forecast(leader, options.peer_timeout,
                         [this](std::optional<fleet::load_forecast> it) {
                             forecast_in_flight = false;
                             if (!it) {
                                 metrics.forecast_fetch_failures.add();
                             } else if (!leadership) {
                                 forecast = std::move(it);
                             }
                         });
}

void node::internal_state::add_to_forecast(const fleet::job_record& record,
                                           time_point now)
{
    // The leader may have counted a job that this follower reads only now.
    const auto delay = leadership ? duration{} : options.follower_read_interval;
    if (!forecast || now - forecast->computed_at < delay) {
        return;
    }
    const auto* account =
        config ? config->find_account(record.account) : nullptr;
    fleet::add_job(*forecast, record,
                   account == nullptr ? 0 : account->limit.cpu_millis);
}

std::optional<client_answer>
node::internal_state::check_share(const fleet::job_record& record,
                                  time_point now)
{
    if (!record.beyond_share) {
        return std::nullopt;
    }
    auto& times = recent_starts[record.queue.name];
    trim_starts(times, now);
    const std::chrono::duration<double> window = options.drain_window;
    const auto after = fleet::rejection_retry_after(
        {.beyond_share = true,
         .pending = jobs.pending(record.queue.name),
         .starts_per_s = static_cast<double>(times.size()) / window.count(),
         .slack = std::chrono::milliseconds{record.queue.target_latency_ms},
         .job = record.id});
    return after ? std::optional{client_answer{
                       .kind = answer_kind::too_many,
                       .code = result_code::account_over_limit,
                       .retry_after = after}}
                 : std::nullopt;
}

std::optional<client_answer>
node::internal_state::check_admission(const fleet::job_record& record,
                                      duration age, time_point now)
{
    if (auto rejection = check_share(record, now)) {
        return rejection;
    }
    if (!forecast) {
        return std::nullopt;
    }
    const auto rejection = fleet::reject_by_forecast(
        *forecast,
        {.job = record,
         .age = age,
         .leader_epoch = current_leader().epoch,
         .pending =
             [&] {
                 return jobs.pending(record.queue.name);
             }},
        now);
    if (!rejection) {
        return std::nullopt;
    }
    const auto* account = config->find_account(record.account);
    logging::event(
        logging::level::info, "admission_rejected",
        {{"job", fleet::to_text(record.id)},
         {"queue", record.queue.name},
         {"account", record.account},
         {"reason", describe(rejection->code).name},
         {"waiting_core_ms", std::to_string(rejection->queue.ahead_core_ms)},
         {"drain_core_ms_per_s", std::to_string(rejection->queue.drain_per_s)},
         {"limit_cpu_millis",
          std::to_string(account == nullptr ? 0 : account->limit.cpu_millis)},
         {"expected_start_ms", ms_text(rejection->queue.wait)},
         {"chain_ms", ms_text(rejection->chain)},
         {"objective_ms", ms_text(rejection->objective)},
         {"age_ms", ms_text(age)},
         {"forecast_age_ms", ms_text(now - forecast->computed_at)},
         {"retry_after_ms", ms_text(rejection->retry_after)}});
    const bool by_limit = rejection->code == result_code::account_limit_backlog;
    return client_answer{.kind = by_limit ? answer_kind::too_many
                                          : answer_kind::unavailable,
                         .code = rejection->code,
                         .retry_after = rejection->retry_after};
}

// Another node may have recorded the job since the last read of the ledger; a
// repeat of its submission must not be reported as not executed. If that cannot
// be known, the job is recorded, which is safe to repeat.
void node::internal_state::reject_if_unknown(
    const client_answer& rejection, fleet::job_record record, client_call call,
    std::function<void(client_answer)> done)
{
    const auto now = boot_clock::now();
    rejected.record(record.id, now);
    catch_up([this, rejection, record = std::move(record),
              call = std::move(call),
              done = std::move(done)](bool complete) mutable {
        const auto* entry = jobs.find(record.id);
        if (entry != nullptr && (entry->record || entry->outcome)) {
            done({.kind = answer_kind::accepted});
        } else if (complete) {
            done(rejection);
        } else {
            record_job(record, call, std::move(done));
        }
    });
}

} // namespace rosemarytrail::cell
