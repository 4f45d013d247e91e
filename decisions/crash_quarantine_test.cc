#include "decisions/crash_quarantine.h"

#include <CppUTest/TestHarness.h>

#include "decisions/crash_detector.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_GROUP(crash_quarantine) {
  time_point now = time_point() + std::chrono::hours(1);
  crash_quarantine quarantine;

  bool IsQuarantined(uint64_t fingerprint) {
    return quarantine.IsQuarantined("front", fingerprint, now);
  }
};

// Guards against a request that may crash a fourth target although no other
// request was in progress at three crashes.
TEST(crash_quarantine, ThreeCrashesInARowQuarantine) {
  quarantine.OnCrash("front", {1, 2, 3}, now);
  quarantine.OnCrash("front", {1, 4, 1}, now);
  CHECK_FALSE(IsQuarantined(1));
  quarantine.OnCrash("front", {2, 1}, now);
  CHECK_TRUE(IsQuarantined(1));
  for (const uint64_t other : {2U, 3U, 4U})
    CHECK_FALSE(IsQuarantined(other));
  CHECK_FALSE(quarantine.IsQuarantined("deep", 1, now));
}

// Guards against the quarantine of requests that ran beside the one that
// crashes targets, and were repeated together with it.
TEST(crash_quarantine, CompanionsAreNotQuarantined) {
  for (int i = 0; i < 3; ++i)
    quarantine.OnCrash("front", {1, 2}, now);
  CHECK_FALSE(IsQuarantined(2));
  quarantine.OnCrash("front", {1}, now);
  CHECK_TRUE(IsQuarantined(1));
  CHECK_FALSE(IsQuarantined(2));
}

// Guards against requests that stay in use without end because they always
// crash targets together.
TEST(crash_quarantine, RequestsThatCrashTargetsTogetherAreQuarantined) {
  for (int i = 0; i < 5; ++i)
    quarantine.OnCrash("front", {1, 2}, now);
  CHECK_TRUE(IsQuarantined(1));
  CHECK_TRUE(IsQuarantined(2));
}

// Guards against the quarantine of a frequent request that completes between
// crashes, and against a quarantine that a late response ends.
TEST(crash_quarantine, ACompletedRunEndsTheRow) {
  for (int i = 0; i < 4; ++i) {
    quarantine.OnCrash("front", {1}, now);
    quarantine.OnCrash("front", {1}, now);
    CHECK_FALSE(IsQuarantined(1));
    CHECK_TRUE(quarantine.OnRunCompleted("front", 1));
    CHECK_FALSE(quarantine.OnRunCompleted("front", 1));
  }
  for (int i = 0; i < 3; ++i)
    quarantine.OnCrash("front", {1}, now);
  CHECK_FALSE(quarantine.OnRunCompleted("front", 1));
  CHECK_TRUE(IsQuarantined(1));
}

// Guards against a quarantine without end, and against one that nodes which
// exchange what they know keep up among themselves.
TEST(crash_quarantine, AQuarantineEnds) {
  for (int i = 0; i < 3; ++i)
    quarantine.OnCrash("front", {1}, now);
  now += minutes(3);
  crash_quarantine other;
  for (const crash_record& record : quarantine.Snapshot(now))
    other.Merge(record, now);
  CHECK_TRUE(other.IsQuarantined("front", 1, now));
  now += minutes(2);
  CHECK_FALSE(IsQuarantined(1));
  CHECK_FALSE(other.IsQuarantined("front", 1, now));
}

// Guards against memory that grows with the number of requests in crashes.
TEST(crash_quarantine, KeepsABoundedNumberOfRequests) {
  crash_quarantine small(10);
  for (uint64_t fingerprint = 0; fingerprint < 100; ++fingerprint)
    small.OnCrash("front", {fingerprint}, now);
  CHECK_EQUAL(10, small.Snapshot(now).size());
}

// Guards against single lost connections that count as a crash, although the
// target answers calls that were sent later.
TEST(crash_quarantine, ALostConnectionAloneIsNoCrash) {
  crash_detector detector;
  detector.OnRunLost(1, now);
  detector.OnResponse(now + milliseconds(1));
  detector.OnRunLost(2, now + milliseconds(2));
  // This call was sent before.
  detector.OnResponse(now + milliseconds(1));
  const auto runs = detector.TakeRunsInCrash(now + seconds(1));
  CHECK_EQUAL(1, runs.size());
  CHECK_EQUAL(2, runs.front());
  CHECK_TRUE(detector.TakeRunsInCrash(now + seconds(1)).empty());
  detector.OnRunLost(3, now);
  CHECK_TRUE(detector.TakeRunsInCrash(now + minutes(1)).empty());
}

}  // namespace
}  // namespace skylarkhoist
