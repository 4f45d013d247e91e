#include "decisions/rate_ledger.h"

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

TEST_GROUP(rate_ledger) {
  // 100 a second, burst 20.
  rate_ledger ledger{100, 20, kStart};
};

loan_request Ask(uint64_t borrower, uint64_t round, token_count urgent) {
  loan_request request;
  request.borrower = borrower;
  request.loan = 1;
  request.known = round > 1;
  request.round = round;
  request.wanted = urgent * kToken;
  request.urgent = urgent * kToken;
  return request;
}

// Guards against tokens minted beyond the burst while others are lent.
TEST(rate_ledger, MintsUpToBurstLessLent) {
  CHECK_EQUAL(0, ledger.OnRequest(Ask(1, 1, 5), At(0)).granted);
  CHECK_EQUAL(5 * kToken, ledger.OnRequest(Ask(1, 2, 5), At(70)).granted);
  CHECK_EQUAL(2 * kToken, ledger.Level(At(70)));
  CHECK_EQUAL(15 * kToken, ledger.Level(At(1900)));
  CHECK_EQUAL(5 * kToken, ledger.lent());
}

TEST(rate_ledger, ReturnedTokensComeBackAndSpentOnesDoNot) {
  ledger.OnRequest(Ask(1, 1, 10), At(1000));
  loan_request report = Ask(1, 2, 0);
  report.spent = 4 * kToken;
  report.returned = 3 * kToken;
  ledger.OnRequest(report, At(1000));
  CHECK_EQUAL(3 * kToken, ledger.lent());
  CHECK_EQUAL(13 * kToken, ledger.Level(At(1000)));
  // A copy of the message counts once.
  CHECK_EQUAL(0, ledger.OnRequest(report, At(1000)).borrower);
  report.round = 3;
  ledger.OnRequest(report, At(1000));
  CHECK_EQUAL(3 * kToken, ledger.lent());
}

// Guards against loans that go on after the owner has forgotten them.
TEST(rate_ledger, LateMessagesDoNotReviveAnEndedLoan) {
  ledger.OnRequest(Ask(1, 1, 5), At(100));
  CHECK_EQUAL(5 * kToken, ledger.lent());
  ledger.Level(At(2100));
  CHECK_EQUAL(0, ledger.lent());
  CHECK_TRUE(ledger.OnRequest(Ask(1, 2, 5), At(2100)).closed);
  loan_request copy = Ask(1, 3, 5);
  copy.known = false;
  CHECK_TRUE(ledger.OnRequest(copy, At(2101)).closed);
  copy.loan = 2;
  CHECK_EQUAL(5 * kToken, ledger.OnRequest(copy, At(2102)).granted);
  CHECK_EQUAL(0, ledger.OnRequest(Ask(1, 4, 5), At(2103)).borrower);
}

TEST(rate_ledger, ShortageIsServedFromReturns) {
  ledger.OnRequest(Ask(1, 1, 20), At(1000));
  CHECK_EQUAL(0, ledger.OnRequest(Ask(2, 1, 3), At(1000)).granted);
  const auto recalls = ledger.TakeRecalls(At(1000));
  CHECK_EQUAL(1, recalls.size());
  CHECK_EQUAL(1, recalls.front());
  CHECK_EQUAL(0, ledger.TakeRecalls(At(1001)).size());
  loan_request report = Ask(1, 2, 0);
  report.returned = 8 * kToken;
  ledger.OnRequest(report, At(1003));
  const auto grants = ledger.TakeLateGrants(At(1003));
  CHECK_EQUAL(1, grants.size());
  CHECK_EQUAL(3 * kToken, grants.front().granted);
  CHECK_FALSE(ledger.HasUnmet(At(1003)));
}

TEST(rate_ledger, AdoptedLoansStopMinting) {
  ledger.Adopt(1, 4, 20 * kToken, At(0));
  ledger.Adopt(1, 4, 20 * kToken, At(1));
  CHECK_EQUAL(20 * kToken, ledger.lent());
  CHECK_EQUAL(0, ledger.Level(At(1000)));
  ledger.OnBorrowerGone(1);
  CHECK_EQUAL(10 * kToken, ledger.Level(At(1100)));
}

TEST(rate_ledger, LowerBurstTakesEffectAtOnce) {
  ledger.OnRequest(Ask(1, 1, 5), At(1000));
  ledger.SetRate(100, 8, At(1000));
  CHECK_EQUAL(3 * kToken, ledger.Level(At(2000)));
}

// Fractions of a token must neither be lost nor added by many small steps.
TEST(rate_ledger, SmallStepsMintTheExactRate) {
  rate_ledger odd(333.333, 1000, kStart);
  time_point now = kStart;
  for (int i = 0; i < 30000; ++i)
    odd.Level(now += std::chrono::microseconds(97));
  const double exact =
      333.333 * std::chrono::duration<double>(now - kStart).count();
  const double level = static_cast<double>(odd.Level(now)) / kToken;
  CHECK_TRUE(level <= exact && level > exact - 0.01);
}

// Guards against an overflow or a cut in the time since the last use.
TEST(rate_ledger, LongIdleTimesMintTheExactRate) {
  rate_ledger slow(0.01, 100, kStart);
  CHECK_EQUAL(36 * kToken, slow.Level(kStart + std::chrono::hours(1)));
  rate_ledger fast(9e6, 9e6, kStart);
  CHECK_EQUAL(token_count{9000000} * kToken,
              fast.Level(kStart + std::chrono::hours(9)));
}

TEST_GROUP(rate_borrower) {
  // Gets `tokens` under `epoch`, requested at `at`.
  void Borrow(uint64_t epoch, token_count tokens, int at) {
    borrower.OnDemand(At(at));
    const auto request = borrower.NextRequest(1, At(at));
    CHECK_TRUE(request.has_value());
    CHECK_TRUE(borrower.OnGrant(epoch, request->loan, request->round,
                                tokens * kToken, false, At(at + 2)));
  }
  rate_borrower borrower;
};

// Guards against tokens that are used after the owner has written them off.
TEST(rate_borrower, LoanEndsTwoSecondsAfterSending) {
  Borrow(5, 10, 0);
  CHECK_TRUE(borrower.TrySpend(At(1999)));
  CHECK_FALSE(borrower.TrySpend(At(2000)));
  CHECK_EQUAL(0, borrower.NextRequest(1, At(2000))->epoch);
}

TEST(rate_borrower, CountsAreNotMixedBetweenEpochs) {
  Borrow(5, 10, 0);
  const auto request = borrower.NextRequest(20, At(50));
  // A newer owner answers: the old tokens are void.
  CHECK_FALSE(borrower.OnGrant(6, request->loan, request->round, 10 * kToken,
                               false, At(52)));
  CHECK_EQUAL(0, borrower.Held(At(52)));
  const auto fresh = borrower.NextRequest(1, At(53));
  CHECK_FALSE(borrower.OnGrant(5, fresh->loan, fresh->round, 10 * kToken, false,
                               At(54)));
  CHECK_TRUE(borrower.OnGrant(6, fresh->loan, fresh->round, 2 * kToken, false,
                              At(54)));
}

// Guards against grants of a former owner that arrive after the report.
TEST(rate_borrower, MoveKeepsTokensAndTheirEnd) {
  Borrow(5, 10, 0);
  const auto open = borrower.NextRequest(20, At(100));
  const auto moved = borrower.MoveTo(7, At(101));
  CHECK_EQUAL(10 * kToken, moved.held);
  CHECK_FALSE(borrower.OnGrant(5, open->loan, open->round, 30 * kToken, false,
                               At(102)));
  CHECK_EQUAL(10 * kToken, borrower.Held(At(1999)));
  CHECK_EQUAL(0, borrower.Held(At(2000)));
}

TEST(rate_borrower, ReturnsTokensWhenIdleOrAsked) {
  // 110 calls a second by the short estimate; 20 ms of it are kept.
  for (int i = 0; i < 11; ++i)
    borrower.OnDemand(At(0));
  Borrow(5, 100, 0);
  borrower.OnWantBack();
  const auto back = borrower.NextRequest(0, At(10));
  CHECK_EQUAL(98 * kToken, back->returned);
  const auto rest = borrower.NextRequest(0, At(1100));
  CHECK_EQUAL(100 * kToken, rest->returned);
  CHECK_FALSE(borrower.NextRequest(0, At(1200)).has_value());
}

TEST(rate_borrower, RequestsAreLimitedWhileShort) {
  int sent = 0;
  for (int ms = 0; ms < 1000; ++ms) {
    borrower.OnDemand(At(ms));
    sent += borrower.NextRequest(5, At(ms)).has_value() ? 1 : 0;
  }
  CHECK_TRUE(sent <= 100);
}

}  // namespace
}  // namespace skylarkhoist
