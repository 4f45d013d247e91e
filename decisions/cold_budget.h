#ifndef DECISIONS_COLD_BUDGET_H_
#define DECISIONS_COLD_BUDGET_H_

#include <optional>

#include "kernel/time.h"

namespace skylarkhoist {

// Bounds the calls a second to a target that is cold.
//
//   budget.SetCold(now + remaining, per_second);
//   if (budget.Take(now)) { hand over }
class cold_budget {
 public:
  // The target is cold until `until`. A rate of 0 means that it bears any.
  void SetCold(time_point until, double per_second, time_point now);

  // Changes the rate, for the rest of the cold state.
  void SetRate(double per_second) { per_second_ = per_second; }

  bool IsCold(time_point now) const { return per_second_ > 0 && now < until_; }

  // Counts one call. Returns false when a cold target must not get it now.
  bool Take(time_point now);

  // Whether Take would return true.
  bool HasRoom(time_point now) const;

  // When a cold target may get its next call; nothing when it may now.
  std::optional<time_point> NextAt(time_point now) const;

 private:
  // Calls that may start at the same time, as a share of a second's calls.
  static constexpr double kBurstShare = 0.1;

  double LevelAt(time_point now) const;

  time_point until_;
  double per_second_ = 0;
  double level_ = 0;
  time_point level_at_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_COLD_BUDGET_H_
