#include "decisions/retry_budget.h"

namespace skylarkhoist {
namespace {

constexpr int64_t kWindowSeconds = 10;

}  // namespace

retry_budget::slot& retry_budget::SlotAt(time_point now) {
  const int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count();
  // One slot more than the window, because the oldest lies in it only in part.
  while (!slots_.empty() && slots_.front().second < second - kWindowSeconds)
    slots_.pop_front();
  if (slots_.empty() || slots_.back().second < second)
    slots_.push_back({second, 0, 0});
  return slots_.back();
}

void retry_budget::OnFirstAttempt(time_point now) {
  ++SlotAt(now).attempts;
}

bool retry_budget::TakeRetry(time_point now) {
  slot& current = SlotAt(now);
  if (overloaded_)
    return false;
  uint64_t attempts = 0;
  uint64_t retries = 0;
  for (const slot& each : slots_) {
    retries += each.retries;
    // The oldest slot may lie outside of the window, so that only its retries
    // count: the bound holds in every window of 10 s.
    if (each.second > current.second - kWindowSeconds)
      attempts += each.attempts;
  }
  if (static_cast<double>(retries + 1) > static_cast<double>(attempts) * share_)
    return false;
  ++current.retries;
  return true;
}

}  // namespace skylarkhoist
