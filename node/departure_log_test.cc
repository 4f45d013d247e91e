#include "node/departure_log.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testing/hosted_fleet.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The target of machine 0 announces itself by hand.
TEST_GROUP(departures) {
  static constexpr size_t kMachines = 6;
  hosted_fleet fleet{kMachines, 1};
  target_announcement last;

  void setup() override {
    fleet.Publish("1 1000 k1");
    fleet.Advance(seconds(1));
    fleet.StopAnnouncing(0);
    last.service = "front";
    last.address = fleet.target_address(0);
    last.id = "t0";
    last.generation = 5;
    last.sequence = 10;
    last.slots = 20;
    CHECK_TRUE(fleet.node(0).HandleAnnouncement(last));
    fleet.Advance(milliseconds(500));
  }

  void Drain() {
    target_announcement draining = last;
    draining.sequence += 2;
    draining.state = fbs::member_state::kDraining;
    CHECK_TRUE(fleet.node(0).HandleAnnouncement(draining));
  }

  // Returns whether the node confirmed the departure, nullopt if it has not
  // decided yet.
  std::optional<bool> Confirm(duration wait = seconds(1)) {
    const auto result = std::make_shared<std::optional<bool>>();
    fleet.node(0).WhenDeparturesStored(
        [result](bool stored) { *result = stored; });
    fleet.Advance(wait);
    return *result;
  }

  // An announcement that was sent before the target left, and arrives now.
  void AnnounceLate() {
    target_announcement late = last;
    ++late.sequence;
    fleet.node(0).HandleAnnouncement(late);
  }

  void RestartAllNodes() {
    for (size_t i = 0; i < kMachines; ++i)
      fleet.StopNode(i);
    fleet.Advance(milliseconds(500));
    for (size_t i = 0; i < kMachines; ++i)
      fleet.StartNode(i);
  }

  int64_t RunsAtTarget(duration length = seconds(1)) {
    const int64_t before = fleet.target_counters(0).runs;
    for (duration at = duration::zero(); at < length; at += milliseconds(20)) {
      for (const size_t machine : {0U, 1U, 3U})
        fleet.Send(machine, "/safe/x", "k1");
      fleet.Advance(milliseconds(20));
    }
    return fleet.target_counters(0).runs - before;
  }
};

// Guards against a departure that is forgotten when all nodes are killed, so
// that a late announcement brings the target back.
TEST(departures, ARestartOfAllNodesForgetsNoDeparture) {
  for (const bool drains : {true, false}) {
    ++last.generation;
    CHECK_TRUE(fleet.node(0).HandleAnnouncement(last));
    fleet.Advance(milliseconds(500));
    CHECK_TRUE(RunsAtTarget() > 0);
    if (drains)
      Drain();
    else
      CHECK_TRUE(fleet.node(0).HandleDeparture("t0", last.generation));
    CHECK_TRUE(Confirm(milliseconds(100)).value_or(false));
    for (int restarts = 0; restarts < 2; ++restarts) {
      RestartAllNodes();
      // Before and after the node has read what the store keeps.
      AnnounceLate();
      fleet.Advance(milliseconds(200));
      AnnounceLate();
      fleet.Advance(milliseconds(500));
      CHECK_EQUAL(0, RunsAtTarget());
    }
  }
}

// Guards against a departure that is forgotten with the missing announcements
// of the target.
TEST(departures, ADepartureOutlivesMissingAnnouncements) {
  CHECK_TRUE(fleet.node(0).HandleDeparture("t0", 5));
  fleet.Advance(seconds(8));
  AnnounceLate();
  CHECK_EQUAL(0, RunsAtTarget());
}

// Guards against a departure that is lost because it reaches a process that has
// just started and does not know the target, and against one that holds back
// the next run.
TEST(departures, ADepartureOfAnUnknownTargetCounts) {
  fleet.StopNode(0);
  fleet.StartNode(0);
  // The generation was not told, only that it is at most 7.
  CHECK_FALSE(fleet.node(0).HandleDeparture("t0", 7));
  CHECK_TRUE(Confirm().value_or(false));
  AnnounceLate();
  CHECK_EQUAL(0, RunsAtTarget());
  last.generation = 8;
  CHECK_TRUE(fleet.node(0).HandleAnnouncement(last));
  fleet.Advance(milliseconds(500));
  CHECK_TRUE(RunsAtTarget() > 0);
}

// Guards against a departure that replaces the earlier ones in the store, since
// it reaches a process that has not read them yet.
TEST(departures, ADepartureBeforeTheReadKeepsEarlierOnes) {
  CHECK_TRUE(fleet.node(0).HandleDeparture("t0", 5));
  CHECK_TRUE(Confirm().value_or(false));
  fleet.StopNode(0);
  fleet.store().SetReachable("n0", false);
  fleet.StartNode(0);
  fleet.node(0).HandleDeparture("t9", 7);
  fleet.Advance(seconds(1));
  fleet.store().SetReachable("n0", true);
  fleet.Advance(seconds(3));
  CHECK_TRUE(Confirm().value_or(false));
  RestartAllNodes();
  fleet.Advance(milliseconds(500));
  AnnounceLate();
  CHECK_EQUAL(0, RunsAtTarget());
}

// Guards against a confirmation that a restart breaks, since the store did not
// keep the departure, and against a target that waits for it without end.
TEST(departures, OnlyAStoredDepartureIsConfirmed) {
  fleet.store().SetReachable("n0", false);
  CHECK_TRUE(fleet.node(0).HandleDeparture("t0", 5));
  CHECK_TRUE(Confirm().has_value());
  CHECK_FALSE(Confirm().value());
  // It gets no calls all the same.
  CHECK_EQUAL(0, RunsAtTarget());
  fleet.store().SetReachable("n0", true);
  CHECK_TRUE(Confirm().value());
}

// Guards against a late announcement that is believed because the store cannot
// tell a restarted node which targets left, and against a target that stays out
// of service for the same reason.
TEST(departures, WithoutTheStoreASecondAnnouncementIsNeeded) {
  fleet.StopNode(0);
  fleet.store().SetReachable("n0", false);
  fleet.StartNode(0);
  fleet.Advance(seconds(1));
  AnnounceLate();
  fleet.Advance(milliseconds(500));
  CHECK_EQUAL(0, RunsAtTarget());
  last.sequence += 2;
  CHECK_TRUE(fleet.node(0).HandleAnnouncement(last));
  fleet.Advance(milliseconds(500));
  CHECK_TRUE(RunsAtTarget() > 0);
}

// Guards against a process that ends because a leaving target names itself with
// bytes that are not UTF-8, and against its own target's departure that is lost
// with them.
TEST(departures, AnIdThatIsNotUtf8DoesNotEndTheProcess) {
  fleet.node(0).HandleDeparture("i-\xff\xfe", 7);
  target_announcement odd = last;
  odd.address = "other:1";
  odd.id = "i-\x80";
  odd.state = fbs::member_state::kDraining;
  fleet.node(0).HandleAnnouncement(odd);
  CHECK_TRUE(fleet.node(0).HandleDeparture("t0", 5));
  CHECK_TRUE(Confirm().value_or(false));
  RestartAllNodes();
  fleet.Advance(milliseconds(500));
  AnnounceLate();
  CHECK_EQUAL(0, RunsAtTarget());
}

// Guards against damaged records that end the process, and against those of
// other nodes.
TEST(departures, IgnoresDamagedRecords) {
  const std::vector<std::string> values = {
      "",
      "[",
      "[]",
      R"({"departures":7})",
      R"({"departures":[7,{"id":"t0"}]})",
      R"({"departures":[{"id":"t0","generation":1e99,"sequence":1,"gone":true}]})"};
  departure_log log(&fleet.clock(), nullptr, "n0");
  std::vector<keyed_record> records;
  for (const std::string& value : values) {
    records = {{"n0/departures", value, 1}};
    CHECK_TRUE(log.Load(records).empty());
  }
  const std::string valid =
      R"({"departures":[{"id":"t0","generation":5,"sequence":1,"gone":true}]})";
  records = {{"n1/departures", valid, 1}};
  CHECK_TRUE(log.Load(records).empty());
  records = {{"n0/departures", valid, 1}};
  CHECK_EQUAL(1, log.Load(records).size());
}

}  // namespace
}  // namespace skylarkhoist
