#include "decisions/crash_quarantine.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "decisions/crash_detector.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_GROUP(crash_quarantine) {
  time_point now = time_point() + std::chrono::hours(1);
  crash_quarantine quarantine;

  // A target crashes that has run these requests for 20 ms.
  void Crash(const std::vector<uint64_t>& in_progress) {
    now += milliseconds(100);
    std::vector<run_in_crash> runs;
    runs.reserve(in_progress.size());
    for (const uint64_t fingerprint : in_progress)
      runs.push_back({fingerprint, now - milliseconds(20), now});
    quarantine.OnCrash("front", runs, now);
  }

  bool IsQuarantined(uint64_t fingerprint) {
    return quarantine.IsQuarantined("front", fingerprint, now);
  }
};

// Guards against a request that may crash a fourth target although no other
// request was in progress at three crashes.
TEST(crash_quarantine, ThreeCrashesInARowQuarantine) {
  Crash({1, 2, 3});
  Crash({1, 4, 1});
  CHECK_FALSE(IsQuarantined(1));
  Crash({2, 1});
  CHECK_TRUE(IsQuarantined(1));
  for (const uint64_t other : {2U, 3U, 4U})
    CHECK_FALSE(IsQuarantined(other));
  CHECK_FALSE(quarantine.IsQuarantined("deep", 1, now));
}

// Guards against the quarantine of requests that ran beside the one that
// crashes targets, and were repeated together with it.
TEST(crash_quarantine, CompanionsAreNotQuarantined) {
  for (int i = 0; i < 3; ++i)
    Crash({1, 2});
  CHECK_FALSE(IsQuarantined(2));
  Crash({1});
  CHECK_TRUE(IsQuarantined(1));
  CHECK_FALSE(IsQuarantined(2));
}

// Guards against requests that stay in use without end because they always
// crash targets together.
TEST(crash_quarantine, RequestsThatCrashTargetsTogetherAreQuarantined) {
  for (int i = 0; i < 5; ++i)
    Crash({1, 2});
  CHECK_TRUE(IsQuarantined(1));
  CHECK_TRUE(IsQuarantined(2));
}

// Guards against the quarantine of a frequent request that completes between
// crashes, or whose runs complete elsewhere meanwhile.
TEST(crash_quarantine, ACompletedRunEndsTheRow) {
  for (int i = 0; i < 4; ++i) {
    Crash({1});
    Crash({1});
    CHECK_FALSE(IsQuarantined(1));
    CHECK_TRUE(quarantine.OnRunCompleted("front", 1));
    CHECK_FALSE(quarantine.OnRunCompleted("front", 1));
  }
  for (int i = 0; i < 3; ++i)
    Crash({1});
  CHECK_TRUE(IsQuarantined(1));
  CHECK_TRUE(quarantine.OnRunCompleted("front", 1));
  CHECK_FALSE(IsQuarantined(1));
}

// Guards against the quarantine of a frequent request because several targets
// that run it are killed at the same time, and against crashes that don't count
// because nodes learn of them in another order.
TEST(crash_quarantine, CrashesAtTheSameTimeCountOnce) {
  const time_point killed_at = now;
  for (int i = 0; i < 6; ++i) {
    now += milliseconds(50);
    quarantine.OnCrash("front",
                       {{1, killed_at - milliseconds(10 + i), killed_at},
                        {1, killed_at - milliseconds(20), killed_at}},
                       now);
  }
  CHECK_FALSE(IsQuarantined(1));
  for (const int after : {3, 1}) {
    CHECK_FALSE(IsQuarantined(1));
    const time_point started_at = killed_at + seconds(after);
    quarantine.OnCrash("front",
                       {{1, started_at, started_at + milliseconds(10)}}, now);
  }
  CHECK_TRUE(IsQuarantined(1));
}

// Guards against the quarantine of a frequent request because one target loses
// several of its runs, one after the other, before it crashes once.
TEST(crash_quarantine, RunsLostBeforeOneCrashCountOnce) {
  std::vector<run_in_crash> runs;
  for (int i = 0; i < 6; ++i) {
    runs.push_back({1, now, now + milliseconds(20)});
    now += milliseconds(100);
  }
  quarantine.OnCrash("front", runs, now);
  CHECK_FALSE(IsQuarantined(1));
}

// Guards against a quarantine without end, and against one that nodes which
// exchange what they know keep up among themselves.
TEST(crash_quarantine, AQuarantineEnds) {
  for (int i = 0; i < 3; ++i)
    Crash({1});
  now += minutes(3);
  crash_quarantine other;
  for (const quarantined_request& request : quarantine.Quarantined(now))
    other.Merge(request, now);
  CHECK_TRUE(other.IsQuarantined("front", 1, now));
  now += minutes(2);
  CHECK_FALSE(IsQuarantined(1));
  CHECK_FALSE(other.IsQuarantined("front", 1, now));
}

// Guards against memory that grows with the number of requests in crashes.
TEST(crash_quarantine, KeepsABoundedNumberOfRequests) {
  crash_quarantine small(10);
  for (uint64_t fingerprint = 0; fingerprint < 100; ++fingerprint)
    small.OnCrash("front", {{fingerprint, now, now}}, now);
  CHECK_EQUAL(10, small.size());
}

// Guards against single lost connections that count as a crash, although the
// target answers calls that were sent later.
TEST(crash_quarantine, ALostConnectionAloneIsNoCrash) {
  crash_detector detector;
  detector.OnRunLost({1, now, now});
  detector.OnResponse(now + milliseconds(1));
  detector.OnRunLost({2, now, now + milliseconds(2)});
  // This call was sent before.
  detector.OnResponse(now + milliseconds(1));
  const auto runs = detector.TakeRunsInCrash(now + seconds(1));
  CHECK_EQUAL(1, runs.size());
  CHECK_EQUAL(2, runs.front().fingerprint);
  CHECK_TRUE(detector.TakeRunsInCrash(now + seconds(1)).empty());
  detector.OnRunLost({3, now, now});
  CHECK_TRUE(detector.TakeRunsInCrash(now + minutes(1)).empty());
}

}  // namespace
}  // namespace skylarkhoist
