#include "decisions/cold_start_limiter.h"

#include <algorithm>

namespace skylarkhoist {

void cold_start_limiter::SetCold(time_point until,
                                 double per_second,
                                 time_point now) {
  if (now >= cold_until_) {
    tokens_ = 1.0;
    updated_at_ = now;
  }
  cold_until_ = until;
  per_second_ = per_second;
}

double cold_start_limiter::TokensAt(time_point now) const {
  const double seconds =
      std::chrono::duration<double>(now - updated_at_).count();
  const double burst = std::max(1.0, per_second_ * kBurstSeconds);
  return std::min(burst, tokens_ + std::max(seconds, 0.0) * per_second_);
}

bool cold_start_limiter::CanAcquire(time_point now) const {
  return !IsCold(now) || TokensAt(now) >= 1.0;
}

bool cold_start_limiter::TryAcquire(time_point now) {
  if (!IsCold(now))
    return true;
  const double tokens = TokensAt(now);
  if (tokens < 1.0)
    return false;
  tokens_ = tokens - 1.0;
  updated_at_ = now;
  return true;
}

std::optional<time_point> cold_start_limiter::NextAvailableAt(
    time_point now) const {
  if (CanAcquire(now))
    return std::nullopt;
  const double missing = 1.0 - TokensAt(now);
  const auto wait = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(missing / per_second_));
  return std::min(cold_until_, now + wait + std::chrono::microseconds(100));
}

}  // namespace skylarkhoist
