#include <rosemarytrail/state/internal/member_history.hpp>

#include <algorithm>
#include <utility>

namespace rosemarytrail::state::internal {

namespace {

void apply_change(std::set<incarnation_id>& members, const member_change& value)
{
    if (value.kind == change_kind::joined) {
        members.insert(value.member);
    } else {
        members.erase(value.member);
    }
}

} // namespace

void member_history::add(member_change value)
{
    changes.push_back(std::move(value));
    if (changes.size() <= max_changes) {
        return;
    }
    member_change oldest = std::move(changes.front());
    changes.pop_front();
    last_compacted = oldest.number;
    if (oldest.kind == change_kind::joined) {
        base.push_back(std::move(oldest));
        return;
    }
    std::erase_if(base, [&oldest](const member_change& it) {
        return it.member == oldest.member;
    });
}

std::vector<std::set<incarnation_id>>
member_history::sets_since(std::string_view region, record_number since) const
{
    if (since <= last_compacted) {
        return {};
    }
    std::set<incarnation_id> members;
    for (const member_change& it : base) {
        if (it.region == region) {
            members.insert(it.member);
        }
    }
    std::vector<std::set<incarnation_id>> sets;
    for (const member_change& it : changes) {
        if (it.region != region) {
            continue;
        }
        if (it.number >= since) {
            sets.push_back(members);
        }
        apply_change(members, it);
    }
    sets.push_back(members);
    return sets;
}

bool member_history::left_voluntarily(const incarnation_id& member) const
{
    const member_change* it = newest_of(member);
    return it != nullptr && it->kind == change_kind::left_voluntarily;
}

std::optional<std::string>
member_history::region_of(const incarnation_id& member) const
{
    const member_change* it = newest_of(member);
    return it == nullptr ? std::nullopt : std::optional{it->region};
}

const member_change*
member_history::newest_of(const incarnation_id& member) const
{
    const auto is_it = [&member](const member_change& it) {
        return it.member == member;
    };
    const auto it = std::find_if(changes.rbegin(), changes.rend(), is_it);
    if (it != changes.rend()) {
        return &*it;
    }
    const auto joined = std::find_if(base.begin(), base.end(), is_it);
    return joined == base.end() ? nullptr : &*joined;
}

} // namespace rosemarytrail::state::internal
