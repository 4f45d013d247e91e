#ifndef DECISIONS_CHAIN_RETRY_BUDGET_H_
#define DECISIONS_CHAIN_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "decisions/request_types.h"
#include "kernel/time.h"

namespace skylarkhoist {

// What a retry is worth for the request that it belongs to.
struct retry_value {
  priority_class priority = priority_class::kNormal;
  // Calls that the request still has to make to the service, with this one.
  int calls_left = 1;
};

// Limits the retries of calls to a service whose runs make no calls themselves
// to a share of its first attempts, and gives them first to the requests that
// lose most without them.
//
// Load pattern: a service turns away half of its calls at random, and each
// request makes several calls to it, one after the other. There are too few
// retries for all of them. A request with one call left completes with one
// successful retry and has cost the most work so far, so it goes before a
// request at its start, which would need several more. Otherwise the retries
// are spread over calls whose requests fail at a later one.
//
//   budget.OnFirstAttempt(now);
//   if (budget.TakeRetry({priority, calls_left}, now)) { retry }
class chain_retry_budget {
 public:
  // `retry_share`: retries as a share of the first attempts, with those that
  // OnInheritedRepeat counts.
  explicit chain_retry_budget(double retry_share) : retry_share_(retry_share) {}

  void OnFirstAttempt(time_point now);

  // Counts a first attempt of a call whose parent is a repeated run: it is a
  // repeat for the service, which nobody could refuse.
  void OnInheritedRepeat(time_point now);

  // Returns whether a retry is allowed now, and counts it if so.
  bool TakeRetry(const retry_value& value, time_point now);

 private:
  struct time_bucket {
    int64_t second = 0;
    int64_t attempts = 0;
  };

  void Advance(time_point now);
  // First attempts per second, from the busier of two overlapping windows: the
  // bound on retries is relative to the load before the fault as well.
  double AttemptsPerSecond() const;

  double retry_share_;
  std::deque<time_bucket> buckets_;
  // Retries that are available, and how many there may be at most.
  double tokens_ = 0;
  double capacity_ = 0;
  time_point refilled_at_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_CHAIN_RETRY_BUDGET_H_
