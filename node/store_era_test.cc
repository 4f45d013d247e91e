#include "node/store_era.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "testing/hosted_fleet.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The store is restored from a copy that lacks the last writes. The first copy,
// of which tests may take a later one, has no records.
TEST_GROUP(store_era) {
  static constexpr size_t kMachines = 6;
  hosted_fleet fleet{kMachines, 1};

  void setup() override {
    fleet.store().Backup();
    fleet.Publish("1 1000 k1");
    fleet.Advance(seconds(1));
  }

  void SetZoneOut(bool out) {
    fleet.store().Write(store_topic::kOperators, "zone/z0",
                        out ? std::optional<std::string>("{}") : std::nullopt);
  }

  // Checks the state of all nodes in each of the next steps.
  void CheckFor(duration length, uint64_t version, bool zone_out) {
    for (duration at = duration::zero(); at < length; at += milliseconds(100)) {
      fleet.Advance(milliseconds(100));
      for (size_t i = 0; i < kMachines; ++i) {
        LONGS_EQUAL(version, fleet.node(i).config().version());
        LONGS_EQUAL(zone_out ? 1 : 0,
                    fleet.node(i).config().view()->out_of_service_zones.size());
      }
    }
  }

  void CheckAgreement(uint64_t era, uint64_t version, uint64_t offset) {
    for (size_t i = 0; i < kMachines; ++i) {
      LONGS_EQUAL(era, fleet.node(i).Status()["store_era"].get<uint64_t>());
      LONGS_EQUAL(version, fleet.node(i).config().version());
      LONGS_EQUAL(offset, fleet.node(i).config().applied_offset());
    }
  }
};

// Guards against a version that decreases with the restore, also at a node that
// restarts before operators have written it again, and against one that is
// ignored because its offset is lower than before.
TEST(store_era, ARewrittenConfigurationIsAppliedAndNeverReverts) {
  fleet.store().Backup();
  for (int i = 0; i < 10; ++i)
    SetZoneOut(i % 2 == 0);
  fleet.Publish("2 1000 k2");
  fleet.Advance(seconds(1));
  CheckAgreement(0, 2, 12);
  fleet.store().Restore();
  CheckFor(seconds(1), 2, false);
  CheckAgreement(1, 2, 1);
  fleet.StopNode(3);
  fleet.StartNode(3);
  fleet.Advance(milliseconds(300));
  CheckFor(seconds(8), 2, false);
  fleet.Publish("2 1000 k2");
  CheckFor(seconds(2), 2, false);
  CheckAgreement(1, 2, 2);
  CHECK_EQUAL(200, fleet.SendAndWait(3, "/safe/x", "k2"));
  CHECK_EQUAL(401, fleet.SendAndWait(3, "/safe/x", "k1"));
}

// Guards against a newer version that is ignored because its offset is below
// the one that was known before the restore.
TEST(store_era, ALaterVersionAtALowerOffsetIsApplied) {
  fleet.store().Backup();
  for (int i = 0; i < 10; ++i)
    SetZoneOut(i % 2 == 0);
  fleet.Publish("2 1000 k2");
  fleet.Advance(seconds(1));
  for (uint64_t era = 1; era <= 3; ++era) {
    fleet.store().Restore();
    const uint64_t version = era + 2;
    const uint64_t offset =
        fleet.store().Write(store_topic::kOperators, "config",
                            std::to_string(version) + " 1000 k2");
    LONGS_EQUAL(1, offset);
    fleet.Advance(seconds(2));
    CheckAgreement(era, version, 2);
  }
}

// Guards against a zone that returns to service because the restored copy lacks
// its record, and against one that stays out of service for good after the
// record was deleted.
TEST(store_era, AMissingRecordCountsAsDeletedOnlyAfterTheGrace) {
  fleet.store().Backup();
  SetZoneOut(true);
  fleet.Advance(seconds(1));
  fleet.store().Restore();
  CheckFor(seconds(1), 1, true);
  // A node that restarts in the meantime learns it from its peers.
  fleet.StopNode(2);
  fleet.StartNode(2);
  fleet.Advance(milliseconds(500));
  CheckFor(milliseconds(2900), 1, true);
  SetZoneOut(true);
  CheckFor(seconds(10), 1, true);
  fleet.store().Restore();
  CheckFor(milliseconds(4900), 1, true);
  fleet.Advance(milliseconds(1500));
  CheckFor(seconds(5), 1, false);
}

// Guards against a restarted node that finds no peers or uses a target that has
// left, because the restored copy lacks what the nodes wrote.
TEST(store_era, AddressesAndDeparturesAreWrittenAgain) {
  fleet.StopAnnouncing(0);
  CHECK_TRUE(fleet.node(0).HandleDeparture("t0", 1));
  fleet.Advance(seconds(1));
  fleet.store().Restore();
  CHECK_FALSE(fleet.store().NewestValue(store_topic::kNodes, "n1").has_value());
  fleet.Advance(seconds(2));
  for (size_t i = 0; i < kMachines; ++i) {
    const std::string name = "n" + std::to_string(i);
    CHECK_TRUE(
        fleet.store().NewestValue(store_topic::kNodes, name).has_value());
  }
  fleet.Publish("1 1000 k1");
  fleet.Advance(seconds(1));
  for (size_t i = 0; i < kMachines; ++i)
    fleet.StopNode(i);
  fleet.Advance(milliseconds(500));
  for (size_t i = 0; i < kMachines; ++i)
    fleet.StartNode(i);
  fleet.Advance(seconds(1));
  target_announcement late;
  late.service = "front";
  late.address = fleet.target_address(0);
  late.id = "t0";
  late.generation = 1;
  late.sequence = 1000;
  late.slots = 20;
  fleet.node(0).HandleAnnouncement(late);
  fleet.Advance(seconds(1));
  const int64_t before = fleet.target_counters(0).runs;
  for (int i = 0; i < 20; ++i)
    CHECK_EQUAL(200, fleet.SendAndWait(0, "/safe/x", "k1", milliseconds(100)));
  CHECK_EQUAL(before, fleet.target_counters(0).runs);
  for (size_t i = 0; i < kMachines; ++i)
    LONGS_EQUAL(kMachines, fleet.node(i).Status()["members"].size());
}

// Guards against two nodes that each take the other's offset for an older one:
// one cannot reach the store and has not heard of its restore.
TEST(store_era, NodesInDifferentErasAgreeOnceTheyTalk) {
  fleet.store().Backup();
  for (int i = 0; i < 10; ++i)
    SetZoneOut(i % 2 == 0);
  fleet.Publish("2 1000 k2");
  fleet.Advance(seconds(1));
  fleet.store().SetReachable("n1", false);
  std::set<std::string> others;
  for (const size_t i : {0U, 2U, 3U, 4U, 5U})
    others.insert(fleet.peer_address(i));
  fleet.network().Partition({fleet.peer_address(1)}, others);
  fleet.store().Restore();
  fleet.Publish("3 1000 k3");
  fleet.Advance(seconds(4));
  LONGS_EQUAL(2, fleet.node(1).config().version());
  LONGS_EQUAL(0, fleet.node(1).Status()["store_era"].get<uint64_t>());
  fleet.network().Heal();
  fleet.Advance(seconds(3));
  CheckAgreement(1, 3, 2);
  fleet.store().SetReachable("n1", true);
  fleet.Advance(seconds(3));
  CheckAgreement(1, 3, 2);
}

// Guards against a late response from before the restore that is applied: its
// records are no longer in the store, and its offset is above the present ones.
TEST(store_era, LateAnswersOfAnEarlierEraChangeNothing) {
  fleet.store().Backup();
  fleet.store().SetAnswerDelay(seconds(3));
  SetZoneOut(true);
  fleet.Publish("2 1000 k2");
  fleet.Advance(milliseconds(100));
  fleet.store().Restore();
  fleet.store().SetAnswerDelay(duration::zero());
  CheckFor(seconds(2), 1, false);
  CheckAgreement(1, 1, 1);
  CheckFor(seconds(4), 1, false);
  CheckAgreement(1, 1, 1);
}

// Guards against a quarantine that ends with a restore, although it is known to
// nodes only and the store has no part in it.
TEST(store_era, ARestoreKeepsTheQuarantine) {
  const auto crashes = [&] {
    int64_t sum = 0;
    for (const size_t machine : {0U, 2U, 4U})
      sum += fleet.target_counters(machine).crashes;
    return sum;
  };
  for (int i = 1; i <= 3; ++i) {
    std::vector<int64_t> before;
    for (size_t machine = 0; machine < kMachines; ++machine)
      before.push_back(fleet.target_counters(machine).crashes);
    fleet.Send(1, "/once/bad", "k1", "", "crash-this-target");
    fleet.Advance(seconds(2));
    for (size_t machine = 0; machine < kMachines; ++machine) {
      if (fleet.target_counters(machine).crashes > before[machine])
        fleet.RestartTarget(machine, duration::zero());
    }
    fleet.Advance(seconds(1));
    LONGS_EQUAL(i, crashes());
  }
  fleet.store().Restore();
  fleet.Publish("1 1000 k1");
  fleet.Advance(seconds(2));
  const auto bad = fleet.Send(1, "/once/bad", "k1", "", "crash-this-target");
  fleet.Advance(milliseconds(500));
  CHECK_EQUAL(503, bad->response ? bad->response->status : 0);
  LONGS_EQUAL(3, crashes());
}

// Guards against offsets that are read in another era than the one they belong
// to, and against writes that count although the copy lacks them.
TEST(store_era, CallsThatARestoreInterruptsFail) {
  manual_loop loop;
  memory_store memory{&loop};
  metrics counters;
  const auto client = memory.Connect("a");
  store_era store{client.get(), &counters};
  int changes = 0;
  store.OnChange([&] { ++changes; });
  memory.Backup();
  store.Put(store_topic::kNodes, "k", "v",
            [](const auto& written) { CHECK_TRUE(written.has_value()); });
  loop.Advance(milliseconds(10));
  std::vector<store_error> errors;
  const auto add_error = [&](const auto& result) {
    CHECK_FALSE(result.has_value());
    errors.push_back(result.error().error);
  };
  memory.SetAnswerDelay(seconds(1));
  store.Put(store_topic::kNodes, "k", "v", add_error);
  store.ReadNewest(store_topic::kNodes, add_error);
  loop.Advance(milliseconds(10));
  memory.Restore();
  memory.SetAnswerDelay(duration::zero());
  memory.Write(store_topic::kNodes, "other", "v");
  // Begins in the era 0 and is answered in the era 1.
  store.ReadFrom(store_topic::kNodes, 0, duration::zero(), add_error);
  loop.Advance(seconds(2));
  LONGS_EQUAL(1, changes);
  LONGS_EQUAL(1, store.current());
  CHECK_TRUE((errors == std::vector<store_error>{store_error::kTrimmed,
                                                 store_error::kUnknown,
                                                 store_error::kUnknown}));
  CHECK_FALSE(store.ObservePeer(0, 7));
  CHECK_TRUE(store.ObservePeer(3, 0));
  LONGS_EQUAL(2, changes);
  const std::string text = counters.ToText();
  CHECK_TRUE(text.find("skylarkhoist_store_era 3") != std::string::npos);
  CHECK_TRUE(text.find("skylarkhoist_store_restores_total 3") !=
             std::string::npos);
}

}  // namespace
}  // namespace skylarkhoist
