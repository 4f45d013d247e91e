#ifndef KERNEL_TIME_H_
#define KERNEL_TIME_H_

#include <chrono>

namespace skylarkhoist {

// Monotonic time of the loop. Code in decisions/ never reads a clock; callers
// pass a time_point.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

// Converts to whole milliseconds, rounded towards zero, for messages, headers
// and JSON.
constexpr int64_t ToMilliseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

}  // namespace skylarkhoist

#endif  // KERNEL_TIME_H_
