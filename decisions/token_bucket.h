#ifndef DECISIONS_TOKEN_BUCKET_H_
#define DECISIONS_TOKEN_BUCKET_H_

#include <cstdint>

#include "kernel/time.h"

namespace skylarkhoist {

// Token bucket of one customer; each request needs one token to run. One node
// of the cluster holds the bucket, which log events call the mint. All nodes
// get their tokens from it, so that together they never run more than rate * t
// + burst requests in any time t.
//
// Load pattern: one customer sends several times its rate from all nodes at
// once. Requests above the rate get no token at any node, while demand that
// moves between nodes finds tokens at the new node.
class token_bucket {
 public:
  // Starts with a small part of the burst, because the node that held the
  // bucket before may just have granted a full burst.
  token_bucket(double per_second, double burst, time_point now);

  void SetRate(double per_second, double burst, time_point now);

  // Grants up to `wanted` tokens and returns their number.
  int64_t Grant(int64_t wanted, time_point now);

  // Takes tokens that were used without a grant; negative to give back. The
  // level may fall below zero, and grants resume when it is positive again.
  void Charge(double tokens, time_point now);

  // True when the demand exceeds the rate, so that the last grant was smaller
  // than the request.
  bool rate_exceeded() const { return rate_exceeded_; }

 private:
  // Tokens at the start, in seconds of the rate, in addition to one token.
  static constexpr double kInitialSeconds = 0.1;
  // Bound on the tokens that are missing, in seconds of the rate.
  static constexpr double kMaxDebtSeconds = 3.0;

  void Refill(time_point now);

  double per_second_;
  double burst_;
  double tokens_;
  time_point refilled_at_;
  bool rate_exceeded_ = false;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_TOKEN_BUCKET_H_
