#include <CppUTest/TestHarness.h>

#include <vector>

#include "decisions/token_mint.h"
#include "decisions/token_purse.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(token_mint) {
  time_point now{std::chrono::hours(1)};
};

// Guards against more tokens than rate and burst allow, whatever is asked for.
TEST(token_mint, GrantsAtMostRateAndBurst) {
  token_mint mint(100, 50, now);
  int64_t granted = 0;
  for (int i = 0; i < 10'000; ++i) {
    granted += mint.Grant(i % 7, now);
    now += milliseconds(1);
  }
  CHECK_TRUE(granted <= 100 * 10 + 50);
  CHECK_TRUE(granted >= 100 * 10 - 2);
  CHECK_TRUE(mint.is_short());
  now += seconds(10);
  LONGS_EQUAL(50, mint.Grant(1000, now));
}

// Guards against a lower rate that takes effect only when the old burst is
// used.
TEST(token_mint, ALowerRateHoldsAtOnce) {
  token_mint mint(100, 100, now);
  now += seconds(2);
  mint.SetRate(10, 10, now);
  LONGS_EQUAL(10, mint.Grant(1000, now));
  now += seconds(1);
  LONGS_EQUAL(10, mint.Grant(1000, now));
}

TEST_GROUP(token_purse) {
  time_point now{std::chrono::hours(1)};
  token_purse purse;

  // Requests each `gap`; returns how many got a token.
  int Run(int count, duration gap, bool reachable) {
    int taken = 0;
    for (int i = 0; i < count; ++i) {
      purse.NoteDemand(now);
      taken += purse.Take(reachable, now) ? 1 : 0;
      now += gap;
    }
    return taken;
  }
};

// Guards against a request that waits for a token although its customer has
// sent at this rate for a while.
TEST(token_purse, AsksAheadOfDemand) {
  purse.SetRate(1000, 100);
  for (int i = 0; i < 100; ++i) {
    purse.NoteDemand(now);
    purse.OnGrant(purse.Wanted(1, now), false, now);
    CHECK_TRUE(purse.Take(true, now));
    now += milliseconds(10);
  }
  CHECK_TRUE(purse.held() > 5);
  CHECK_TRUE(purse.held() < 40);
}

// Guards against a node that refuses all requests of a customer while it is cut
// off from the mint, and against one that then runs more than before.
TEST(token_purse, GoesOnAtItsFormerRateWithoutTheMint) {
  purse.SetRate(1000, 70);
  for (int i = 0; i < 300; ++i) {
    purse.NoteDemand(now);
    purse.OnGrant(1, false, now);
    CHECK_TRUE(purse.Take(true, now));
    now += milliseconds(10);
  }
  // 100 a second were granted; 400 a second come now.
  const int taken = Run(2000, milliseconds(5) / 2, false);
  CHECK_TRUE(taken <= 600);
  CHECK_TRUE(taken >= 300);
}

// Guards against tokens of an earlier peak that are spent on top of a later
// one, and against a lower rate that old tokens get around.
TEST(token_purse, OldTokensAreDropped) {
  purse.SetRate(1000, 100);
  purse.OnGrant(50, false, now);
  now += seconds(2);
  CHECK_FALSE(purse.Take(true, now));
  purse.OnGrant(50, false, now);
  purse.SetRate(10, 1);
  CHECK_FALSE(purse.Take(true, now));
  purse.OnGrant(0, true, now);
  CHECK_TRUE(purse.IsShort(now));
  CHECK_FALSE(purse.IsShort(now + seconds(1)));
}

}  // namespace
}  // namespace skylarkhoist
