#ifndef DECISIONS_RATE_LEDGER_H_
#define DECISIONS_RATE_LEDGER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "kernel/time.h"

namespace skylarkhoist {

// Tokens are counted in thousandths.
using token_count = int64_t;
constexpr token_count kToken = 1000;

// A borrower counts this from the sending of its request, the owner from the
// receipt.
constexpr duration kLoanPeriod = std::chrono::seconds(2);

struct loan_request {
  uint64_t borrower = 0;
  // Number of the loan; rises with each loan of a borrower.
  uint64_t loan = 0;
  // False for the first request of a loan, which may start it.
  bool known = false;
  uint64_t round = 0;
  // Since the start of the loan.
  token_count spent = 0;
  token_count returned = 0;
  token_count wanted = 0;
  // Part of `wanted` for which calls wait.
  token_count urgent = 0;
};

struct loan_grant {
  uint64_t borrower = 0;
  uint64_t loan = 0;
  uint64_t round = 0;
  // Since the start of the loan.
  token_count granted = 0;
  // The loan has ended; the borrower must drop its tokens.
  bool closed = false;
};

// The tokens of one customer at the owner of its shard.
//
// Invariant: level + lent <= burst when tokens are minted, and only minting
// adds to the sum. Lent tokens leave the sum when the borrower reports them as
// spent, or when the loan has ended for the borrower too. So all nodes together
// spend at most rate * t + burst in any window t.
class rate_ledger {
 public:
  // Starts at level 0.
  rate_ledger(double per_second, double burst, time_point now);

  void SetRate(double per_second, double burst, time_point now);

  // Returns nothing to send (borrower 0) for a late copy of an older request.
  loan_grant OnRequest(const loan_request& request, time_point now);

  // Takes over `held` tokens that the borrower has from a former owner.
  void Adopt(uint64_t borrower,
             uint64_t loan,
             token_count held,
             time_point now);

  // The process of the borrower is certainly gone; its loan ends now.
  void OnBorrowerGone(uint64_t borrower);

  // Serves borrowers with waiting calls from what was minted or returned since.
  // Collects tokens for some milliseconds, so that a customer above its rate
  // does not cost a message for each token.
  std::vector<loan_grant> TakeLateGrants(time_point now);

  // Borrowers that should return what they do not need now, because another
  // one has waiting calls and the level is used up.
  std::vector<uint64_t> TakeRecalls(time_point now);

  bool HasUnmet(time_point now) const;
  token_count Level(time_point now) {
    Advance(now);
    return level_;
  }
  token_count lent() const { return lent_; }

 private:
  struct loan_record {
    uint64_t loan = 0;
    uint64_t round = 0;
    token_count granted = 0;
    token_count spent = 0;
    token_count returned = 0;
    time_point expires;
    // Kept after its end, so that late messages cannot revive it.
    bool live = false;
    token_count unmet = 0;
    time_point unmet_since;
    time_point recalled_at;
    token_count Outstanding() const { return granted - spent - returned; }
  };

  void Advance(time_point now);
  void End(loan_record& record);
  void Lend(loan_record& record, token_count amount);

  token_count rate_per_second_ = 0;
  token_count burst_ = 0;
  token_count level_ = 0;
  token_count lent_ = 0;
  time_point minted_at_;
  time_point late_grants_at_;
  // Part of a thousandth of a token that is not minted yet, in millionths.
  token_count remainder_ = 0;
  time_point next_expiry_;
  std::map<uint64_t, loan_record> loans_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_RATE_LEDGER_H_
