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

}  // namespace
}  // namespace skylarkhoist
