#include "decisions/rate_ledger.h"

#include <algorithm>
#include <cmath>

namespace skylarkhoist {
namespace {

using std::chrono::microseconds;

// Bounds that keep elapsed time times rate within 64 bits; longer times are
// minted in steps.
constexpr token_count kMaxRate = 10'000'000 * kToken;
constexpr microseconds kMintStep = std::chrono::seconds(100);

constexpr token_count kMicrosPerSecond = 1'000'000;

// A borrower holds a call for at most 50 ms; an older shortage is void.
constexpr duration kUnmetPeriod = std::chrono::milliseconds(50);
constexpr duration kLateGrantInterval = std::chrono::milliseconds(15);
constexpr duration kRecallInterval = std::chrono::milliseconds(25);

// The link silence limit is 1 s, so no copy of a message is later than this.
constexpr duration kEndedLoanMemory = std::chrono::seconds(60);

// A borrower gets at most this share of the level in advance, so that one node
// cannot take all of it ahead of need.
constexpr token_count kAdvanceShare = 4;

token_count ToTokens(double value) {
  return std::clamp<token_count>(
      static_cast<token_count>(std::floor(value * kToken)), 0, kMaxRate);
}

token_count Whole(token_count amount) {
  return amount / kToken * kToken;
}

}  // namespace

rate_ledger::rate_ledger(double per_second, double burst, time_point now)
    : rate_per_second_(ToTokens(per_second)),
      burst_(ToTokens(burst)),
      minted_at_(now),
      next_expiry_(time_point::max()) {}

void rate_ledger::SetRate(double per_second, double burst, time_point now) {
  Advance(now);
  rate_per_second_ = ToTokens(per_second);
  burst_ = ToTokens(burst);
  level_ = std::min(level_, std::max<token_count>(0, burst_ - lent_));
}

loan_grant rate_ledger::OnRequest(const loan_request& request, time_point now) {
  Advance(now);
  const auto found = loans_.find(request.borrower);
  if (found != loans_.end() && request.loan < found->second.loan)
    return {};
  loan_grant closed{request.borrower, request.loan, request.round, 0, true};
  if (found == loans_.end() || request.loan > found->second.loan) {
    if (request.known)
      return closed;
    // The borrower has dropped its former loan.
    loan_record& record = loans_[request.borrower];
    End(record);
    record = {};
    record.loan = request.loan;
    record.live = true;
  }
  loan_record& record = loans_[request.borrower];
  if (!record.live)
    return closed;
  if (request.round <= record.round)
    return {};
  record.round = request.round;
  record.expires = now + kLoanPeriod;
  next_expiry_ = std::min(next_expiry_, record.expires);
  const token_count spent =
      std::max<token_count>(0, request.spent - record.spent);
  const token_count returned =
      std::max<token_count>(0, request.returned - record.returned);
  if (spent + returned > record.Outstanding()) {
    // Cannot come from a correct borrower; its loan ends without a return.
    End(record);
    return closed;
  }
  record.spent += spent;
  record.returned += returned;
  lent_ -= spent + returned;
  level_ =
      std::min(level_ + returned, std::max<token_count>(0, burst_ - lent_));
  const token_count urgent =
      std::clamp<token_count>(request.urgent, 0, request.wanted);
  // Whole tokens only: fractions would lie idle at many borrowers.
  const token_count now_needed = std::min(urgent, Whole(level_));
  Lend(record, now_needed);
  Lend(record,
       std::min(request.wanted - urgent, Whole(level_ / kAdvanceShare)));
  record.unmet = urgent - now_needed;
  record.unmet_since = now;
  return {request.borrower, record.loan, record.round, record.granted, false};
}

void rate_ledger::Adopt(uint64_t borrower,
                        uint64_t loan,
                        token_count held,
                        time_point now) {
  Advance(now);
  loan_record& record = loans_[borrower];
  if (loan <= record.loan)
    return;
  End(record);
  record = {};
  record.loan = loan;
  record.live = true;
  record.granted = std::max<token_count>(0, held);
  record.expires = now + kLoanPeriod;
  next_expiry_ = std::min(next_expiry_, record.expires);
  lent_ += record.granted;
}

void rate_ledger::OnBorrowerGone(uint64_t borrower) {
  const auto found = loans_.find(borrower);
  if (found != loans_.end())
    End(found->second);
}

std::vector<loan_grant> rate_ledger::TakeLateGrants(time_point now) {
  Advance(now);
  if (now < late_grants_at_ + kLateGrantInterval)
    return {};
  std::vector<std::pair<time_point, uint64_t>> waiting;
  for (const auto& [borrower, record] : loans_) {
    if (record.live && record.unmet > 0 &&
        now < record.unmet_since + kUnmetPeriod)
      waiting.emplace_back(record.unmet_since, borrower);
  }
  std::sort(waiting.begin(), waiting.end());
  std::vector<loan_grant> grants;
  for (const auto& [since, borrower] : waiting) {
    loan_record& record = loans_[borrower];
    const token_count amount = std::min(record.unmet, Whole(level_));
    if (amount <= 0)
      break;
    Lend(record, amount);
    record.unmet -= amount;
    grants.push_back(
        {borrower, record.loan, record.round, record.granted, false});
    late_grants_at_ = now;
  }
  return grants;
}

std::vector<uint64_t> rate_ledger::TakeRecalls(time_point now) {
  std::vector<uint64_t> borrowers;
  if (!HasUnmet(now) || level_ >= kToken)
    return borrowers;
  for (auto& [borrower, record] : loans_) {
    if (!record.live || record.unmet > 0 || record.Outstanding() < kToken ||
        now < record.recalled_at + kRecallInterval)
      continue;
    record.recalled_at = now;
    borrowers.push_back(borrower);
  }
  return borrowers;
}

bool rate_ledger::HasUnmet(time_point now) const {
  return std::any_of(loans_.begin(), loans_.end(), [now](const auto& entry) {
    return entry.second.live && entry.second.unmet > 0 &&
           now < entry.second.unmet_since + kUnmetPeriod;
  });
}

void rate_ledger::Advance(time_point now) {
  if (now >= next_expiry_) {
    next_expiry_ = time_point::max();
    for (auto entry = loans_.begin(); entry != loans_.end();) {
      loan_record& record = entry->second;
      if (record.live && now >= record.expires)
        End(record);
      if (!record.live && now >= record.expires + kEndedLoanMemory) {
        entry = loans_.erase(entry);
        continue;
      }
      next_expiry_ = std::min(
          next_expiry_,
          record.live ? record.expires : record.expires + kEndedLoanMemory);
      ++entry;
    }
  }
  while (true) {
    const auto elapsed = std::min(
        std::chrono::duration_cast<microseconds>(now - minted_at_), kMintStep);
    if (elapsed <= microseconds::zero())
      return;
    minted_at_ += elapsed;
    const token_count room = std::max<token_count>(0, burst_ - level_ - lent_);
    // The remainder is carried over, so that neither rounding nor the number
    // of steps changes the rate.
    const token_count product = rate_per_second_ * elapsed.count() + remainder_;
    const token_count minted = product / kMicrosPerSecond;
    if (minted >= room) {
      level_ += room;
      remainder_ = 0;
      minted_at_ = now;
      return;
    }
    level_ += minted;
    remainder_ = product % kMicrosPerSecond;
  }
}

void rate_ledger::End(loan_record& record) {
  if (!record.live)
    return;
  record.live = false;
  record.unmet = 0;
  lent_ -= record.Outstanding();
}

void rate_ledger::Lend(loan_record& record, token_count amount) {
  level_ -= amount;
  lent_ += amount;
  record.granted += amount;
}

}  // namespace skylarkhoist
