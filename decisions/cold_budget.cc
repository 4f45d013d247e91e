#include "decisions/cold_budget.h"

#include <algorithm>

namespace skylarkhoist {

void cold_budget::SetCold(time_point until, double per_second, time_point now) {
  if (now >= until_) {
    level_ = 1.0;
    level_at_ = now;
  }
  until_ = until;
  per_second_ = per_second;
}

double cold_budget::LevelAt(time_point now) const {
  const double seconds = std::chrono::duration<double>(now - level_at_).count();
  const double most = std::max(1.0, per_second_ * kBurstShare);
  return std::min(most, level_ + std::max(seconds, 0.0) * per_second_);
}

bool cold_budget::HasRoom(time_point now) const {
  return !IsCold(now) || LevelAt(now) >= 1.0;
}

bool cold_budget::Take(time_point now) {
  if (!IsCold(now))
    return true;
  const double level = LevelAt(now);
  if (level < 1.0)
    return false;
  level_ = level - 1.0;
  level_at_ = now;
  return true;
}

std::optional<time_point> cold_budget::NextAt(time_point now) const {
  if (HasRoom(now))
    return std::nullopt;
  const double missing = 1.0 - LevelAt(now);
  const auto wait = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(missing / per_second_));
  return std::min(until_, now + wait + std::chrono::microseconds(100));
}

}  // namespace skylarkhoist
