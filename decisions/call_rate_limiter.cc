#include "decisions/call_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace skylarkhoist {
namespace {

// Time constant of the average rate of calls.
constexpr double kAveragingSeconds = 0.5;

}  // namespace

void call_rate_limiter::SetLimit(double per_second,
                                 time_point until,
                                 time_point now) {
  if (!IsLimited(now)) {
    tokens_ = 1.0;
    updated_at_ = now;
  }
  limited_until_ = until;
  per_second_ = per_second;
}

double call_rate_limiter::TokensAt(time_point now) const {
  const double seconds =
      std::chrono::duration<double>(now - updated_at_).count();
  const double burst = std::max(1.0, per_second_ * kBurstSeconds);
  return std::min(burst, tokens_ + std::max(seconds, 0.0) * per_second_);
}

bool call_rate_limiter::CanAcquire(time_point now) const {
  return !IsLimited(now) || TokensAt(now) >= 1.0;
}

bool call_rate_limiter::TryAcquire(time_point now) {
  if (!IsLimited(now))
    return true;
  const double tokens = TokensAt(now);
  if (tokens < 1.0)
    return false;
  tokens_ = tokens - 1.0;
  updated_at_ = now;
  average_rate_ = AverageRateAt(now) + 1.0 / kAveragingSeconds;
  averaged_at_ = now;
  return true;
}

std::optional<time_point> call_rate_limiter::NextAvailableAt(
    time_point now) const {
  if (CanAcquire(now))
    return std::nullopt;
  const double missing = 1.0 - TokensAt(now);
  const auto wait = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(missing / per_second_));
  return std::min(limited_until_, now + wait + std::chrono::microseconds(100));
}

double call_rate_limiter::AverageRateAt(time_point now) const {
  const double seconds =
      std::chrono::duration<double>(now - averaged_at_).count();
  return average_rate_ * std::exp(-std::max(seconds, 0.0) / kAveragingSeconds);
}

double call_rate_limiter::UsedShare(time_point now) const {
  return IsLimited(now) ? AverageRateAt(now) / per_second_ : 0;
}

double call_rate_limiter::Backlog(size_t waiting,
                                  duration drain_time,
                                  time_point now) const {
  if (!IsLimited(now))
    return 0;
  const double calls_per_drain_time =
      per_second_ * std::chrono::duration<double>(drain_time).count();
  return (CanAcquire(now) ? 0.0 : 1.0) +
         static_cast<double>(waiting) / calls_per_drain_time;
}

}  // namespace skylarkhoist
