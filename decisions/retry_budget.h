#ifndef DECISIONS_RETRY_BUDGET_H_
#define DECISIONS_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "kernel/time.h"

namespace skylarkhoist {

// Keeps the retries of one service to a share of its first attempts over the
// last 10 s, and to none while the service is overloaded.
//
//   budget.OnFirstAttempt(now);
//   if (budget.TakeRetry(now)) { retry }
class retry_budget {
 public:
  explicit retry_budget(double share = 0.1) : share_(share) {}

  void OnFirstAttempt(time_point now);

  // Returns whether a retry may be made now, and counts it.
  bool TakeRetry(time_point now);

  // The service as a whole is short of capacity, or no longer is.
  void SetOverloaded(bool overloaded) { overloaded_ = overloaded; }

 private:
  struct slot {
    int64_t second = 0;
    uint64_t attempts = 0;
    uint64_t retries = 0;
  };

  slot& SlotAt(time_point now);

  double share_;
  std::deque<slot> slots_;
  bool overloaded_ = false;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_RETRY_BUDGET_H_
