#include "decisions/call_estimator.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

#include "kernel/random.h"
#include "testing/manual_loop.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulates runs of two routes at one target: "index" makes five calls in
// sequence, "pull" makes none.
TEST_GROUP(call_estimator) {
  manual_loop clock;
  mt_random random{5};
  call_estimator estimator;

  duration RandomDuration(duration mean) {
    return duration(static_cast<int64_t>(static_cast<double>(mean.count()) *
                                         (0.5 + random.Fraction())));
  }

  void StartRun(const std::string& route, int calls, duration call_interval) {
    estimator.OnRunStart(route, clock.Now());
    ScheduleCalls(route, calls, call_interval);
  }

  void ScheduleCalls(const std::string& route, int calls,
                     duration call_interval) {
    clock.RunAfter(RandomDuration(call_interval),
                   [this, route, calls, call_interval] {
                     if (calls == 0) {
                       estimator.OnRunEnd(route, clock.Now());
                       return;
                     }
                     estimator.OnCall("rate", clock.Now());
                     ScheduleCalls(route, calls - 1, call_interval);
                   });
  }

  void ScheduleArrivals(const std::string& route, int calls,
                        duration call_interval, duration arrival_interval) {
    clock.RunAfter(RandomDuration(arrival_interval),
                   [this, route, calls, call_interval, arrival_interval] {
                     StartRun(route, calls, call_interval);
                     ScheduleArrivals(route, calls, call_interval,
                                      arrival_interval);
                   });
  }
};

// Load pattern: normal load on a service with two routes, of which one makes
// calls. Guards against refusing requests because of a service that they don't
// call.
TEST(call_estimator, DistinguishesRoutesThatCallFromThoseThatDoNot) {
  ScheduleArrivals("index", 5, milliseconds(25), milliseconds(12));
  ScheduleArrivals("pull", 0, milliseconds(220), milliseconds(47));
  clock.Advance(seconds(15));
  const double index = estimator.CallsPerRun("index", "rate");
  const double pull = estimator.CallsPerRun("pull", "rate");
  CHECK_TRUE_TEXT(index > 3.5 && index < 6.5, std::to_string(index).c_str());
  CHECK_TRUE_TEXT(pull < 1.2, std::to_string(pull).c_str());
  LONGS_EQUAL(1, estimator.CalledRoutes("index").size());
  LONGS_EQUAL(0, estimator.CalledRoutes("pull").size());
  LONGS_EQUAL(0, estimator.CalledRoutes("unknown").size());
}

// Load pattern: the called service is full, so that the number of calls follows
// its capacity. Guards against attributing calls to routes that make none
// because of that.
TEST(call_estimator, IgnoresSkippedIntervals) {
  ScheduleArrivals("index", 5, milliseconds(25), milliseconds(12));
  ScheduleArrivals("pull", 0, milliseconds(220), milliseconds(47));
  clock.Advance(seconds(15));
  const double before = estimator.CallsPerRun("pull", "rate");
  for (int i = 0; i < 2000; ++i) {
    estimator.SkipInterval();
    estimator.OnRunStart("pull", clock.Now());
    estimator.OnCall("rate", clock.Now());
    clock.Advance(milliseconds(1));
  }
  CHECK_TRUE(estimator.CallsPerRun("pull", "rate") <= before);
  LONGS_EQUAL(0, estimator.CalledRoutes("pull").size());
}

// Guards against wrong estimates for a target that makes no calls, or with more
// routes than are fitted.
TEST(call_estimator, HandlesManyRoutesAndNoCalls) {
  for (int i = 0; i < 2000; ++i) {
    const std::string route = "r" + std::to_string(i % 30);
    estimator.OnRunStart(route, clock.Now());
    estimator.OnRunEnd(route, clock.Now() + milliseconds(1));
    estimator.OnRunEnd(route, clock.Now() + milliseconds(2));
    clock.Advance(milliseconds(3));
  }
  LONGS_EQUAL(0, estimator.CalledRoutes("r1").size());
  estimator.OnCall("c", clock.Now());
  clock.Advance(seconds(1));
  estimator.OnCall("c", clock.Now());
  DOUBLES_EQUAL(0, estimator.CallsPerRun("r29", "c"), 0);
}

}  // namespace
}  // namespace skylarkhoist
