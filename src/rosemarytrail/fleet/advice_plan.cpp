#include <rosemarytrail/fleet/advice_plan.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace rosemarytrail::fleet {

std::span<const std::string>
slow_advice_nodes(std::span<const std::string> members, double share)
{
    if (members.size() < 2) {
        return members;
    }
    // At least one node for each kind.
    const auto n = static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(members.size())));
    return members.first(std::clamp<std::size_t>(n, 1, members.size() - 1));
}

std::optional<std::string>
fast_advice_node(std::span<const std::string> members, double share,
                 const job_record& record)
{
    if (members.empty()) {
        return std::nullopt;
    }
    const auto pool =
        members.size() < 2
            ? members
            : members.subspan(slow_advice_nodes(members, share).size());
    if (std::ranges::find(pool, record.acceptor) != pool.end()) {
        return record.acceptor;
    }
    return pool[key_hash{}(step_key{.job = record.id}) % pool.size()];
}

advice_plan::advice_plan(const advice_plan_options& options)
    : options_{options}
{}

void advice_plan::on_request_sent(const step_key& step, time_point until)
{
    request_deadlines_[step] = until;
}

void advice_plan::forget_ended(const job_index& ledger_jobs)
{
    const auto ended = [&ledger_jobs](const auto& it) {
        const auto* entry = ledger_jobs.find(it.first.job);
        return entry == nullptr || !entry->record || entry->outcome ||
               it.first.occurrence < entry->completed_occurrences;
    };
    std::erase_if(request_deadlines_, ended);
}

bool advice_plan::due(const job_entry& entry, const step_key& key,
                      time_point now) const
{
    const auto it = request_deadlines_.find(key);
    return entry.record->spec.steps[key.step].depends_on.empty() &&
           !entry.placed && !entry.advice.contains(key) &&
           !entry.progress.contains({.step = key}) &&
           (it == request_deadlines_.end() || it->second <= now);
}

std::optional<advice_request> advice_plan::next(
    const job_index& ledger_jobs, std::span<const worker_vm> workers,
    std::span<const std::string> members, time_point now, std::int64_t unix_ms)
{
    const step_key* best = nullptr;
    step_key best_key;
    const job_entry* best_entry = nullptr;
    std::tuple<bool, std::int32_t, std::int64_t> best_rank;
    ledger_jobs.each_live([&](std::uint64_t id, const job_entry& entry) {
        const auto& record = *entry.record;
        if (!record.queue.advice ||
            record.queue.advice->base_ms > options_.slow_threshold_ms) {
            return;
        }
        if (entry.cancelled || fast_advice_node(members, options_.slow_share,
                                                record) != options_.member) {
            return;
        }
        const std::tuple rank{record.beyond_share, record.queue.priority,
                              record.accepted_unix_ms};
        if (best != nullptr && !(rank < best_rank)) {
            return;
        }
        // The leader assigns the requests of further ones.
        const auto end =
            std::min(record.spec.rounds(),
                     entry.completed_occurrences + options_.max_occurrences);
        for (auto n = entry.completed_occurrences;
             n < end && record.spec.due(n, unix_ms); ++n) {
            for (std::uint32_t i = 0; i < record.spec.steps.size(); ++i) {
                const step_key key{.job = id, .occurrence = n, .step = i};
                if (due(entry, key, now)) {
                    best_key = key;
                    best = &best_key;
                    best_entry = &entry;
                    best_rank = rank;
                    return;
                }
            }
        }
    });
    if (best == nullptr) {
        return std::nullopt;
    }
    auto result = make_request(best_key, *best_entry, workers);
    if (!result) {
        on_request_sent(best_key, now + options_.retry_delay);
    }
    return result;
}

std::optional<advice_request>
advice_plan::make_request(const step_key& step, const job_entry& entry,
                          std::span<const worker_vm> workers) const
{
    const auto& policy = *entry.record->queue.advice;
    advice_request result{.step = step, .workers = {}, .expected = {}};
    std::set<std::string> wanted;
    // A granted worker stays granted for the step; only its ticket expires.
    if (const auto it = entry.advice.find(step); it != entry.advice.end()) {
        for (const auto& row : it->second.grant.rows) {
            wanted.insert(row.worker);
        }
    }
    // If one request can't include all workers, each step starts at a different
    // offset, so that the steps together cover all of them.
    const auto first = workers.empty() ? 0 : key_hash{}(step) % workers.size();
    for (std::size_t i = 0; i < workers.size(); ++i) {
        const auto& it = workers[(first + i) % workers.size()];
        if (it.service == entry.record->queue.service && !it.draining &&
            (wanted.empty() || wanted.contains(it.id)) &&
            result.workers.size() < options_.max_workers) {
            result.workers.push_back(it.id);
        }
    }
    if (result.workers.empty()) {
        return std::nullopt;
    }
    result.expected = advice_cost(policy, result.workers.size());
    return result;
}

} // namespace rosemarytrail::fleet
