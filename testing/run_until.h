#ifndef TESTING_RUN_UNTIL_H_
#define TESTING_RUN_UNTIL_H_

#include <functional>

#include "kernel/event_loop.h"

namespace skylarkhoist {

// Runs `loop` until `condition` holds or `limit` has passed. Returns whether
// the condition held; it is not asked again after that.
inline bool RunUntil(event_loop& loop,
                     const std::function<bool()>& condition,
                     duration limit = std::chrono::seconds(10)) {
  const time_point end = loop.Now() + limit;
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
