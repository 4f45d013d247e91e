#ifndef DECISIONS_TARGET_SCHEDULER_H_
#define DECISIONS_TARGET_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decisions/call_rate_limiter.h"
#include "decisions/concurrency_limit.h"
#include "decisions/config_view.h"
#include "decisions/reason.h"
#include "decisions/request_queue.h"
#include "decisions/request_types.h"
#include "kernel/time.h"

namespace skylarkhoist {

// Names of the plug-ins. Unknown names select the defaults.
struct scheduler_plugins {
  std::string limit = "gradient";
  std::string order = "fair";
  // See queue_options.
  bool exempt_admitted = false;
  double min_new_share = 0;
};

// Decides which calls one target gets and when: a queue in front of a
// concurrency limit. The caller does the I/O:
//
//   if (auto refused = scheduler.Enqueue(call, now)) { ... }
//   while (auto next = scheduler.TakeNext(now)) { hand over *next }
//   for (auto& refusal : scheduler.TakeRefused(now)) { ... }
//   scheduler.OnFinished(id, call_outcome::kSuccess, now);
//
// Invariant: the number of calls handed over and not finished never exceeds the
// limit that was in force when the last of them was taken.
class target_scheduler {
 public:
  target_scheduler(const service_config& settings,
                   time_point now,
                   const scheduler_plugins& plugins = {});

  // Returns why the call is refused, or nothing when it is queued.
  std::optional<reason> Enqueue(queued_call call, time_point now);

  // Returns the next call to hand over, or nothing while the limit or a rate is
  // reached or the queue is empty. Never returns a call past its deadline.
  std::optional<queued_call> TakeNext(time_point now);

  // Returns the calls that left the queue without being handed over: past their
  // deadline, past the maximum wait, or refused to make room for others. Each
  // is returned once.
  std::vector<refused_call> TakeRefused(time_point now);

  // Records the end of a call that TakeNext returned. `child_call_wait` is the
  // time that the call spent waiting for its child calls. It is excluded from
  // the latency, because otherwise a slow downstream service would look like a
  // slow target.
  void OnFinished(const request_id& id,
                  call_outcome result,
                  time_point now,
                  duration child_call_wait = duration::zero());

  // The call that TakeNext returned waits for its child calls from now on, or
  // no longer does.
  void OnChildCalls(const request_id& id, bool waiting, time_point now) {
    limit_->OnChildCalls(id, waiting, now);
  }

  // Child calls cannot be assigned to the calls that make them, so that times
  // of calls say nothing about the concurrency of the target for a while.
  void OnUnknownChildCall(time_point now);

  // Removes a waiting call, for example because its caller disconnected.
  // Returns false when it does not wait here.
  bool Remove(const request_id& id);

  // Removes all waiting calls, for example because the target leaves.
  std::vector<request_id> RemoveAll();

  // Returns to the cold capacity because the target restarted.
  void ResetCold(time_point now);

  // The connection of a call broke.
  void OnConnectionLost(time_point now);

  // The target is cold until `until`, and gets calls at most at the cold rate
  // of the settings, including settings that change meanwhile. A time in the
  // past ends the cold state.
  void SetCold(time_point until, time_point now) {
    may_be_cold_ = false;
    cold_limiter_.SetLimit(settings_.cold_per_second, until, now);
  }
  // The target may be cold: it gets calls at most at the cold rate until the
  // next call of SetCold. Its load is still that of a warm target, since this
  // usually takes only some milliseconds.
  void LimitToColdRate(time_point now) {
    may_be_cold_ = true;
    cold_limiter_.SetLimit(settings_.cold_per_second, time_point::max(), now);
  }
  bool IsCold(time_point now) const {
    return !may_be_cold_ && cold_limiter_.IsLimited(now);
  }

  // Sets the calls per second that the target says it accepts; nothing when it
  // names no limit.
  void SetNamedLimit(std::optional<double> per_second, time_point now);

  void UpdateSettings(const service_config& settings);

  // Latest time at which TakeNext or TakeRefused must be called again when no
  // call ends before, if any call waits.
  std::optional<time_point> NextWakeup(time_point now) const;

  // Average time of a run, including the calls that the target makes during it;
  // zero before the first run ends.
  duration AverageRunTime() const { return average_run_time_; }

  // Expected time of the target's own work for an average call; zero when not
  // learned.
  duration WorkTime(time_point now) const { return limit_->WorkTime(now); }

  // Expected time of a new call: its wait for a slot and its run, with the
  // usual waits for child calls; zero when not learned.
  duration ExpectedTime(time_point now) const;

  // Calls per second that the target completes when all slots of the limit
  // work; 0 when not learned.
  double Speed(time_point now) const;

  // Why the limit has its value, for logs.
  std::string_view LimitState() const { return limit_->State(); }

  int limit() const { return limit_->Limit(); }
  size_t running() const { return running_.size(); }
  size_t waiting() const { return queue_->size(); }

  // Running and waiting calls in permille of the limit; 1000 means that all
  // slots are busy, or that the limit which the target names is used up.
  uint32_t LoadPermille(time_point now) const;

  // Load in permille for admission control. Unlike in LoadPermille, a waiting
  // call counts by the time that the target needs for it: the queue adds 1000
  // when serving it takes kQueueDrainTime. A target with a limited rate of
  // calls counts as full when this rate is used up.
  uint32_t PressurePermille(time_point now) const;

  static constexpr duration kQueueDrainTime = std::chrono::milliseconds(250);

 private:
  struct running_call {
    time_point started;
    // Calls in progress at that time, including this one.
    int running = 0;
  };

  // Returns why a call was refused in terms of the limit that the target names,
  // if that made the queue short.
  reason RefusalReason(reason why) const;
  // Share of the slots in use, with waiting calls counted by the time that they
  // need.
  double SlotLoad() const;
  // Adapts the maximum length of the queue to the current limits.
  void UpdateQueueOptions();

  service_config settings_;
  bool exempt_admitted_;
  double min_new_share_;
  call_rate_limiter cold_limiter_;
  bool may_be_cold_ = false;
  call_rate_limiter named_limiter_;
  // Calls per second; nothing when the target names no limit.
  std::optional<double> named_limit_;
  duration average_run_time_ = duration::zero();
  std::unique_ptr<concurrency_limit> limit_;
  std::unique_ptr<request_queue> queue_;
  std::unordered_map<request_id, running_call, request_id_hash> running_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_TARGET_SCHEDULER_H_
