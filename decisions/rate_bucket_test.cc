#include "decisions/rate_bucket.h"

#include <CppUTest/TestHarness.h>

#include "decisions/rate_borrower.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};

time_point At(int ms) {
  return kStart + milliseconds(ms);
}

TEST_GROUP(rate_bucket) {
  // 100 tokens per second, burst 20.
  rate_bucket bucket{100, 20, kStart};
};

loan_request MakeRequest(uint64_t borrower,
                         uint64_t request_number,
                         token_count urgent_tokens) {
  loan_request request;
  request.borrower = borrower;
  request.loan_id = 1;
  request.established = request_number > 1;
  request.request_number = request_number;
  request.wanted = urgent_tokens * kOneToken;
  request.urgent = urgent_tokens * kOneToken;
  return request;
}

// Guards against a refill beyond the burst while tokens are lent.
TEST(rate_bucket, RefillsUpToBurstLessLent) {
  CHECK_EQUAL(0, bucket.OnRequest(MakeRequest(1, 1, 5), At(0)).granted);
  CHECK_EQUAL(5 * kOneToken,
              bucket.OnRequest(MakeRequest(1, 2, 5), At(70)).granted);
  CHECK_EQUAL(2 * kOneToken, bucket.Level(At(70)));
  CHECK_EQUAL(15 * kOneToken, bucket.Level(At(1900)));
  CHECK_EQUAL(5 * kOneToken, bucket.lent());
}

TEST(rate_bucket, ReturnedTokensComeBackAndSpentOnesDoNot) {
  bucket.OnRequest(MakeRequest(1, 1, 10), At(1000));
  loan_request report = MakeRequest(1, 2, 0);
  report.spent = 4 * kOneToken;
  report.returned = 3 * kOneToken;
  bucket.OnRequest(report, At(1000));
  CHECK_EQUAL(3 * kOneToken, bucket.lent());
  CHECK_EQUAL(13 * kOneToken, bucket.Level(At(1000)));
  // A duplicate of the message has no effect.
  CHECK_EQUAL(0, bucket.OnRequest(report, At(1000)).borrower);
  report.request_number = 3;
  bucket.OnRequest(report, At(1000));
  CHECK_EQUAL(3 * kOneToken, bucket.lent());
}

// Guards against loans that continue after the owner has ended them.
TEST(rate_bucket, LateMessagesDoNotReviveAnEndedLoan) {
  bucket.OnRequest(MakeRequest(1, 1, 5), At(100));
  CHECK_EQUAL(5 * kOneToken, bucket.lent());
  bucket.Level(At(2100));
  CHECK_EQUAL(0, bucket.lent());
  CHECK_TRUE(bucket.OnRequest(MakeRequest(1, 2, 5), At(2100)).closed);
  loan_request copy = MakeRequest(1, 3, 5);
  copy.established = false;
  CHECK_TRUE(bucket.OnRequest(copy, At(2101)).closed);
  copy.loan_id = 2;
  CHECK_EQUAL(5 * kOneToken, bucket.OnRequest(copy, At(2102)).granted);
  CHECK_EQUAL(0, bucket.OnRequest(MakeRequest(1, 4, 5), At(2103)).borrower);
}

TEST(rate_bucket, UnmetDemandIsServedFromReturnedTokens) {
  bucket.OnRequest(MakeRequest(1, 1, 20), At(1000));
  CHECK_EQUAL(0, bucket.OnRequest(MakeRequest(2, 1, 3), At(1000)).granted);
  const auto return_requests = bucket.TakeReturnRequests(At(1000));
  CHECK_EQUAL(1, return_requests.size());
  CHECK_EQUAL(1, return_requests.front());
  CHECK_EQUAL(0, bucket.TakeReturnRequests(At(1001)).size());
  loan_request report = MakeRequest(1, 2, 0);
  report.returned = 8 * kOneToken;
  bucket.OnRequest(report, At(1003));
  const auto grants = bucket.TakeDeferredGrants(At(1003));
  CHECK_EQUAL(1, grants.size());
  CHECK_EQUAL(3 * kOneToken, grants.front().granted);
  CHECK_FALSE(bucket.HasUnmetDemand(At(1003)));
}

TEST(rate_bucket, AdoptedLoansStopRefill) {
  bucket.AdoptLoan(1, 4, 20 * kOneToken, At(0));
  bucket.AdoptLoan(1, 4, 20 * kOneToken, At(1));
  CHECK_EQUAL(20 * kOneToken, bucket.lent());
  CHECK_EQUAL(0, bucket.Level(At(1000)));
  bucket.OnBorrowerGone(1);
  CHECK_EQUAL(10 * kOneToken, bucket.Level(At(1100)));
}

TEST(rate_bucket, LowerBurstTakesEffectAtOnce) {
  bucket.OnRequest(MakeRequest(1, 1, 5), At(1000));
  bucket.SetRate(100, 8, At(1000));
  CHECK_EQUAL(3 * kOneToken, bucket.Level(At(2000)));
}

// Guards against rounding errors that add up over many small refills.
TEST(rate_bucket, SmallStepsRefillAtTheExactRate) {
  rate_bucket fractional(333.333, 1000, kStart);
  time_point now = kStart;
  for (int i = 0; i < 30000; ++i)
    fractional.Level(now += std::chrono::microseconds(97));
  const double exact =
      333.333 * std::chrono::duration<double>(now - kStart).count();
  const double level = static_cast<double>(fractional.Level(now)) / kOneToken;
  CHECK_TRUE(level <= exact && level > exact - 0.01);
}

// Guards against an overflow, or a limit on the refilled time, after a long
// time without use.
TEST(rate_bucket, LongIdleTimesRefillAtTheExactRate) {
  rate_bucket slow(0.01, 100, kStart);
  CHECK_EQUAL(36 * kOneToken, slow.Level(kStart + std::chrono::hours(1)));
  rate_bucket fast(9e6, 9e6, kStart);
  CHECK_EQUAL(token_count{9000000} * kOneToken,
              fast.Level(kStart + std::chrono::hours(9)));
}

TEST_GROUP(rate_borrower) {
  // Borrows `tokens` from the owner of `epoch` with a request at `at_ms`.
  void Borrow(uint64_t epoch, token_count tokens, int at_ms) {
    borrower.RecordDemand(At(at_ms));
    const auto request = borrower.NextRequest(1, At(at_ms));
    CHECK_TRUE(request.has_value());
    CHECK_TRUE(borrower.OnGrant(epoch, request->loan_id,
                                request->request_number, tokens * kOneToken,
                                false, At(at_ms + 2)));
  }
  rate_borrower borrower;
};

// Guards against tokens that are spent after the loan has expired at the owner.
TEST(rate_borrower, LoanEndsTwoSecondsAfterSending) {
  Borrow(5, 10, 0);
  CHECK_TRUE(borrower.TrySpend(At(1999)));
  CHECK_FALSE(borrower.TrySpend(At(2000)));
  CHECK_EQUAL(0, borrower.NextRequest(1, At(2000))->epoch);
}

TEST(rate_borrower, CountsAreNotMixedBetweenEpochs) {
  Borrow(5, 10, 0);
  const auto request = borrower.NextRequest(20, At(50));
  // A newer owner answers: the tokens of the old loan are dropped.
  CHECK_FALSE(borrower.OnGrant(6, request->loan_id, request->request_number,
                               10 * kOneToken, false, At(52)));
  CHECK_EQUAL(0, borrower.Held(At(52)));
  const auto fresh = borrower.NextRequest(1, At(53));
  CHECK_FALSE(borrower.OnGrant(5, fresh->loan_id, fresh->request_number,
                               10 * kOneToken, false, At(54)));
  CHECK_TRUE(borrower.OnGrant(6, fresh->loan_id, fresh->request_number,
                              2 * kOneToken, false, At(54)));
}

// Guards against grants of a previous owner that count after the tokens have
// been reported to the new owner.
TEST(rate_borrower, MoveKeepsTokensAndTheirExpiry) {
  Borrow(5, 10, 0);
  const auto pending = borrower.NextRequest(20, At(100));
  const auto moved = borrower.MoveToEpoch(7, At(101));
  CHECK_EQUAL(10 * kOneToken, moved.held);
  CHECK_FALSE(borrower.OnGrant(5, pending->loan_id, pending->request_number,
                               30 * kOneToken, false, At(102)));
  CHECK_EQUAL(10 * kOneToken, borrower.Held(At(1999)));
  CHECK_EQUAL(0, borrower.Held(At(2000)));
}

TEST(rate_borrower, ReturnsTokensWhenIdleOrRequested) {
  // The fast estimate is 110 calls per second; tokens for 20 ms of it are kept.
  for (int i = 0; i < 11; ++i)
    borrower.RecordDemand(At(0));
  Borrow(5, 100, 0);
  borrower.OnReturnRequested();
  const auto back = borrower.NextRequest(0, At(10));
  CHECK_EQUAL(98 * kOneToken, back->returned);
  const auto rest = borrower.NextRequest(0, At(1100));
  CHECK_EQUAL(100 * kOneToken, rest->returned);
  CHECK_FALSE(borrower.NextRequest(0, At(1200)).has_value());
}

TEST(rate_borrower, RequestsAreLimitedWhileUnderserved) {
  int sent = 0;
  for (int ms = 0; ms < 1000; ++ms) {
    borrower.RecordDemand(At(ms));
    sent += borrower.NextRequest(5, At(ms)).has_value() ? 1 : 0;
  }
  CHECK_TRUE(sent <= 100);
}

}  // namespace
}  // namespace skylarkhoist
