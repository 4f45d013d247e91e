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

// How a target tells that it leaves.
enum class departure_call { kDraining, kGone, kGoneWithoutGeneration };

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

  void RestartNodes(size_t first, size_t count) {
    for (size_t i = first; i < first + count; ++i)
      fleet.StopNode(i);
    fleet.Advance(milliseconds(500));
    for (size_t i = first; i < first + count; ++i)
      fleet.StartNode(i);
  }
  void RestartAllNodes() {
    RestartNodes(0, kMachines);
  }

  // Starts a new run of the target, and brings it into service.
  void StartRun() {
    ++last.generation;
    CHECK_TRUE(fleet.node(0).HandleAnnouncement(last));
    fleet.Advance(milliseconds(500));
    CHECK_TRUE(RunsAtTarget() > 0);
  }

  // The target leaves, which its node confirms.
  void Leave(departure_call call) {
    switch (call) {
      case departure_call::kDraining:
        Drain();
        break;
      case departure_call::kGone:
        CHECK_TRUE(fleet.node(0).HandleDeparture("t0", last.generation));
        break;
      case departure_call::kGoneWithoutGeneration:
        // The platform passes its own time.
        CHECK_TRUE(fleet.node(0).HandleDeparture("t0", ++last.generation));
        --last.generation;
        break;
    }
    CHECK_TRUE(Confirm(milliseconds(50)).value_or(false));
  }

  // Two announcements that were sent before the target left arrive, and 0.5 s
  // later nothing may run at the target.
  void CheckIgnoresLateAnnouncements() {
    AnnounceLate();
    fleet.Advance(milliseconds(500));
    ++last.sequence;
    AnnounceLate();
    --last.sequence;
    CHECK_EQUAL(0, RunsAtTarget());
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

// Guards against late announcements that bring a target back, since the store
// turns the restarted node away: its peers must tell it of the departure.
TEST(departures, PeersTellANodeThatTheStoreTurnsAway) {
  for (const departure_call call :
       {departure_call::kDraining, departure_call::kGone,
        departure_call::kGoneWithoutGeneration}) {
    StartRun();
    Leave(call);
    fleet.store().SetReachable("n0", false);
    for (int restarts = 0; restarts < 2; ++restarts) {
      RestartNodes(0, 1);
      fleet.Advance(seconds(1));
      CheckIgnoresLateAnnouncements();
    }
    fleet.store().SetReachable("n0", true);
    fleet.Advance(seconds(3));
    CheckIgnoresLateAnnouncements();
    ++last.generation;
  }
}

// Guards against the same while the store answers nobody.
TEST(departures, PeersTellANodeWhileTheStoreIsSilent) {
  Leave(departure_call::kGone);
  fleet.store().SetSilent(true);
  RestartNodes(0, 1);
  fleet.Advance(seconds(1));
  CheckIgnoresLateAnnouncements();
}

// Guards against late announcements that are believed because they arrive
// before a peer has had the time to connect to the restarted node.
TEST(departures, AnnouncementsRightAfterTheStartWaitForPeers) {
  Leave(departure_call::kGone);
  fleet.store().SetReachable("n0", false);
  RestartNodes(0, 1);
  AnnounceLate();
  ++last.sequence;
  AnnounceLate();
  CHECK_EQUAL(0, RunsAtTarget(seconds(3)));
}

// Guards against a departure that only the peers knew which were killed too:
// those that the store answers read it there.
TEST(departures, RestartedPeersTellWhatTheStoreKeeps) {
  for (const duration silence : {seconds(0), seconds(3)}) {
    StartRun();
    Leave(departure_call::kGone);
    fleet.store().SetReachable("n0", false);
    fleet.store().SetSilent(silence > duration::zero());
    RestartAllNodes();
    fleet.Advance(silence);
    fleet.store().SetSilent(false);
    fleet.Advance(seconds(1));
    CheckIgnoresLateAnnouncements();
    fleet.store().SetReachable("n0", true);
    fleet.Advance(seconds(3));
    ++last.generation;
  }
}

// Guards against a departure that only those peers know which had a link when
// it happened.
TEST(departures, PeersThatStartLaterKnowOfADeparture) {
  Leave(departure_call::kGone);
  fleet.store().SetSilent(true);
  RestartNodes(1, kMachines - 1);
  fleet.Advance(seconds(2));
  RestartNodes(0, 1);
  fleet.Advance(seconds(1));
  CheckIgnoresLateAnnouncements();
}

// Guards against a departure that a node forgets because it is alone in its
// zone.
TEST(departures, NodesOfOtherZonesTellOfADeparture) {
  hosted_fleet alone{5, 1};
  alone.Publish("1 1000 k1");
  alone.Advance(seconds(5));
  alone.StopAnnouncing(4);
  CHECK_TRUE(alone.node(4).HandleDeparture("t4", 1));
  alone.Advance(milliseconds(50));
  alone.store().SetReachable("n4", false);
  alone.StopNode(4);
  alone.Advance(milliseconds(500));
  alone.StartNode(4);
  alone.Advance(seconds(1));
  target_announcement late = last;
  late.address = alone.target_address(4);
  late.id = "t4";
  late.generation = 1;
  const int64_t runs = alone.target_counters(4).runs;
  for (late.sequence = 100; late.sequence < 102; ++late.sequence) {
    alone.node(4).HandleAnnouncement(late);
    alone.Advance(milliseconds(500));
  }
  for (int i = 0; i < 50; ++i) {
    alone.Send(4, "/safe/x", "k1");
    alone.Advance(milliseconds(20));
  }
  CHECK_EQUAL(runs, alone.target_counters(4).runs);
}

// Guards against a departure that a store lacks which was restored from an
// older copy.
TEST(departures, PeersTellWhatARestoredStoreLacks) {
  fleet.store().Backup();
  Leave(departure_call::kGone);
  fleet.StopNode(0);
  fleet.store().Restore();
  fleet.Advance(milliseconds(500));
  fleet.StartNode(0);
  fleet.Advance(seconds(1));
  CheckIgnoresLateAnnouncements();
}

// Guards against late announcements that all nodes believe after a restart
// without the store: once it answers again, they use the configuration that
// they read there, but wait before they read the departures.
TEST(departures, AStoreThatIsBackTellsOfADepartureAtOnce) {
  for (int outage = 0; outage < 20; ++outage) {
    StartRun();
    Leave(departure_call::kGone);
    for (size_t i = 0; i < kMachines; ++i)
      fleet.store().SetReachable("n" + std::to_string(i), false);
    RestartAllNodes();
    fleet.Advance(seconds(2));
    AnnounceLate();
    ++last.sequence;
    AnnounceLate();
    --last.sequence;
    fleet.Advance(milliseconds(130) * outage);
    // Every other time, the store still turns away the node of the target.
    for (size_t i = outage % 2; i < kMachines; ++i)
      fleet.store().SetReachable("n" + std::to_string(i), true);
    const int64_t runs = RunsAtTarget(seconds(3));
    CHECK_EQUAL(0, runs);
    fleet.store().SetReachable("n0", true);
    fleet.Advance(seconds(3));
    ++last.generation;
  }
}

// Guards against a live target that is out of service for longer because its
// node waits for its peers while the store is away.
TEST(departures, ALiveTargetServesFromItsSecondAnnouncementOn) {
  for (int restart = 0; restart < 10; ++restart) {
    fleet.store().SetReachable("n0", false);
    RestartNodes(0, 1);
    // The last time, no peer runs.
    for (size_t i = 1; restart == 9 && i < kMachines; ++i)
      fleet.StopNode(i);
    // As often as targets announce themselves in this fleet.
    fleet.Advance(milliseconds(100));
    ++last.sequence;
    fleet.node(0).HandleAnnouncement(last);
    fleet.Advance(seconds(1));
    ++last.sequence;
    fleet.node(0).HandleAnnouncement(last);
    const json members = fleet.node(0).Status()["members"];
    STRCMP_EQUAL("serving",
                 members[0]["targets"][0]["state"].get<std::string>().c_str());
    fleet.store().SetReachable("n0", true);
    fleet.Advance(milliseconds(2130));
  }
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
