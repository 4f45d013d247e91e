#ifndef TESTING_MANUAL_LOOP_H_
#define TESTING_MANUAL_LOOP_H_

#include <map>
#include <utility>

#include "kernel/loop.h"

namespace skylarkhoist {

// A loop whose clock moves only when a test advances it. Timers that are due at
// the same time run in the order in which they were set.
class manual_loop : public loop {
 public:
  time_point Now() const override { return now_; }
  timer_id RunAfter(duration delay, std::function<void()> callback) override;
  void Cancel(timer_id id) override;

  // Moves the clock forward by `step` and runs each timer that falls due, with
  // the clock at its due time.
  void Advance(duration step);

  // Moves the clock to the next timer and runs that. Returns false when no
  // timer is pending or the next one is due after `limit`.
  bool RunNext(time_point limit = time_point::max());

 private:
  using timer_key = std::pair<time_point, timer_id>;

  // Starts above zero, so that subtracting a few seconds gives no negative
  // time.
  time_point now_{std::chrono::hours(1)};
  timer_id next_id_ = 1;
  std::map<timer_key, std::function<void()>> timers_;
  std::map<timer_id, time_point> due_times_;
};

}  // namespace skylarkhoist

#endif  // TESTING_MANUAL_LOOP_H_
