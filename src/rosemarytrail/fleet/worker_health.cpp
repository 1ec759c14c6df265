#include <rosemarytrail/fleet/worker_health.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace rosemarytrail::fleet {

const char* to_text(bad_run cause)
{
    constexpr std::array<const char*, 4> names{"failed run", "refused start",
                                               "unanswered start",
                                               "run without progress"};
    return names.at(static_cast<std::size_t>(cause));
}

bool worker_health::record_bad_run(std::uint64_t job, bool probe,
                                   const worker_health_options& options,
                                   time_point now)
{
    while (!bad_.empty() && now - bad_.front().at > options.window) {
        bad_.pop_front();
    }
    bad_.push_back({.at = now, .job = job});
    last_bad_ = now;
    while (bad_.size() > 2 * options.max_bad_runs) {
        bad_.pop_front();
    }
    // Runs of before may end badly during the quarantine.
    if (quarantined(now)) {
        return false;
    }
    if (probe && on_probation_) {
        return true;
    }
    std::set<std::uint64_t> jobs;
    for (const auto& it : bad_) {
        jobs.insert(it.job);
    }
    return bad_.size() >= options.max_bad_runs &&
           jobs.size() >= options.min_jobs;
}

void worker_health::record_good_run(time_point started, bool probe)
{
    if (probe) {
        on_probation_ = false;
        quarantined_until_ = std::min(quarantined_until_, started);
        bad_.clear();
    } else if (!bad_.empty() && bad_.front().at < started) {
        bad_.pop_front();
    }
}

duration worker_health::quarantine(const worker_health_options& options,
                                   time_point now)
{
    const bool recent = last_quarantine_ > duration{} &&
                        now - quarantined_until_ < options.forget_after;
    last_quarantine_ =
        recent ? std::min(2 * last_quarantine_, options.max_quarantine)
               : options.first_quarantine;
    quarantined_until_ = now + last_quarantine_;
    on_probation_ = true;
    bad_.clear();
    return last_quarantine_;
}

bool worker_health::accepts_probe(const step_spec& step,
                                  const resource_amounts& capacity,
                                  const worker_health_options& options,
                                  time_point now) const
{
    if (quarantined(now)) {
        return false;
    }
    // A failed member would end its whole gang.
    const bool small =
        !step.gang && !step.long_running &&
        static_cast<double>(step.demand.cpu_millis) <=
            options.probe_size * static_cast<double>(capacity.cpu_millis);
    return small || now - quarantined_until_ >= options.small_probe_wait;
}

bool worker_health::accepts_last_resort(bool lasting,
                                        const worker_health_options& options,
                                        time_point now) const
{
    const auto wait =
        lasting ? options.last_resort_wait_lasting : options.last_resort_wait;
    return !quarantined(now) || now - last_bad_ >= wait;
}

void image_health::record(const std::string& image, const std::string& worker,
                          bool good, const worker_health_options& options,
                          time_point now)
{
    if (image.empty()) {
        return;
    }
    if (!images_.contains(image) && images_.size() >= options.max_images) {
        images_.erase(std::ranges::min_element(
            images_, {}, [](const auto& it) { return it.second.last; }));
    }
    auto& it = images_[image];
    it.last = now;
    it.by_worker[worker] = {.at = now, .good = good};
    // Workers come and go.
    if (it.by_worker.size() > options.max_workers) {
        std::erase_if(it.by_worker, [&](const auto& run) {
            return now - run.second.at > options.window;
        });
    }
}

bool image_health::is_faulty(const std::string& image,
                             const worker_health_options& options,
                             time_point now) const
{
    const auto found = images_.find(image);
    if (found == images_.end()) {
        return false;
    }
    std::size_t good = 0;
    std::size_t bad = 0;
    for (const auto& [worker, run] : found->second.by_worker) {
        if (now - run.at <= options.window) {
            ++(run.good ? good : bad);
        }
    }
    return bad >= options.max_bad_workers && bad > good;
}

bool stands_still(const stall_view& run, const worker_health_options& options,
                  time_point now)
{
    if (!run.siblings_progress_at || run.estimate_ms <= 0) {
        return false;
    }
    // A slow worker makes progress, too, so its speed does not matter. Runs
    // that stand still also make it look slow.
    const std::chrono::duration<double, std::milli> expected{
        static_cast<double>(run.estimate_ms) * options.stall_factor};
    const auto limit = std::max(std::chrono::duration_cast<duration>(expected),
                                options.min_stall);
    return now - run.progress_at > limit &&
           *run.siblings_progress_at > run.progress_at;
}

} // namespace rosemarytrail::fleet
