#include <rosemarytrail/state/freshness.hpp>

#include <algorithm>
#include <functional>

namespace rosemarytrail::state {

namespace {

/** @brief Answers of one source that wait for their offset to be applied. */
constexpr std::size_t news_kept = 64;

} // namespace

freshness::freshness(const freshness_options& options)
    : options_{options}
{}

void freshness::log_tail_read(time_point asked, std::uint64_t next_offset)
{
    add(log_, {.asked = asked, .next_offset = next_offset});
}

void freshness::peer_heard(const incarnation_id& peer, time_point asked,
                           std::uint64_t next_offset)
{
    add(peers_[peer], {.asked = asked, .next_offset = next_offset});
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
    std::vector<time_point> heard;
    for (const auto& it : peers_) {
        const auto asked = newest(it.second, applied);
        if (asked && it.first != self && members.contains(it.first)) {
            heard.push_back(*asked);
        }
    }
    std::sort(heard.begin(), heard.end(), std::greater<>{});
    const std::size_t needed =
        members.size() / 2 + 1 - (members.contains(self) ? 1 : 0);
    if (needed == 0) {
        return time_point::max();
    }
    std::optional<time_point> until = newest(log_, applied);
    if (heard.size() >= needed) {
        until = std::max(until.value_or(heard[needed - 1]), heard[needed - 1]);
    }
    return until ? *until + options_.news_period : time_point{};
}

void freshness::add(news_list& list, const news& value)
{
    const auto proves_more = [&value](const news& it) {
        return it.asked >= value.asked && it.next_offset <= value.next_offset;
    };
    if (std::any_of(list.begin(), list.end(), proves_more)) {
        return;
    }
    std::erase_if(list, [&value](const news& it) {
        return it.asked <= value.asked && it.next_offset >= value.next_offset;
    });
    const auto place = std::upper_bound(
        list.begin(), list.end(), value,
        [](const news& lhs, const news& rhs) { return lhs.asked < rhs.asked; });
    list.insert(place, value);
    if (list.size() > news_kept) {
        list.erase(list.begin() + 1);
    }
}

std::optional<time_point> freshness::newest(const news_list& list,
                                            std::uint64_t applied)
{
    for (auto it = list.rbegin(); it != list.rend(); ++it) {
        if (it->next_offset <= applied) {
            return it->asked;
        }
    }
    return std::nullopt;
}

} // namespace rosemarytrail::state
