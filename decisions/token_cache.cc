#include "decisions/token_cache.h"

#include <algorithm>
#include <cmath>

namespace skylarkhoist {
namespace {

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

void token_cache::SetRate(double per_second) {
  if (per_second < per_second_) {
    held_ = 0;
    // The share of a rate that is no longer in force.
    share_.per_second *= per_second / per_second_;
  }
  per_second_ = per_second;
}

void token_cache::SetShare(const fallback_share& share, time_point now) {
  share_ = share;
  share_granted_at_ = now;
}

void token_cache::UpdateAverage(time_point now) {
  if (averaged_at_ != time_point()) {
    const double factor =
        std::exp(-Seconds(now - averaged_at_) / kAverageSeconds);
    demand_per_second_ *= factor;
  }
  averaged_at_ = now;
  if (now - last_used_at_ > kMaxIdleTime)
    held_ = 0;
}

bool token_cache::GiveUpIdleShare(time_point now) {
  if (share_.granted_by == 0 ||
      (now - last_used_at_ <= fallback_shares::kMaxIdleTime &&
       now - share_granted_at_ <= fallback_shares::kRetention))
    return false;
  share_ = fallback_share();
  fallback_tokens_ = 0;
  return true;
}

void token_cache::RecordDemand(time_point now) {
  UpdateAverage(now);
  demand_per_second_ += 1.0 / kAverageSeconds;
}

bool token_cache::Take(bool bucket_reachable, time_point now) {
  UpdateAverage(now);
  GiveUpIdleShare(now);
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
  const double rate = share_.granted_by == 0 ? min_share_ : share_.per_second;
  const double burst = std::max(1.0, rate * kPrefetchSeconds);
  fallback_tokens_ = std::min(
      burst, fallback_tokens_ + Seconds(now - fallback_refilled_at_) * rate);
  fallback_refilled_at_ = now;
  if (fallback_tokens_ < 1.0)
    return false;
  fallback_tokens_ -= 1.0;
  ++generated_;
  return true;
}

int64_t token_cache::TokensToRequest(int64_t waiting, time_point now) {
  UpdateAverage(now);
  const auto prefetch =
      static_cast<int64_t>(demand_per_second_ * kPrefetchSeconds);
  return std::max<int64_t>(0, waiting + prefetch - held_);
}

bool token_cache::NeedsRefill(time_point now) {
  UpdateAverage(now);
  return static_cast<double>(held_) < demand_per_second_ * kPrefetchSeconds / 2;
}

void token_cache::OnGrant(int64_t granted, bool rate_exceeded, time_point now) {
  UpdateAverage(now);
  held_ += granted;
  last_used_at_ = now;
  if (rate_exceeded)
    rate_exceeded_until_ = now + kRateExceededHold;
}

}  // namespace skylarkhoist
