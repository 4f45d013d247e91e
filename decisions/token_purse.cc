#include "decisions/token_purse.h"

#include <algorithm>
#include <cmath>

namespace skylarkhoist {
namespace {

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

void token_purse::SetRate(double per_second, double even_share) {
  if (per_second < per_second_)
    held_ = 0;
  per_second_ = per_second;
  even_share_ = even_share;
}

void token_purse::Decay(time_point now) {
  if (averaged_ != time_point()) {
    const double factor = std::exp(-Seconds(now - averaged_) / kAverageSeconds);
    demand_ *= factor;
    granted_ *= factor;
  }
  averaged_ = now;
  if (now - used_ > kDropAfter)
    held_ = 0;
}

void token_purse::NoteDemand(time_point now) {
  Decay(now);
  demand_ += 1.0 / kAverageSeconds;
}

bool token_purse::Take(bool mint_reachable, time_point now) {
  Decay(now);
  used_ = now;
  if (held_ > 0) {
    --held_;
    return true;
  }
  if (mint_reachable) {
    own_filled_ = now;
    own_level_ = 0;
    return false;
  }
  const double rate = std::max(granted_, even_share_ * kBlindShare);
  const double most = std::max(1.0, rate * kAheadSeconds);
  own_level_ = std::min(most, own_level_ + Seconds(now - own_filled_) * rate);
  own_filled_ = now;
  if (own_level_ < 1.0)
    return false;
  own_level_ -= 1.0;
  // The rate must not fade while the mint is away.
  granted_ += 1.0 / kAverageSeconds;
  return true;
}

int64_t token_purse::Wanted(int64_t waiting, time_point now) {
  Decay(now);
  const auto ahead = static_cast<int64_t>(demand_ * kAheadSeconds);
  return std::max<int64_t>(0, waiting + ahead - held_);
}

bool token_purse::IsLow(time_point now) {
  Decay(now);
  return static_cast<double>(held_) < demand_ * kAheadSeconds / 2;
}

void token_purse::OnGrant(int64_t granted, bool is_short, time_point now) {
  Decay(now);
  held_ += granted;
  used_ = now;
  granted_ += static_cast<double>(granted) / kAverageSeconds;
  if (is_short)
    short_until_ = now + kShortFor;
}

}  // namespace skylarkhoist
