#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "decisions/token_bucket.h"
#include "decisions/token_cache.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(token_bucket) {
  time_point now{std::chrono::hours(1)};
};

// Guards against granting more tokens than rate and burst allow, however many
// are requested.
TEST(token_bucket, GrantsAtMostRateAndBurst) {
  token_bucket bucket(100, 50, now);
  int64_t granted = 0;
  for (int i = 0; i < 10'000; ++i) {
    granted += bucket.Grant(i % 7, now);
    now += milliseconds(1);
  }
  CHECK_TRUE(granted <= 100 * 10 + 50);
  CHECK_TRUE(granted >= 100 * 10 - 2);
  CHECK_TRUE(bucket.rate_exceeded());
  now += seconds(10);
  LONGS_EQUAL(50, bucket.Grant(1000, now));
}

// Guards against a lower rate that takes effect only after the old burst is
// used up.
TEST(token_bucket, LowerRateAppliesImmediately) {
  token_bucket bucket(100, 100, now);
  now += seconds(2);
  bucket.SetRate(10, 10, now);
  LONGS_EQUAL(10, bucket.Grant(1000, now));
  now += seconds(1);
  LONGS_EQUAL(10, bucket.Grant(1000, now));
}

// Guards against tokens that were used elsewhere and are granted again, and
// against a customer that is refused without end for them.
TEST(token_bucket, ChargesTokensThatWereUsedWithoutAGrant) {
  token_bucket bucket(100, 100, now);
  now += seconds(2);
  bucket.Charge(150, now);
  LONGS_EQUAL(0, bucket.Grant(1000, now));
  now += milliseconds(600);
  LONGS_EQUAL(10, bucket.Grant(1000, now));
  bucket.Charge(1e9, now);
  now += seconds(4);
  CHECK_TRUE(bucket.Grant(1000, now) > 0);
  bucket.Charge(-1e9, now);
  LONGS_EQUAL(100, bucket.Grant(1000, now));
}

TEST_GROUP(token_cache) {
  time_point now{std::chrono::hours(1)};
  token_cache cache;

  // Sends one request per `interval`. Returns how many got a token.
  int SendRequests(int count, duration interval, bool bucket_reachable) {
    int taken = 0;
    for (int i = 0; i < count; ++i) {
      cache.RecordDemand(now);
      taken += cache.Take(bucket_reachable, now) ? 1 : 0;
      now += interval;
    }
    return taken;
  }
};

// Guards against a request that waits for a token although its customer has
// sent at this rate for a while.
TEST(token_cache, RequestsTokensAheadOfDemand) {
  cache.SetRate(1000);
  for (int i = 0; i < 100; ++i) {
    cache.RecordDemand(now);
    cache.OnGrant(cache.TokensToRequest(1, now), false, now);
    CHECK_TRUE(cache.Take(true, now));
    now += milliseconds(10);
  }
  CHECK_TRUE(cache.held() > 5);
  CHECK_TRUE(cache.held() < 40);
}

// Guards against a node that refuses all requests of a customer while it cannot
// reach the bucket, and against one that then runs more requests than its share
// allows.
TEST(token_cache, ContinuesAtItsShareWithoutTheBucket) {
  cache.SetRate(1000);
  for (int i = 0; i < 300; ++i) {
    cache.RecordDemand(now);
    cache.OnGrant(1, false, now);
    CHECK_TRUE(cache.Take(true, now));
    now += milliseconds(10);
  }
  cache.SetShare({100, 100, 1}, now);
  // 400 requests per second arrive now.
  const int taken = SendRequests(2000, std::chrono::microseconds(2500), false);
  CHECK_TRUE(taken <= 100 * 5 + 30);
  CHECK_TRUE_TEXT(taken >= 100 * 5 - 2, std::to_string(taken).c_str());
  CHECK_EQUAL(taken, cache.generated());
  // A lower rate lowers the share too.
  cache.SetRate(100);
  CHECK_TRUE(SendRequests(2000, std::chrono::microseconds(2500), false) <=
             10 * 5 + 4);
}

// Guards against a share that is used although the owner of the bucket no
// longer sets it aside, after a time without demand or without contact.
TEST(token_cache, AShareEndsWithoutDemandOrContact) {
  cache.SetRate(1000);
  cache.OnGrant(1, false, now);
  cache.SetShare({100, 100, 1}, now);
  CHECK_TRUE(SendRequests(100, milliseconds(10), false) > 10);
  now += fallback_shares::kMaxIdleTime;
  now += milliseconds(1);
  CHECK_TRUE(SendRequests(100, milliseconds(10), false) == 0);
  cache.OnGrant(1, false, now);
  cache.SetShare({100, 100, 1}, now);
  const time_point granted_at = now;
  while (now - granted_at <= fallback_shares::kRetention)
    SendRequests(100, milliseconds(10), false);
  CHECK_TRUE(SendRequests(100, milliseconds(10), false) == 0);
}

// Guards against spending the tokens of an earlier peak on top of a later one,
// and against old tokens that get around a lower rate.
TEST(token_cache, DropsUnusedTokens) {
  cache.SetRate(1000);
  cache.OnGrant(50, false, now);
  now += seconds(2);
  CHECK_FALSE(cache.Take(true, now));
  cache.OnGrant(50, false, now);
  cache.SetRate(10);
  CHECK_FALSE(cache.Take(true, now));
  cache.OnGrant(0, true, now);
  CHECK_TRUE(cache.IsRateExceeded(now));
  CHECK_FALSE(cache.IsRateExceeded(now + seconds(1)));
}

}  // namespace
}  // namespace skylarkhoist
