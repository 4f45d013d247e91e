#ifndef DECISIONS_REQUEST_QUEUE_H_
#define DECISIONS_REQUEST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "decisions/reason.h"
#include "decisions/request_types.h"
#include "kernel/plugin_registry.h"
#include "kernel/time.h"

namespace skylarkhoist {

// A call that waits for its target.
struct queued_call {
  request_id id;
  priority_class priority = priority_class::kNormal;
  // Whether the call belongs to a chain that was already admitted. Admitted
  // calls go before new ones of the same priority.
  bool admitted = false;
  std::string customer;
  double weight = 1.0;
  time_point deadline;
  // Until when an admitted call waits if queue_options::exempt_admitted is set.
  time_point wait_until = time_point::max();
  // Calls of one kind, for example of one route, do about the same work.
  uint64_t kind = 0;
};

struct refused_call {
  request_id id;
  reason why = reason::kQueueTimeout;
};

struct queue_options {
  // Maximum time that a call waits.
  duration max_wait = std::chrono::milliseconds(500);
  // Maximum number of waiting calls.
  size_t max_length = 1000;
  // Exempts admitted calls from `max_wait` and `max_length`. They wait until
  // their own `wait_until`, because refusing them also wastes the work of their
  // parents.
  bool exempt_admitted = false;
  // With `exempt_admitted`, the minimum share of hand-overs that new calls get
  // while admitted ones wait.
  double min_new_share = 0;
};

// Holds and orders the calls that wait for one target. Plug-ins register under
// a name.
class request_queue {
 public:
  virtual ~request_queue() = default;

  // Returns why the call is refused, or nothing when it is queued. A waiting
  // call of lower priority may be refused to make room for it.
  virtual std::optional<reason> Push(queued_call call, time_point now) = 0;

  // Returns the next call to hand over. Calls that would miss their deadline
  // with `expected_run_time` are refused.
  virtual std::optional<queued_call> Pop(time_point now,
                                         duration expected_run_time) = 0;

  // Returns the calls that left the queue without being handed over, each once.
  virtual std::vector<refused_call> TakeRefused(time_point now) = 0;

  virtual bool Remove(const request_id& id) = 0;
  virtual std::vector<request_id> RemoveAll() = 0;
  virtual size_t size() const = 0;

  // Latest time at which TakeRefused must be called, if any call waits.
  virtual std::optional<time_point> NextExpiry() const = 0;

  virtual void Update(const queue_options& options) = 0;
};

using queue_registry = plugin_registry<request_queue, const queue_options&>;

}  // namespace skylarkhoist

#endif  // DECISIONS_REQUEST_QUEUE_H_
