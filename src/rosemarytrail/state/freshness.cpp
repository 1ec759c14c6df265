#include <rosemarytrail/state/freshness.hpp>

#include <algorithm>
#include <functional>

namespace rosemarytrail::state {

namespace {

/** @brief Maximum responses stored per source, applied or not. */
constexpr std::size_t max_evidence_per_source = 64;

} // namespace

freshness::freshness(const freshness_options& options)
    : options_{options}
{}

void freshness::log_tail_read(time_point requested_at,
                              std::uint64_t next_offset)
{
    add(log_, {.requested_at = requested_at, .next_offset = next_offset});
}

void freshness::peer_responded(const incarnation_id& peer,
                               time_point requested_at,
                               std::uint64_t next_offset)
{
    add(peers_[peer],
        {.requested_at = requested_at, .next_offset = next_offset});
}

void freshness::keep_only(const std::set<incarnation_id>& members)
{
    std::erase_if(peers_, [&members](const auto& it) {
        return !members.contains(it.first);
    });
}

bool freshness::may_act(const incarnation_id& self,
                        const std::set<incarnation_id>& members,
                        std::uint64_t applied, time_point now) const
{
    return now < acts_until(self, members, applied);
}

time_point freshness::acts_until(const incarnation_id& self,
                                 const std::set<incarnation_id>& members,
                                 std::uint64_t applied) const
{
    std::vector<time_point> peer_times;
    for (const auto& it : peers_) {
        const auto requested_at = newest(it.second, applied);
        if (requested_at && it.first != self && members.contains(it.first)) {
            peer_times.push_back(*requested_at);
        }
    }
    std::sort(peer_times.begin(), peer_times.end(), std::greater<>{});
    const std::size_t required_peers =
        members.size() / 2 + 1 - (members.contains(self) ? 1 : 0);
    if (required_peers == 0) {
        return time_point::max();
    }
    std::optional<time_point> last_proof = newest(log_, applied);
    if (peer_times.size() >= required_peers) {
        last_proof =
            std::max(last_proof.value_or(peer_times[required_peers - 1]),
                     peer_times[required_peers - 1]);
    }
    return last_proof ? *last_proof + options_.news_period : time_point{};
}

void freshness::add(evidence_list& list, const evidence& value)
{
    const auto supersedes = [&value](const evidence& it) {
        return it.requested_at >= value.requested_at &&
               it.next_offset <= value.next_offset;
    };
    if (std::any_of(list.begin(), list.end(), supersedes)) {
        return;
    }
    std::erase_if(list, [&value](const evidence& it) {
        return it.requested_at <= value.requested_at &&
               it.next_offset >= value.next_offset;
    });
    const auto position =
        std::upper_bound(list.begin(), list.end(), value,
                         [](const evidence& lhs, const evidence& rhs) {
                             return lhs.requested_at < rhs.requested_at;
                         });
    list.insert(position, value);
    if (list.size() > max_evidence_per_source) {
        list.erase(list.begin() + 1);
    }
}

std::optional<time_point> freshness::newest(const evidence_list& list,
                                            std::uint64_t applied)
{
    for (auto it = list.rbegin(); it != list.rend(); ++it) {
        if (it->next_offset <= applied) {
            return it->requested_at;
        }
    }
    return std::nullopt;
}

} // namespace rosemarytrail::state
