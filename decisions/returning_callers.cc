#include "decisions/returning_callers.h"

namespace skylarkhoist {

void returning_callers::OnRefused(uint64_t fingerprint,
                                  time_point return_at,
                                  time_point now) {
  Expire(now);
  return_times_[fingerprint] = return_at;
  refusals_.push_back({fingerprint, return_at});
}

bool returning_callers::IsReturning(uint64_t fingerprint,
                                    time_point now) const {
  const auto found = return_times_.find(fingerprint);
  return found != return_times_.end() && now + kTolerance >= found->second &&
         now <= found->second + kMaxDelay;
}

void returning_callers::Expire(time_point now) {
  while (!refusals_.empty() && (refusals_.front().return_at + kMaxDelay < now ||
                                refusals_.size() >= kMaxRequests)) {
    const auto found = return_times_.find(refusals_.front().fingerprint);
    // A later refusal of the same request has its own entry.
    if (found != return_times_.end() &&
        found->second == refusals_.front().return_at)
      return_times_.erase(found);
    refusals_.pop_front();
  }
}

}  // namespace skylarkhoist
