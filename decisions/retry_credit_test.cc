#include "decisions/retry_credit.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <vector>

#include "decisions/retry_budget.h"
#include "kernel/random.h"

namespace skylarkhoist {
namespace {

// Runs a call that makes random child calls, some of them concurrent and some
// retried. Returns the credit left and counts the additional executions in
// `extra`.
int RunChain(int credit, int depth, random_source& random, int& extra) {
  retry_credit held(credit);
  if (depth > 0) {
    std::vector<std::pair<int, int>> lent;
    for (uint64_t child = random.Below(4); child > 0; --child) {
      const int share = random.Below(2) == 0 ? held.LendShare() : 0;
      const int left = RunChain(share, depth - 1, random, extra);
      // The credit of a lost answer is lost with it.
      if (random.Below(4) != 0)
        lent.emplace_back(share, left);
      if (random.Below(2) == 0 && held.Spend()) {
        ++extra;
        const int all = held.LendAll();
        held.Return(all, RunChain(all, depth - 1, random, extra));
      }
    }
    for (const auto& [share, left] : lent)
      held.Return(share, left);
  }
  return held.available();
}

TEST_GROUP(retry_credit){};

// Guards against retries that multiply at each hop.
TEST(retry_credit, ExtraExecutionsNeverExceedTheInitialCredit) {
  CHECK_TRUE(rc::check([](uint64_t seed) {
    mt_random random(seed);
    const int credit = *rc::gen::inRange(0, 10);
    int extra = 0;
    const int left = RunChain(credit, 6, random, extra);
    RC_ASSERT(left >= 0);
    RC_ASSERT(extra + left <= credit);
  }));
}

// Guards against a peer that returns more credit than it was lent, or a
// negative amount.
TEST(retry_credit, ReturnIsCappedAtTheAmountLent) {
  retry_credit credit(4);
  CHECK_EQUAL(2, credit.LendShare());
  credit.Return(2, 9);
  CHECK_EQUAL(4, credit.available());
  CHECK_EQUAL(4, credit.LendAll());
  credit.Return(4, -1);
  CHECK_EQUAL(0, credit.available());
  CHECK_FALSE(credit.Spend());
}

TEST_GROUP(retry_budget){};

// Guards against more retries than 10% of the first attempts in any 10 s.
TEST(retry_budget, AllowsOneRetryPerTenFirstAttempts) {
  retry_budget budget;
  const time_point start{std::chrono::hours(1)};
  for (int i = 0; i < 25; ++i)
    budget.OnFirstAttempt(start);
  CHECK_TRUE(budget.TakeRetry(start));
  CHECK_TRUE(budget.TakeRetry(start));
  CHECK_FALSE(budget.TakeRetry(start));
  // The attempts count for 10 s, and the retries for at least as long.
  const time_point later = start + std::chrono::seconds(10);
  CHECK_FALSE(budget.TakeRetry(later));
  for (int i = 0; i < 20; ++i)
    budget.OnFirstAttempt(later);
  CHECK_FALSE(budget.TakeRetry(later));
  CHECK_TRUE(budget.TakeRetry(start + std::chrono::seconds(11)));
}

// Guards against retries that add load to an overloaded service.
TEST(retry_budget, AllowsNoRetryWhileOverloaded) {
  retry_budget budget;
  const time_point now{std::chrono::hours(1)};
  for (int i = 0; i < 100; ++i)
    budget.OnFirstAttempt(now);
  budget.SetOverloaded(true);
  CHECK_FALSE(budget.TakeRetry(now));
  budget.SetOverloaded(false);
  CHECK_TRUE(budget.TakeRetry(now));
}

}  // namespace
}  // namespace skylarkhoist
