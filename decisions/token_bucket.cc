#include "decisions/token_bucket.h"

#include <algorithm>

namespace skylarkhoist {

token_bucket::token_bucket(double per_second, double burst, time_point now)
    : per_second_(per_second),
      burst_(burst),
      tokens_(std::min(burst, 1.0 + per_second * kInitialSeconds)),
      refilled_at_(now) {}

void token_bucket::Refill(time_point now) {
  const double seconds =
      std::chrono::duration<double>(now - refilled_at_).count();
  tokens_ = std::min(burst_, tokens_ + std::max(seconds, 0.0) * per_second_);
  refilled_at_ = now;
}

void token_bucket::SetRate(double per_second, double burst, time_point now) {
  Refill(now);
  per_second_ = per_second;
  burst_ = burst;
  tokens_ = std::min(tokens_, burst);
}

void token_bucket::Charge(double tokens, time_point now) {
  Refill(now);
  tokens_ =
      std::clamp(tokens_ - tokens,
                 std::min(tokens_, -per_second_ * kMaxDebtSeconds), burst_);
}

int64_t token_bucket::Grant(int64_t wanted, time_point now) {
  Refill(now);
  const auto granted = std::clamp<int64_t>(
      wanted, 0, static_cast<int64_t>(std::max(tokens_, 0.0)));
  tokens_ -= static_cast<double>(granted);
  rate_exceeded_ = granted < wanted;
  return granted;
}

}  // namespace skylarkhoist
