#include <rosemarytrail/state/internal/job_table.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::state::internal {

namespace {

std::string submission_key(const team_id& team, std::string_view submission)
{
    std::string key = std::to_string(team.str().size());
    key += ':';
    key += team.str();
    key += submission;
    return key;
}

} // namespace

void job_table::set_partitions(std::uint32_t n)
{
    open_.resize(n);
}

const job_state* job_table::find(const job_id& job) const
{
    const auto it = jobs_.find(job);
    return it == jobs_.end() ? nullptr : &it->second.state;
}

const job_state* job_table::find_submission(const team_id& team,
                                            std::string_view submission) const
{
    if (submission.empty()) {
        return nullptr;
    }
    const auto it = submissions_.find(submission_key(team, submission));
    return it == submissions_.end() ? nullptr : find(it->second);
}

void job_table::add(job_state value, std::string submission)
{
    open_[value.partition].insert(value.job);
    entry added{.state = std::move(value), .submission = std::move(submission)};
    index(added);
    const job_id job = added.state.job;
    jobs_.emplace(job, std::move(added));
}

void job_table::move(const job_id& job, partition_id to)
{
    job_state& state = jobs_.at(job).state;
    open_[state.partition].erase(job);
    open_[to].insert(job);
    state.partition = to;
}

void job_table::finish_task(const job_id& job, std::uint32_t index,
                            result_code code)
{
    jobs_.at(job).state.finished.emplace(index, code);
}

void job_table::end(const job_id& job, job_phase phase, result_code code)
{
    job_state& state = jobs_.at(job).state;
    state.phase = phase;
    state.code = code;
    open_[state.partition].erase(job);
    ended_.push_back(job);
    ended_tasks_ += state.finished.size();
    while (ended_.size() > max_ended_jobs ||
           (ended_tasks_ > max_ended_tasks && ended_.size() > 1)) {
        drop_oldest();
    }
}

const std::set<job_id>& job_table::open(partition_id partition) const
{
    static const std::set<job_id> none;
    return partition < open_.size() ? open_[partition] : none;
}

void job_table::for_each(
    const std::function<void(const entry&)>& function) const
{
    for (const job_id& it : ended_) {
        function(jobs_.at(it));
    }
    std::vector<const entry*> open;
    for (const auto& it : jobs_) {
        if (it.second.state.phase == job_phase::accepted) {
            open.push_back(&it.second);
        }
    }
    std::sort(open.begin(), open.end(), [](const entry* lhs, const entry* rhs) {
        return lhs->state.accepted < rhs->state.accepted;
    });
    for (const entry* it : open) {
        function(*it);
    }
}

std::size_t job_table::size() const noexcept
{
    return jobs_.size();
}

void job_table::restore(entry value)
{
    const job_id job = value.state.job;
    if (value.state.phase == job_phase::accepted) {
        open_.at(value.state.partition).insert(job);
    } else {
        ended_.push_back(job);
        ended_tasks_ += value.state.finished.size();
    }
    index(value);
    jobs_.emplace(job, std::move(value));
}

void job_table::drop_oldest()
{
    const auto it = jobs_.find(ended_.front());
    const entry& oldest = it->second;
    ended_tasks_ -= oldest.state.finished.size();
    if (!oldest.submission.empty()) {
        submissions_.erase(
            submission_key(oldest.state.spec.team, oldest.submission));
    }
    jobs_.erase(it);
    ended_.pop_front();
}

void job_table::index(const entry& value)
{
    if (!value.submission.empty()) {
        submissions_.emplace(
            submission_key(value.state.spec.team, value.submission),
            value.state.job);
    }
}

} // namespace rosemarytrail::state::internal
