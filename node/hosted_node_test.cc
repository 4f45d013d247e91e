#include "node/hosted_node.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "platform/platform_dialect.h"
#include "testing/hosted_fleet.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Nodes find each other and read the configuration well within this time.
constexpr duration kStartTime = seconds(1);

TEST_GROUP(hosted_node) {
  static constexpr size_t kMachines = 6;
  hosted_fleet fleet{kMachines, 1};

  void Start(const std::string& config = "1 1000 k1 k2") {
    fleet.Publish(config);
    fleet.Advance(kStartTime);
  }

  int64_t RunsOfService(size_t first) {
    int64_t runs = 0;
    for (size_t i = first; i < kMachines; i += 2)
      runs += fleet.runs(i).runs;
    return runs;
  }

  // Sends `per_second` requests at each of `machines` for `length`; returns how
  // many were answered with success.
  int Load(const std::vector<size_t>& machines, int per_second,
           duration length) {
    std::vector<std::shared_ptr<hosted_fleet::answer>> answers;
    const duration gap = duration(seconds(1)) / per_second;
    for (duration at = duration::zero(); at < length; at += gap) {
      for (const size_t each : machines)
        answers.push_back(fleet.Send(each, "/safe/x", "k1"));
      fleet.Advance(gap);
    }
    fleet.Advance(seconds(1));
    int served = 0;
    for (const auto& each : answers)
      served += each->response && each->response->status == 200 ? 1 : 0;
    return served;
  }
};

// Guards against a path that breaks between a caller and a target of another
// machine, and against refusals of keys or routes by a node that knows no
// configuration yet.
TEST(hosted_node, ServesAtEachNodeOnceItKnowsAConfiguration) {
  fleet.Advance(kStartTime);
  CHECK_FALSE(fleet.node(0).IsReady());
  CHECK_EQUAL(503, fleet.Ask(0, "/safe/x", "nobody"));
  CHECK_EQUAL(503, fleet.Ask(0, "/nowhere/", ""));
  Start();
  for (size_t i = 0; i < kMachines; ++i) {
    CHECK_TRUE(fleet.node(i).IsReady());
    CHECK_EQUAL(200, fleet.Ask(i, "/safe/x", "k1"));
    CHECK_EQUAL(200, fleet.Ask(i, "/once/x", "k2"));
    CHECK_EQUAL(200, fleet.Ask(i, "/inner/x", ""));
    CHECK_EQUAL(401, fleet.Ask(i, "/safe/x", "nobody"));
    CHECK_EQUAL(401, fleet.Ask(i, "/safe/x", ""));
    CHECK_EQUAL(404, fleet.Ask(i, "/nowhere/", "k1"));
  }
}

// Guards against a withdrawn key that goes on working at a node which the store
// turns away, and against a configuration that goes backwards.
TEST(hosted_node, TakesTheConfigurationFromPeersWhileTheStoreRefusesIt) {
  Start();
  CHECK_EQUAL(200, fleet.Ask(1, "/safe/x", "k1"));
  fleet.store().SetReachable("n1", false);
  fleet.Publish("2 1000 k2");
  fleet.Advance(seconds(2));
  CHECK_EQUAL(2, fleet.node(1).state().version());
  CHECK_EQUAL(401, fleet.Ask(1, "/safe/x", "k1"));
  CHECK_EQUAL(200, fleet.Ask(1, "/safe/x", "k2"));
  fleet.Publish("1 1000 k1");
  fleet.store().SetReachable("n1", true);
  fleet.Advance(seconds(2));
  for (size_t i = 0; i < kMachines; ++i)
    CHECK_EQUAL(2, fleet.node(i).state().version());
  // A record that cannot be read changes nothing.
  fleet.Publish("cut short");
  fleet.Publish("3 1000 k1");
  fleet.Advance(seconds(1));
  CHECK_EQUAL(200, fleet.Ask(1, "/safe/x", "k1"));
}

// Guards against a change that no node sees: two changes come in quick
// succession, and the reads that all nodes begin in between are not woken by
// the second.
TEST(hosted_node, SeesAChangeWhoseReadsAreNotWoken) {
  Start();
  fleet.Advance(seconds(40));
  fleet.Publish("2 1000 k1 k2");
  fleet.store().LoseWakeUps(true);
  fleet.Advance(milliseconds(100));
  fleet.Publish("3 1000 k2");
  fleet.store().LoseWakeUps(false);
  fleet.Advance(milliseconds(1500));
  for (size_t i = 0; i < kMachines; ++i)
    CHECK_EQUAL(3, fleet.node(i).state().version());
}

// Load pattern: a fleet larger than the number of scouts, and changes now and
// then. Guards against reads of the store that grow with the fleet times the
// steps of a scout, and against nodes that rely on a read which is not woken
// while no request keeps their links beating.
TEST(hosted_node, ScoutsReadForTheOthers) {
  constexpr size_t kMany = 24;
  hosted_fleet large{kMany, 1};
  large.Publish("1 1000 k1 k2");
  large.Advance(seconds(45));
  const uint64_t before = large.store().calls();
  large.Publish("2 1000 k1 k2");
  large.Advance(seconds(15));
  const uint64_t calls = large.store().calls() - before;
  // One for each node, six steps of each scout, and the reads that ended by
  // their time in between: of operators' records at most one a node.
  CHECK_TRUE_TEXT(calls <= 2 * kMany + 36,
                  StringFrom(static_cast<int>(calls)).asCharString());
  large.store().LoseWakeUps(true);
  large.Publish("3 1000 k1 k2");
  large.Advance(milliseconds(100));
  large.Publish("4 1000 k2");
  large.store().LoseWakeUps(false);
  large.Advance(milliseconds(2000));
  for (size_t i = 0; i < kMany; ++i)
    CHECK_EQUAL(4, large.node(i).state().version());
}

// Guards against a node that waits at offsets which the store has dropped, and
// against a zone that stays out because the end of its evacuation was dropped
// with the history.
TEST(hosted_node, ReadsOnAfterTheHistoryWasDropped) {
  Start();
  fleet.store().Write(store_topic::kOperators, "zone/z0", "{}");
  fleet.Advance(seconds(1));
  for (size_t i = 0; i < kMachines; ++i)
    fleet.store().SetReachable("n" + std::to_string(i), false);
  fleet.store().Write(store_topic::kOperators, "zone/z0", std::nullopt);
  fleet.Publish("2 1000 k2");
  fleet.store().Trim(store_topic::kOperators);
  fleet.Advance(seconds(3));
  for (size_t i = 0; i < kMachines; ++i)
    fleet.store().SetReachable("n" + std::to_string(i), true);
  fleet.Advance(seconds(3));
  for (size_t i = 0; i < kMachines; ++i) {
    CHECK_EQUAL(2, fleet.node(i).state().version());
    CHECK_TRUE(fleet.node(i).state().view()->zones_out.empty());
  }
}

// Guards against new work for the targets of a zone that is out of service.
TEST(hosted_node, SendsNothingToAZoneThatIsOut) {
  Start();
  fleet.store().Write(store_topic::kOperators, "zone/" + fleet.zone(0), "{}");
  fleet.Advance(seconds(1));
  const int64_t before = fleet.runs(0).runs;
  for (int i = 0; i < 20; ++i)
    CHECK_EQUAL(200, fleet.Ask(0, "/safe/x", "k1", milliseconds(100)));
  CHECK_EQUAL(before, fleet.runs(0).runs);
  fleet.store().Write(store_topic::kOperators, "zone/" + fleet.zone(0),
                      std::nullopt);
  fleet.Advance(seconds(1));
  for (int i = 0; i < 20; ++i)
    CHECK_EQUAL(200, fleet.Ask(0, "/safe/x", "k1", milliseconds(100)));
  CHECK_TRUE(fleet.runs(0).runs > before);
}

// Guards against new work for a target that leaves, and against a late or
// earlier announcement that brings it back.
TEST(hosted_node, SendsNothingToATargetThatLeaves) {
  Start();
  fleet.SetTargetState(0, fbs::member_state::kDraining);
  const int64_t before = fleet.runs(0).runs;
  for (int i = 0; i < 10; ++i)
    CHECK_EQUAL(200, fleet.Ask(0, "/safe/x", "k1", milliseconds(100)));
  CHECK_EQUAL(before, fleet.runs(0).runs);
  CHECK_TRUE(fleet.node(0).Depart("t0", 1));
  target_announcement late;
  late.service = "front";
  late.address = fleet.target(0);
  late.id = "t0";
  late.lifetime = 1;
  late.sequence = 1000;
  late.slots = 20;
  CHECK_FALSE(fleet.node(0).Announce(late));
  late.lifetime = 2;
  late.sequence = 1;
  CHECK_TRUE(fleet.node(0).Announce(late));
  late.lifetime = 1;
  late.sequence = 1001;
  late.state = fbs::member_state::kDraining;
  CHECK_FALSE(fleet.node(0).Announce(late));
  for (int i = 0; i < 10; ++i)
    CHECK_EQUAL(200, fleet.Ask(0, "/safe/x", "k1", milliseconds(100)));
  CHECK_TRUE(fleet.runs(0).runs > before);
}

// Guards against a cold target that gets more than it bears from all nodes
// together.
TEST(hosted_node, KeepsToTheRateOfAColdTarget) {
  Start("1 100000 k1");
  for (const size_t each : {2U, 4U})
    fleet.SetTargetState(each, fbs::member_state::kDraining);
  fleet.RestartTarget(0, seconds(10));
  const int64_t before = fleet.runs(0).runs;
  Load({0, 1, 2, 3, 4, 5}, 50, seconds(3));
  // 20 a second for 3 s of load and 1 s after it, and a burst of a tenth.
  const int64_t runs = fleet.runs(0).runs - before;
  CHECK_TRUE(runs <= 82);
  CHECK_TRUE(runs >= 40);
}

// Load pattern: a customer sends ten times its rate from all machines. Guards
// against more runs than its rate and burst allow over all nodes, also while
// the node that mints its tokens is killed, and against tokens that lie unused.
TEST(hosted_node, HoldsACustomerToItsRateOverAllNodes) {
  const double rate = 60;
  Start("1 60 k1");
  fleet.Advance(seconds(2));
  const auto run_for = [&](duration length) {
    const int64_t before = RunsOfService(0);
    Load({0, 1, 2, 3, 4, 5}, 100, length);
    return static_cast<double>(RunsOfService(0) - before);
  };
  const double steady = run_for(seconds(5));
  CHECK_TRUE(steady <= rate * 6 + rate);
  CHECK_TRUE(steady >= rate * 5 * 0.9);
  for (size_t killed = 0; killed < kMachines; ++killed) {
    fleet.StopNode(killed);
    std::vector<size_t> others;
    for (size_t i = 0; i < kMachines; ++i) {
      if (i != killed)
        others.push_back(i);
    }
    const int64_t before = RunsOfService(0);
    Load(others, 100, seconds(3));
    const auto runs = static_cast<double>(RunsOfService(0) - before);
    fleet.StartNode(killed);
    fleet.Advance(seconds(2));
    CHECK_TRUE_TEXT(runs <= (rate * 4 + rate) * 1.1 + 20,
                    std::to_string(runs).c_str());
    CHECK_TRUE_TEXT(runs >= rate * 3 * 0.5, std::to_string(runs).c_str());
  }
}

// Load pattern: as above while two machines are cut off from all others. Guards
// against two mints, one on each side.
TEST(hosted_node, HoldsACustomerToItsRateThroughACut) {
  const double rate = 60;
  Start("1 60 k1");
  Load({0, 1, 2, 3, 4, 5}, 50, seconds(3));
  fleet.network().Partition(
      {fleet.address(0), fleet.address(1)},
      {fleet.address(2), fleet.address(3), fleet.address(4), fleet.address(5)});
  for (int window = 0; window < 3; ++window) {
    const int64_t before = RunsOfService(0);
    Load({0, 1, 2, 3, 4, 5}, 100, seconds(4));
    const auto runs = static_cast<double>(RunsOfService(0) - before);
    CHECK_TRUE_TEXT(runs <= (rate * 5 + rate) * 1.1 + 20,
                    std::to_string(runs).c_str());
  }
}

// Load pattern: all of a customer's demand moves to one machine. Guards against
// requests that are refused although the customer is within its rate.
TEST(hosted_node, TokensFollowDemandThatMoves) {
  Start("1 100 k1");
  fleet.Advance(seconds(2));
  Load({1, 2, 3, 4, 5}, 12, seconds(2));
  const int served = Load({0}, 60, seconds(3));
  CHECK_TRUE_TEXT(served >= 179, std::to_string(served).c_str());
}

// Guards against a request that runs twice, and against "not run" for one that
// ran: the link to the node beside the target falls silent while it runs.
TEST(hosted_node, ALostLinkNeitherRepeatsNorDeniesARun) {
  Start();
  for (const size_t each : {2U, 4U})
    fleet.SetTargetState(each, fbs::member_state::kDraining);
  fleet.targets().SlowDown(fleet.target(0), 30, seconds(5));
  const int64_t before = RunsOfService(0);
  const auto answer = fleet.Send(1, "/once/x", "k1");
  fleet.Advance(milliseconds(100));
  fleet.network().SilenceLink(fleet.address(1), fleet.address(0));
  fleet.Advance(seconds(3));
  CHECK_TRUE(answer->response.has_value());
  CHECK_TRUE(answer->response->status == 200 ||
             answer->response->status == 504);
  CHECK_EQUAL(before + 1, RunsOfService(0));
}

// Guards against a planned stop that cuts requests or leaves a record of a node
// that is gone.
TEST(hosted_node, APlannedStopFinishesWhatItHas) {
  Start();
  fleet.targets().SlowDown(fleet.target(0), 30, seconds(5));
  std::vector<std::shared_ptr<hosted_fleet::answer>> answers;
  for (size_t i = 0; i < kMachines; ++i)
    answers.push_back(fleet.Send(i, "/once/x", "k1"));
  fleet.Advance(milliseconds(50));
  bool drained = false;
  fleet.node(0).Drain([&] { drained = true; });
  CHECK_FALSE(fleet.node(0).IsReady());
  // Callers that have not noticed yet are still served.
  CHECK_EQUAL(200, fleet.Ask(0, "/safe/x", "k1"));
  fleet.Advance(seconds(4));
  CHECK_TRUE(drained);
  for (const auto& each : answers) {
    CHECK_TRUE(each->response.has_value());
    CHECK_EQUAL(200, each->response->status);
  }
  CHECK_FALSE(fleet.store().Newest(store_topic::kNodes, "n0").has_value());
}

// Guards against a request that arrives while the process ends and is neither
// answered nor refused: callers go on sending at a node that stops.
TEST(hosted_node, AStopAnswersOrRefusesEachRequest) {
  Start();
  bool drained = false;
  fleet.node(0).Drain([&] { drained = true; });
  std::vector<std::shared_ptr<hosted_fleet::answer>> answers;
  for (const size_t each : {0U, 2U, 4U})
    fleet.targets().SlowDown(fleet.target(each), 20, seconds(20));
  // Leaves idle moments between requests that take 200 ms and more.
  while (!drained) {
    answers.push_back(fleet.Send(0, "/once/x", "k1"));
    for (int i = 0; i < 28 && !drained; ++i)
      fleet.Advance(milliseconds(10));
  }
  for (const auto& each : answers)
    CHECK_TRUE(each->response.has_value());
  CHECK_TRUE(answers.size() > 5);
}

// Load pattern: the fleet starts into a deep service that is full, so few
// requests get beyond their first call. Guards against a door that learns which
// requests lead there only once there is room, and against calls of important
// requests that wait behind others.
TEST(hosted_node, CallsTellWhichRequestsLeadToAService) {
  hosted_fleet named{kMachines, 1, &PlatformDialect()};
  named.Publish("1 1000 k1 k2");
  // Until targets that have just appeared get their full share.
  named.Advance(seconds(6));
  named.targets().SlowDown(named.target(0), 50, seconds(10));
  const auto parent = named.Send(0, "/safe/x", "k1", "a1");
  named.Advance(milliseconds(100));
  const auto call = named.Send(0, "/inner/x", "", "a1.b2");
  named.Advance(milliseconds(100));
  CHECK_EQUAL(200, call->response->status);
  const json calls = named.node(0).Status()["calls"];
  STRCMP_EQUAL("{\"safe\":[\"inner\"]}", calls.dump().c_str());
}

// Guards against a rank in a damaged message that is taken for a place in a
// table.
TEST(hosted_node, ARankAboveTheHighestBecomesTheHighest) {
  CHECK_TRUE(RankFromWire(250) == priority_class::kCritical);
  CHECK_TRUE(RankFromWire(8) == priority_class::kCritical);
  CHECK_TRUE(RankFromWire(5) ==
             RankOf(priority_class::kNormal, priority_class::kCritical));
}

// Load pattern: the nodes beside the few targets of a deep service are
// restarted one after the other under full load. Guards against a target that
// serves nobody from the beginning of the stop.
TEST(hosted_node, AStoppingNodeServesItsTargetMeanwhile) {
  Start();
  bool drained = false;
  fleet.node(0).Drain([&] { drained = true; });
  const int64_t before = fleet.runs(0).runs;
  CHECK_EQUAL(50, Load({1}, 50, seconds(1)));
  CHECK_TRUE(fleet.runs(0).runs - before >= 20);
  // The grace that is left is for the runs in progress.
  fleet.Advance(milliseconds(300));
  const int64_t at_end = fleet.runs(0).runs;
  CHECK_EQUAL(20, Load({1}, 20, seconds(1)));
  CHECK_EQUAL(at_end, fleet.runs(0).runs);
  fleet.Advance(seconds(3));
  CHECK_TRUE(drained);
}

// Guards against nodes that never find each other because the store was away
// when they started.
TEST(hosted_node, FindsTheOthersOnceTheStoreIsBack) {
  Start();
  fleet.StopNode(0);
  fleet.store().SetReachable("n0", false);
  fleet.StartNode(0);
  fleet.Advance(seconds(2));
  // The others know its address and bring the configuration.
  CHECK_TRUE(fleet.node(0).IsReady());
  CHECK_EQUAL(200, fleet.Ask(0, "/inner/x", ""));
}

}  // namespace
}  // namespace skylarkhoist
