#include "decisions/roster.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace skylarkhoist {

const roster_member* roster_view::Find(uint64_t incarnation) const {
  for (const roster_member& member : members) {
    if (member.incarnation == incarnation)
      return &member;
  }
  return nullptr;
}

std::vector<roster_member> GroupOf(const roster_view& roster,
                                   std::string_view shard) {
  std::vector<std::pair<uint64_t, const roster_member*>> ranked;
  ranked.reserve(roster.members.size());
  for (const roster_member& member : roster.members) {
    ranked.emplace_back(XXH64(shard.data(), shard.size(), member.incarnation),
                        &member);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first
                              : a.second->incarnation < b.second->incarnation;
  });
  std::vector<roster_member> group;
  std::set<std::string> zones;
  std::vector<const roster_member*> others;
  for (const auto& [rank, member] : ranked) {
    if (group.size() == kGroupSize)
      return group;
    if (zones.insert(member->zone).second)
      group.push_back(*member);
    else
      others.push_back(member);
  }
  for (const roster_member* member : others) {
    if (group.size() == kGroupSize)
      break;
    group.push_back(*member);
  }
  return group;
}

}  // namespace skylarkhoist
