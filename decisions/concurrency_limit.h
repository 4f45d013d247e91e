#ifndef DECISIONS_CONCURRENCY_LIMIT_H_
#define DECISIONS_CONCURRENCY_LIMIT_H_

#include <cstdint>
#include <string_view>

#include "decisions/request_types.h"
#include "kernel/plugin_registry.h"
#include "kernel/time.h"

namespace skylarkhoist {

enum class call_outcome {
  kSuccess,
  // The target refused the call because of its load, before doing any work.
  kShed,
  // Error, timeout or broken connection.
  kError,
  // The caller gave up, which says nothing about the target.
  kCancelled,
};

struct limit_options {
  // Concurrent calls that a target can take right after its start.
  int cold_capacity = 4;
  // Upper bound of an adaptive limit, and the value of a static one.
  int max_limit = 1000;
};

// One finished call.
struct limit_sample {
  request_id id;
  call_outcome result = call_outcome::kSuccess;
  time_point started;
  // Time that the target itself took, excluding waits for its child calls.
  duration latency = duration::zero();
  // Calls in progress when this one was handed over, including itself.
  int running = 1;
};

// Limits the number of calls that a target has in progress. Plug-ins register
// under a name.
class concurrency_limit {
 public:
  virtual ~concurrency_limit() = default;

  // At least 1.
  virtual int Limit() const = 0;
  virtual void OnFinished(const limit_sample& sample, time_point now) = 0;
  // Returns to the cold capacity because the target restarted.
  virtual void ResetCold(time_point now) = 0;
  // The connection of a call broke, which may mean a restart.
  virtual void OnConnectionLost(time_point now) { ResetCold(now); }
  virtual void Update(const limit_options& options) = 0;
  // Current average latency of a call; zero when unknown.
  virtual duration Latency() const = 0;

  // The call was handed over; `running` includes it. Calls of one `kind` do
  // about the same work.
  virtual void OnStarted(const request_id& /*id*/,
                         uint64_t /*kind*/,
                         int /*running*/,
                         time_point /*now*/) {}
  // From now on, the call waits for child calls, or no longer does.
  virtual void OnChildCalls(const request_id& /*id*/,
                            bool /*waiting*/,
                            time_point /*now*/) {}
  // Applies changes of the limit that are due. Called before each hand-over.
  virtual void Advance(time_point /*now*/) {}
  // Keeps the limit at `max_limit` until `until`, because latencies may include
  // waits for child calls of unknown runs.
  virtual void HoldAtMaximum(time_point /*until*/, time_point /*now*/) {}
  // Expected time of the target's own work for an average call, from the calls
  // that ended and those in progress; zero when not learned.
  virtual duration WorkTime(time_point /*now*/) const {
    return duration::zero();
  }
  // The same with the usual wait of a call for its child calls.
  virtual duration RunTime(time_point /*now*/) const {
    return duration::zero();
  }
  // Why the limit has its value, for logs.
  virtual std::string_view State() const { return "fixed"; }
};

using limit_registry = plugin_registry<concurrency_limit, const limit_options&>;

}  // namespace skylarkhoist

#endif  // DECISIONS_CONCURRENCY_LIMIT_H_
