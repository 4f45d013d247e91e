#include <CppUTest/TestHarness.h>

#include <vector>

#include "kernel/event_loop.h"
#include "testing/manual_loop.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(loop){};

// Guards against timers that run out of order or after their cancellation.
TEST(loop, ManualLoopRunsTimersInOrder) {
  manual_loop clock;
  std::vector<int> ran;
  clock.RunAfter(milliseconds(20), [&] { ran.push_back(2); });
  clock.RunAfter(milliseconds(10), [&] { ran.push_back(1); });
  const timer_id cancelled =
      clock.RunAfter(milliseconds(15), [&] { ran.push_back(9); });
  clock.Cancel(cancelled);
  clock.Advance(milliseconds(30));
  CHECK_TRUE((ran == std::vector<int>{1, 2}));
}

// Guards against use-after-free when a callback cancels another timer that is
// due in the same loop iteration.
TEST(loop, EventLoopCallbackMayCancelAnotherTimer) {
  event_loop real;
  int ran = 0;
  timer_id second = 0;
  real.RunAfter(milliseconds(1), [&] {
    ++ran;
    real.Cancel(second);
    real.RunAfter(milliseconds(5), [&] { real.Stop(); });
  });
  second = real.RunAfter(milliseconds(2), [&] { ran += 10; });
  real.Run();
  CHECK_EQUAL(1, ran);
}

// A clock whose machine can be suspended.
class suspendable_clock : public process_clock {
 public:
  void Suspend(duration time) { suspended_ += time; }
  time_point Now() const override {
    return SystemClock().NowWithoutSuspension() + suspended_;
  }
  time_point NowWithoutSuspension() const override {
    return SystemClock().NowWithoutSuspension();
  }

 private:
  duration suspended_ = duration::zero();
};

// Guards against leases and deadlines that outlive the time for which the
// machine was suspended: timers of the operating system do not count it.
TEST(loop, ASuspensionOfTheMachineCountsAsTime) {
  suspendable_clock clock;
  event_loop real(clock);
  const time_point start = real.Now();
  std::vector<int> ran;
  real.RunAfter(std::chrono::hours(1), [&] { ran.push_back(1); });
  real.RunAfter(std::chrono::hours(3), [&] { ran.push_back(9); });
  clock.Suspend(std::chrono::hours(2));
  CHECK_TRUE(real.Now() - start >= std::chrono::hours(2));
  real.RunAfter(milliseconds(1), [&] { ran.push_back(0); });
  real.RunAfter(milliseconds(100), [&] { real.Stop(); });
  real.Run();
  CHECK_TRUE((ran == std::vector<int>{0, 1}));
}

}  // namespace
}  // namespace skylarkhoist
