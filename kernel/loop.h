#ifndef KERNEL_LOOP_H_
#define KERNEL_LOOP_H_

#include <cstdint>
#include <functional>

#include "kernel/time.h"

namespace skylarkhoist {

// Identifies a pending timer. 0 is never used, so that it can mean "no timer".
using timer_id = uint64_t;

// The single loop of a process, with its clock. All callbacks run on the thread
// of the loop.
//
//   loop.RunAfter(std::chrono::milliseconds(250), [this] { SendHeartbeat(); });
//
// `event_loop` runs on real time; `manual_loop` in testing/ stands still until
// a test advances it.
class loop {
 public:
  virtual ~loop() = default;

  virtual time_point Now() const = 0;

  // Runs `callback` once after `delay`; a delay of zero or less runs it in the
  // next round. The callback never runs before RunAfter returns.
  virtual timer_id RunAfter(duration delay, std::function<void()> callback) = 0;

  // Drops a pending timer. Does nothing for 0 and for timers that ran already.
  virtual void Cancel(timer_id id) = 0;
};

}  // namespace skylarkhoist

#endif  // KERNEL_LOOP_H_
