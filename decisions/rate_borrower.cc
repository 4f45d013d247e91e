#include "decisions/rate_borrower.h"

#include <algorithm>
#include <cmath>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

// A borrower aims to hold the tokens for this much demand, so that calls are
// admitted while a new owner takes over the shard.
constexpr double kHeldDemandSeconds = 0.4;
// A balance below this much demand is refilled after kPrefetchInterval.
constexpr double kLowDemandSeconds = 0.1;
// Demand for which tokens are kept when another node lacks tokens.
constexpr double kKeptDemandSeconds = 0.02;
constexpr double kFastTimeConstantSeconds = 0.1;
constexpr double kSlowTimeConstantSeconds = 1.0;
// The fast estimate is used from this many calls per time constant on.
constexpr double kMinFastEstimateCalls = 5;

// A loan with demand is renewed well before its expiry, so that a lost request
// can be repeated.
constexpr duration kLoanRenewalInterval = milliseconds(800);
// Minimum time between requests while calls wait.
constexpr duration kUrgentInterval = milliseconds(10);
// The same while the owner lacks tokens. It grants the rest unasked as soon as
// it can.
constexpr duration kUnderservedInterval = milliseconds(40);
// Minimum time between requests that only borrow in advance of demand.
constexpr duration kPrefetchInterval = milliseconds(100);
// All tokens are returned after this time without a call.
constexpr duration kIdleTimeout = std::chrono::seconds(1);

// Sent requests whose grants still count.
constexpr size_t kMaxSentRequests = 64;

}  // namespace

bool rate_borrower::TrySpend(time_point now) {
  DropExpiredLoan(now);
  if (now >= expires_at_ || Balance() < kOneToken)
    return false;
  spent_ += kOneToken;
  return true;
}

void rate_borrower::RecordDemand(time_point now) {
  DecayDemand(now);
  fast_calls_per_second_ += 1 / kFastTimeConstantSeconds;
  slow_calls_per_second_ += 1 / kSlowTimeConstantSeconds;
  last_call_at_ = now;
}

std::optional<borrower_request> rate_borrower::NextRequest(size_t waiting,
                                                           time_point now) {
  DropExpiredLoan(now);
  DecayDemand(now);
  const token_count balance = Held(now);
  const duration since = now - last_request_at_;
  const auto urgent = std::max<token_count>(
      0, static_cast<token_count>(waiting) * kOneToken - balance);
  if (urgent > 0) {
    if (since < (underserved_ ? kUnderservedInterval : kUrgentInterval))
      return std::nullopt;
    return MakeRequest(urgent + TokensForDemand(kHeldDemandSeconds), urgent,
                       now);
  }
  if (return_requested_) {
    return_requested_ = false;
    const auto keep =
        static_cast<token_count>(fast_calls_per_second_ * kKeptDemandSeconds) *
        kOneToken;
    if (balance > keep) {
      returned_ += balance - keep;
      return MakeRequest(0, 0, now);
    }
  }
  if (now - last_call_at_ >= kIdleTimeout) {
    if (balance <= 0)
      return std::nullopt;
    returned_ += balance;
    return MakeRequest(0, 0, now);
  }
  const token_count target = TokensForDemand(kHeldDemandSeconds);
  const bool renewal = since >= kLoanRenewalInterval;
  const bool low = balance < TokensForDemand(kLowDemandSeconds) &&
                   since >= kPrefetchInterval;
  if (!renewal && !low)
    return std::nullopt;
  if (balance > 2 * target)
    returned_ += balance - target;
  return MakeRequest(std::max<token_count>(0, target - balance), 0, now);
}

bool rate_borrower::OnGrant(uint64_t epoch,
                            uint64_t loan_id,
                            uint64_t request_number,
                            token_count granted,
                            bool closed,
                            time_point now) {
  DropExpiredLoan(now);
  if (epoch == 0 || epoch < min_epoch_ || epoch < epoch_)
    return false;
  if (epoch_ != 0 && epoch > epoch_) {
    // A newer owner does not know the counts of this loan.
    min_epoch_ = epoch;
    StartLoan();
    return false;
  }
  if (loan_id != loan_id_)
    return false;
  if (closed) {
    StartLoan();
    return false;
  }
  const auto sent =
      std::find_if(sent_requests_.begin(), sent_requests_.end(),
                   [request_number](const auto& request) {
                     return request.request_number == request_number;
                   });
  if (sent == sent_requests_.end())
    return false;
  const time_point expires_at = sent->sent_at + kLoanPeriod;
  if (expires_at <= now)
    return false;
  epoch_ = epoch;
  min_epoch_ = std::max(min_epoch_, epoch);
  granted_ = std::max(granted_, granted);
  underserved_ = granted_ < required_grant_;
  expires_at_ = std::max(expires_at_, expires_at);
  answered_request_number_ = std::max(answered_request_number_, request_number);
  return true;
}

rate_borrower::moved_loan rate_borrower::MoveToEpoch(uint64_t epoch,
                                                     time_point now) {
  DropExpiredLoan(now);
  min_epoch_ = std::max(min_epoch_, epoch);
  const token_count held = Held(now);
  const time_point expires_at = expires_at_;
  StartLoan();
  if (held > 0) {
    epoch_ = epoch;
    granted_ = held;
    expires_at_ = expires_at;
  }
  return {loan_id_, held};
}

std::optional<borrower_request> rate_borrower::MakeFinalRequest(
    time_point now) {
  DropExpiredLoan(now);
  if (epoch_ == 0 || ReturnConfirmed(now) ||
      (Held(now) <= 0 && now - last_request_at_ < kUrgentInterval))
    return std::nullopt;
  returned_ += Held(now);
  return MakeRequest(0, 0, now);
}

void rate_borrower::DropExpiredLoan(time_point now) {
  if (epoch_ != 0 && now >= expires_at_)
    StartLoan();
}

void rate_borrower::StartLoan() {
  ++loan_id_;
  epoch_ = 0;
  granted_ = 0;
  spent_ = 0;
  returned_ = 0;
  underserved_ = false;
  required_grant_ = 0;
  expires_at_ = time_point();
  sent_requests_.clear();
  // Makes the first request of the new loan due immediately.
  last_request_at_ = time_point();
}

void rate_borrower::DecayDemand(time_point now) {
  const double seconds =
      std::chrono::duration<double>(now - demand_updated_at_).count();
  if (seconds <= 0)
    return;
  fast_calls_per_second_ *= std::exp(-seconds / kFastTimeConstantSeconds);
  slow_calls_per_second_ *= std::exp(-seconds / kSlowTimeConstantSeconds);
  demand_updated_at_ = now;
}

token_count rate_borrower::TokensForDemand(double seconds) const {
  // With only a few calls the fast estimate is too noisy.
  const bool use_fast = fast_calls_per_second_ * kFastTimeConstantSeconds >=
                        kMinFastEstimateCalls;
  const double demand =
      use_fast ? std::max(fast_calls_per_second_, slow_calls_per_second_)
               : slow_calls_per_second_;
  const double calls = demand * seconds;
  return kOneToken *
         static_cast<token_count>(std::ceil(calls + std::sqrt(calls)));
}

borrower_request rate_borrower::MakeRequest(token_count wanted,
                                            token_count urgent,
                                            time_point now) {
  last_request_at_ = now;
  sent_requests_.push_back({next_request_number_, now});
  if (sent_requests_.size() > kMaxSentRequests)
    sent_requests_.pop_front();
  borrower_request request;
  request.epoch = epoch_;
  request.loan_id = loan_id_;
  request.request_number = next_request_number_++;
  request.spent = spent_;
  request.returned = returned_;
  request.held = Balance();
  request.wanted = wanted;
  request.urgent = urgent;
  required_grant_ = granted_ + urgent;
  return request;
}

}  // namespace skylarkhoist
