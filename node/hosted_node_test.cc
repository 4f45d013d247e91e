#include "node/hosted_node.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/platform_dialect.h"
#include "testing/hosted_fleet.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Nodes find each other and read the configuration within this time.
constexpr duration kStartTime = seconds(1);

TEST_GROUP(hosted_node) {
  static constexpr size_t kMachines = 6;
  hosted_fleet fleet{kMachines, 1};
  std::vector<int64_t> announced_crashes = std::vector<int64_t>(kMachines, 0);

  void Start(const std::string& config = "1 1000 k1 k2") {
    fleet.Publish(config);
    fleet.Advance(kStartTime);
  }

  // Returns the runs at all targets of one service. Machines with an even index
  // have targets of "front", the others of "deep".
  int64_t RunsOfService(size_t first_machine) {
    int64_t runs = 0;
    for (size_t i = first_machine; i < kMachines; i += 2)
      runs += fleet.target_counters(i).runs;
    return runs;
  }

  int64_t CrashesOfFront() {
    int64_t crashes = 0;
    for (size_t machine = 0; machine < kMachines; machine += 2)
      crashes += fleet.target_counters(machine).crashes;
    return crashes;
  }

  // Crashed targets that run again announce themselves.
  void RestartCrashedTargets() {
    for (size_t machine = 0; machine < kMachines; machine += 2) {
      const int64_t crashes = fleet.target_counters(machine).crashes;
      if (crashes > announced_crashes[machine] &&
          fleet.targets().IsUp(fleet.target_address(machine))) {
        announced_crashes[machine] = crashes;
        fleet.RestartTarget(machine, duration::zero());
      }
    }
  }

  // Sends `per_second` requests to each of `machines` for `length`; returns how
  // many were answered with status 200.
  int SendLoad(const std::vector<size_t>& machines, int per_second,
               duration length) {
    std::vector<std::shared_ptr<hosted_fleet::pending_response>> answers;
    const duration interval = duration(seconds(1)) / per_second;
    for (duration at = duration::zero(); at < length; at += interval) {
      for (const size_t machine : machines)
        answers.push_back(fleet.Send(machine, "/safe/x", "k1"));
      fleet.Advance(interval);
    }
    fleet.Advance(seconds(1));
    int served = 0;
    for (const auto& each : answers)
      served += each->response && each->response->status == 200 ? 1 : 0;
    return served;
  }
};

// Guards against requests that cannot reach a target on another machine, and
// against a node without a configuration that answers 401 or 404 instead of
// 503.
TEST(hosted_node, EachNodeServesOnceItHasAConfiguration) {
  fleet.Advance(kStartTime);
  CHECK_FALSE(fleet.node(0).IsReady());
  CHECK_EQUAL(503, fleet.SendAndWait(0, "/safe/x", "nobody"));
  CHECK_EQUAL(503, fleet.SendAndWait(0, "/nowhere/", ""));
  Start();
  for (size_t i = 0; i < kMachines; ++i) {
    CHECK_TRUE(fleet.node(i).IsReady());
    CHECK_EQUAL(200, fleet.SendAndWait(i, "/safe/x", "k1"));
    CHECK_EQUAL(200, fleet.SendAndWait(i, "/once/x", "k2"));
    CHECK_EQUAL(200, fleet.SendAndWait(i, "/inner/x", ""));
    CHECK_EQUAL(401, fleet.SendAndWait(i, "/safe/x", "nobody"));
    CHECK_EQUAL(401, fleet.SendAndWait(i, "/safe/x", ""));
    CHECK_EQUAL(404, fleet.SendAndWait(i, "/nowhere/", "k1"));
  }
}

// Guards against a withdrawn key that stays valid at a node whose reads the
// store refuses, and against a return to an older configuration version.
TEST(hosted_node, ReadsTheConfigurationFromPeersWhileTheStoreRefusesIt) {
  Start();
  CHECK_EQUAL(200, fleet.SendAndWait(1, "/safe/x", "k1"));
  fleet.store().SetReachable("n1", false);
  fleet.Publish("2 1000 k2");
  fleet.Advance(seconds(2));
  CHECK_EQUAL(2, fleet.node(1).config().version());
  CHECK_EQUAL(401, fleet.SendAndWait(1, "/safe/x", "k1"));
  CHECK_EQUAL(200, fleet.SendAndWait(1, "/safe/x", "k2"));
  fleet.Publish("1 1000 k1");
  fleet.store().SetReachable("n1", true);
  fleet.Advance(seconds(2));
  for (size_t i = 0; i < kMachines; ++i)
    CHECK_EQUAL(2, fleet.node(i).config().version());
  // A malformed record is ignored.
  fleet.Publish("cut short");
  fleet.Publish("3 1000 k1");
  fleet.Advance(seconds(1));
  CHECK_EQUAL(200, fleet.SendAndWait(1, "/safe/x", "k1"));
}

// Guards against a change that no node sees in time: two changes follow each
// other quickly, and the second does not wake the long polls that all nodes
// start in between.
TEST(hosted_node, SeesAChangeThatDoesNotWakeReads) {
  Start();
  fleet.Advance(seconds(40));
  fleet.Publish("2 1000 k1 k2");
  fleet.store().LoseWakeUps(true);
  fleet.Advance(milliseconds(100));
  fleet.Publish("3 1000 k2");
  fleet.store().LoseWakeUps(false);
  fleet.Advance(milliseconds(1500));
  for (size_t i = 0; i < kMachines; ++i)
    CHECK_EQUAL(3, fleet.node(i).config().version());
}

// Guards against changes that come into force late because nodes wait for reads
// that the store will never answer: it becomes silent during the long polls and
// does not complete them when it is back.
TEST(hosted_node, SeesChangesSoonAfterASilentStoreIsBack) {
  constexpr size_t kLargeFleetMachines = 14;
  // Silence that begins soon after a change, and in the middle of long polls.
  for (const duration quiet : {milliseconds(100), milliseconds(9700)}) {
    for (duration silence = milliseconds(600); silence < seconds(8);
         silence += milliseconds(370)) {
      hosted_fleet large{kLargeFleetMachines, 1};
      large.Publish("1 1000 k1 k2");
      large.Advance(seconds(30));
      large.Publish("2 1000 k1 k2");
      large.Advance(quiet);
      large.store().SetSilent(true);
      large.Advance(silence);
      large.store().SetSilent(false);
      large.Publish("3 1000 k2");
      large.Advance(seconds(2));
      for (size_t i = 0; i < kLargeFleetMachines; ++i)
        CHECK_EQUAL(3, large.node(i).config().version());
    }
  }
}

// Guards against a node that depends on its peers for as long as a read lasts
// that the store will never answer.
TEST(hosted_node, ReadsAgainAfterAReadThatMissedAChange) {
  hosted_fleet large{14, 1};
  large.Publish("1 1000 k1 k2");
  large.Advance(seconds(30));
  large.store().SetSilent(true);
  large.Advance(seconds(1));
  large.store().SetSilent(false);
  large.Publish("2 1000 k2");
  large.Advance(seconds(3));
  // Peers send records only after 500 ms.
  large.Publish("3 1000 k2");
  large.Advance(milliseconds(300));
  for (size_t i = 0; i < 14; ++i)
    CHECK_EQUAL(3, large.node(i).config().version());
}

// Load pattern: occasional changes in a fleet with more nodes than primary
// readers. Guards against every node polling as often as a primary reader, and
// against nodes that miss a change because their long poll is not woken and
// their idle links carry no heartbeats.
TEST(hosted_node, PrimaryReadersNotifyTheOthers) {
  constexpr size_t kLargeFleetMachines = 24;
  hosted_fleet large{kLargeFleetMachines, 1};
  large.Publish("1 1000 k1 k2");
  large.Advance(seconds(45));
  const uint64_t before = large.store().call_count();
  large.Publish("2 1000 k1 k2");
  large.Advance(seconds(15));
  const uint64_t calls = large.store().call_count() - before;
  // One read for each node, six reads for each primary reader, and at most one
  // read of operator records for each node that timed out in between.
  CHECK_TRUE_TEXT(calls <= 2 * kLargeFleetMachines + 36,
                  StringFrom(static_cast<int>(calls)).asCharString());
  large.store().LoseWakeUps(true);
  large.Publish("3 1000 k1 k2");
  large.Advance(milliseconds(100));
  large.Publish("4 1000 k2");
  large.store().LoseWakeUps(false);
  large.Advance(milliseconds(2000));
  for (size_t i = 0; i < kLargeFleetMachines; ++i)
    CHECK_EQUAL(4, large.node(i).config().version());
}

// Guards against a node that keeps reading from an offset that the store has
// trimmed, and against a zone that stays out of service because the record that
// ended its evacuation was trimmed.
TEST(hosted_node, RecoversAfterTheHistoryIsTrimmed) {
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
    CHECK_EQUAL(2, fleet.node(i).config().version());
    CHECK_TRUE(fleet.node(i).config().view()->out_of_service_zones.empty());
  }
}

// Guards against new calls to the targets of a zone that is out of service.
TEST(hosted_node, SendsNothingToAZoneOutOfService) {
  Start();
  fleet.store().Write(store_topic::kOperators, "zone/" + fleet.zone(0), "{}");
  fleet.Advance(seconds(1));
  const int64_t before = fleet.target_counters(0).runs;
  for (int i = 0; i < 20; ++i)
    CHECK_EQUAL(200, fleet.SendAndWait(0, "/safe/x", "k1", milliseconds(100)));
  CHECK_EQUAL(before, fleet.target_counters(0).runs);
  fleet.store().Write(store_topic::kOperators, "zone/" + fleet.zone(0),
                      std::nullopt);
  fleet.Advance(seconds(1));
  for (int i = 0; i < 20; ++i)
    CHECK_EQUAL(200, fleet.SendAndWait(0, "/safe/x", "k1", milliseconds(100)));
  CHECK_TRUE(fleet.target_counters(0).runs > before);
}

// Guards against new calls to a draining target, and against an announcement of
// an earlier run that puts the target back into service or takes its successor
// out.
TEST(hosted_node, SendsNothingToADrainingTarget) {
  Start();
  fleet.SetTargetState(0, fbs::member_state::kDraining);
  const int64_t before = fleet.target_counters(0).runs;
  for (int i = 0; i < 10; ++i)
    CHECK_EQUAL(200, fleet.SendAndWait(0, "/safe/x", "k1", milliseconds(100)));
  CHECK_EQUAL(before, fleet.target_counters(0).runs);
  CHECK_TRUE(fleet.node(0).HandleDeparture("t0", 1));
  target_announcement late;
  late.service = "front";
  late.address = fleet.target_address(0);
  late.id = "t0";
  late.generation = 1;
  late.sequence = 1000;
  late.slots = 20;
  CHECK_FALSE(fleet.node(0).HandleAnnouncement(late));
  late.generation = 2;
  late.sequence = 1;
  CHECK_TRUE(fleet.node(0).HandleAnnouncement(late));
  late.generation = 1;
  late.sequence = 1001;
  late.state = fbs::member_state::kDraining;
  CHECK_FALSE(fleet.node(0).HandleAnnouncement(late));
  // A target that has just come into service gets only some of the calls.
  for (int i = 0; i < 30; ++i)
    CHECK_EQUAL(200, fleet.SendAndWait(0, "/safe/x", "k1", milliseconds(100)));
  CHECK_TRUE(fleet.target_counters(0).runs > before);
}

// Guards against a cold target that gets more calls per second from all nodes
// together than the rate configured for cold targets.
TEST(hosted_node, LimitsTheCallRateOfAColdTarget) {
  Start("1 100000 k1");
  for (const size_t machine : {2U, 4U})
    fleet.SetTargetState(machine, fbs::member_state::kDraining);
  fleet.RestartTarget(0, seconds(10));
  const int64_t before = fleet.target_counters(0).runs;
  SendLoad({0, 1, 2, 3, 4, 5}, 50, seconds(3));
  // 20 per second for 3 s of load and 1 s after it, plus a burst of a tenth.
  const int64_t runs = fleet.target_counters(0).runs - before;
  CHECK_TRUE(runs <= 82);
  CHECK_TRUE(runs >= 40);
}

// Load pattern: a customer sends ten times its rate through all machines.
// Guards against more runs in total than its rate and burst allow, also when
// the node that owns its token bucket is killed, and against tokens that stay
// unused.
TEST(hosted_node, LimitsACustomerToItsRateOverAllNodes) {
  const double rate = 60;
  Start("1 60 k1");
  fleet.Advance(seconds(2));
  const auto run_for = [&](duration length) {
    const int64_t before = RunsOfService(0);
    SendLoad({0, 1, 2, 3, 4, 5}, 100, length);
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
    SendLoad(others, 100, seconds(3));
    const auto runs = static_cast<double>(RunsOfService(0) - before);
    fleet.StartNode(killed);
    fleet.Advance(seconds(2));
    CHECK_TRUE_TEXT(runs <= (rate * 4 + rate) * 1.1 + 20,
                    std::to_string(runs).c_str());
    CHECK_TRUE_TEXT(runs >= rate * 3 * 0.5, std::to_string(runs).c_str());
  }
}

// Load pattern: as above while two machines are partitioned from the others.
// Guards against a token bucket on each side of the partition.
TEST(hosted_node, LimitsACustomerToItsRateDuringAPartition) {
  const double rate = 60;
  Start("1 60 k1");
  SendLoad({0, 1, 2, 3, 4, 5}, 50, seconds(3));
  fleet.network().Partition({fleet.peer_address(0), fleet.peer_address(1)},
                            {fleet.peer_address(2), fleet.peer_address(3),
                             fleet.peer_address(4), fleet.peer_address(5)});
  for (int window = 0; window < 3; ++window) {
    const int64_t before = RunsOfService(0);
    SendLoad({0, 1, 2, 3, 4, 5}, 100, seconds(4));
    const auto runs = static_cast<double>(RunsOfService(0) - before);
    CHECK_TRUE_TEXT(runs <= (rate * 5 + rate) * 1.1 + 20,
                    std::to_string(runs).c_str());
  }
}

// Load pattern: a customer sends several times its rate, and right after its
// burst a part of the fleet is cut off: a zone, or a single machine, which may
// own its token bucket. Guards against more runs on both sides together, in any
// window, than its rate and burst allow.
TEST(hosted_node, LimitsACustomerToItsRateWhenAPartitionComesWithAPeak) {
  const double rate = 200;
  const std::vector<std::vector<size_t>> parts = {
      {0, 1}, {2, 3}, {4, 5}, {0}, {1}, {2}, {3}, {4}, {5}};
  for (const std::vector<size_t>& part : parts) {
    hosted_fleet cut{kMachines, 1};
    cut.Publish("1 200 k1");
    cut.Advance(seconds(3));
    std::set<std::string> inside;
    std::set<std::string> outside;
    for (size_t i = 0; i < kMachines; ++i) {
      const bool is_inside =
          std::find(part.begin(), part.end(), i) != part.end();
      (is_inside ? inside : outside).insert(cut.peer_address(i));
    }
    // Runs of each 100 ms.
    std::vector<int64_t> runs;
    const auto send_for = [&](duration length, int per_node) {
      for (duration at = duration::zero(); at < length;
           at += milliseconds(100)) {
        int64_t before = 0;
        int64_t after = 0;
        for (size_t i = 0; i < kMachines; i += 2)
          before += cut.target_counters(i).runs;
        for (int i = 0; i < per_node; ++i) {
          for (size_t machine = 0; machine < kMachines; ++machine)
            cut.Send(machine, "/safe/x", "k1");
          cut.Advance(duration(milliseconds(100)) / per_node);
        }
        for (size_t i = 0; i < kMachines; i += 2)
          after += cut.target_counters(i).runs;
        runs.push_back(after - before);
      }
    };
    send_for(seconds(2), 2);
    send_for(milliseconds(300), 25);
    cut.network().Partition(inside, outside);
    send_for(seconds(6), 25);
    cut.network().Heal();
    send_for(seconds(6), 25);
    int64_t most = 0;
    for (size_t start = 0; start + 50 <= runs.size(); ++start) {
      int64_t sum = 0;
      for (size_t i = start; i < start + 50; ++i)
        sum += runs[i];
      most = std::max(most, sum);
    }
    const std::string text = "machine " + std::to_string(part.front()) +
                             " of " + std::to_string(part.size()) + ": " +
                             std::to_string(most);
    CHECK_TRUE_TEXT(static_cast<double>(most) <= (rate * 5 + rate) * 1.1 + 20,
                    text.c_str());
    int64_t total = 0;
    for (const int64_t each : runs)
      total += each;
    // The rate is used nearly up in spite of the partition.
    CHECK_TRUE_TEXT(static_cast<double>(total) >= rate * 12 * 0.8,
                    text.c_str());
  }
}

// Load pattern: all requests of a customer move to one machine. Guards against
// refusals although the customer is within its rate.
TEST(hosted_node, TokensFollowDemandBetweenMachines) {
  Start("1 100 k1");
  fleet.Advance(seconds(2));
  SendLoad({1, 2, 3, 4, 5}, 12, seconds(2));
  const int served = SendLoad({0}, 60, seconds(3));
  CHECK_TRUE_TEXT(served >= 179, std::to_string(served).c_str());
}

// Guards against a request that runs twice or is reported as not run although
// it ran: the link to the target's node becomes silent during the run.
TEST(hosted_node, ALostLinkNeitherRepeatsARunNorReportsItAsNotRun) {
  Start();
  for (const size_t machine : {2U, 4U})
    fleet.SetTargetState(machine, fbs::member_state::kDraining);
  fleet.targets().SlowDown(fleet.target_address(0), 30, seconds(5));
  const int64_t before = RunsOfService(0);
  const auto answer = fleet.Send(1, "/once/x", "k1");
  fleet.Advance(milliseconds(100));
  fleet.network().SilenceLink(fleet.peer_address(1), fleet.peer_address(0));
  fleet.Advance(seconds(3));
  CHECK_TRUE(answer->response.has_value());
  CHECK_TRUE(answer->response->status == 200 ||
             answer->response->status == 504);
  CHECK_EQUAL(before + 1, RunsOfService(0));
}

// Guards against a planned stop that aborts requests or leaves the node's
// record in the store.
TEST(hosted_node, APlannedStopFinishesOpenRequests) {
  Start();
  fleet.targets().SlowDown(fleet.target_address(0), 30, seconds(5));
  std::vector<std::shared_ptr<hosted_fleet::pending_response>> answers;
  for (size_t i = 0; i < kMachines; ++i)
    answers.push_back(fleet.Send(i, "/once/x", "k1"));
  fleet.Advance(milliseconds(50));
  bool drained = false;
  fleet.node(0).Drain([&] { drained = true; }, seconds(10));
  CHECK_FALSE(fleet.node(0).IsReady());
  // Requests of callers that have not noticed the drain yet are still served.
  CHECK_EQUAL(200, fleet.SendAndWait(0, "/safe/x", "k1"));
  fleet.Advance(seconds(4));
  CHECK_TRUE(drained);
  for (const auto& each : answers) {
    CHECK_TRUE(each->response.has_value());
    CHECK_EQUAL(200, each->response->status);
  }
  CHECK_FALSE(fleet.store().NewestValue(store_topic::kNodes, "n0").has_value());
}

// Guards against requests that get no reply because they arrive just before the
// process ends: callers keep sending to a draining node.
TEST(hosted_node, AStopAnswersOrRefusesEachRequest) {
  Start();
  bool drained = false;
  fleet.node(0).Drain([&] { drained = true; }, seconds(10));
  std::vector<std::shared_ptr<hosted_fleet::pending_response>> answers;
  for (const size_t machine : {0U, 2U, 4U})
    fleet.targets().SlowDown(fleet.target_address(machine), 20, seconds(20));
  // Each request takes at least 200 ms; the node is idle for a moment before
  // the next one, 280 ms later.
  while (!drained) {
    answers.push_back(fleet.Send(0, "/once/x", "k1"));
    for (int i = 0; i < 28 && !drained; ++i)
      fleet.Advance(milliseconds(10));
  }
  for (const auto& each : answers)
    CHECK_TRUE(each->response.has_value());
  CHECK_TRUE(answers.size() > 5);
}

// Guards against requests that are taken late in the grace period of a planned
// stop, passed on, and cut at its end: callers keep sending, and each request
// takes as long as it may.
TEST(hosted_node, AStopTakesNoRequestThatItMayHaveToCut) {
  Start();
  const duration stop_time = milliseconds(5500);
  for (const size_t machine : {0U, 2U, 4U})
    fleet.targets().SlowDown(fleet.target_address(machine), 1000, seconds(20));
  bool drained = false;
  const time_point start = fleet.clock().Now();
  fleet.node(0).Drain([&] { drained = true; }, stop_time);
  std::vector<
      std::pair<time_point, std::shared_ptr<hosted_fleet::pending_response>>>
      answers;
  while (!drained && fleet.clock().Now() - start < stop_time) {
    answers.emplace_back(fleet.clock().Now(), fleet.Send(0, "/once/x", "k1"));
    fleet.Advance(milliseconds(100));
  }
  // Routes time out after 2 s.
  for (const auto& [sent_at, answer] : answers) {
    if (sent_at - start >= seconds(3) && !answer->response)
      FAIL("a request that was taken late is not answered");
  }
  // What is still open gets a response that promises nothing.
  fleet.node(0).FinishOpenRequests();
  for (const auto& [sent_at, answer] : answers) {
    CHECK_TRUE(answer->response.has_value());
    const int status = answer->response->status;
    CHECK_TRUE(status == 503 || status == 504 || status == 502);
  }
}

// Guards against requests without a key on open routes that are taken for calls
// of the local target, passed on late in a planned stop, and cut at its end.
TEST(hosted_node, AStopTakesNoOpenRequestThatItMayHaveToCut) {
  Start();
  const duration stop_time = milliseconds(5500);
  for (const size_t machine : {1U, 3U, 5U})
    fleet.targets().SlowDown(fleet.target_address(machine), 1000, seconds(20));
  fleet.node(0).Drain([] {}, stop_time);
  std::vector<std::shared_ptr<hosted_fleet::pending_response>> late;
  for (duration at = duration::zero(); at < stop_time;
       at += milliseconds(100)) {
    const auto answer = fleet.Send(0, "/inner/x", "");
    if (at >= seconds(3))
      late.push_back(answer);
    fleet.Advance(milliseconds(100));
  }
  // Routes time out after 2 s.
  for (const auto& answer : late)
    CHECK_TRUE(answer->response.has_value());
}

// Guards against a stop that cuts a call of a run in progress, or fails the run
// by a refusal although the call would end in time.
TEST(hosted_node, AStopServesCallsOfRunsInProgressWhileItLasts) {
  hosted_fleet platform_fleet{kMachines, 1, &PlatformDialect()};
  platform_fleet.Publish("1 1000 k1 k2");
  platform_fleet.Advance(seconds(6));
  for (const size_t machine : {2U, 4U})
    platform_fleet.SetTargetState(machine, fbs::member_state::kDraining);
  platform_fleet.targets().SlowDown(platform_fleet.target_address(0), 260,
                                    seconds(3));
  platform_fleet.node(0).Drain([] {}, milliseconds(5500));
  platform_fleet.Advance(milliseconds(2150));
  platform_fleet.Send(1, "/safe/x", "k1", "a1");
  platform_fleet.Advance(milliseconds(1650));
  // Routes time out after 2 s, later than the end of the stop.
  const auto in_time = platform_fleet.Send(0, "/inner/x", "", "a1.b2");
  platform_fleet.Advance(milliseconds(100));
  CHECK_EQUAL(200, in_time->response->status);
  for (const size_t machine : {1U, 3U, 5U})
    platform_fleet.targets().SlowDown(platform_fleet.target_address(machine),
                                      1000, seconds(3));
  const auto too_long = platform_fleet.Send(0, "/inner/x", "", "a1.b3");
  platform_fleet.Advance(milliseconds(1600));
  CHECK_TRUE(too_long->response.has_value());
  CHECK_EQUAL(504, too_long->response->status);
}

// Load pattern: callers give up while the calls of their requests wait at a
// slow service. Guards against calls that start, or run on, for a caller that
// has left, because the target in between notices late.
TEST(hosted_node, CancelsTheCallsOfACallerThatLeft) {
  hosted_fleet platform_fleet{kMachines, 1, &PlatformDialect()};
  platform_fleet.Publish("1 1000 k1 k2");
  platform_fleet.Advance(seconds(6));
  for (size_t machine = 0; machine < kMachines; ++machine)
    platform_fleet.targets().SlowDown(platform_fleet.target_address(machine),
                                      50, seconds(10));
  const auto running_deep_calls = [&] {
    int running = 0;
    for (const size_t machine : {1U, 3U, 5U})
      running += platform_fleet.targets().running_calls(
          platform_fleet.target_address(machine));
    return running;
  };
  const auto parent = platform_fleet.Send(0, "/safe/x", "k1", "a1");
  const auto other = platform_fleet.Send(0, "/safe/x", "k1", "a2");
  platform_fleet.Advance(milliseconds(50));
  const auto call = platform_fleet.Send(0, "/inner/x", "", "a1.b1");
  platform_fleet.Send(0, "/inner/x", "", "a2.b1");
  platform_fleet.Advance(milliseconds(50));
  CHECK_EQUAL(2, running_deep_calls());
  platform_fleet.node(0).HandleCallerGone(parent->call);
  platform_fleet.Advance(milliseconds(50));
  CHECK_EQUAL(1, running_deep_calls());
  CHECK_EQUAL(504, call->response->status);
  CHECK_FALSE(other->response.has_value());
}

// Load pattern: the runs at a target wait for slow child calls, whose request
// ids begin with those of the runs. Guards against taking the wait for slowness
// of the target.
TEST(hosted_node, WaitsForChildCallsAreNotWorkOfTheTarget) {
  hosted_fleet platform_fleet{kMachines, 1, &PlatformDialect()};
  platform_fleet.Publish("1 1000 k1 k2");
  platform_fleet.Advance(seconds(6));
  for (size_t machine = 0; machine < kMachines; ++machine)
    platform_fleet.targets().SlowDown(platform_fleet.target_address(machine),
                                      machine == 0 ? 50 : 40, seconds(20));
  for (const std::string id : {"a1", "a2", "a3", "a4", "a5"}) {
    const auto parent = platform_fleet.Send(0, "/safe/x", "k1", id);
    platform_fleet.Advance(milliseconds(20));
    const auto call = platform_fleet.Send(0, "/inner/x", "", id + ".1");
    platform_fleet.Advance(seconds(1));
    CHECK_EQUAL(200, parent->response->status);
    CHECK_EQUAL(200, call->response->status);
  }
  const double work_seconds =
      platform_fleet.counters(0)
          .Gauge("skylarkhoist_target_work_seconds", "", {{"service", "front"}})
          .Value();
  // The runs take 0.5 s, and wait for 0.4 s of it.
  CHECK_TRUE(work_seconds > 0 && work_seconds < 0.3);
}

// Load pattern: a caller sends a request again and again that crashes each
// target that runs it. Guards against targets, and the other requests at them,
// that are lost to it without end.
TEST(hosted_node, ARequestThatCrashesItsTargetsIsQuarantined) {
  Start();
  std::vector<std::shared_ptr<hosted_fleet::pending_response>> others;
  int last_status = 0;
  const int half = 12;
  for (int round = 0; round < 2 * half; ++round) {
    if (round == half)
      others.clear();
    const auto bad = fleet.Send(static_cast<size_t>(round) % kMachines,
                                "/once/bad", "k1", "", "crash-this-target");
    for (int i = 0; i < 12; ++i) {
      others.push_back(
          fleet.Send(1, "/once/" + std::to_string(round * 12 + i), "k1"));
      fleet.Advance(milliseconds(100));
      RestartCrashedTargets();
    }
    last_status = bad->response ? bad->response->status : 0;
  }
  CHECK_EQUAL(503, last_status);
  // Three crashes, and as many before all nodes know of them.
  CHECK_TRUE(CrashesOfFront() <= 6);
  for (const auto& each : others) {
    CHECK_TRUE(each->response.has_value());
    CHECK_EQUAL(200, each->response->status);
  }
}

// Load pattern: as above, and nodes restart. Guards against a node that forgets
// the quarantine with its process.
TEST(hosted_node, ARestartedNodeLearnsWhichRequestsAreQuarantined) {
  Start();
  for (int crashes = 1; crashes <= 3; ++crashes) {
    fleet.Send(1, "/once/bad", "k1", "", "crash-this-target");
    fleet.Advance(seconds(2));
    RestartCrashedTargets();
    fleet.Advance(seconds(1));
    CHECK_EQUAL(crashes, CrashesOfFront());
  }
  fleet.StopNode(0);
  fleet.StartNode(0);
  fleet.Advance(seconds(2));
  for (const size_t machine : {2U, 4U})
    fleet.SetTargetState(machine, fbs::member_state::kDraining);
  fleet.Advance(milliseconds(500));
  const auto bad = fleet.Send(1, "/once/bad", "k1", "", "crash-this-target");
  fleet.Advance(milliseconds(500));
  CHECK_EQUAL(503, bad->response->status);
  CHECK_EQUAL(3, CrashesOfFront());
}

// Load pattern: the fleet starts while the last service of a chain is full, so
// few requests get beyond their first call. Guards against admission that
// learns which routes lead to this service only once it has capacity, and
// against calls of important requests that wait behind others.
TEST(hosted_node, LearnsWhichRoutesLeadToAServiceFromItsFirstCall) {
  hosted_fleet platform_fleet{kMachines, 1, &PlatformDialect()};
  platform_fleet.Publish("1 1000 k1 k2");
  // Targets that have just come into service get their full share after this.
  platform_fleet.Advance(seconds(6));
  platform_fleet.targets().SlowDown(platform_fleet.target_address(0), 50,
                                    seconds(10));
  const auto parent = platform_fleet.Send(0, "/safe/x", "k1", "a1");
  platform_fleet.Advance(milliseconds(100));
  const auto call = platform_fleet.Send(0, "/inner/x", "", "a1.b2");
  platform_fleet.Advance(milliseconds(100));
  CHECK_EQUAL(200, call->response->status);
  const json calls = platform_fleet.node(0).Status()["calls"];
  STRCMP_EQUAL("{\"safe\":[\"inner\"]}", calls.dump().c_str());
}

// Guards against a priority from a damaged message that is used as an array
// index out of bounds.
TEST(hosted_node, ARankAboveTheHighestBecomesTheHighest) {
  CHECK_TRUE(PriorityFromWire(250) == priority_class::kCritical);
  CHECK_TRUE(PriorityFromWire(8) == priority_class::kCritical);
  CHECK_TRUE(
      PriorityFromWire(5) ==
      EffectivePriority(priority_class::kNormal, priority_class::kCritical));
}

// Load pattern: rolling restart, under full load, of the nodes of a service
// that has few targets. Guards against losing the capacity of the local target
// from the start of the drain.
TEST(hosted_node, ADrainingNodeStillUsesItsTarget) {
  Start();
  bool drained = false;
  fleet.node(0).Drain([&] { drained = true; }, seconds(10));
  const int64_t before = fleet.target_counters(0).runs;
  CHECK_EQUAL(50, SendLoad({1}, 50, seconds(1)));
  CHECK_TRUE(fleet.target_counters(0).runs - before >= 20);
  // The rest of the grace period is for the runs in progress.
  fleet.Advance(milliseconds(300));
  const int64_t at_end = fleet.target_counters(0).runs;
  CHECK_EQUAL(20, SendLoad({1}, 20, seconds(1)));
  CHECK_EQUAL(at_end, fleet.target_counters(0).runs);
  fleet.Advance(seconds(3));
  CHECK_TRUE(drained);
}

// Guards against a node that never joins the others because it could not reach
// the store at its start.
TEST(hosted_node, FindsItsPeersWhileTheStoreIsUnreachable) {
  Start();
  fleet.StopNode(0);
  fleet.store().SetReachable("n0", false);
  fleet.StartNode(0);
  fleet.Advance(seconds(2));
  // The peers know its address and send it the configuration.
  CHECK_TRUE(fleet.node(0).IsReady());
  CHECK_EQUAL(200, fleet.SendAndWait(0, "/inner/x", ""));
}

// Guards against an odd record of another writer among the records of the nodes
// that ends the processes that read it, keeps them from finding each other, or
// counts as a node that is out of reach.
TEST(hosted_node, IgnoresOddRecordsAmongTheNodes) {
  hosted_fleet odd{kMachines, 1};
  const std::string deep = std::string(100'000, '[');
  std::vector<std::string> values = {
      deep,
      R"({"address":)" + deep,
      R"({"address":"10.9.9.9:1","zone":"z0","incarnation":1e999})",
      R"({"address":"10.9.9.9:0","zone":"z0","incarnation":1})",
      R"({"address":"10.9.9.9:99999","zone":"z0","incarnation":1})",
      R"({"address":"nowhere","zone":"z0","incarnation":1})",
      R"({"address":7,"zone":"z0"})",
      "\xff\xfe",
      ""};
  for (int host = 1; host <= 10; ++host)
    values.push_back(R"({"address":"10.9.9.)" + std::to_string(host) +
                     R"(:99999","zone":"z0","incarnation":1})");
  for (size_t i = 0; i < values.size(); ++i)
    odd.store().Write(store_topic::kNodes, "\xff" + std::to_string(i),
                      values[i]);
  odd.Publish("1 1000 k1");
  // The nodes read the records again within this time.
  odd.Advance(seconds(35));
  for (size_t i = 0; i < kMachines; ++i) {
    CHECK_EQUAL(200, odd.SendAndWait(i, "/safe/x", "k1"));
    CHECK_TRUE(odd.node(i).Status()["has_majority"]);
    CHECK_EQUAL(kMachines, odd.node(i).Status()["members"].size());
  }
}

}  // namespace
}  // namespace skylarkhoist
