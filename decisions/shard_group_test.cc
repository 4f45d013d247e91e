#include "decisions/shard_group.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};

// One member per zone, so that a roster of three is the group.
roster_view Roster(uint64_t version,
                   const std::vector<uint64_t>& incarnations) {
  roster_view roster;
  roster.version = version;
  for (const uint64_t id : incarnations) {
    const std::string name = "n" + std::to_string(id);
    roster.members.push_back({name, name, name, id});
  }
  return roster;
}

TEST_GROUP(shard_group) {
  shard_group group{"s", 4};
};

// Guards against a restarted member that does not remember its grants and
// grants again before they have expired.
TEST(shard_group, FirstMembersWaitForOneLeasePeriod) {
  group.SetRoster(Roster(1, {}), kStart);
  group.SetRoster(Roster(2, {4, 5}), kStart);
  CHECK_FALSE(group.IsActiveMember(kStart + milliseconds(999)));
  CHECK_TRUE(group.IsActiveMember(kStart + seconds(1)));
}

// Guards against majorities of two roster versions without a common member.
TEST(shard_group, NewMemberWaitsForMajorityOfEarlierGroup) {
  group.SetRoster(Roster(1, {1, 2, 3}), kStart);
  group.SetRoster(Roster(2, {2, 3, 4}), kStart);
  group.OnPeerRosterVersion(2, 2, kStart + seconds(1));
  group.OnPeerRosterVersion(3, 1, kStart + seconds(1));
  group.OnPeerRosterVersion(9, 2, kStart + seconds(1));
  CHECK_FALSE(group.IsActiveMember(kStart + seconds(9)));
  CHECK_EQUAL(2, group.UnconfirmedMembers().size());
  group.OnPeerRosterVersion(3, 2, kStart + seconds(9));
  CHECK_FALSE(group.IsActiveMember(kStart + milliseconds(9999)));
  CHECK_TRUE(group.IsActiveMember(kStart + seconds(10)));
}

TEST(shard_group, GoneMembersCountAsConfirmed) {
  group.SetRoster(Roster(1, {1, 2, 3}), kStart);
  group.SetRoster(Roster(2, {3, 4, 5}), kStart);
  group.OnPeerGone(1, kStart);
  CHECK_FALSE(group.IsActiveMember(kStart + seconds(2)));
  group.OnPeerGone(2, kStart + seconds(2));
  CHECK_TRUE(group.IsActiveMember(kStart + seconds(3)));
}

// Guards against a check of the last group only: members of the first group may
// still act under version 1.
TEST(shard_group, EachEarlierGroupIsFencedOnItsOwn) {
  group.SetRoster(Roster(1, {1, 2, 3}), kStart);
  group.SetRoster(Roster(2, {1, 5, 6}), kStart);
  group.SetRoster(Roster(3, {4, 5, 6}), kStart);
  group.OnPeerRosterVersion(5, 3, kStart);
  group.OnPeerRosterVersion(6, 3, kStart);
  CHECK_FALSE(group.IsActiveMember(kStart + seconds(5)));
  group.OnPeerRosterVersion(1, 2, kStart);
  group.OnPeerRosterVersion(2, 2, kStart + seconds(5));
  CHECK_FALSE(group.IsActiveMember(kStart + milliseconds(5999)));
  CHECK_TRUE(group.IsActiveMember(kStart + seconds(6)));
}

TEST(shard_group, RemainingMemberStaysActiveThroughChanges) {
  group.SetRoster(Roster(1, {}), kStart);
  group.SetRoster(Roster(2, {3, 4, 5}), kStart);
  const time_point later = kStart + seconds(1);
  CHECK_TRUE(group.IsActiveMember(later));
  const uint64_t id = group.id();
  group.SetRoster(Roster(3, {4, 5, 6}), later);
  CHECK_TRUE(group.IsActiveMember(later));
  CHECK_TRUE(group.id() != id);
  group.SetRoster(Roster(2, {3, 4, 5}), later);
  CHECK_TRUE(group.id() != id);
  group.SetRoster(Roster(4, {5, 6, 7}), later);
  CHECK_FALSE(group.IsActiveMember(later));
  // A member that returns to the group waits like a new one.
  group.SetRoster(Roster(5, {4, 5, 6}), later);
  CHECK_FALSE(group.IsActiveMember(later + seconds(5)));
}

// Guards against a process that is active at once because its first roster
// already lists it.
TEST(shard_group, FirstRosterWithoutSelfIsTheEarlierGroup) {
  group.SetRoster(Roster(7, {2, 3, 4}), kStart);
  CHECK_FALSE(group.IsActiveMember(kStart + seconds(5)));
  group.OnPeerRosterVersion(2, 7, kStart);
  group.OnPeerRosterVersion(3, 7, kStart);
  CHECK_TRUE(group.IsActiveMember(kStart + seconds(1)));
}

}  // namespace
}  // namespace skylarkhoist
