#include "node/roster_keeper.h"

#include <CppUTest/TestHarness.h>

#include "testing/deployments.h"

namespace skylarkhoist {
namespace {

using std::chrono::seconds;

// All nodes of a small fleet have joined the roster within this time.
constexpr duration kFormationTime = seconds(6);

size_t RosterSize(fleet& cluster, size_t machine) {
  return cluster.node_of(machine)->config().roster().members.size();
}

TEST_GROUP(roster_keeper){};

// Guards against dead members that stay in the roster and weaken the groups of
// their shards, and against an eviction by more than one monitor.
TEST(roster_keeper, EvictsADeadMemberOnce) {
  fleet cluster(SmallDeployment(6), 1);
  PublishSmallDeployment(&cluster, 1);
  cluster.Advance(kFormationTime);
  CHECK_EQUAL(6, RosterSize(cluster, 0));
  cluster.KillNode(3);
  cluster.Advance(seconds(25));
  CHECK_EQUAL(6, RosterSize(cluster, 0));
  const uint64_t appends = cluster.log().appends();
  cluster.Advance(seconds(35));
  CHECK_EQUAL(5, RosterSize(cluster, 0));
  CHECK_EQUAL(appends + 1, cluster.log().appends());
}

// Guards against a partitioned minority that evicts the rest of the fleet.
TEST(roster_keeper, MinorityEvictsNobody) {
  fleet cluster(SmallDeployment(6), 1);
  PublishSmallDeployment(&cluster, 1);
  cluster.Advance(kFormationTime);
  std::set<std::string> minority{cluster.PeerAddress(0),
                                 cluster.PeerAddress(1)};
  std::set<std::string> rest;
  for (size_t i = 2; i < 6; ++i)
    rest.insert(cluster.PeerAddress(i));
  cluster.network().Partition(minority, rest);
  cluster.Advance(seconds(90));
  for (size_t i = 2; i < 6; ++i) {
    CHECK_EQUAL(4, RosterSize(cluster, i));
  }
}

// Guards against an evicted node that keeps using records that the fleet has
// given up.
TEST(roster_keeper, EvictedNodeIsNotified) {
  fleet cluster(SmallDeployment(6), 1);
  PublishSmallDeployment(&cluster, 1);
  cluster.Advance(kFormationTime);
  int notifications = 0;
  cluster.node_of(2)->OnEvicted([&notifications] { ++notifications; });
  cluster.PauseNode(2);
  cluster.Advance(seconds(60));
  CHECK_EQUAL(0, notifications);
  cluster.ResumeNode(2);
  cluster.Advance(seconds(5));
  CHECK_EQUAL(1, notifications);
}

// Guards against evictions of live members that random gossip rarely reaches,
// as in a large fleet.
TEST(roster_keeper, LiveMembersWithoutGossipStay) {
  node_options rare_gossip;
  rare_gossip.gossip_interval = seconds(60);
  fleet cluster(SmallDeployment(12), 1, {}, rare_gossip);
  PublishSmallDeployment(&cluster, 1);
  cluster.Advance(2 * kFormationTime);
  CHECK_EQUAL(12, RosterSize(cluster, 0));
  const uint64_t appends = cluster.log().appends();
  cluster.Advance(seconds(120));
  CHECK_EQUAL(12, RosterSize(cluster, 0));
  CHECK_EQUAL(appends, cluster.log().appends());
}

// Guards against an eviction of the old process that removes its successor.
TEST(roster_keeper, RestartReplacesTheMember) {
  fleet cluster(SmallDeployment(6), 1);
  PublishSmallDeployment(&cluster, 1);
  cluster.Advance(kFormationTime);
  cluster.KillNode(1);
  cluster.StartNode(1);
  cluster.Advance(seconds(90));
  CHECK_EQUAL(6, RosterSize(cluster, 0));
}

}  // namespace
}  // namespace skylarkhoist
