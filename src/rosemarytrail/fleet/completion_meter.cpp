#include <rosemarytrail/fleet/completion_meter.hpp>

namespace rosemarytrail::fleet {

namespace {

constexpr duration bucket_length{std::chrono::milliseconds{250}};

} // namespace

void completion_meter::add(const key& which, const sums& work, time_point now)
{
    auto& row = buckets_[which];
    if (row.empty() || now - row.back().start >= bucket_length) {
        row.push_back({.start = now, .work = {}});
    }
    row.back().work.declared += work.declared;
    row.back().work.used += work.used;
    while (now - row.front().start > window) {
        row.pop_front();
    }
}

std::map<completion_meter::key, completion_meter::sums>
completion_meter::totals(time_point now)
{
    std::map<key, sums> result;
    for (auto entry = buckets_.begin(); entry != buckets_.end();) {
        auto& [which, row] = *entry;
        while (!row.empty() && now - row.front().start > window) {
            row.pop_front();
        }
        if (row.empty()) {
            entry = buckets_.erase(entry);
            continue;
        }
        auto& total = result[which];
        for (const auto& it : row) {
            total.declared += it.work.declared;
            total.used += it.work.used;
        }
        ++entry;
    }
    return result;
}

} // namespace rosemarytrail::fleet
