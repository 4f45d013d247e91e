#include "decisions/call_counter.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

TEST_GROUP(call_counter){};

// Load pattern: the target starts while the service that it calls is full, so
// that few runs get beyond their first call. Guards against a chain that is not
// known until there is room again.
TEST(call_counter, KnowsACallFromTheFirstOneOn) {
  call_counter counter;
  CHECK_FALSE(counter.has_calls());
  counter.OnRun("browse");
  LONGS_EQUAL(0, counter.CallsOf("browse").size());
  counter.OnCall("browse", "slots");
  CHECK_TRUE(counter.has_calls());
  LONGS_EQUAL(1, counter.CallsOf("browse").size());
  STRCMP_EQUAL("slots", counter.CallsOf("browse")[0].c_str());
  LONGS_EQUAL(0, counter.CallsOf("reels").size());
}

// Guards against a call that a route no longer makes and is still refused for.
TEST(call_counter, ForgetsCallsThatAreNotMadeAnyMore) {
  call_counter counter;
  for (int i = 0; i < 1000; ++i) {
    counter.OnRun("browse");
    for (int call = 0; call < 4; ++call)
      counter.OnCall("browse", "slots");
  }
  for (int i = 0; i < 400; ++i) {
    counter.OnRun("browse");
    counter.OnCall("browse", "ledger");
  }
  LONGS_EQUAL(1, counter.CallsOf("browse").size());
  STRCMP_EQUAL("ledger", counter.CallsOf("browse")[0].c_str());
}

// Guards against memory that grows with the names of routes.
TEST(call_counter, IsBounded) {
  call_counter counter;
  for (int i = 0; i < 10'000; ++i) {
    counter.OnRun("r" + std::to_string(i));
    counter.OnCall("r" + std::to_string(i), "slots");
  }
  LONGS_EQUAL(0, counter.CallsOf("r0").size());
  LONGS_EQUAL(1, counter.CallsOf("r9999").size());
}

}  // namespace
}  // namespace skylarkhoist
