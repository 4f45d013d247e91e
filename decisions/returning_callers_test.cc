#include "decisions/returning_callers.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(returning_callers) {
  time_point now = time_point() + std::chrono::hours(1);
  returning_callers returning;
};

// Guards against preferring callers that come back before the time that they
// were told.
TEST(returning_callers, RecognizesThoseThatWaitAsTold) {
  returning.OnRefused(1, now + seconds(1), now);
  CHECK_FALSE(returning.IsReturning(1, now + milliseconds(500)));
  CHECK_FALSE(returning.IsReturning(2, now + seconds(1)));
  CHECK_TRUE(returning.IsReturning(1, now + milliseconds(990)));
  CHECK_TRUE(returning.IsReturning(1, now + seconds(2)));
  CHECK_FALSE(returning.IsReturning(1, now + seconds(4)));
  returning.OnAdmitted(1);
  CHECK_FALSE(returning.IsReturning(1, now + seconds(1)));
}

// Guards against a second refusal that is forgotten with the first.
TEST(returning_callers, TheLastRefusalCounts) {
  returning.OnRefused(1, now + seconds(1), now);
  now += seconds(2);
  returning.OnRefused(1, now + seconds(3), now);
  now += seconds(2);
  returning.OnRefused(2, now + seconds(1), now);
  CHECK_TRUE(returning.IsReturning(1, now + seconds(1)));
}

// Guards against memory that grows with each refusal.
TEST(returning_callers, MemoryIsBounded) {
  for (uint64_t i = 0; i < 100'000; ++i) {
    returning.OnRefused(i, now + seconds(1), now);
    now += std::chrono::microseconds(10);
  }
  CHECK_TRUE(returning.size() <= 10'000);
  now += seconds(10);
  returning.OnRefused(1, now + seconds(1), now);
  CHECK_EQUAL(1, returning.size());
}

}  // namespace
}  // namespace skylarkhoist
