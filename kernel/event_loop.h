#ifndef KERNEL_EVENT_LOOP_H_
#define KERNEL_EVENT_LOOP_H_

#include <memory>
#include <unordered_map>

#include "kernel/loop.h"
#include "kernel/process_clock.h"

struct event_base;
struct event;

namespace skylarkhoist {

// The loop of a running process, based on libevent. Makes the process ignore
// SIGPIPE. All servers and clients of the process share its `base()`.
//
// Its time includes the time for which the machine was suspended, so that
// leases and deadlines do not outlive it. The timers of libevent do not, so the
// next timer that runs after a suspension sets the others again.
class event_loop : public loop {
 public:
  explicit event_loop(const process_clock& clock = SystemClock());
  ~event_loop() override;
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  time_point Now() const override;
  timer_id RunAfter(duration delay, std::function<void()> callback) override;
  void Cancel(timer_id id) override;

  // Runs until Stop is called.
  void Run();
  void Stop();

  // Calls `callback` on the loop each time the process receives
  // `signal_number`. Replaces an earlier callback for the same signal.
  void OnSignal(int signal_number, std::function<void()> callback);

  event_base* base() { return base_; }

 private:
  struct timer;
  struct signal_handler;

  static void SetTimer(const timer& armed, duration delay);
  duration SuspendedTime() const {
    return clock_.Now() - clock_.NowWithoutSuspension();
  }
  void CheckForSuspension();

  const process_clock& clock_;
  duration suspended_time_;
  event_base* base_;
  timer_id next_id_ = 1;
  std::unordered_map<timer_id, std::unique_ptr<timer>> timers_;
  std::unordered_map<int, std::unique_ptr<signal_handler>> signal_handlers_;
};

}  // namespace skylarkhoist

#endif  // KERNEL_EVENT_LOOP_H_
