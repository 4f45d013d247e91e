#ifndef TESTING_RUN_UNTIL_H_
#define TESTING_RUN_UNTIL_H_

#include <functional>

#include "kernel/event_loop.h"

namespace skylarkhoist {

// Runs `loop` until `condition` holds or `timeout` has passed, and returns
// whether it held. The condition is not evaluated again after it held.
inline bool RunUntil(event_loop& loop,
                     const std::function<bool()>& condition,
                     duration timeout = std::chrono::seconds(10)) {
  const time_point end = loop.Now() + timeout;
  while (!condition()) {
    if (loop.Now() >= end)
      return false;
    loop.RunAfter(std::chrono::milliseconds(1), [&loop] { loop.Stop(); });
    loop.Run();
  }
  return true;
}

// Runs `loop` for `time`.
inline void RunFor(event_loop& loop, duration time) {
  loop.RunAfter(time, [&loop] { loop.Stop(); });
  loop.Run();
}

}  // namespace skylarkhoist

#endif  // TESTING_RUN_UNTIL_H_
