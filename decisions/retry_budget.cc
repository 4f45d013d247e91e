#include "decisions/retry_budget.h"

namespace skylarkhoist {
namespace {

constexpr int64_t kWindowSeconds = 10;

}  // namespace

retry_budget::time_bucket& retry_budget::BucketAt(time_point now) {
  const int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count();
  // Keeps one bucket more than the window has seconds, because the oldest lies
  // only partly in the window.
  while (!buckets_.empty() && buckets_.front().second < second - kWindowSeconds)
    buckets_.pop_front();
  if (buckets_.empty() || buckets_.back().second < second)
    buckets_.push_back({second, 0, 0});
  return buckets_.back();
}

void retry_budget::OnFirstAttempt(time_point now) {
  ++BucketAt(now).attempts;
}

bool retry_budget::TakeRetry(time_point now) {
  time_bucket& current = BucketAt(now);
  if (overloaded_)
    return false;
  uint64_t attempts = 0;
  uint64_t retries = 0;
  for (const time_bucket& each : buckets_) {
    retries += each.retries;
    // The oldest bucket may lie outside of the window. Only its retries count,
    // so that the bound holds in every window of 10 s.
    if (each.second > current.second - kWindowSeconds)
      attempts += each.attempts;
  }
  if (static_cast<double>(retries + 1) >
      static_cast<double>(attempts) * retry_share_)
    return false;
  ++current.retries;
  return true;
}

}  // namespace skylarkhoist
