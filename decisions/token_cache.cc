#include "decisions/token_cache.h"

#include <algorithm>
#include <cmath>

namespace skylarkhoist {
namespace {

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

void token_cache::SetRate(double per_second, double even_share) {
  if (per_second < per_second_)
    held_ = 0;
  per_second_ = per_second;
  even_share_ = even_share;
}

void token_cache::UpdateAverages(time_point now) {
  if (averaged_at_ != time_point()) {
    const double factor =
        std::exp(-Seconds(now - averaged_at_) / kAverageSeconds);
    demand_per_second_ *= factor;
    granted_per_second_ *= factor;
  }
  averaged_at_ = now;
  if (now - last_used_at_ > kMaxIdleTime)
    held_ = 0;
}

void token_cache::RecordDemand(time_point now) {
  UpdateAverages(now);
  demand_per_second_ += 1.0 / kAverageSeconds;
}

bool token_cache::Take(bool bucket_reachable, time_point now) {
  UpdateAverages(now);
  last_used_at_ = now;
  if (held_ > 0) {
    --held_;
    return true;
  }
  if (bucket_reachable) {
    fallback_refilled_at_ = now;
    fallback_tokens_ = 0;
    return false;
  }
  const double rate =
      std::max(granted_per_second_, even_share_ * kMinFallbackShare);
  const double burst = std::max(1.0, rate * kPrefetchSeconds);
  fallback_tokens_ = std::min(
      burst, fallback_tokens_ + Seconds(now - fallback_refilled_at_) * rate);
  fallback_refilled_at_ = now;
  if (fallback_tokens_ < 1.0)
    return false;
  fallback_tokens_ -= 1.0;
  // Counts as granted, so that the fallback rate does not decay while the
  // bucket is unreachable.
  granted_per_second_ += 1.0 / kAverageSeconds;
  return true;
}

int64_t token_cache::TokensToRequest(int64_t waiting, time_point now) {
  UpdateAverages(now);
  const auto prefetch =
      static_cast<int64_t>(demand_per_second_ * kPrefetchSeconds);
  return std::max<int64_t>(0, waiting + prefetch - held_);
}

bool token_cache::NeedsRefill(time_point now) {
  UpdateAverages(now);
  return static_cast<double>(held_) < demand_per_second_ * kPrefetchSeconds / 2;
}

void token_cache::OnGrant(int64_t granted, bool rate_exceeded, time_point now) {
  UpdateAverages(now);
  held_ += granted;
  last_used_at_ = now;
  granted_per_second_ += static_cast<double>(granted) / kAverageSeconds;
  if (rate_exceeded)
    rate_exceeded_until_ = now + kRateExceededHold;
}

}  // namespace skylarkhoist
