#include "decisions/rate_bucket.h"

#include <algorithm>
#include <cmath>

namespace skylarkhoist {
namespace {

using std::chrono::microseconds;

// Bounds that keep rate * elapsed time within 64 bits; a longer time is
// refilled in several steps.
constexpr token_count kMaxRateAndBurst = 10'000'000 * kOneToken;
constexpr microseconds kMaxRefillStep = std::chrono::seconds(100);

constexpr token_count kMicrosPerSecond = 1'000'000;

// A call waits at most 50 ms for a token, so older unmet demand is obsolete.
constexpr duration kUnmetDemandTimeout = std::chrono::milliseconds(50);
constexpr duration kDeferredGrantInterval = std::chrono::milliseconds(15);
constexpr duration kReturnRequestInterval = std::chrono::milliseconds(25);

// Longer than any message can be delayed: a link is closed after 1 s of
// silence.
constexpr duration kEndedLoanRetention = std::chrono::seconds(60);

// A request gets at most 1/kAdvanceDivisor of the level in advance of demand,
// so that one node cannot take all tokens before it needs them.
constexpr token_count kAdvanceDivisor = 4;

token_count ToTokenCount(double value) {
  return std::clamp<token_count>(
      static_cast<token_count>(std::floor(value * kOneToken)), 0,
      kMaxRateAndBurst);
}

token_count RoundDownToToken(token_count amount) {
  return amount / kOneToken * kOneToken;
}

}  // namespace

rate_bucket::rate_bucket(double per_second, double burst, time_point now)
    : refill_per_second_(ToTokenCount(per_second)),
      burst_(ToTokenCount(burst)),
      refilled_at_(now),
      next_expiry_(time_point::max()) {}

void rate_bucket::SetRate(double per_second, double burst, time_point now) {
  AdvanceTo(now);
  refill_per_second_ = ToTokenCount(per_second);
  burst_ = ToTokenCount(burst);
  level_ = std::min(level_, std::max<token_count>(0, burst_ - lent_));
}

loan_grant rate_bucket::OnRequest(const loan_request& request, time_point now) {
  AdvanceTo(now);
  const auto found = loans_.find(request.borrower);
  if (found != loans_.end() && request.loan_id < found->second.loan_id)
    return {};
  loan_grant closed{request.borrower, request.loan_id, request.request_number,
                    0, true};
  if (found == loans_.end() || request.loan_id > found->second.loan_id) {
    if (request.established)
      return closed;
    // The borrower has dropped its previous loan.
    loan_record& record = loans_[request.borrower];
    EndLoan(record);
    record = {};
    record.loan_id = request.loan_id;
    record.active = true;
  }
  loan_record& record = loans_[request.borrower];
  if (!record.active)
    return closed;
  if (request.request_number <= record.last_request_number)
    return {};
  record.last_request_number = request.request_number;
  record.expires_at = now + kLoanPeriod;
  next_expiry_ = std::min(next_expiry_, record.expires_at);
  const token_count spent =
      std::max<token_count>(0, request.spent - record.spent);
  const token_count returned =
      std::max<token_count>(0, request.returned - record.returned);
  if (spent + returned > record.Outstanding()) {
    // The request exceeds the loan, so the borrower is faulty. Its loan ends
    // and the reported tokens are not added to the level.
    EndLoan(record);
    return closed;
  }
  record.spent += spent;
  record.returned += returned;
  lent_ -= spent + returned;
  level_ =
      std::min(level_ + returned, std::max<token_count>(0, burst_ - lent_));
  const token_count urgent =
      std::clamp<token_count>(request.urgent, 0, request.wanted);
  // Lends whole tokens only, as fractions would be unusable at the borrowers.
  const token_count served_urgent = std::min(urgent, RoundDownToToken(level_));
  Lend(record, served_urgent);
  Lend(record, std::min(request.wanted - urgent,
                        RoundDownToToken(level_ / kAdvanceDivisor)));
  record.unmet = urgent - served_urgent;
  record.unmet_since = now;
  return {request.borrower, record.loan_id, record.last_request_number,
          record.granted, false};
}

void rate_bucket::AdoptLoan(uint64_t borrower,
                            uint64_t loan_id,
                            token_count held,
                            time_point now) {
  AdvanceTo(now);
  loan_record& record = loans_[borrower];
  if (loan_id <= record.loan_id)
    return;
  EndLoan(record);
  record = {};
  record.loan_id = loan_id;
  record.active = true;
  record.granted = std::max<token_count>(0, held);
  record.expires_at = now + kLoanPeriod;
  next_expiry_ = std::min(next_expiry_, record.expires_at);
  lent_ += record.granted;
}

void rate_bucket::OnBorrowerGone(uint64_t borrower) {
  const auto found = loans_.find(borrower);
  if (found != loans_.end())
    EndLoan(found->second);
}

std::vector<loan_grant> rate_bucket::TakeDeferredGrants(time_point now) {
  AdvanceTo(now);
  if (now < deferred_grants_at_ + kDeferredGrantInterval)
    return {};
  std::vector<std::pair<time_point, uint64_t>> waiting;
  for (const auto& [borrower, record] : loans_) {
    if (record.active && record.unmet > 0 &&
        now < record.unmet_since + kUnmetDemandTimeout)
      waiting.emplace_back(record.unmet_since, borrower);
  }
  std::sort(waiting.begin(), waiting.end());
  std::vector<loan_grant> grants;
  for (const auto& [since, borrower] : waiting) {
    loan_record& record = loans_[borrower];
    const token_count amount = std::min(record.unmet, RoundDownToToken(level_));
    if (amount <= 0)
      break;
    Lend(record, amount);
    record.unmet -= amount;
    grants.push_back({borrower, record.loan_id, record.last_request_number,
                      record.granted, false});
    deferred_grants_at_ = now;
  }
  return grants;
}

std::vector<uint64_t> rate_bucket::TakeReturnRequests(time_point now) {
  std::vector<uint64_t> borrowers;
  if (!HasUnmetDemand(now) || level_ >= kOneToken)
    return borrowers;
  for (auto& [borrower, record] : loans_) {
    if (!record.active || record.unmet > 0 ||
        record.Outstanding() < kOneToken ||
        now < record.return_requested_at + kReturnRequestInterval)
      continue;
    record.return_requested_at = now;
    borrowers.push_back(borrower);
  }
  return borrowers;
}

bool rate_bucket::HasUnmetDemand(time_point now) const {
  return std::any_of(loans_.begin(), loans_.end(), [now](const auto& entry) {
    return entry.second.active && entry.second.unmet > 0 &&
           now < entry.second.unmet_since + kUnmetDemandTimeout;
  });
}

void rate_bucket::AdvanceTo(time_point now) {
  if (now >= next_expiry_) {
    next_expiry_ = time_point::max();
    for (auto entry = loans_.begin(); entry != loans_.end();) {
      loan_record& record = entry->second;
      if (record.active && now >= record.expires_at)
        EndLoan(record);
      if (!record.active && now >= record.expires_at + kEndedLoanRetention) {
        entry = loans_.erase(entry);
        continue;
      }
      next_expiry_ =
          std::min(next_expiry_, record.active
                                     ? record.expires_at
                                     : record.expires_at + kEndedLoanRetention);
      ++entry;
    }
  }
  while (true) {
    const auto elapsed =
        std::min(std::chrono::duration_cast<microseconds>(now - refilled_at_),
                 kMaxRefillStep);
    if (elapsed <= microseconds::zero())
      return;
    refilled_at_ += elapsed;
    const token_count room = std::max<token_count>(0, burst_ - level_ - lent_);
    // Carries the remainder over, so that neither rounding nor the number of
    // steps changes the rate.
    const token_count product =
        refill_per_second_ * elapsed.count() + refill_remainder_;
    const token_count added = product / kMicrosPerSecond;
    if (added >= room) {
      level_ += room;
      refill_remainder_ = 0;
      refilled_at_ = now;
      return;
    }
    level_ += added;
    refill_remainder_ = product % kMicrosPerSecond;
  }
}

void rate_bucket::EndLoan(loan_record& record) {
  if (!record.active)
    return;
  record.active = false;
  record.unmet = 0;
  lent_ -= record.Outstanding();
}

void rate_bucket::Lend(loan_record& record, token_count amount) {
  level_ -= amount;
  lent_ += amount;
  record.granted += amount;
}

}  // namespace skylarkhoist
