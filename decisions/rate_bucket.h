#ifndef DECISIONS_RATE_BUCKET_H_
#define DECISIONS_RATE_BUCKET_H_

#include <cstdint>
#include <map>
#include <vector>

#include "kernel/time.h"

namespace skylarkhoist {

// In thousandths of a token.
using token_count = int64_t;
constexpr token_count kOneToken = 1000;

// Time until a loan expires. The borrower counts it from when it sent its last
// request, the owner from when it received it, so it expires at the borrower
// first.
constexpr duration kLoanPeriod = std::chrono::seconds(2);

struct loan_request {
  uint64_t borrower = 0;
  // Rises with each loan of a borrower.
  uint64_t loan_id = 0;
  // True when the borrower has received a grant for this loan. A request that
  // is not established may start the loan.
  bool established = false;
  uint64_t request_number = 0;
  // Both count from the start of the loan, so that lost and repeated requests
  // do no harm.
  token_count spent = 0;
  token_count returned = 0;
  token_count wanted = 0;
  // Part of `wanted` for calls that wait for a token.
  token_count urgent = 0;
};

struct loan_grant {
  uint64_t borrower = 0;
  uint64_t loan_id = 0;
  uint64_t request_number = 0;
  // Counts from the start of the loan.
  token_count granted = 0;
  // The loan has ended; the borrower must drop its tokens.
  bool closed = false;
};

// Token bucket of one customer at the owner of its shard. Lends tokens to the
// nodes, which spend them on calls.
//
// Invariant: a refill never raises level + lent above burst, and only a refill
// adds to this sum. Lent tokens leave the sum when the borrower reports them as
// spent, or when the loan has expired for the borrower too. So all nodes
// together spend at most rate * t + burst in any window t.
class rate_bucket {
 public:
  // Starts empty.
  rate_bucket(double per_second, double burst, time_point now);

  void SetRate(double per_second, double burst, time_point now);

  // Returns borrower 0, and nothing to send, for a repeated or older request.
  loan_grant OnRequest(const loan_request& request, time_point now);

  // Records a loan of `held` tokens that a previous owner granted to the
  // borrower.
  void AdoptLoan(uint64_t borrower,
                 uint64_t loan_id,
                 token_count held,
                 time_point now);

  // The process of the borrower has certainly exited; its loan ends now.
  void OnBorrowerGone(uint64_t borrower);

  // Grants tokens that were refilled or returned in the meantime to borrowers
  // with unmet demand, the longest waiting first. At most one batch is granted
  // each 15 ms, so that a customer above its rate does not cost a message for
  // each token.
  std::vector<loan_grant> TakeDeferredGrants(time_point now);

  // Returns the borrowers to ask for the tokens that they do not need now,
  // because another borrower has unmet demand and the bucket is empty. Each is
  // asked at most once in 25 ms.
  std::vector<uint64_t> TakeReturnRequests(time_point now);

  bool HasUnmetDemand(time_point now) const;
  token_count Level(time_point now) {
    AdvanceTo(now);
    return level_;
  }
  token_count lent() const { return lent_; }

 private:
  struct loan_record {
    uint64_t loan_id = 0;
    uint64_t last_request_number = 0;
    token_count granted = 0;
    token_count spent = 0;
    token_count returned = 0;
    time_point expires_at;
    // An ended loan is kept for a while, so that late messages cannot start it
    // again.
    bool active = false;
    // Tokens requested for waiting calls and not granted.
    token_count unmet = 0;
    time_point unmet_since;
    time_point return_requested_at;
    token_count Outstanding() const { return granted - spent - returned; }
  };

  // Ends expired loans and refills the bucket.
  void AdvanceTo(time_point now);
  void EndLoan(loan_record& record);
  void Lend(loan_record& record, token_count amount);

  token_count refill_per_second_ = 0;
  token_count burst_ = 0;
  token_count level_ = 0;
  token_count lent_ = 0;
  time_point refilled_at_;
  time_point deferred_grants_at_;
  // Part of a thousandth of a token that is not added yet, in millionths of a
  // thousandth.
  token_count refill_remainder_ = 0;
  time_point next_expiry_;
  std::map<uint64_t, loan_record> loans_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_RATE_BUCKET_H_
