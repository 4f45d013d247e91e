#ifndef KERNEL_LOOP_H_
#define KERNEL_LOOP_H_

#include <cstdint>
#include <functional>

#include "kernel/time.h"

namespace skylarkhoist {

// Identifies a pending timer; 0 means "no timer".
using timer_id = uint64_t;

// The event loop of a process, with its clock. A process has one loop; all
// callbacks run on its thread.
//
//   loop.RunAfter(std::chrono::milliseconds(250), [this] { SendHeartbeat(); });
//
// `event_loop` uses real time. The time of `manual_loop` in testing/ changes
// only when a test advances it.
class loop {
 public:
  virtual ~loop() = default;

  virtual time_point Now() const = 0;

  // Runs `callback` once after `delay`, or in the next loop iteration if
  // `delay` is zero or less. The callback never runs before RunAfter returns.
  virtual timer_id RunAfter(duration delay, std::function<void()> callback) = 0;

  // Cancels a pending timer. Does nothing for 0 and for timers that already
  // ran.
  virtual void Cancel(timer_id id) = 0;
};

}  // namespace skylarkhoist

#endif  // KERNEL_LOOP_H_
