#ifndef KERNEL_WALL_CLOCK_H_
#define KERNEL_WALL_CLOCK_H_

#include <chrono>

namespace skylarkhoist {

// Wall-clock time, which may jump. Used only for log lines and for comparison
// with the creation time in UUID version 7 keys.
using wall_time = std::chrono::system_clock::time_point;

class wall_clock {
 public:
  virtual ~wall_clock() = default;
  virtual wall_time Now() const = 0;
};

class system_wall_clock : public wall_clock {
 public:
  wall_time Now() const override { return std::chrono::system_clock::now(); }
};

}  // namespace skylarkhoist

#endif  // KERNEL_WALL_CLOCK_H_
