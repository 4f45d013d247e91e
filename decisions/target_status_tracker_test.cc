#include "decisions/target_status_tracker.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(target_status_tracker) {
  target_status_tracker tracker;
  time_point now{std::chrono::hours(1)};
  const target_run run{"t1", 1};

  static target_status Limit(double rate) {
    target_status status;
    status.max_calls_per_second = rate;
    return status;
  }

  // A response to a call that took `run_time`.
  void Respond(const target_status& status,
               duration run_time = milliseconds(10)) {
    now += milliseconds(20);
    tracker.OnResponse(run, status, now - run_time, now);
  }

  double KnownLimit() {
    return tracker.StatusOf(run).max_calls_per_second.value_or(-1);
  }
};

// Guards against a limit that ends with a response that was overtaken by the
// one that named it, or with a response whose header fields were lost.
TEST(target_status_tracker, ALimitEndsOnlyWithLaterResponses) {
  Respond(Limit(20));
  for (int i = 0; i < 10; ++i)
    Respond({}, milliseconds(500));
  CHECK_EQUAL(20, KnownLimit());
  Respond({});
  Respond({});
  Respond(Limit(30));
  Respond({});
  Respond({});
  CHECK_EQUAL(30, KnownLimit());
  Respond({});
  CHECK_EQUAL(-1, KnownLimit());
}

// Guards against a restarted node that takes an old report for newer than what
// its target says now.
TEST(target_status_tracker, ReportsCountUntilTheFirstResponse) {
  tracker.OnReport(run, Limit(30), now);
  tracker.OnReport(run, Limit(20), now);
  tracker.OnReport(run, Limit(25), now);
  CHECK_EQUAL(20, KnownLimit());
  Respond(Limit(40));
  tracker.OnReport(run, Limit(20), now);
  CHECK_EQUAL(40, KnownLimit());
}

// Guards against a leaving target that gets new calls after a response without
// the header field, and against a departure that outlives its run.
TEST(target_status_tracker, ARunLeavesForGood) {
  target_status leaving;
  leaving.leaving = true;
  tracker.OnReport(run, leaving, now);
  Respond({});
  CHECK_TRUE(tracker.StatusOf(run).leaving);
  CHECK_FALSE(tracker.StatusOf({"t1", 2}).leaving);
}

// Guards against memory that grows with reports of runs that never come.
TEST(target_status_tracker, ForgetsTheOldestOfManyRuns) {
  target_status leaving;
  leaving.leaving = true;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(1);
    tracker.OnReport({"t" + std::to_string(i), 1}, leaving, now);
  }
  CHECK_FALSE(tracker.StatusOf({"t0", 1}).leaving);
  CHECK_TRUE(tracker.StatusOf({"t99", 1}).leaving);
}

}  // namespace
}  // namespace skylarkhoist
