#ifndef DECISIONS_RATE_BORROWER_H_
#define DECISIONS_RATE_BORROWER_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "decisions/rate_ledger.h"
#include "kernel/time.h"

namespace skylarkhoist {

struct borrower_request {
  // 0 when the loan has no owner yet.
  uint64_t epoch = 0;
  uint64_t loan = 0;
  uint64_t round = 0;
  token_count spent = 0;
  token_count returned = 0;
  token_count held = 0;
  token_count wanted = 0;
  token_count urgent = 0;
};

// The tokens of one customer that this node has borrowed.
//
// A loan belongs to one owner epoch; its counts are never mixed with those of
// another. When its time is over, or a newer owner appears, its tokens are
// dropped and a new loan starts.
class rate_borrower {
 public:
  // Takes a token for one call. Returns false when there is none.
  bool TrySpend(time_point now);

  // Counts a call that needs a token, for the estimate of demand.
  void OnDemand(time_point now);

  // The next request to send, if one is due. `waiting` calls lack a token.
  std::optional<borrower_request> NextRequest(size_t waiting, time_point now);

  // Returns true when the answer belongs to a loan that is in force.
  bool OnGrant(uint64_t epoch,
               uint64_t loan,
               uint64_t round,
               token_count granted,
               bool closed,
               time_point now);

  // Another node lacks tokens: the next request returns what is not needed
  // within some milliseconds.
  void OnWantBack() { want_back_ = true; }

  // Moves the tokens held to a new loan of `epoch`. From now on only grants of
  // this epoch or newer ones count. Returns the number of the loan and its
  // tokens.
  struct moved_loan {
    uint64_t loan = 0;
    token_count held = 0;
  };
  moved_loan MoveTo(uint64_t epoch, time_point now);

  // Asks for all that the owner has: used by an owner that hands over.
  borrower_request TakeAllRequest(token_count amount, time_point now) {
    Expire(now);
    return MakeRequest(amount, amount, now);
  }

  // Returns all tokens: the last request of a node that stops, repeated until
  // it is answered.
  std::optional<borrower_request> TakeFinalRequest(time_point now);
  // Holds nothing, and the owner knows.
  bool Settled(time_point now) const {
    return Held(now) <= 0 &&
           (now >= valid_until_ || answered_round_ + 1 == next_round_);
  }

  token_count Held(time_point now) const {
    return now < valid_until_ ? Balance() : 0;
  }

 private:
  struct sent_round {
    uint64_t round = 0;
    time_point sent;
  };

  token_count Balance() const { return granted_ - spent_ - returned_; }
  // Drops a loan whose time is over.
  void Expire(time_point now);
  void StartLoan();
  void DecayDemand(time_point now);
  // Tokens for the expected demand of this time, with a margin for chance.
  token_count Target(double seconds) const;
  borrower_request MakeRequest(token_count wanted,
                               token_count urgent,
                               time_point now);

  uint64_t loan_ = 1;
  uint64_t epoch_ = 0;
  uint64_t lowest_epoch_ = 0;
  token_count granted_ = 0;
  token_count spent_ = 0;
  token_count returned_ = 0;
  time_point valid_until_;
  uint64_t next_round_ = 1;
  std::deque<sent_round> rounds_;
  time_point sent_at_;
  uint64_t answered_round_ = 0;
  bool want_back_ = false;
  // The owner could not serve the last request in full; it remembers what is
  // missing for some time.
  bool short_ = false;
  // Tokens since the start of the loan that cover the waiting calls of the last
  // request.
  token_count covered_at_ = 0;
  // Calls per second, smoothed over a short and a long time.
  double fast_demand_ = 0;
  double slow_demand_ = 0;
  time_point demand_at_;
  time_point last_call_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_RATE_BORROWER_H_
