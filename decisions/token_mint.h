#ifndef DECISIONS_TOKEN_MINT_H_
#define DECISIONS_TOKEN_MINT_H_

#include <cstdint>

#include "kernel/time.h"

namespace skylarkhoist {

// The tokens of one customer where they are minted: one for each request that
// may run. All nodes draw from the one level, so that together they never run
// more than rate * t + burst in any time t.
//
// Load pattern: one customer sends several times its rate from all nodes at
// once; its requests above the rate get no token anywhere, while demand that
// moves between nodes finds its tokens where it goes.
class token_mint {
 public:
  // Starts with a small part of the burst: an earlier mint of the same customer
  // may have given away the whole of it just before.
  token_mint(double per_second, double burst, time_point now);

  void SetRate(double per_second, double burst, time_point now);

  // Returns how many of the `wanted` tokens are granted.
  int64_t Grant(int64_t wanted, time_point now);

  // Demand exceeds the rate: the last grant was cut.
  bool is_short() const { return short_; }

 private:
  // Tokens at the start, in seconds of the rate, beside a first one.
  static constexpr double kStartSeconds = 0.1;

  void Fill(time_point now);

  double per_second_;
  double burst_;
  double level_;
  time_point filled_;
  bool short_ = false;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_TOKEN_MINT_H_
