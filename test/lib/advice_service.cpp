#include <test/lib/advice_service.hpp>

#include <vector>

namespace rosemarytrail::test {

advice_service::advice_service(worker_fleet& cell)
    : cell_{cell}
{}

void advice_service::answer(const fleet::advice_request& request)
{
    std::vector<std::string> granted;
    for (const auto& id : request.workers) {
        if (allows(request.step, id)) {
            granted.push_back(id);
        }
    }
    cell_.grant(request.step, granted, valid);
}

void advice_service::run(duration length)
{
    const auto until = cell_.now + length;
    while (cell_.now < until) {
        cell_.run(cell_.tick);
        for (; seen_ < cell_.advice_assignments.size(); ++seen_) {
            const auto& it = cell_.advice_assignments[seen_];
            ++requests[it.request.step.job];
            if (silent.contains(it.member)) {
                continue;
            }
            auto& queue = queued_[it.member];
            if (queue.empty()) {
                busy_until_[it.member] = cell_.now + it.request.expected;
            }
            queue.push_back(it.request);
        }
        for (auto& [node, queue] : queued_) {
            if (queue.empty() || busy_until_[node] > cell_.now) {
                continue;
            }
            answer(queue.front());
            queue.pop_front();
            if (!queue.empty()) {
                busy_until_[node] = cell_.now + queue.front().expected;
            }
        }
    }
}

duration advice_service::run_until_placed(std::uint64_t job, std::size_t tasks,
                                          duration limit)
{
    const auto begin = cell_.now;
    while (cell_.running(job) < tasks && cell_.now - begin < limit) {
        run(std::chrono::milliseconds{100});
    }
    return cell_.now - begin;
}

} // namespace rosemarytrail::test
