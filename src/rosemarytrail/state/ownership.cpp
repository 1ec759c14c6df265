#include <rosemarytrail/state/ownership.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace rosemarytrail::state {

namespace {

/** @brief Rendezvous hash of a member and a partition. */
struct rendezvous_score
{
    std::uint64_t score{};
    partition_id partition{};
    const incarnation_id* member{};
};

std::vector<rendezvous_score> all_scores(const std::set<incarnation_id>& live,
                                         std::uint32_t partitions)
{
    std::vector<rendezvous_score> scores;
    scores.reserve(live.size() * partitions);
    for (const incarnation_id& it : live) {
        for (partition_id i = 0; i < partitions; ++i) {
            const std::string& name = it.str();
            scores.push_back(
                {.score = XXH3_64bits_withSeed(name.data(), name.size(), i),
                 .partition = i,
                 .member = &it});
        }
    }
    std::sort(scores.begin(), scores.end(),
              [](const rendezvous_score& lhs, const rendezvous_score& rhs) {
                  if (lhs.score != rhs.score) {
                      return lhs.score > rhs.score;
                  }
                  return lhs.partition != rhs.partition
                             ? lhs.partition < rhs.partition
                             : *lhs.member < *rhs.member;
              });
    return scores;
}

} // namespace

std::vector<incarnation_id>
preferred_holders(const std::set<incarnation_id>& live,
                  std::uint32_t partitions)
{
    if (live.empty()) {
        return {};
    }
    const std::size_t cap = (partitions + live.size() - 1) / live.size();
    std::map<incarnation_id, std::size_t> loads;
    std::vector<incarnation_id> holders(partitions);
    for (const rendezvous_score& it : all_scores(live, partitions)) {
        std::size_t& load = loads[*it.member];
        if (load < cap && holders[it.partition].empty()) {
            holders[it.partition] = *it.member;
            ++load;
        }
    }
    return holders;
}

partition_id partition_of_rack(const rack_id& rack, std::uint32_t partitions)
{
    const std::uint64_t hash =
        XXH3_64bits(rack.str().data(), rack.str().size());
    return partitions == 0 ? 0 : static_cast<partition_id>(hash % partitions);
}

} // namespace rosemarytrail::state
