#include "decisions/cold_start_limiter.h"

#include <CppUTest/TestHarness.h>

#include <deque>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kCallsPerSecond = 25;

TEST_GROUP(cold_start_limiter) {
  cold_start_limiter limiter;
  time_point now{std::chrono::hours(1)};

  // Offers one call per millisecond. Returns the largest number accepted in any
  // second.
  int MaxCallsInOneSecond(duration length) {
    std::deque<time_point> taken;
    int max_calls = 0;
    for (const time_point end = now + length; now < end;
         now += milliseconds(1)) {
      while (!taken.empty() && taken.front() <= now - seconds(1))
        taken.pop_front();
      if (limiter.TryAcquire(now))
        taken.push_back(now);
      max_calls = std::max(max_calls, static_cast<int>(taken.size()));
    }
    return max_calls;
  }
};

// Load pattern: far more calls than a cold target can take. Guards against
// exceeding the rate in any second, and against leaving the target idle.
TEST(cold_start_limiter, KeepsTheRateInEverySecond) {
  limiter.SetCold(now + seconds(5), kCallsPerSecond, now);
  const int max_calls = MaxCallsInOneSecond(seconds(5));
  CHECK_TRUE(max_calls <= kCallsPerSecond * 1.2);
  CHECK_TRUE(max_calls >= kCallsPerSecond * 0.9);
  CHECK_TRUE(limiter.CanAcquire(now));
  CHECK_FALSE(limiter.NextAvailableAt(now).has_value());
}

// Guards against treating a target as warm because its rate was set after its
// cold state.
TEST(cold_start_limiter, AppliesARateSetAfterTheColdState) {
  limiter.SetCold(now + seconds(5), 0, now);
  CHECK_FALSE(limiter.IsCold(now));
  limiter.SetRate(kCallsPerSecond);
  CHECK_TRUE(limiter.IsCold(now));
  CHECK_TRUE(MaxCallsInOneSecond(seconds(3)) <= kCallsPerSecond * 1.2);
}

// Guards against repeated announcements of the cold state that refill the
// tokens, and against calls that wait longer than necessary.
TEST(cold_start_limiter, RepeatedAnnouncementsDoNotAddCalls) {
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    limiter.SetCold(now + seconds(5), kCallsPerSecond, now);
    taken += limiter.TryAcquire(now) ? 1 : 0;
    now += milliseconds(1);
  }
  CHECK_TRUE(taken <= kCallsPerSecond * 1.2);
  while (limiter.TryAcquire(now)) {
  }
  const auto next = limiter.NextAvailableAt(now);
  CHECK_TRUE(next.has_value());
  CHECK_TRUE(limiter.CanAcquire(*next));
}

}  // namespace
}  // namespace skylarkhoist
