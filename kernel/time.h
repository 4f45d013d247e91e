#ifndef KERNEL_TIME_H_
#define KERNEL_TIME_H_

#include <chrono>

namespace skylarkhoist {

// Monotonic time of the loop. Decisions never read a clock; they get a
// time_point.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

// Converts to whole milliseconds, rounded down. Used at the edges: messages,
// headers, JSON.
constexpr int64_t ToMilliseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

}  // namespace skylarkhoist

#endif  // KERNEL_TIME_H_
