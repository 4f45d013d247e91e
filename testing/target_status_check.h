#ifndef TESTING_TARGET_STATUS_CHECK_H_
#define TESTING_TARGET_STATUS_CHECK_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "kernel/time.h"

namespace skylarkhoist {

// Checks what nodes send to one worker that names a limit or its departure in
// its responses. A node is bound by what it has passed on to callers, until it
// restarts or is paused.
class target_status_check {
 public:
  // The worker names a limit, or its departure, from now on.
  void BeginLimit(double per_second, time_point now);
  void BeginDeparture();
  // The worker names neither, or is a new one.
  void Clear();

  // The node passed a response on that names the limit or the departure.
  void OnLimitPassedOn(size_t node, time_point now);
  void OnDeparturePassedOn(size_t node, time_point now);

  // The node restarted or was paused, so nothing binds it.
  void OnNodeExcused(size_t node);

  // A request that its caller sent to the node at `sent_at` runs at the worker.
  // Returns the violation, if it is one.
  std::optional<std::string> OnRun(size_t node,
                                   time_point sent_at,
                                   time_point now);

 private:
  std::optional<double> limit_;
  time_point limit_since_;
  bool leaving_ = false;
  // When each node first passed on a response that names it.
  std::map<size_t, time_point> limit_passed_on_;
  std::map<size_t, time_point> departure_passed_on_;
  // Times of the runs that count.
  std::deque<time_point> runs_;
};

}  // namespace skylarkhoist

#endif  // TESTING_TARGET_STATUS_CHECK_H_
