#include "decisions/roster.h"

#include <CppUTest/TestHarness.h>

#include <set>

namespace skylarkhoist {
namespace {

TEST_GROUP(roster){};

roster_view MakeRoster(int zones, int per_zone) {
  roster_view roster;
  uint64_t incarnation = 1000;
  for (int zone = 0; zone < zones; ++zone) {
    for (int i = 0; i < per_zone; ++i) {
      const std::string name =
          "n" + std::to_string(zone) + "-" + std::to_string(i);
      roster.members.push_back(
          {name, "z" + std::to_string(zone), name, ++incarnation});
    }
  }
  return roster;
}

// Guards against a group that loses its majority with one zone.
TEST(roster, GroupMembersAreInDifferentZones) {
  const roster_view roster = MakeRoster(3, 5);
  for (int shard = 0; shard < 100; ++shard) {
    std::set<std::string> zones;
    for (const roster_member& member :
         GroupOf(roster, "s" + std::to_string(shard)))
      zones.insert(member.zone);
    CHECK_EQUAL(3, zones.size());
  }
}

// Guards against a change of all groups when one member leaves.
TEST(roster, RemovalOfOneMemberKeepsTheOtherMembers) {
  const roster_view before = MakeRoster(3, 5);
  roster_view after = before;
  const uint64_t removed = after.members[4].incarnation;
  after.members.erase(after.members.begin() + 4);
  for (int shard = 0; shard < 100; ++shard) {
    const std::string name = "s" + std::to_string(shard);
    const auto old_group = GroupOf(before, name);
    const auto new_group = GroupOf(after, name);
    for (const roster_member& member : old_group) {
      if (member.incarnation == removed)
        continue;
      bool still_in_group = false;
      for (const roster_member& other : new_group)
        still_in_group =
            still_in_group || other.incarnation == member.incarnation;
      CHECK_TRUE(still_in_group);
    }
  }
}

TEST(roster, SmallRosterGivesSmallGroup) {
  CHECK_EQUAL(0, GroupOf(roster_view{}, "s").size());
  CHECK_EQUAL(2, GroupOf(MakeRoster(1, 2), "s").size());
  CHECK_EQUAL(3, GroupOf(MakeRoster(1, 9), "s").size());
}

}  // namespace
}  // namespace skylarkhoist
