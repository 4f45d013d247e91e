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

// Plays runs of two routes at one target: "index" makes five calls one after
// the other, "pull" makes none.
TEST_GROUP(call_estimator) {
  manual_loop clock;
  mt_random random{5};
  call_estimator estimator;

  duration Draw(duration mean) {
    return duration(static_cast<int64_t>(static_cast<double>(mean.count()) *
                                         (0.5 + random.Fraction())));
  }

  void StartRun(const std::string& route, int calls, duration step) {
    estimator.OnRunStart(route, clock.Now());
    Continue(route, calls, step);
  }

  void Continue(const std::string& route, int calls, duration step) {
    clock.RunAfter(Draw(step), [this, route, calls, step] {
      if (calls == 0) {
        estimator.OnRunEnd(route, clock.Now());
        return;
      }
      estimator.OnCall("rate", clock.Now());
      Continue(route, calls - 1, step);
    });
  }

  void Arrive(const std::string& route, int calls, duration step,
              duration gap) {
    clock.RunAfter(Draw(gap), [this, route, calls, step, gap] {
      StartRun(route, calls, step);
      Arrive(route, calls, step, gap);
    });
  }
};

// Load pattern: the calm load of a service whose two kinds of requests differ
// in what they call. Guards against a kind that is refused for a service that
// it does not need.
TEST(call_estimator, TellsRoutesThatCallFromThoseThatDoNot) {
  Arrive("index", 5, milliseconds(25), milliseconds(12));
  Arrive("pull", 0, milliseconds(220), milliseconds(47));
  clock.Advance(seconds(15));
  const double index = estimator.CallsPerRun("index", "rate");
  const double pull = estimator.CallsPerRun("pull", "rate");
  CHECK_TRUE_TEXT(index > 3.5 && index < 6.5, std::to_string(index).c_str());
  CHECK_TRUE_TEXT(pull < 1.2, std::to_string(pull).c_str());
  LONGS_EQUAL(1, estimator.CallsOf("index").size());
  LONGS_EQUAL(0, estimator.CallsOf("pull").size());
  LONGS_EQUAL(0, estimator.CallsOf("unknown").size());
}

// Load pattern: the calls' service is full, so that their number is what it
// bears. Guards against routes that seem to call because of that.
TEST(call_estimator, IntervalsOfAFullServiceTeachNothing) {
  Arrive("index", 5, milliseconds(25), milliseconds(12));
  Arrive("pull", 0, milliseconds(220), milliseconds(47));
  clock.Advance(seconds(15));
  const double before = estimator.CallsPerRun("pull", "rate");
  for (int i = 0; i < 2000; ++i) {
    estimator.SkipInterval();
    estimator.OnRunStart("pull", clock.Now());
    estimator.OnCall("rate", clock.Now());
    clock.Advance(milliseconds(1));
  }
  CHECK_TRUE(estimator.CallsPerRun("pull", "rate") <= before);
  LONGS_EQUAL(0, estimator.CallsOf("pull").size());
}

// Guards against a target without calls, or with more routes than are fitted,
// that breaks the estimate.
TEST(call_estimator, ManyRoutesAndNoCalls) {
  for (int i = 0; i < 2000; ++i) {
    const std::string route = "r" + std::to_string(i % 30);
    estimator.OnRunStart(route, clock.Now());
    estimator.OnRunEnd(route, clock.Now() + milliseconds(1));
    estimator.OnRunEnd(route, clock.Now() + milliseconds(2));
    clock.Advance(milliseconds(3));
  }
  LONGS_EQUAL(0, estimator.CallsOf("r1").size());
  estimator.OnCall("c", clock.Now());
  clock.Advance(seconds(1));
  estimator.OnCall("c", clock.Now());
  DOUBLES_EQUAL(0, estimator.CallsPerRun("r29", "c"), 0);
}

}  // namespace
}  // namespace skylarkhoist
