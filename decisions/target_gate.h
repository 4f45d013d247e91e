#ifndef DECISIONS_TARGET_GATE_H_
#define DECISIONS_TARGET_GATE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "decisions/cold_budget.h"
#include "decisions/concurrency_limit.h"
#include "decisions/config_view.h"
#include "decisions/reason.h"
#include "decisions/request_queue.h"
#include "decisions/request_types.h"
#include "kernel/time.h"

namespace skylarkhoist {

// Plug-ins of a gate by name. Unknown names give the defaults.
struct gate_plugins {
  std::string limit = "gradient";
  std::string order = "fair";
  // See queue_options.
  bool admitted_wait = false;
  double new_share = 0;
};

// Decides which calls one target gets and when: a queue in front of a
// concurrency limit. The caller does the I/O:
//
//   if (auto refused = gate.Enqueue(call, now)) { ... }
//   while (auto next = gate.TakeNext(now)) { hand over *next }
//   for (auto& refusal : gate.TakeRefused(now)) { ... }
//   gate.OnFinished(id, gate_result::kSuccess, now);
//
// Invariant: calls handed over and not finished never exceed the limit in force
// when the last of them was taken.
class target_gate {
 public:
  target_gate(const service_config& settings,
              time_point now,
              const gate_plugins& plugins = {});

  // Returns why the call is refused at once, or nothing when it waits.
  std::optional<reason> Enqueue(gate_call call, time_point now);

  // The next call to hand over, or nothing while the limit is reached or the
  // queue is empty. Never returns a call past its deadline.
  std::optional<gate_call> TakeNext(time_point now);

  // Calls that left the queue without being handed over: past their deadline,
  // past the bound on waiting, or shed for others. Each is returned once.
  std::vector<gate_refusal> TakeRefused(time_point now);

  // Reports the end of a call that TakeNext returned. `elsewhere` is the time
  // during which the call waited for child calls that it made; without it, a
  // slow service further down looks like a slow target.
  void OnFinished(const request_id& id,
                  gate_result result,
                  time_point now,
                  duration elsewhere = duration::zero());

  // Takes a waiting call out, for example because its caller has gone. Returns
  // false when it does not wait here.
  bool Remove(const request_id& id);

  // Takes all waiting calls out, because the target leaves.
  std::vector<request_id> RemoveAll();

  // Back to the cold capacity: the target restarted.
  void ResetCold(time_point now);

  // The target is cold until `until`: it gets at most the calls a second of its
  // settings, also of later ones. A time that has passed ends the state.
  void SetCold(time_point until, time_point now) {
    cold_.SetCold(until, settings_.cold_per_second, now);
  }
  bool IsCold(time_point now) const { return cold_.IsCold(now); }

  void UpdateSettings(const service_config& settings);

  // When TakeNext or TakeRefused must be called again although no call ends, if
  // any call waits.
  std::optional<time_point> NextDeadline(time_point now) const;

  // Usual time of a run, with the calls that the target makes for it; zero
  // before the first.
  duration UsualRun() const { return usual_run_; }

  int limit() const { return limit_->Limit(); }
  size_t running() const { return running_.size(); }
  size_t waiting() const { return queue_->size(); }

  // Load in permille of the limit, counting waiting calls; 1000 means full.
  uint32_t LoadPermille() const;

  // The same for the control of admission, where a waiting call counts by the
  // time that the target needs for it: 1000 more mean that what waits takes
  // kDrainTime. A target that is cold is full at the rate that it bears.
  uint32_t PressurePermille(time_point now) const;

  static constexpr duration kDrainTime = std::chrono::milliseconds(250);

 private:
  struct running_call {
    time_point started;
    // Calls in progress at that time, with this one.
    int running = 0;
  };

  // The queue may hold some times the calls that the target runs at once.
  void BoundQueue();

  service_config settings_;
  bool admitted_wait_;
  double new_share_;
  cold_budget cold_;
  duration usual_run_ = duration::zero();
  std::unique_ptr<concurrency_limit> limit_;
  std::unique_ptr<request_queue> queue_;
  std::unordered_map<request_id, running_call, request_id_hash> running_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_TARGET_GATE_H_
