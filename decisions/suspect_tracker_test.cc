#include "decisions/suspect_tracker.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

using std::chrono::seconds;
using verdict = suspect_verdict;

const time_point kStart{std::chrono::hours(1)};
const std::string kService = "bookings";

TEST_GROUP(suspect_tracker) {
  suspect_tracker tracker;

  void CheckVerdict(verdict expected, uint64_t fingerprint,
                    time_point now = kStart) {
    CHECK_EQUAL(static_cast<int>(expected),
                static_cast<int>(tracker.Check(kService, fingerprint, now)));
  }
};

// Guards against a request that crashes one target after another.
TEST(suspect_tracker, SecondCrashQuarantinesForFiveMinutes) {
  CheckVerdict(verdict::kNormal, 1);
  CHECK_EQUAL(2, tracker.OnTargetCrash(kService, {1, 2, 1}, kStart).size());
  CheckVerdict(verdict::kTrialNeeded, 1);
  const auto begun = tracker.BeginTrial(kService, 1, kStart);
  CHECK_TRUE(begun && begun->status == suspect_status::kQuarantined);
  CheckVerdict(verdict::kWait, 1);
  CheckVerdict(verdict::kWait, 2);
  CHECK_FALSE(tracker.BeginTrial(kService, 2, kStart).has_value());
  tracker.OnTargetCrash(kService, {1}, kStart + seconds(1));
  CheckVerdict(verdict::kQuarantined, 1, kStart + seconds(300));
  CheckVerdict(verdict::kNormal, 1, kStart + seconds(301));
}

// Guards against a quarantine of harmless requests that ran at the same time as
// one that crashes targets.
TEST(suspect_tracker, HarmlessRequestIsClearedByOneSuccess) {
  tracker.OnTargetCrash(kService, {1, 2}, kStart);
  tracker.OnTargetCrash(kService, {1, 2}, kStart);
  CHECK_TRUE(tracker.BeginTrial(kService, 2, kStart).has_value());
  const auto cleared =
      tracker.EndTrial(kService, 2, trial_result::kPassed, kStart);
  CHECK_TRUE(cleared && cleared->status == suspect_status::kCleared);
  CheckVerdict(verdict::kNormal, 2);
  CheckVerdict(verdict::kTrialNeeded, 1);
}

// Guards against a cancelled trial that blocks all suspects of the service.
TEST(suspect_tracker, InconclusiveTrialMayBeRepeated) {
  tracker.OnTargetCrash(kService, {1, 2}, kStart);
  tracker.BeginTrial(kService, 1, kStart);
  tracker.EndTrial(kService, 2, trial_result::kInconclusive, kStart);
  CheckVerdict(verdict::kWait, 1);
  tracker.EndTrial(kService, 1, trial_result::kInconclusive, kStart);
  CheckVerdict(verdict::kTrialNeeded, 1);
}

// Guards against trials of one suspect at two nodes, and against notices that
// end a quarantine.
TEST(suspect_tracker, PeerNoticesAreMerged) {
  suspect_tracker other;
  for (const auto& notice : tracker.OnTargetCrash(kService, {1}, kStart))
    CHECK_TRUE(other.Merge(notice, kStart));
  CHECK_TRUE(other.Check(kService, 1, kStart) == verdict::kTrialNeeded);
  const auto begun = tracker.BeginTrial(kService, 1, kStart);
  CHECK_TRUE(other.Merge(*begun, kStart));
  CHECK_FALSE(other.Merge(*begun, kStart));
  CHECK_TRUE(other.Check(kService, 1, kStart) == verdict::kWait);
  // The trial continues although another node repeats the suspicion.
  CHECK_FALSE(tracker.Merge(
      {kService, 1, suspect_status::kSuspect, 1, seconds(300)}, kStart));
  const auto died = tracker.OnTargetCrash(kService, {1}, kStart);
  CHECK_TRUE(other.Merge(died.at(0), kStart));
  CHECK_TRUE(other.Check(kService, 1, kStart) == verdict::kQuarantined);
  CHECK_FALSE(other.Merge(
      {kService, 1, suspect_status::kCleared, 0, seconds(300)}, kStart));
  CHECK_TRUE(other.Check(kService, 1, kStart) == verdict::kQuarantined);
  CHECK_EQUAL(1, other.Snapshot(kStart).size());
}

// Guards against unbounded memory use by requests with ever new bodies.
TEST(suspect_tracker, BoundsItsEntries) {
  suspect_tracker small(seconds(300), 3);
  for (uint64_t i = 0; i < 10; ++i)
    small.OnTargetCrash(kService, {i, 100}, kStart + seconds(i));
  CHECK_EQUAL(3, small.size());
  CHECK_TRUE(small.Check(kService, 9, kStart + seconds(10)) ==
             verdict::kTrialNeeded);
}

// Guards against two nodes with the same view that choose different nodes for
// the trials.
TEST(suspect_tracker, TrialNodeDoesNotDependOnOrder) {
  CHECK_FALSE(SuspectTrialNode(kService, {}).has_value());
  const std::vector<uint64_t> forward = {11, 22, 33};
  const std::vector<uint64_t> backward = {33, 22, 11};
  CHECK_EQUAL(forward[*SuspectTrialNode(kService, forward)],
              backward[*SuspectTrialNode(kService, backward)]);
}

}  // namespace
}  // namespace skylarkhoist
