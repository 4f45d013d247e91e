#ifndef DECISIONS_RETRY_BUDGET_H_
#define DECISIONS_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "kernel/time.h"

namespace skylarkhoist {

// Limits the retries to one service to a share of its first attempts in the
// last 10 s. Allows none while the service is overloaded.
//
//   budget.OnFirstAttempt(now);
//   if (budget.TakeRetry(now)) { retry }
class retry_budget {
 public:
  explicit retry_budget(double retry_share = 0.1) : retry_share_(retry_share) {}

  void OnFirstAttempt(time_point now);

  // Returns whether a retry is allowed now, and counts it if so.
  bool TakeRetry(time_point now);

  // Sets whether the service as a whole lacks capacity.
  void SetOverloaded(bool overloaded) { overloaded_ = overloaded; }

 private:
  struct time_bucket {
    int64_t second = 0;
    uint64_t attempts = 0;
    uint64_t retries = 0;
  };

  time_bucket& BucketAt(time_point now);

  double retry_share_;
  std::deque<time_bucket> buckets_;
  bool overloaded_ = false;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_RETRY_BUDGET_H_
