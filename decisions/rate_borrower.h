#ifndef DECISIONS_RATE_BORROWER_H_
#define DECISIONS_RATE_BORROWER_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "decisions/rate_bucket.h"
#include "kernel/time.h"

namespace skylarkhoist {

// The next message of a borrower to the owner of the shard; for the fields that
// are not explained here see loan_request.
struct borrower_request {
  // Epoch of the owner that granted the loan, 0 before the first grant.
  uint64_t epoch = 0;
  uint64_t loan_id = 0;
  uint64_t request_number = 0;
  token_count spent = 0;
  token_count returned = 0;
  token_count held = 0;
  token_count wanted = 0;
  token_count urgent = 0;
};

// The tokens of one customer that this node has borrowed from the owner of the
// customer's shard.
//
// A loan belongs to one owner epoch; its counts are never mixed with those of
// another epoch. When the loan expires, or a grant comes from a newer owner,
// its tokens are dropped and a new loan starts.
class rate_borrower {
 public:
  // Spends one token on a call. Returns false when there is none.
  bool TrySpend(time_point now);

  // Counts a call that needs a token towards the demand estimate.
  void RecordDemand(time_point now);

  // Returns the next request to send, if one is due. `waiting` is the number of
  // calls that wait for a token.
  std::optional<borrower_request> NextRequest(size_t waiting, time_point now);

  // Returns true when the grant belongs to the current loan. `granted` counts
  // from the start of the loan; `closed` means that the owner has ended it.
  bool OnGrant(uint64_t epoch,
               uint64_t loan_id,
               uint64_t request_number,
               token_count granted,
               bool closed,
               time_point now);

  // Another node lacks tokens: the next request returns all tokens that this
  // node does not need within the next 20 ms.
  void OnReturnRequested() { return_requested_ = true; }

  // Moves the tokens held to a new loan of `epoch`, which keeps their expiry
  // time. From now on, grants of older epochs are ignored.
  struct moved_loan {
    uint64_t loan_id = 0;
    token_count held = 0;
  };
  moved_loan MoveToEpoch(uint64_t epoch, time_point now);

  // Borrows the whole `amount`, which is the level of the bucket: used by an
  // owner that hands its shard over.
  borrower_request MakeBorrowAllRequest(token_count amount, time_point now) {
    DropExpiredLoan(now);
    return MakeRequest(amount, amount, now);
  }

  // Returns the request by which a stopping node returns all its tokens, if one
  // is due. It is repeated until the owner answers it.
  std::optional<borrower_request> MakeFinalRequest(time_point now);
  // True when this node holds no tokens and the owner has answered the last
  // request.
  bool ReturnConfirmed(time_point now) const {
    return Held(now) <= 0 &&
           (now >= expires_at_ ||
            answered_request_number_ + 1 == next_request_number_);
  }

  token_count Held(time_point now) const {
    return now < expires_at_ ? Balance() : 0;
  }

 private:
  struct sent_request {
    uint64_t request_number = 0;
    time_point sent_at;
  };

  token_count Balance() const { return granted_ - spent_ - returned_; }
  // Starts a new loan if the current one has expired.
  void DropExpiredLoan(time_point now);
  void StartLoan();
  void DecayDemand(time_point now);
  // Tokens for the expected demand of the next `seconds`, plus one standard
  // deviation of a Poisson distribution.
  token_count TokensForDemand(double seconds) const;
  borrower_request MakeRequest(token_count wanted,
                               token_count urgent,
                               time_point now);

  uint64_t loan_id_ = 1;
  uint64_t epoch_ = 0;
  uint64_t min_epoch_ = 0;
  token_count granted_ = 0;
  token_count spent_ = 0;
  token_count returned_ = 0;
  time_point expires_at_;
  uint64_t next_request_number_ = 1;
  std::deque<sent_request> sent_requests_;
  time_point last_request_at_;
  uint64_t answered_request_number_ = 0;
  bool return_requested_ = false;
  // The owner did not grant the last request in full. It remembers the unmet
  // demand for kUnmetDemandTimeout and grants it unasked when it can.
  bool underserved_ = false;
  // Value of `granted_` that covers the waiting calls of the last request.
  token_count required_grant_ = 0;
  // Exponentially decaying averages of the demand, with a short and a long time
  // constant.
  double fast_calls_per_second_ = 0;
  double slow_calls_per_second_ = 0;
  time_point demand_updated_at_;
  time_point last_call_at_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_RATE_BORROWER_H_
