#include "decisions/call_counter.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

TEST_GROUP(call_counter){};

// Load pattern: the target starts while the service that it calls is full, so
// that few runs get beyond their first call. Guards against called routes that
// stay unknown until that service has capacity again.
TEST(call_counter, ReportsARouteAfterItsFirstCall) {
  call_counter counter;
  CHECK_FALSE(counter.has_calls());
  counter.OnRunStart("browse");
  LONGS_EQUAL(0, counter.CalledRoutes("browse").size());
  counter.OnCall("browse", "slots");
  CHECK_TRUE(counter.has_calls());
  LONGS_EQUAL(1, counter.CalledRoutes("browse").size());
  STRCMP_EQUAL("slots", counter.CalledRoutes("browse")[0].c_str());
  LONGS_EQUAL(0, counter.CalledRoutes("reels").size());
}

// Guards against refusing requests because of a call that their route no longer
// makes.
TEST(call_counter, ForgetsRoutesNoLongerCalled) {
  call_counter counter;
  for (int i = 0; i < 1000; ++i) {
    counter.OnRunStart("browse");
    for (int call = 0; call < 4; ++call)
      counter.OnCall("browse", "slots");
  }
  for (int i = 0; i < 400; ++i) {
    counter.OnRunStart("browse");
    counter.OnCall("browse", "ledger");
  }
  LONGS_EQUAL(1, counter.CalledRoutes("browse").size());
  STRCMP_EQUAL("ledger", counter.CalledRoutes("browse")[0].c_str());
}

// Guards against memory that grows with the number of route names.
TEST(call_counter, BoundsTheNumberOfRoutes) {
  call_counter counter;
  for (int i = 0; i < 10'000; ++i) {
    counter.OnRunStart("r" + std::to_string(i));
    counter.OnCall("r" + std::to_string(i), "slots");
  }
  LONGS_EQUAL(0, counter.CalledRoutes("r0").size());
  LONGS_EQUAL(1, counter.CalledRoutes("r9999").size());
}

}  // namespace
}  // namespace skylarkhoist
