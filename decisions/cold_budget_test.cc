#include "decisions/cold_budget.h"

#include <CppUTest/TestHarness.h>

#include <deque>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kPerSecond = 25;

TEST_GROUP(cold_budget) {
  cold_budget budget;
  time_point now{std::chrono::hours(1)};

  // Offers a call each millisecond; returns the most taken in any one second.
  int MostInASecond(duration length) {
    std::deque<time_point> taken;
    int most = 0;
    for (const time_point end = now + length; now < end;
         now += milliseconds(1)) {
      while (!taken.empty() && taken.front() <= now - seconds(1))
        taken.pop_front();
      if (budget.Take(now))
        taken.push_back(now);
      most = std::max(most, static_cast<int>(taken.size()));
    }
    return most;
  }
};

// Load pattern: far more calls than a cold target bears. Guards against more
// than its rate in any second, and against a bound that leaves it idle.
TEST(cold_budget, KeepsToTheRateInEverySecond) {
  budget.SetCold(now + seconds(5), kPerSecond, now);
  const int most = MostInASecond(seconds(5));
  CHECK_TRUE(most <= kPerSecond * 1.2);
  CHECK_TRUE(most >= kPerSecond * 0.9);
  CHECK_TRUE(budget.HasRoom(now));
  CHECK_FALSE(budget.NextAt(now).has_value());
}

// Guards against a target that counts as warm because its rate became known
// after its state.
TEST(cold_budget, ARateThatComesLaterHolds) {
  budget.SetCold(now + seconds(5), 0, now);
  CHECK_FALSE(budget.IsCold(now));
  budget.SetRate(kPerSecond);
  CHECK_TRUE(budget.IsCold(now));
  CHECK_TRUE(MostInASecond(seconds(3)) <= kPerSecond * 1.2);
}

// Guards against repeated announcements of the cold state that renew its
// budget, and against calls that wait for longer than they must.
TEST(cold_budget, RepeatedAnnouncementsDoNotAddCalls) {
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.SetCold(now + seconds(5), kPerSecond, now);
    taken += budget.Take(now) ? 1 : 0;
    now += milliseconds(1);
  }
  CHECK_TRUE(taken <= kPerSecond * 1.2);
  while (budget.Take(now)) {
  }
  const auto next = budget.NextAt(now);
  CHECK_TRUE(next.has_value());
  CHECK_TRUE(budget.HasRoom(*next));
}

}  // namespace
}  // namespace skylarkhoist
