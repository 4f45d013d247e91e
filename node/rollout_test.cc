#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "node/rollout_records.h"
#include "testing/hosted_fleet.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A rollout of "front" from version v1 (machines 0, 2 and 4) to v2 (machines 6,
// 8 and 10) among real nodes. All other machines have targets of "deep".
TEST_GROUP(rollout) {
  static constexpr size_t kMachines = 12;
  static constexpr int64_t kRequestsPerSecond = 200;
  const std::vector<size_t> new_machines = {6, 8, 10};

  hosted_fleet fleet{kMachines, 1};
  std::vector<std::shared_ptr<hosted_fleet::pending_response>> responses;
  std::set<size_t> stopped;
  int64_t requests = 0;

  void setup() override {
    for (size_t machine = 0; machine < kMachines; machine += 2)
      fleet.SetTargetVersion(machine, machine < 6 ? "v1" : "v2");
    for (size_t machine = 1; machine < kMachines; machine += 2)
      fleet.SetTargetVersion(machine, "v1");
    fleet.store().Write(store_topic::kOperators, "rollout/front", "v2 20");
    fleet.Publish("1 100000 k1");
    fleet.Advance(seconds(2));
  }

  // Sends requests to all running nodes in turn.
  void SendLoad(duration length) {
    const duration interval = duration(seconds(1)) / kRequestsPerSecond;
    for (duration at = duration::zero(); at < length; at += interval) {
      const size_t machine = static_cast<size_t>(++requests) % kMachines;
      if (stopped.count(machine) == 0)
        responses.push_back(fleet.Send(machine, "/safe/x", "k1"));
      fleet.Advance(interval);
    }
  }

  int64_t NewRuns() {
    int64_t runs = 0;
    for (const size_t machine : new_machines)
      runs += fleet.target_counters(machine).runs;
    return runs;
  }

  int64_t OldRuns() {
    return fleet.target_counters(0).runs + fleet.target_counters(2).runs +
           fleet.target_counters(4).runs;
  }

  int64_t NotServed() {
    fleet.Advance(seconds(1));
    int64_t count = 0;
    for (const auto& each : responses)
      count += each->response && each->response->status == 200 ? 0 : 1;
    return count;
  }

  void TurnBad() {
    for (const size_t machine : new_machines)
      fleet.targets().SlowDown(fleet.target_address(machine), 8, seconds(60));
  }

  std::string StoredState() {
    const auto value =
        fleet.store().NewestValue(store_topic::kStatus, "rollout/front");
    const auto status = value ? DecodeRolloutStatus(*value) : std::nullopt;
    return status && status->target_version == "v2" ? PhaseName(status->phase)
                                                    : "";
  }

  // Calls that a node has sent to the new version.
  int64_t Sent(size_t machine) {
    return fleet.node(machine).Status()["rollouts"][0]["sent"];
  }

  size_t Coordinator() {
    const json status = fleet.node(1).Status()["rollouts"][0];
    size_t machine = 0;
    while (fleet.peer_address(machine) != status["coordinator"])
      ++machine;
    return machine;
  }

  void CheckExposure() {
    CHECK_TRUE(NewRuns() <= requests / 10 + 50);
  }
};

// Guards against a good version that is not completed in time, gets too much
// traffic before, or not all of it afterwards.
TEST(rollout, MovesAllTrafficToAGoodVersion) {
  CHECK_EQUAL(std::string("running"), StoredState());
  SendLoad(seconds(8));
  CheckExposure();
  CHECK_TRUE(NewRuns() > 50);
  SendLoad(seconds(9));
  CHECK_EQUAL(std::string("completed"), StoredState());
  const int64_t old_runs = OldRuns();
  const int64_t new_runs = NewRuns();
  SendLoad(seconds(2));
  CHECK_EQUAL(old_runs, OldRuns());
  CHECK_TRUE(NewRuns() >= new_runs + 2 * kRequestsPerSecond - 5);
  CHECK_EQUAL(0, NotServed());
}

// Guards against a rollout that no node continues after its coordinator has
// ended, and against a successor that forgets what was exposed.
TEST(rollout, SuccessorOfAKilledCoordinatorStopsABadVersion) {
  SendLoad(seconds(5));
  const size_t coordinator = Coordinator();
  fleet.StopNode(coordinator);
  stopped.insert(coordinator);
  TurnBad();
  SendLoad(seconds(8));
  CHECK_EQUAL(std::string("rolled_back"), StoredState());
  CheckExposure();
  const int64_t new_runs = NewRuns();
  SendLoad(seconds(2));
  CHECK_EQUAL(new_runs, NewRuns());
}

// Guards against a stop that waits for the store, and against a state that is
// not written once the store is back.
TEST(rollout, StopsABadVersionWhileTheStoreIsAway) {
  SendLoad(seconds(5));
  fleet.store().SetSilent(true);
  TurnBad();
  SendLoad(seconds(5));
  const int64_t new_runs = NewRuns();
  SendLoad(seconds(3));
  CHECK_EQUAL(new_runs, NewRuns());
  CheckExposure();
  CHECK_EQUAL(std::string("running"), StoredState());
  fleet.store().SetSilent(false);
  SendLoad(seconds(4));
  CHECK_EQUAL(std::string("rolled_back"), StoredState());
  CHECK_EQUAL(new_runs, NewRuns());
}

// Guards against a node without the coordinator that still sends calls to the
// new version, such as the target on its own machine.
TEST(rollout, NodeThatIsCutOffSendsNothingToTheNewVersion) {
  SendLoad(seconds(5));
  const size_t machine = Coordinator() == 6 ? 8 : 6;
  std::set<std::string> rest;
  for (size_t i = 0; i < kMachines; ++i) {
    if (i != machine)
      rest.insert(fleet.peer_address(i));
  }
  // The node is granted calls for these requests and holds them at the cut.
  for (int i = 0; i < 100; ++i)
    fleet.Send(machine, "/safe/x", "k1");
  fleet.Advance(milliseconds(210));
  fleet.network().Partition({fleet.peer_address(machine)}, rest);
  fleet.store().SetReachable("n" + std::to_string(machine), false);
  fleet.Advance(milliseconds(820));
  const int64_t runs = fleet.target_counters(machine).runs;
  const int64_t sent = Sent(machine);
  CHECK_TRUE(sent > 0);
  for (int i = 0; i < 50; ++i)
    fleet.SendAndWait(machine, "/safe/x", "k1", milliseconds(50));
  CHECK_EQUAL(runs, fleet.target_counters(machine).runs);
  CHECK_EQUAL(sent, Sent(machine));
}

// Guards against calls to a version that no order has allowed, or whose order
// has not reached all nodes yet, and against a version that stays unused when
// it is the only one left.
TEST(rollout, NewVersionGetsNothingWithoutAnOrder) {
  const auto send = [&](duration length) {
    for (duration at = duration::zero(); at < length; at += milliseconds(20)) {
      fleet.Send(static_cast<size_t>(++requests) % kMachines, "/inner/x", "");
      fleet.Advance(milliseconds(20));
    }
  };
  send(seconds(5));
  const int64_t runs = fleet.target_counters(11).runs;
  CHECK_TRUE(runs > 0);
  fleet.SetTargetVersion(11, "v2");
  send(seconds(6));
  CHECK_EQUAL(runs, fleet.target_counters(11).runs);
  for (size_t machine = 1; machine < 11; machine += 2)
    fleet.SetTargetVersion(machine, "v2");
  send(seconds(8));
  CHECK_TRUE(fleet.target_counters(11).runs > runs);
}

// Guards against a fleet that starts anew after a rollout has ended and sends
// calls to the version that was rolled back.
TEST(rollout, RestartedFleetKeepsTheStoredState) {
  SendLoad(seconds(3));
  TurnBad();
  SendLoad(seconds(5));
  CHECK_EQUAL(std::string("rolled_back"), StoredState());
  for (size_t machine = 0; machine < kMachines; ++machine)
    fleet.StopNode(machine);
  fleet.Advance(seconds(1));
  for (size_t machine = 0; machine < kMachines; ++machine)
    fleet.StartNode(machine);
  fleet.Advance(seconds(4));
  const int64_t new_runs = NewRuns();
  SendLoad(seconds(15));
  CHECK_EQUAL(new_runs, NewRuns());
  CHECK_EQUAL(std::string("rolled_back"), StoredState());
}

}  // namespace
}  // namespace skylarkhoist
