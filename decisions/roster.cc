#include "decisions/roster.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace skylarkhoist {
namespace {

struct scored_member {
  uint64_t score;
  const roster_member* member;
};

bool ScoresHigher(const scored_member& a, const scored_member& b) {
  return a.score != b.score ? a.score > b.score
                            : a.member->incarnation < b.member->incarnation;
}

// Keeps the kGroupSize members with the highest scores, in descending order.
void InsertIfAmongBest(std::vector<scored_member>* best,
                       const scored_member& candidate) {
  if (best->size() == kGroupSize && !ScoresHigher(candidate, best->back()))
    return;
  best->insert(
      std::upper_bound(best->begin(), best->end(), candidate, ScoresHigher),
      candidate);
  if (best->size() > kGroupSize)
    best->pop_back();
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
  // Ranks the best member of each zone before the others. Sorts only these,
  // since sorting a large roster would take most of the time of a roster
  // change.
  std::vector<scored_member> ranking;
  std::vector<scored_member> others;
  for (const roster_member& member : roster.members) {
    scored_member candidate{
        XXH64(shard.data(), shard.size(), member.incarnation), &member};
    const auto zone_best = std::find_if(
        ranking.begin(), ranking.end(), [&member](const scored_member& item) {
          return item.member->zone == member.zone;
        });
    if (zone_best == ranking.end()) {
      ranking.push_back(candidate);
      continue;
    }
    if (ScoresHigher(candidate, *zone_best))
      std::swap(candidate, *zone_best);
    InsertIfAmongBest(&others, candidate);
  }
  std::sort(ranking.begin(), ranking.end(), ScoresHigher);
  ranking.insert(ranking.end(), others.begin(), others.end());
  std::vector<roster_member> group;
  for (size_t i = 0; i < std::min(ranking.size(), kGroupSize); ++i)
    group.push_back(*ranking[i].member);
  return group;
}

}  // namespace skylarkhoist
