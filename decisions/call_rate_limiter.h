#ifndef DECISIONS_CALL_RATE_LIMITER_H_
#define DECISIONS_CALL_RATE_LIMITER_H_

#include <cstddef>
#include <optional>

#include "kernel/time.h"

namespace skylarkhoist {

// Limits the rate of calls to one target for some time, for example while it
// has not warmed up yet.
//
//   limiter.SetLimit(per_second, until, now);
//   if (limiter.TryAcquire(now)) { hand over }
class call_rate_limiter {
 public:
  // Limits calls to `per_second` until `until`. A rate of 0 means no limit.
  void SetLimit(double per_second, time_point until, time_point now);

  // Changes the rate until the same time.
  void SetRate(double per_second) { per_second_ = per_second; }

  bool IsLimited(time_point now) const {
    return per_second_ > 0 && now < limited_until_;
  }

  // Counts one call. Returns false when the rate is used up.
  bool TryAcquire(time_point now);

  // Returns whether TryAcquire would return true.
  bool CanAcquire(time_point now) const;

  // Time of the next call while the rate is used up; nothing when a call may
  // start now.
  std::optional<time_point> NextAvailableAt(time_point now) const;

  // Recent rate of calls as a share of the limit, as a moving average; 0
  // without a limit.
  double UsedShare(time_point now) const;

  // Time in which the limited rate serves `waiting` calls, in units of
  // `drain_time`, plus 1 while the rate is used up; 0 without a limit.
  double Backlog(size_t waiting, duration drain_time, time_point now) const;

 private:
  // Calls that may start at the same time, in seconds of the rate.
  static constexpr double kBurstSeconds = 0.1;

  double TokensAt(time_point now) const;
  double AverageRateAt(time_point now) const;

  time_point limited_until_;
  double per_second_ = 0;
  double tokens_ = 0;
  time_point updated_at_;
  // Moving average of the calls per second.
  double average_rate_ = 0;
  time_point averaged_at_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_CALL_RATE_LIMITER_H_
