#ifndef DECISIONS_TARGET_GATE_H_
#define DECISIONS_TARGET_GATE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "decisions/config_view.h"
#include "decisions/reason.h"
#include "decisions/request_types.h"
#include "kernel/time.h"

namespace skylarkhoist {

// A call that waits for its target.
struct gate_call {
  request_id id;
  priority_class rank = priority_class::kNormal;
  // Part of a chain that was admitted already; goes before new calls of its
  // class.
  bool admitted = false;
  std::string customer;
  double weight = 1.0;
  time_point deadline;
};

enum class gate_result {
  kSuccess,
  // The target refused for load, before it did any work.
  kShed,
  // Error, timeout or broken connection.
  kError,
  // The caller gave up; says nothing about the target.
  kCancelled,
};

struct gate_refusal {
  request_id id;
  reason why = reason::kQueueTimeout;
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
  target_gate(const service_config& settings, time_point now);

  // Returns why the call is refused at once, or nothing when it waits.
  std::optional<reason> Enqueue(gate_call call, time_point now);

  // The next call to hand over, or nothing while the limit is reached or the
  // queue is empty. Never returns a call past its deadline.
  std::optional<gate_call> TakeNext(time_point now);

  // Calls that left the queue without being handed over: past their deadline,
  // past the bound on waiting, or shed for others. Each is returned once.
  std::vector<gate_refusal> TakeRefused(time_point now);

  // Reports the end of a call that TakeNext returned.
  void OnFinished(const request_id& id, gate_result result, time_point now);

  // Takes a waiting call out, for example because its caller has gone. Returns
  // false when it does not wait here.
  bool Remove(const request_id& id);

  // Takes all waiting calls out, because the target leaves.
  std::vector<request_id> RemoveAll();

  // Back to the cold capacity: the target restarted.
  void ResetCold(time_point now);

  void UpdateSettings(const service_config& settings);

  // When the earliest waiting call must be refused, if any waits.
  std::optional<time_point> NextDeadline() const;

  int limit() const { return limit_; }
  size_t running() const { return running_.size(); }
  size_t waiting() const { return queue_.size(); }

  // Load in permille of the limit, counting waiting calls; 1000 means full.
  uint32_t LoadPermille() const;

 private:
  struct waiting_call {
    gate_call call;
    time_point since;
  };

  service_config settings_;
  int limit_;
  std::deque<waiting_call> queue_;
  std::vector<std::pair<request_id, time_point>> running_;
  std::vector<gate_refusal> refused_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_TARGET_GATE_H_
