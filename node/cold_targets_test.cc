#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "node/hosted_node.h"
#include "platform/platform_dialect.h"
#include "testing/hosted_fleet.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMachines = 6;
constexpr duration kStep = milliseconds(10);
constexpr duration kColdTime = seconds(3);
// A cold target tolerates 1.5 times its cold rate of 20 calls per second, and 5
// more.
constexpr int64_t kMaxColdRuns = 35;

// A fleet in which target 0, of "front" in zone z0, turns cold. Its targets
// announce themselves each second.
class cold_fleet {
 public:
  explicit cold_fleet(bool has_health_checks)
      : fleet_(kMachines, 1, &PlatformDialect()) {
    if (has_health_checks)
      fleet_.EnableHealthChecks();
    fleet_.Publish("1 100000 k1");
    // Targets that have just come into service get their full share after this.
    fleet_.Advance(seconds(7));
  }

  hosted_fleet& fleet() { return fleet_; }

  void SetZoneOut(bool out) {
    fleet_.store().Write(
        store_topic::kOperators, "zone/z0",
        out ? std::optional<std::string>("out") : std::nullopt);
  }
  // Cuts machine 0 off from the store and from all other machines.
  void SetCut(bool cut) {
    fleet_.store().SetReachable("n0", !cut);
    std::set<std::string> others;
    for (size_t i = 1; i < kMachines; ++i)
      others.insert(fleet_.peer_address(i));
    if (cut)
      fleet_.network().Partition({fleet_.peer_address(0)}, others);
    else
      fleet_.network().Heal();
  }

  int64_t Runs() { return fleet_.target_counters(0).runs; }

  // Sends `per_second` requests to each of `entries`.
  void SendLoad(const std::vector<size_t>& entries,
                int per_second,
                duration length) {
    double due = 0;
    for (duration at = duration::zero(); at < length; at += kStep) {
      due += per_second * std::chrono::duration<double>(kStep).count();
      for (; due >= 1; due -= 1) {
        for (const size_t machine : entries)
          responses_.push_back(fleet_.Send(machine, "/safe/x", "k1"));
      }
      fleet_.Advance(kStep);
      runs_by_step_.push_back(Runs());
      if (runs_by_step_.size() > static_cast<size_t>(seconds(1) / kStep))
        runs_by_step_.pop_front();
      most_runs_ =
          std::max(most_runs_, runs_by_step_.back() - runs_by_step_.front());
    }
  }
  // Most runs of target 0 in one second of SendLoad since the last call.
  int64_t TakeMostRuns() {
    runs_by_step_.clear();
    return std::exchange(most_runs_, 0);
  }
  int CountServed() {
    fleet_.Advance(seconds(1));
    return static_cast<int>(
        std::count_if(responses_.begin(), responses_.end(), [](const auto& it) {
          return it->response && it->response->status == 200;
        }));
  }

 private:
  hosted_fleet fleet_;
  std::vector<std::shared_ptr<hosted_fleet::pending_response>> responses_;
  std::deque<int64_t> runs_by_step_;
  int64_t most_runs_ = 0;
};

// The times between the last announcement of the target and the event are
// these, so that its next one comes later or sooner.
constexpr duration kPhases[] = {milliseconds(10), milliseconds(300),
                                milliseconds(700)};

TEST_GROUP(cold_targets){void CheckCold(cold_fleet * cold, const char* name){
    const int64_t most = cold->TakeMostRuns();
const std::string text = std::string(name) + ": " + std::to_string(most);
CHECK_TRUE_TEXT(most <= kMaxColdRuns, text.c_str());
}  // namespace
};  // namespace skylarkhoist

// Guards against a cold target that gets the whole load of its zone as soon as
// the zone is taken back, until its next announcement.
TEST(cold_targets, AZoneThatIsTakenBackCold) {
  for (const duration phase : kPhases) {
    cold_fleet cold(true);
    cold.SendLoad({0, 1}, 50, seconds(1));
    cold.SetZoneOut(true);
    cold.SendLoad({0, 1}, 50, seconds(3) + phase);
    cold.TakeMostRuns();
    cold.fleet().TurnCold(0, kColdTime);
    cold.SetZoneOut(false);
    const int64_t before = cold.Runs();
    cold.SendLoad({0, 1}, 50, seconds(3));
    CHECK_TRUE(cold.Runs() > before);
    CheckCold(&cold, "taken back");
  }
}

// Guards against a warm zone that callers get back later, or with more
// refusals, than without the health check.
TEST(cold_targets, AZoneThatIsTakenBackWarmServesAtOnce) {
  for (const duration phase : kPhases) {
    int64_t runs[2] = {};
    int served[2] = {};
    for (const bool has_health_checks : {false, true}) {
      cold_fleet cold(has_health_checks);
      cold.SetZoneOut(true);
      cold.SendLoad({0, 1}, 50, seconds(3) + phase);
      const int checks =
          cold.fleet().targets().HealthChecks(cold.fleet().target_address(0));
      cold.SetZoneOut(false);
      const int64_t before = cold.Runs();
      cold.SendLoad({0, 1}, 50, milliseconds(500));
      runs[has_health_checks ? 1 : 0] = cold.Runs() - before;
      served[has_health_checks ? 1 : 0] = cold.CountServed();
      const int checks_after =
          cold.fleet().targets().HealthChecks(cold.fleet().target_address(0));
      CHECK_EQUAL(has_health_checks ? 1 : 0, checks_after - checks);
    }
    CHECK_TRUE(runs[0] > 0);
    CHECK_EQUAL(runs[0], runs[1]);
    CHECK_EQUAL(served[0], served[1]);
  }
}

// Guards against an announcement that was sent before the target turned cold,
// and ends the cold state that the health check has shown.
TEST(cold_targets, ALateAnnouncementDoesNotEndTheColdState) {
  cold_fleet cold(true);
  cold.SetZoneOut(true);
  cold.fleet().Advance(seconds(3) + milliseconds(10));
  cold.fleet().TurnCold(0, kColdTime);
  cold.SetZoneOut(false);
  cold.SendLoad({0, 1}, 50, milliseconds(200));
  // It still has the cold time of the last regular one.
  cold.fleet().SetTargetState(0, fbs::member_state::kServing);
  cold.SendLoad({0, 1}, 50, milliseconds(700));
  CheckCold(&cold, "late announcement");
}

// Guards against health checks with spoiled answers that let the load through,
// and against one that is not repeated and leaves a warm target limited.
TEST(cold_targets, ASpoiledHealthCheckIsRepeated) {
  for (const bool is_cold : {true, false}) {
    cold_fleet cold(true);
    const std::string address = cold.fleet().target_address(0);
    cold.SetZoneOut(true);
    cold.fleet().Advance(seconds(3) + milliseconds(10));
    cold.TakeMostRuns();
    cold.fleet().targets().SpoilHealth(address, true);
    if (is_cold)
      cold.fleet().TurnCold(0, kColdTime);
    cold.SetZoneOut(false);
    cold.SendLoad({0, 1}, 50, milliseconds(300));
    cold.fleet().targets().SpoilHealth(address, false);
    cold.SendLoad({0, 1}, 50, milliseconds(200));
    const int64_t before = cold.Runs();
    cold.SendLoad({0, 1}, 50, milliseconds(400));
    if (is_cold)
      CheckCold(&cold, "spoiled");
    else
      CHECK_TRUE(cold.Runs() - before >= 30);
  }
}

// Guards against a target that stays limited for good because its health checks
// never get an answer.
TEST(cold_targets, AnnouncementsEndASuspicionWithoutHealthChecks) {
  cold_fleet cold(true);
  cold.fleet().targets().SpoilHealth(cold.fleet().target_address(0), true);
  cold.SetZoneOut(true);
  cold.fleet().Advance(seconds(3) + milliseconds(10));
  cold.SetZoneOut(false);
  cold.fleet().Advance(seconds(2));
  const int64_t before = cold.Runs();
  cold.SendLoad({0, 1}, 50, seconds(1));
  CHECK_TRUE(cold.Runs() - before >= 80);
}

// Guards against a node that was cut off while its zone was out of service: it
// reads at once that the zone was taken out and back, and knows of the target
// only what it announced before.
TEST(cold_targets, AZoneThatWasOutDuringACut) {
  for (const bool trimmed : {false, true}) {
    cold_fleet cold(true);
    cold.SetCut(true);
    cold.fleet().Advance(seconds(1));
    cold.SetZoneOut(true);
    cold.fleet().Advance(seconds(3) + milliseconds(10));
    cold.SetZoneOut(false);
    if (trimmed)
      cold.fleet().store().Trim(store_topic::kOperators);
    cold.fleet().TurnCold(0, kColdTime);
    cold.SetCut(false);
    cold.SendLoad({0, 1, 2, 3}, 50, milliseconds(900));
    CheckCold(&cold, trimmed ? "trimmed" : "cut");
  }
}

// Guards against a target that restarts under its id: its former process has
// sent an announcement that arrives late and says nothing of a cold start.
TEST(cold_targets, ARestartUnderTheSameId) {
  for (const duration phase : kPhases) {
    cold_fleet cold(true);
    cold.SendLoad({0, 1}, 50, seconds(1) + phase);
    cold.fleet().targets().Crash(cold.fleet().target_address(0));
    cold.SendLoad({0, 1}, 50, seconds(1));
    cold.TakeMostRuns();
    cold.fleet().targets().TurnCold(cold.fleet().target_address(0), kColdTime);
    cold.SendLoad({0, 1}, 50, milliseconds(2900));
    CheckCold(&cold, "restart");
  }
}

// Guards against a target that restarts so quickly that no connection is
// refused: it only breaks that of its last call.
TEST(cold_targets, AQuickRestartUnderTheSameId) {
  cold_fleet cold(true);
  cold.fleet().Advance(milliseconds(10));
  cold.fleet().Send(0, "/safe/x", "k1");
  cold.fleet().Advance(milliseconds(4));
  LONGS_EQUAL(
      1, cold.fleet().targets().running_calls(cold.fleet().target_address(0)));
  cold.fleet().targets().Crash(cold.fleet().target_address(0),
                               duration::zero());
  cold.fleet().targets().TurnCold(cold.fleet().target_address(0), kColdTime);
  cold.fleet().Advance(milliseconds(1));
  cold.SendLoad({0, 1}, 50, milliseconds(900));
  CheckCold(&cold, "quick restart");
}

// Guards against a replacement whose first announcement arrives late and says
// nothing of a cold state that began after it.
TEST(cold_targets, AReplacementThatAnnouncesItselfLate) {
  cold_fleet cold(true);
  cold.fleet().Advance(milliseconds(10));
  cold.fleet().targets().TurnCold(cold.fleet().target_address(0), kColdTime);
  cold.fleet().RestartTarget(0, duration::zero());
  cold.SendLoad({0, 1}, 50, milliseconds(900));
  CheckCold(&cold, "replacement");
}

// Guards against load on knowledge that is older than usual, because
// announcements are missing or the node was paused, with or without a late
// announcement at the end of that time.
TEST(cold_targets, MissingAnnouncements) {
  for (const bool late_announcement : {false, true}) {
    cold_fleet cold(true);
    cold.fleet().StopAnnouncing(0);
    cold.fleet().Advance(milliseconds(3100));
    cold.fleet().targets().TurnCold(cold.fleet().target_address(0), kColdTime);
    if (late_announcement)
      cold.fleet().SetTargetState(0, fbs::member_state::kServing);
    cold.SendLoad({0, 1}, 50, seconds(1));
    CheckCold(&cold, late_announcement ? "late" : "missing");
  }
}

}  // namespace
}  // namespace skylarkhoist
