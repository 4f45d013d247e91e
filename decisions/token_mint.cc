#include "decisions/token_mint.h"

#include <algorithm>

namespace skylarkhoist {

token_mint::token_mint(double per_second, double burst, time_point now)
    : per_second_(per_second),
      burst_(burst),
      level_(std::min(burst, 1.0 + per_second * kStartSeconds)),
      filled_(now) {}

void token_mint::Fill(time_point now) {
  const double seconds = std::chrono::duration<double>(now - filled_).count();
  level_ = std::min(burst_, level_ + std::max(seconds, 0.0) * per_second_);
  filled_ = now;
}

void token_mint::SetRate(double per_second, double burst, time_point now) {
  Fill(now);
  per_second_ = per_second;
  burst_ = burst;
  level_ = std::min(level_, burst);
}

int64_t token_mint::Grant(int64_t wanted, time_point now) {
  Fill(now);
  const auto granted =
      std::clamp<int64_t>(wanted, 0, static_cast<int64_t>(level_));
  level_ -= static_cast<double>(granted);
  short_ = granted < wanted;
  return granted;
}

}  // namespace skylarkhoist
