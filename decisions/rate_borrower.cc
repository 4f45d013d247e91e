#include "decisions/rate_borrower.h"

#include <algorithm>
#include <cmath>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

// Tokens for this much demand are held, so that calls pass while a new owner
// takes over.
constexpr double kHorizonSeconds = 0.4;
// With less than this, more is asked for soon.
constexpr double kLowSeconds = 0.1;
// Kept when another node lacks tokens.
constexpr double kKeepSeconds = 0.02;
constexpr double kFastSeconds = 0.1;
constexpr double kSlowSeconds = 1.0;
// The short estimate counts from this many calls in its time.
constexpr double kSurgeCalls = 5;

// A loan with demand is renewed well before its end, with time for a retry.
constexpr duration kRenewal = milliseconds(800);
// Least time between requests while calls wait.
constexpr duration kUrgentInterval = milliseconds(10);
// The same after an owner has shown that it has too few; it serves the rest
// unasked as soon as it can.
constexpr duration kShortInterval = milliseconds(40);
// Least time between requests that only borrow ahead.
constexpr duration kLowInterval = milliseconds(100);
// Without calls for this long, all tokens are returned.
constexpr duration kIdlePeriod = std::chrono::seconds(1);

constexpr size_t kOpenRounds = 64;

}  // namespace

bool rate_borrower::TrySpend(time_point now) {
  Expire(now);
  if (now >= valid_until_ || Balance() < kToken)
    return false;
  spent_ += kToken;
  return true;
}

void rate_borrower::OnDemand(time_point now) {
  DecayDemand(now);
  fast_demand_ += 1 / kFastSeconds;
  slow_demand_ += 1 / kSlowSeconds;
  last_call_ = now;
}

std::optional<borrower_request> rate_borrower::NextRequest(size_t waiting,
                                                           time_point now) {
  Expire(now);
  DecayDemand(now);
  const token_count balance = Held(now);
  const duration since = now - sent_at_;
  const auto urgent = std::max<token_count>(
      0, static_cast<token_count>(waiting) * kToken - balance);
  if (urgent > 0) {
    if (since < (short_ ? kShortInterval : kUrgentInterval))
      return std::nullopt;
    return MakeRequest(urgent + Target(kHorizonSeconds), urgent, now);
  }
  if (want_back_) {
    want_back_ = false;
    const auto keep =
        static_cast<token_count>(fast_demand_ * kKeepSeconds) * kToken;
    if (balance > keep) {
      returned_ += balance - keep;
      return MakeRequest(0, 0, now);
    }
  }
  if (now - last_call_ >= kIdlePeriod) {
    if (balance <= 0)
      return std::nullopt;
    returned_ += balance;
    return MakeRequest(0, 0, now);
  }
  const token_count target = Target(kHorizonSeconds);
  const bool renewal = since >= kRenewal;
  const bool low = balance < Target(kLowSeconds) && since >= kLowInterval;
  if (!renewal && !low)
    return std::nullopt;
  if (balance > 2 * target)
    returned_ += balance - target;
  return MakeRequest(std::max<token_count>(0, target - balance), 0, now);
}

bool rate_borrower::OnGrant(uint64_t epoch,
                            uint64_t loan,
                            uint64_t round,
                            token_count granted,
                            bool closed,
                            time_point now) {
  Expire(now);
  if (epoch == 0 || epoch < lowest_epoch_ || epoch < epoch_)
    return false;
  if (epoch_ != 0 && epoch > epoch_) {
    // A newer owner: the counts of the old one mean nothing to it.
    lowest_epoch_ = epoch;
    StartLoan();
    return false;
  }
  if (loan != loan_)
    return false;
  if (closed) {
    StartLoan();
    return false;
  }
  const auto sent =
      std::find_if(rounds_.begin(), rounds_.end(),
                   [round](const auto& open) { return open.round == round; });
  if (sent == rounds_.end())
    return false;
  const time_point until = sent->sent + kLoanPeriod;
  if (until <= now)
    return false;
  epoch_ = epoch;
  lowest_epoch_ = std::max(lowest_epoch_, epoch);
  granted_ = std::max(granted_, granted);
  short_ = granted_ < covered_at_;
  valid_until_ = std::max(valid_until_, until);
  answered_round_ = std::max(answered_round_, round);
  return true;
}

rate_borrower::moved_loan rate_borrower::MoveTo(uint64_t epoch,
                                                time_point now) {
  Expire(now);
  lowest_epoch_ = std::max(lowest_epoch_, epoch);
  const token_count held = Held(now);
  const time_point until = valid_until_;
  StartLoan();
  if (held > 0) {
    epoch_ = epoch;
    granted_ = held;
    valid_until_ = until;
  }
  return {loan_, held};
}

std::optional<borrower_request> rate_borrower::TakeFinalRequest(
    time_point now) {
  Expire(now);
  if (epoch_ == 0 || Settled(now) ||
      (Held(now) <= 0 && now - sent_at_ < kUrgentInterval))
    return std::nullopt;
  returned_ += Held(now);
  return MakeRequest(0, 0, now);
}

void rate_borrower::Expire(time_point now) {
  if (epoch_ != 0 && now >= valid_until_)
    StartLoan();
}

void rate_borrower::StartLoan() {
  ++loan_;
  epoch_ = 0;
  granted_ = 0;
  spent_ = 0;
  returned_ = 0;
  short_ = false;
  covered_at_ = 0;
  valid_until_ = time_point();
  rounds_.clear();
  // The first request of the new loan is due at once.
  sent_at_ = time_point();
}

void rate_borrower::DecayDemand(time_point now) {
  const double seconds =
      std::chrono::duration<double>(now - demand_at_).count();
  if (seconds <= 0)
    return;
  fast_demand_ *= std::exp(-seconds / kFastSeconds);
  slow_demand_ *= std::exp(-seconds / kSlowSeconds);
  demand_at_ = now;
}

token_count rate_borrower::Target(double seconds) const {
  // A few calls at a time say little about the short term.
  const bool surge = fast_demand_ * kFastSeconds >= kSurgeCalls;
  const double demand =
      surge ? std::max(fast_demand_, slow_demand_) : slow_demand_;
  const double calls = demand * seconds;
  return kToken * static_cast<token_count>(std::ceil(calls + std::sqrt(calls)));
}

borrower_request rate_borrower::MakeRequest(token_count wanted,
                                            token_count urgent,
                                            time_point now) {
  sent_at_ = now;
  rounds_.push_back({next_round_, now});
  if (rounds_.size() > kOpenRounds)
    rounds_.pop_front();
  borrower_request request;
  request.epoch = epoch_;
  request.loan = loan_;
  request.round = next_round_++;
  request.spent = spent_;
  request.returned = returned_;
  request.held = Balance();
  request.wanted = wanted;
  request.urgent = urgent;
  covered_at_ = granted_ + urgent;
  return request;
}

}  // namespace skylarkhoist
