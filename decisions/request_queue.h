#ifndef DECISIONS_REQUEST_QUEUE_H_
#define DECISIONS_REQUEST_QUEUE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "decisions/reason.h"
#include "decisions/request_types.h"
#include "kernel/registry.h"
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
  // Until when an admitted call waits; see queue_options.
  time_point wait_until = time_point::max();
};

struct gate_refusal {
  request_id id;
  reason why = reason::kQueueTimeout;
};

struct queue_options {
  // Longest wait.
  duration bound = std::chrono::milliseconds(500);
  // Most waiting calls.
  size_t max_length = 1000;
  // Admitted calls wait until their own time, beyond `bound` and `max_length`:
  // the work of their parents is lost with them.
  bool admitted_wait = false;
  // With `admitted_wait`, the least share of hand-overs that new calls get
  // while admitted ones wait.
  double new_share = 0;
};

// The waiting calls of one target and their order. Plug-ins register under a
// name.
class request_queue {
 public:
  virtual ~request_queue() = default;

  // Returns why the call is refused, or nothing when it waits. A call of less
  // importance may leave the queue for it.
  virtual std::optional<reason> Push(gate_call call, time_point now) = 0;

  // The call to hand over next. Calls that cannot end within their deadline
  // when they take `needed` leave the queue.
  virtual std::optional<gate_call> Pop(time_point now, duration needed) = 0;

  // Calls that left the queue without being handed over, each once.
  virtual std::vector<gate_refusal> TakeRefused(time_point now) = 0;

  virtual bool Remove(const request_id& id) = 0;
  virtual std::vector<request_id> RemoveAll() = 0;
  virtual size_t size() const = 0;

  // When TakeRefused must be called at the latest, if any call waits.
  virtual std::optional<time_point> NextDeadline() const = 0;

  virtual void Update(const queue_options& options) = 0;
};

using queue_registry = registry<request_queue, const queue_options&>;

}  // namespace skylarkhoist

#endif  // DECISIONS_REQUEST_QUEUE_H_
