#include "decisions/roster.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace skylarkhoist {
namespace {

struct ranked_member {
  uint64_t rank;
  const roster_member* member;
};

bool IsBetter(const ranked_member& one, const ranked_member& other) {
  return one.rank != other.rank
             ? one.rank > other.rank
             : one.member->incarnation < other.member->incarnation;
}

// Keeps the best kGroupSize of all candidates, in order.
void KeepBest(std::vector<ranked_member>* kept,
              const ranked_member& candidate) {
  if (kept->size() == kGroupSize && !IsBetter(candidate, kept->back()))
    return;
  kept->insert(
      std::upper_bound(kept->begin(), kept->end(), candidate, IsBetter),
      candidate);
  if (kept->size() > kGroupSize)
    kept->pop_back();
}

}  // namespace

const roster_member* roster_view::Find(uint64_t incarnation) const {
  for (const roster_member& member : members) {
    if (member.incarnation == incarnation)
      return &member;
  }
  return nullptr;
}

std::vector<roster_member> GroupOf(const roster_view& roster,
                                   std::string_view shard) {
  // Each zone's best member first; a full sort of a large roster would cost
  // most of the time of a roster change.
  std::vector<ranked_member> best;
  std::vector<ranked_member> others;
  for (const roster_member& member : roster.members) {
    ranked_member candidate{
        XXH64(shard.data(), shard.size(), member.incarnation), &member};
    const auto zone = std::find_if(best.begin(), best.end(),
                                   [&member](const ranked_member& item) {
                                     return item.member->zone == member.zone;
                                   });
    if (zone == best.end()) {
      best.push_back(candidate);
      continue;
    }
    if (IsBetter(candidate, *zone))
      std::swap(candidate, *zone);
    KeepBest(&others, candidate);
  }
  std::sort(best.begin(), best.end(), IsBetter);
  best.insert(best.end(), others.begin(), others.end());
  std::vector<roster_member> group;
  for (size_t i = 0; i < std::min(best.size(), kGroupSize); ++i)
    group.push_back(*best[i].member);
  return group;
}

}  // namespace skylarkhoist
