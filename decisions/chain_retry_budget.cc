#include "decisions/chain_retry_budget.h"

#include <algorithm>

namespace skylarkhoist {
namespace {

// Window over which first attempts are counted, and the age of the end of the
// earlier window.
constexpr int64_t kWindowSeconds = 10;
constexpr int64_t kEarlierWindowAge = 5;
// Unused retries are kept for this long, so that a sudden fault finds some.
constexpr double kCapacitySeconds = 1.0;
// Every node may make this many retries for a service with little load.
constexpr double kMinCapacity = 1.0;

int64_t SecondOf(time_point now) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             now.time_since_epoch())
      .count();
}

// Importance of one call of a request: the higher its priority and the fewer
// calls it has left, the more a retry gains. The lowest priority counts half of
// a normal one, since its requests should be the first to go without.
double Urgency(const retry_value& value) {
  constexpr double kLowest = 0.5;
  constexpr double kNormal = 1.0;
  constexpr double kHighest = 3.0;
  const double rank = static_cast<double>(value.priority);
  const double normal = static_cast<double>(priority_class::kNormal);
  const double highest = static_cast<double>(priority_class::kCritical);
  const double weight = rank <= normal
                            ? kLowest + (kNormal - kLowest) * rank / normal
                            : kNormal + (kHighest - kNormal) * (rank - normal) /
                                            (highest - normal);
  return weight / std::max(1, value.calls_left);
}

}  // namespace

void chain_retry_budget::Advance(time_point now) {
  const int64_t second = SecondOf(now);
  while (!buckets_.empty() &&
         buckets_.front().second <= second - kWindowSeconds - kEarlierWindowAge)
    buckets_.pop_front();
  if (buckets_.empty() || buckets_.back().second < second)
    buckets_.push_back({second, 0});
  const double rate = retry_share_ * AttemptsPerSecond();
  capacity_ = std::max(kMinCapacity, rate * kCapacitySeconds);
  if (refilled_at_ == time_point()) {
    tokens_ = kMinCapacity;
  } else {
    const double elapsed =
        std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(capacity_, tokens_ + rate * elapsed);
  }
  refilled_at_ = now;
}

double chain_retry_budget::AttemptsPerSecond() const {
  const int64_t second = buckets_.back().second;
  int64_t recent = 0;
  int64_t earlier = 0;
  for (const time_bucket& each : buckets_) {
    if (each.second > second - kWindowSeconds)
      recent += each.attempts;
    if (each.second <= second - kEarlierWindowAge)
      earlier += each.attempts;
  }
  return static_cast<double>(std::max(recent, earlier)) / kWindowSeconds;
}

void chain_retry_budget::OnFirstAttempt(time_point now) {
  Advance(now);
  ++buckets_.back().attempts;
}

void chain_retry_budget::OnInheritedRepeat(time_point now) {
  OnFirstAttempt(now);
  tokens_ = std::max(tokens_ - 1.0, -capacity_);
}

bool chain_retry_budget::TakeRetry(const retry_value& value, time_point now) {
  Advance(now);
  // The less urgent a retry, the more of the capacity it leaves to others.
  const double reserved = std::max(0.0, 1.0 - Urgency(value));
  if (tokens_ < std::max(1.0, reserved * capacity_))
    return false;
  tokens_ -= 1.0;
  return true;
}

}  // namespace skylarkhoist
