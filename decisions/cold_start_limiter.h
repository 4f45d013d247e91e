#ifndef DECISIONS_COLD_START_LIMITER_H_
#define DECISIONS_COLD_START_LIMITER_H_

#include <optional>

#include "kernel/time.h"

namespace skylarkhoist {

// Limits the rate of calls to a target that is cold, which means that it has
// not warmed up yet, for example after a restart.
//
//   limiter.SetCold(now + remaining, per_second, now);
//   if (limiter.TryAcquire(now)) { hand over }
class cold_start_limiter {
 public:
  // The target is cold until `until`. A rate of 0 means no limit.
  void SetCold(time_point until, double per_second, time_point now);

  // Changes the rate for the rest of the cold state.
  void SetRate(double per_second) { per_second_ = per_second; }

  bool IsCold(time_point now) const {
    return per_second_ > 0 && now < cold_until_;
  }

  // Counts one call. Returns false when the target is cold and the rate is used
  // up.
  bool TryAcquire(time_point now);

  // Returns whether TryAcquire would return true.
  bool CanAcquire(time_point now) const;

  // Time of the next call that a cold target may get; nothing when it may get
  // one now.
  std::optional<time_point> NextAvailableAt(time_point now) const;

 private:
  // Calls that may start at the same time, in seconds of the rate.
  static constexpr double kBurstSeconds = 0.1;

  double TokensAt(time_point now) const;

  time_point cold_until_;
  double per_second_ = 0;
  double tokens_ = 0;
  time_point updated_at_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_COLD_START_LIMITER_H_
