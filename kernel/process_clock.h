#ifndef KERNEL_PROCESS_CLOCK_H_
#define KERNEL_PROCESS_CLOCK_H_

#include "kernel/time.h"

namespace skylarkhoist {

// The two monotonic clocks of a machine. They differ by the time for which the
// machine was suspended. The timers of the operating system follow the second.
class process_clock {
 public:
  virtual ~process_clock() = default;

  virtual time_point Now() const = 0;
  virtual time_point NowWithoutSuspension() const = 0;
};

// Returns the clock of this machine.
const process_clock& SystemClock();

}  // namespace skylarkhoist

#endif  // KERNEL_PROCESS_CLOCK_H_
