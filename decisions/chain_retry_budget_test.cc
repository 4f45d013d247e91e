#include "decisions/chain_retry_budget.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

#include "kernel/random.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kShare = 0.16;
constexpr retry_value kLastCall = {priority_class::kNormal, 1};

TEST_GROUP(chain_retry_budget) {
  time_point now = time_point() + std::chrono::hours(1);
  mt_random random{1};

  // 200 requests a second make four calls each to a service that turns away
  // `shed_share` of them. A call may be repeated once. Returns how many
  // requests complete in 8 s, after 10 s without a fault.
  int CompletedRequests(double shed_share, bool count_calls_left) {
    constexpr int kCalls = 4;
    constexpr int kRequestsPerStep = 2;
    chain_retry_budget budget{kShare};
    int completed = 0;
    const time_point fault_start = now + seconds(10);
    for (const time_point end = now + seconds(18); now < end;
         now += milliseconds(10)) {
      for (int request = 0; request < kRequestsPerStep; ++request) {
        int calls_left = kCalls;
        bool failed = false;
        while (calls_left > 0 && !failed) {
          budget.OnFirstAttempt(now);
          const double share = now < fault_start ? 0 : shed_share;
          failed = random.Fraction() < share;
          const retry_value value = {priority_class::kNormal,
                                     count_calls_left ? calls_left : 1};
          if (failed && budget.TakeRetry(value, now))
            failed = random.Fraction() < share;
          --calls_left;
        }
        completed += !failed && now >= fault_start ? 1 : 0;
      }
    }
    return completed;
  }
};

// Load pattern: a service turns away half of its calls at random, and requests
// make several calls to it. Guards against retries that are spread over calls
// whose requests fail later.
TEST(chain_retry_budget, RetriesGoToRequestsWithFewCallsLeft) {
  const int spread = CompletedRequests(0.55, false);
  const int by_calls_left = CompletedRequests(0.55, true);
  CHECK_TRUE(by_calls_left > spread);
  // Without retries, 0.45^4 of the requests complete.
  CHECK_TRUE(by_calls_left > 3 * 200 * 8 * 0.041);
}

// Guards against more retries than the share allows in any 10 s, also when the
// load falls at the same time or retries were saved up before.
TEST(chain_retry_budget, BoundsRetriesInAnyWindow) {
  chain_retry_budget budget{kShare};
  constexpr int kSteps = 4000;
  std::vector<int> retries(kSteps);
  std::vector<int> attempts(kSteps);
  for (int step = 0; step < kSteps; ++step) {
    const int calls = step < 2000 ? 10 : 3;
    for (int call = 0; call < calls; ++call) {
      budget.OnFirstAttempt(now);
      ++attempts[step];
      if (step > 500 && budget.TakeRetry(kLastCall, now))
        ++retries[step];
    }
    now += milliseconds(10);
  }
  const auto sum = [](const std::vector<int>& counts, int begin) {
    int total = 0;
    for (int step = std::max(begin, 0); step < begin + 1000; ++step)
      total += counts[step];
    return total;
  };
  int most = 0;
  for (int begin = 0; begin + 1000 <= kSteps; begin += 50) {
    const int allowed =
        std::max({sum(attempts, begin), sum(attempts, begin - 500),
                  sum(attempts, begin - 1000)});
    CHECK_TRUE(sum(retries, begin) <= allowed * 0.2);
    most = std::max(most, sum(retries, begin));
  }
  CHECK_TRUE(most > 0.9 * kShare * 10'000);
}

// Guards against retries on top of repeats that come from a service above.
TEST(chain_retry_budget, InheritedRepeatsCount) {
  chain_retry_budget budget{kShare};
  int taken = 0;
  for (int step = 0; step < 1000; ++step) {
    for (int call = 0; call < 10; ++call) {
      if (call < 2)
        budget.OnInheritedRepeat(now);
      else
        budget.OnFirstAttempt(now);
      taken += step > 100 && budget.TakeRetry(kLastCall, now) ? 1 : 0;
    }
    now += milliseconds(10);
  }
  CHECK_EQUAL(0, taken);
}

// Load pattern: important requests and unimportant ones need the same service.
// Guards against retries for the latter while the former go without.
TEST(chain_retry_budget, TheLowestPriorityGoesWithoutFirst) {
  chain_retry_budget budget{kShare};
  int lowest = 0;
  int critical = 0;
  // No call fails in the first 10 s.
  for (int step = 0; step < 2000; ++step) {
    for (int call = 0; call < 10; ++call)
      budget.OnFirstAttempt(now);
    for (int call = 0; call < (step < 1000 ? 0 : 2); ++call) {
      critical += budget.TakeRetry({priority_class::kCritical, 3}, now) ? 1 : 0;
      lowest += budget.TakeRetry({priority_class::kBrowse, 1}, now) ? 1 : 0;
    }
    now += milliseconds(10);
  }
  CHECK_TRUE(critical > 1400);
  CHECK_TRUE(lowest < 100);
}

}  // namespace
}  // namespace skylarkhoist
