#ifndef DECISIONS_TOKEN_PURSE_H_
#define DECISIONS_TOKEN_PURSE_H_

#include <cstdint>

#include "kernel/time.h"

namespace skylarkhoist {

// The tokens of one customer at a node that gets them from a mint elsewhere.
// Keeps enough for the next moments' demand, so that most requests find one
// without waiting.
//
// While the mint cannot be reached, the purse mints for itself at the rate at
// which it was granted tokens before, or at the node's even share of the
// customer's rate when that is higher: the mint does not serve this node then,
// so all nodes together stay near the rate.
class token_purse {
 public:
  // `even_share` is the customer's rate over the number of nodes.
  void SetRate(double per_second, double even_share);

  // Takes a token for one request. `mint_reachable` is false when the mint has
  // not answered in time.
  bool Take(bool mint_reachable, time_point now);

  // Gives the token of a request back that did not run.
  void Return() { ++held_; }

  // Counts a request, whether it gets a token or not.
  void NoteDemand(time_point now);

  // Tokens to ask for, when `waiting` requests wait for one.
  int64_t Wanted(int64_t waiting, time_point now);

  // Whether the purse should ask before a request has to wait.
  bool IsLow(time_point now);

  void OnGrant(int64_t granted, bool is_short, time_point now);

  // The customer lacks tokens everywhere: a request that finds none is refused
  // at once.
  bool IsShort(time_point now) const { return now < short_until_; }

  int64_t held() const { return held_; }

 private:
  // Demand of this time is kept ready.
  static constexpr double kAheadSeconds = 0.3;
  // Averages follow demand within about this time.
  static constexpr double kAverageSeconds = 1.0;
  // How long the news of a shortage holds.
  static constexpr duration kShortFor = std::chrono::milliseconds(100);
  // Tokens that nobody used for this long are dropped, or a former peak could
  // be spent on top of a later one.
  static constexpr duration kDropAfter = std::chrono::seconds(1);
  // Share of the even share that a node without history may use by itself.
  static constexpr double kBlindShare = 0.25;

  void Decay(time_point now);

  int64_t held_ = 0;
  double per_second_ = 0;
  double even_share_ = 0;
  // Requests and grants a second.
  double demand_ = 0;
  double granted_ = 0;
  time_point averaged_;
  double own_level_ = 0;
  time_point own_filled_;
  time_point short_until_;
  time_point used_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_TOKEN_PURSE_H_
