#ifndef DECISIONS_TOKEN_CACHE_H_
#define DECISIONS_TOKEN_CACHE_H_

#include <cstdint>

#include "decisions/fallback_shares.h"
#include "kernel/time.h"

namespace skylarkhoist {

// Tokens of one customer that a node got from the customer's token bucket.
// Requests tokens ahead of demand, so that most requests find one without
// waiting.
//
// While the node with the bucket is unreachable, this node generates tokens
// itself, at the rate that the bucket's owner has set aside for it.
class token_cache {
 public:
  void SetRate(double per_second);

  // Sets the rate at which this node may generate tokens without a share, for
  // example because it has had no demand for a while.
  void SetMinShare(double per_second) { min_share_ = per_second; }

  // Sets the rate at which this node may generate tokens, `now` when the owner
  // of the bucket has answered.
  void SetShare(const fallback_share& share, time_point now);
  const fallback_share& share() const { return share_; }

  // Gives up the share after a time without demand. Returns whether there was
  // one.
  bool GiveUpIdleShare(time_point now);

  // Number of tokens that this node has ever generated.
  uint64_t generated() const { return generated_; }

  // Takes one token for a request. `bucket_reachable` is false when the node
  // with the bucket has not answered in time.
  bool Take(bool bucket_reachable, time_point now);

  // Returns the token of a request that did not run.
  void Return() { ++held_; }

  // Counts a request, whether it gets a token or not.
  void RecordDemand(time_point now);

  // Number of tokens to request when `waiting` requests wait for one.
  int64_t TokensToRequest(int64_t waiting, time_point now);

  // Returns whether to request tokens before a request has to wait for one.
  bool NeedsRefill(time_point now);

  void OnGrant(int64_t granted, bool rate_exceeded, time_point now);

  // Returns whether the customer recently exceeded its rate on all nodes
  // together. A request that finds no token is then refused without waiting.
  bool IsRateExceeded(time_point now) const {
    return now < rate_exceeded_until_;
  }

  int64_t held() const { return held_; }
  time_point last_used_at() const { return last_used_at_; }

 private:
  // Tokens are requested for the demand of this time.
  static constexpr double kPrefetchSeconds = 0.3;
  // Time constant of the average.
  static constexpr double kAverageSeconds = 1.0;
  // How long a grant that was cut counts as a sign that the rate is exceeded.
  static constexpr duration kRateExceededHold = std::chrono::milliseconds(100);
  // Tokens unused for this long are dropped. Otherwise those of an earlier peak
  // could be spent on top of a later one.
  static constexpr duration kMaxIdleTime = std::chrono::seconds(1);
  void UpdateAverage(time_point now);

  int64_t held_ = 0;
  double per_second_ = 0;
  // Requests per second.
  double demand_per_second_ = 0;
  time_point averaged_at_;
  fallback_share share_;
  double min_share_ = 0;
  time_point share_granted_at_;
  uint64_t generated_ = 0;
  double fallback_tokens_ = 0;
  time_point fallback_refilled_at_;
  time_point rate_exceeded_until_;
  time_point last_used_at_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_TOKEN_CACHE_H_
