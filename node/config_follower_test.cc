#include "node/config_follower.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "testing/config_fleet.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const json kRate = {{"per_second", 5}, {"burst", 5}};

TEST_GROUP(config_follower) {
  manual_loop loop;
  mt_random random{7};
  std::unique_ptr<config_fleet> fleet;
  std::vector<append_result> results;

  void Make(size_t size, const config_follower_options& options = {}) {
    fleet = std::make_unique<config_fleet>(&loop, &random, size, options);
    fleet->StartAll();
    loop.Advance(seconds(1));
  }
  void Change(size_t node, const std::string& path, uint64_t base,
              std::optional<json> value) {
    fleet->follower(node).AppendChange(
        path, base, std::move(value), "ann",
        [this](const append_result& result) { results.push_back(result); });
  }
  void teardown() override {
    fleet.reset();
  }
};

TEST(config_follower, ChangeIsInForceOnAllNodes) {
  Make(5);
  int changes = 0;
  fleet->follower(4).OnChange([&] { ++changes; });
  Change(0, "/customers/acme", 0, json::object());
  loop.Advance(seconds(1));
  CHECK_TRUE(results.at(0).state == append_state::kAccepted);
  CHECK_EQUAL(1, results.at(0).offset);
  for (size_t i = 0; i < 5; ++i) {
    CHECK_EQUAL(1, fleet->follower(i).view()->customers.count("acme"));
    CHECK_EQUAL(1, fleet->follower(i).view()->offset);
  }
  CHECK_EQUAL(1, changes);
}

// Guards against a writer that loses a race and does not learn which change is
// in force.
TEST(config_follower, VoidChangeReportsTheEntryInForce) {
  Make(3);
  Change(0, "/customers/acme", 0, json{{"weight", 1}});
  Change(1, "/customers/acme", 0, json{{"weight", 2}});
  loop.Advance(seconds(2));
  CHECK_EQUAL(2, results.size());
  const auto lost = std::find_if(results.begin(), results.end(),
                                 [](const append_result& result) {
                                   return result.state == append_state::kVoid;
                                 });
  CHECK_TRUE(lost != results.end());
  CHECK_EQUAL(1, lost->entry_in_force->version);
  CHECK_EQUAL(2, lost->offset);
  CHECK_TRUE(*lost->entry_in_force->value ==
             *fleet->follower(2).state().entries().at("/customers/acme").value);
}

// Guards against a repeated append that takes effect twice, or is reported as
// void because its first copy was accepted.
TEST(config_follower, AppendWithLostAnswerIsRepeatedUnderTheSameId) {
  Make(3);
  fleet->log().faults().lost_answer_probability = 1;
  Change(0, "/rates/acme", 0, kRate);
  loop.Advance(milliseconds(1500));
  fleet->log().faults().lost_answer_probability = 0;
  loop.Advance(seconds(5));
  CHECK_EQUAL(1, results.size());
  CHECK_TRUE(results[0].state == append_state::kAccepted);
  CHECK_EQUAL(1,
              fleet->follower(1).state().entries().at("/rates/acme").version);
}

TEST(config_follower, RefusedAppendIsRepeated) {
  Make(1);
  fleet->log().faults().refused_append_probability = 1;
  Change(0, "/rates/acme", 0, kRate);
  loop.Advance(seconds(3));
  CHECK_TRUE(results.empty());
  fleet->log().faults().refused_append_probability = 0;
  loop.Advance(seconds(5));
  CHECK_TRUE(results.at(0).state == append_state::kAccepted);
}

// Guards against a writer that is told that its change has no effect, although
// the record may have reached the log.
TEST(config_follower, UnknownResultTellsWhetherTheLogWasReached) {
  Make(2);
  fleet->log().faults().down = true;
  Change(0, "/rates/acme", 0, kRate);
  loop.Advance(seconds(40));
  CHECK_TRUE(results.at(0).state == append_state::kUnknown);
  CHECK_FALSE(results[0].may_have_reached_log);
  fleet->log().faults().down = false;
  fleet->log().faults().lost_answer_probability = 1;
  fleet->SetLogReachable(1, false);
  fleet->log().faults().silent = true;
  Change(0, "/rates/acme", 0, kRate);
  loop.Advance(seconds(40));
  CHECK_TRUE(results.at(1).state == append_state::kUnknown);
  CHECK_TRUE(results[1].may_have_reached_log);
}

TEST(config_follower, InvalidRecordIsNotAppended) {
  Make(1);
  Change(0, "/rates", 0, kRate);
  Change(0, "/rates/acme", 0, json(5));
  loop.Advance(seconds(1));
  CHECK_EQUAL(2, results.size());
  for (const append_result& result : results)
    CHECK_TRUE(result.state == append_state::kVoid &&
               !result.record_problem.empty());
  CHECK_EQUAL(0, fleet->log().history().size());
}

// Guards against a restarted node that waits for the log although its peers
// have the state.
TEST(config_follower, StartsFromPeersWhileTheLogIsDown) {
  Make(4);
  fleet->JoinAll();
  Change(0, "/customers/acme", 0, json::object());
  loop.Advance(seconds(1));
  fleet->log().faults().down = true;
  fleet->Start(3);
  CHECK_FALSE(fleet->follower(3).ready());
  loop.Advance(seconds(2));
  CHECK_TRUE(fleet->follower(3).ready());
  CHECK_EQUAL(5, fleet->follower(3).applied_offset());
  CHECK_EQUAL(1, fleet->follower(3).view()->customers.count("acme"));
  CHECK_EQUAL(4, fleet->follower(3).roster().members.size());
  CHECK_TRUE(fleet->follower(3).log_age(loop.Now()) == duration::max());
  CHECK_TRUE(fleet->follower(0).log_age(loop.Now()) >= milliseconds(1500));
}

// Guards against a fleet that cannot serve the open routes of its settings
// while the log is down.
TEST(config_follower, ServesBootstrapRoutesWithoutAnyState) {
  config_follower_options options;
  options.bootstrap.routes["open"].access = route_access::kOpen;
  fleet = std::make_unique<config_fleet>(&loop, &random, 2, options);
  fleet->log().faults().down = true;
  fleet->StartAll();
  loop.Advance(seconds(5));
  CHECK_FALSE(fleet->follower(0).ready());
  CHECK_EQUAL(1, fleet->follower(0).view()->routes.size());
  fleet->log().faults().down = false;
  loop.Advance(seconds(2));
  CHECK_TRUE(fleet->follower(0).ready());
  CHECK_TRUE(fleet->follower(0).view()->routes.empty());
}

// Guards against a node that never catches up after records that it needs have
// been trimmed from the log.
TEST(config_follower, StartsFromSnapshotBehindTheTrimPoint) {
  config_follower_options options;
  options.snapshot_records = 5;
  options.snapshot_jitter = seconds(1);
  Make(2, options);
  for (uint64_t i = 0; i < 8; ++i) {
    Change(0, "/customers/c" + std::to_string(i), 0, json::object());
    loop.Advance(seconds(1));
  }
  loop.Advance(seconds(5));
  const uint64_t snapshot = fleet->follower(0).state().last_snapshot_offset();
  CHECK_TRUE(snapshot > 0);
  fleet->Stop(0);
  fleet->Stop(1);
  const auto record = ParseRecord(fleet->log().history()[snapshot - 1]);
  fleet->log().Trim(record->state.at("offset").get<uint64_t>() + 1);
  CHECK_TRUE(fleet->log().first_offset() > 1);
  fleet->Start(1);
  loop.Advance(seconds(2));
  CHECK_EQUAL(8, fleet->follower(1).view()->customers.size());
  CHECK_TRUE(fleet->AllAgree());
}

// Guards against snapshots from every node, or one for each change.
TEST(config_follower, SnapshotsAreBounded) {
  config_follower_options options;
  Make(15, options);
  for (int i = 0; i < 100; ++i) {
    Change(0, "/customers/c" + std::to_string(i), 0, json::object());
    loop.Advance(seconds(12));
  }
  loop.Advance(minutes(20));
  int snapshots = 0;
  for (const std::string& data : fleet->log().history())
    snapshots += ParseRecord(data)->kind == record_kind::kSnapshot ? 1 : 0;
  // 20 minutes of changes with one snapshot in 5 minutes. Two nodes may append
  // one each when their random delays are close.
  CHECK_TRUE(snapshots >= 4 && snapshots <= 8);
}

// Guards against a large fleet in which all nodes read the log, or in which the
// nodes that do not read it fall behind.
TEST(config_follower, LargeFleetHasFewReaders) {
  config_follower_options options;
  Make(60, options);
  fleet->JoinAll();
  loop.Advance(seconds(5));
  const uint64_t before = fleet->log().reads();
  loop.Advance(seconds(20));
  // 3 zones with 2 readers each, 4 reads per second and reader.
  const uint64_t reads = fleet->log().reads() - before;
  CHECK_TRUE(reads >= 400 && reads <= 500);
  Change(0, "/customers/acme", 0, json::object());
  loop.Advance(milliseconds(600));
  CHECK_TRUE(fleet->AllAgree());
}

// Guards against updates that are lost when the root or inner nodes of the
// broadcast tree have failed.
TEST(config_follower, UpdatesReachAllNodesDespiteFailedOnes) {
  Make(60);
  fleet->JoinAll();
  // Paused nodes remain in the list of live peers of all nodes.
  for (size_t i = 10; i < 25; ++i)
    fleet->network().PauseNode(config_fleet::AddressOf(i));
  Change(0, "/customers/acme", 0, json::object());
  loop.Advance(seconds(3));
  for (size_t i = 0; i < 60; ++i) {
    if (i < 10 || i >= 25)
      CHECK_EQUAL(1, fleet->follower(i).view()->customers.size());
  }
}

// Guards against a node that relies on the elected readers although it gets no
// updates.
TEST(config_follower, NodesReadTheLogWhenTheirReadersAreCutOff) {
  Make(30);
  fleet->JoinAll();
  std::set<std::string> rest;
  for (size_t i = 1; i < 30; ++i)
    rest.insert(config_fleet::AddressOf(i));
  fleet->network().Partition({config_fleet::AddressOf(0)}, rest);
  Change(1, "/customers/acme", 0, json::object());
  loop.Advance(seconds(5));
  CHECK_EQUAL(1, fleet->follower(0).view()->customers.size());
}

TEST(config_follower, NodeWithoutLogFollowsItsPeers) {
  Make(4);
  fleet->SetLogReachable(2, false);
  Change(0, "/customers/acme", 0, json::object());
  loop.Advance(seconds(2));
  CHECK_EQUAL(1, fleet->follower(2).view()->customers.size());
  CHECK_TRUE(fleet->follower(2).log_age(loop.Now()) >= seconds(2));
}

// Guards against a damaged peer message that changes or stops a node.
TEST(config_follower, DamagedPeerMessagesAreIgnored) {
  Make(1);
  Change(0, "/customers/acme", 0, json::object());
  loop.Advance(seconds(1));
  fbs::config_stateT state;
  state.offset = 9;
  for (const char* text : {"", "{}", "[]", "{\"offset\":9}"}) {
    state.state = text;
    fleet->follower(0).HandleState("x", state);
  }
  fbs::config_newsT update;
  update.applied_offset = 9;
  update.records.push_back(nullptr);
  update.records.push_back(std::make_unique<fbs::log_recordT>());
  update.records.back()->offset = 5;
  fleet->follower(0).HandleUpdate("x", update);
  CHECK_EQUAL(1, fleet->follower(0).applied_offset());
  CHECK_EQUAL(0, fleet->reverts());
}

}  // namespace
}  // namespace skylarkhoist
