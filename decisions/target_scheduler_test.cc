#include "decisions/target_scheduler.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "testing/saturated_target.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kAddress = saturated_target::kAddress;

fake_target_options Target(int slots, milliseconds service_time) {
  fake_target_options options;
  options.slots = slots;
  options.service_time = service_time;
  options.max_calls = slots * 7;
  options.cold_capacity = std::max(slots / 8, 2);
  return options;
}

TEST_GROUP(concurrency_limit){};

// Guards against limits that must be configured manually. The limit found must
// be within 15% of the number of slots.
TEST(concurrency_limit, FindsTheNumberOfSlots) {
  for (const int slots : {120, 160, 15, 90, 130, 20}) {
    for (const int service_time : {10, 40}) {
      saturated_target run(Target(slots, milliseconds(service_time)));
      run.loop.Advance(seconds(12));
      const double found = run.Limits(seconds(8)).mean;
      if (found < slots * 0.85 || found > slots * 1.15) {
        FAIL(StringFromFormat("%d slots, %d ms: limit %.1f", slots,
                              service_time, found)
                 .asCharString());
      }
    }
  }
}

// Guards against a limit that takes a slowdown for queueing and lowers the
// concurrency, which reduces the throughput further.
TEST(concurrency_limit, KeepsTheLimitDuringASlowdown) {
  for (const double factor : {1.5, 3.0, 5.0}) {
    saturated_target run(Target(120, milliseconds(20)));
    run.loop.Advance(seconds(20));
    run.targets.SlowDown(kAddress, factor, seconds(20));
    run.loop.Advance(seconds(10));
    const double during = run.Limits(seconds(10)).mean;
    run.loop.Advance(seconds(2));
    const double after = run.Limits(seconds(5)).mean;
    if (during < 100 || during > 140 || after < 100 || after > 140) {
      FAIL(StringFromFormat("factor %.1f: limit %.1f during, %.1f after",
                            factor, during, after)
               .asCharString());
    }
  }
}

// Guards against a slowdown that is treated as a cold start for too long: a
// slow target with few slots finishes few calls, and would stay at its cold
// capacity for most of the slowdown.
TEST(concurrency_limit, LeavesTheColdCapacityDuringASlowdown) {
  for (const int slots : {15, 120}) {
    saturated_target run(Target(slots, milliseconds(50)));
    run.loop.Advance(seconds(20));
    run.targets.SlowDown(kAddress, 5, seconds(20));
    run.loop.Advance(seconds(5));
    CHECK_TRUE(run.scheduler.limit() >= slots * 0.8);
  }
}

// Guards against overloading a target that has just started, or that became
// cold without notice (I5 in testing/checkers.h).
TEST(concurrency_limit, NeverAboveColdCapacityWhileCold) {
  for (const uint64_t seed : {1, 2, 3}) {
    saturated_target run(Target(120, milliseconds(20)), seed);
    run.loop.Advance(seconds(20));
    CHECK_EQUAL(0, run.targets.counters(kAddress).cold_overloads);
    CHECK_FALSE(run.targets.IsCold(kAddress));
    run.targets.TurnCold(kAddress);
    run.loop.Advance(seconds(3));
    CHECK_EQUAL(15, run.scheduler.limit());
    run.loop.Advance(seconds(20));
    CHECK_EQUAL(0, run.targets.counters(kAddress).detectable_cold_overloads);
    CHECK_TRUE(run.scheduler.limit() > 90);
  }
}

// Guards against a cold start that ends by time alone, without proof that the
// target can take load.
TEST(concurrency_limit, GrowsOnlyAfterSuccesses) {
  service_config settings;
  settings.cold_capacity = 8;
  manual_loop loop;
  target_scheduler scheduler(settings, loop.Now());
  CHECK_EQUAL(8, scheduler.limit());
  loop.Advance(seconds(60));
  for (uint64_t i = 0; i < 1000; ++i) {
    queued_call call;
    call.id = {1, i};
    call.deadline = loop.Now() + seconds(5);
    scheduler.Enqueue(call, loop.Now());
    CHECK_TRUE(scheduler.TakeNext(loop.Now()).has_value());
    loop.Advance(milliseconds(20));
    scheduler.OnFinished(
        call.id, i % 2 == 0 ? call_outcome::kError : call_outcome::kCancelled,
        loop.Now());
    CHECK_EQUAL(8, scheduler.limit());
  }
}

TEST_GROUP(target_scheduler) {
  service_config settings;
  time_point now{std::chrono::hours(1)};

  queued_call Call(uint64_t sequence, const std::string& customer,
                   priority_class priority = priority_class::kNormal,
                   bool admitted = false, double weight = 1.0) {
    queued_call call;
    call.id = {1, sequence};
    call.customer = customer;
    call.priority = priority;
    call.admitted = admitted;
    call.weight = weight;
    call.deadline = now + seconds(10);
    return call;
  }

  // Takes the next call and finishes it. Returns its sequence number, or 0 when
  // there is no call.
  uint64_t Next(target_scheduler & scheduler) {
    const auto next = scheduler.TakeNext(now);
    if (!next)
      return 0;
    scheduler.OnFinished(next->id, call_outcome::kCancelled, now);
    return next->id.sequence;
  }
};

// Guards against deposits that wait behind browsing requests, and against
// wasting the work of a parent whose child call waits behind new calls.
TEST(target_scheduler, OrdersByPriorityThenAdmitted) {
  target_scheduler scheduler(settings, now);
  using priority = priority_class;
  const std::vector<queued_call> calls = {
      Call(1, "a", priority::kBrowse),
      Call(2, "a", priority::kNormal),
      Call(3, "a", priority::kCritical),
      Call(4, "a", priority::kBrowse, true),
      Call(5, "a", priority::kNormal, true),
      Call(6, "a", priority::kCritical, true)};
  for (const queued_call& call : calls)
    CHECK_FALSE(scheduler.Enqueue(call, now).has_value());
  for (const uint64_t expected : {6, 3, 5, 2, 4, 1})
    CHECK_EQUAL(expected, Next(scheduler));
}

// Guards against a customer with a long queue that takes all capacity of the
// target.
TEST(target_scheduler, SharesByWeight) {
  target_scheduler scheduler(settings, now);
  for (uint64_t i = 0; i < 30; ++i) {
    scheduler.Enqueue(Call(100 + i, "large"), now);
    if (i < 8) {
      scheduler.Enqueue(Call(200 + i, "small"), now);
      scheduler.Enqueue(
          Call(300 + i, "heavy", priority_class::kNormal, false, 2.0), now);
    }
  }
  int taken[4] = {};
  for (int i = 0; i < 16; ++i)
    ++taken[Next(scheduler) / 100];
  CHECK_EQUAL(4, taken[1]);
  CHECK_EQUAL(4, taken[2]);
  CHECK_EQUAL(8, taken[3]);
}

// Guards against a queue in which all calls wait for the maximum time, so that
// only old calls are served.
TEST(target_scheduler, SustainedOverloadServesTheNewestWithinAShortWait) {
  settings.cold_capacity = 100;
  target_scheduler scheduler(settings, now);
  uint64_t sequence = 0;
  for (int i = 0; i < 150; ++i, now += milliseconds(1)) {
    scheduler.Enqueue(Call(++sequence, "a"), now);
    scheduler.Enqueue(Call(1000 + sequence, "a", priority_class::kCritical),
                      now);
    scheduler.TakeRefused(now);
  }
  // Critical calls keep their order and the full maximum wait.
  CHECK_EQUAL(1001, Next(scheduler));
  for (int i = 0; i < 149; ++i)
    CHECK_TRUE(Next(scheduler) > 1000);
  CHECK_EQUAL(150, Next(scheduler));
  now += milliseconds(51);
  CHECK_EQUAL(49, scheduler.TakeRefused(now).size());
  CHECK_EQUAL(0, scheduler.waiting());
}

// Guards against a full queue that refuses all new calls, no matter whose calls
// filled it.
TEST(target_scheduler, FullQueueDropsTheLowestPriority) {
  settings.cold_capacity = 1;  // Queue length 4 + 32.
  target_scheduler scheduler(settings, now);
  for (uint64_t i = 1; i <= 36; ++i)
    CHECK_FALSE(scheduler.Enqueue(Call(i, "a", priority_class::kBrowse), now)
                    .has_value());
  CHECK_TRUE(scheduler.Enqueue(Call(40, "a", priority_class::kBrowse), now) ==
             reason::kQueueFull);
  CHECK_FALSE(scheduler.Enqueue(Call(41, "b", priority_class::kBrowse), now)
                  .has_value());
  CHECK_FALSE(scheduler.Enqueue(Call(42, "a"), now).has_value());
  const auto refused = scheduler.TakeRefused(now);
  CHECK_EQUAL(2, refused.size());
  CHECK_EQUAL(1, refused[0].id.sequence);
  CHECK_TRUE(refused[0].why == reason::kQueueFull);
  CHECK_EQUAL(36, scheduler.waiting());
}

// Guards against running calls that end after their deadline, and against
// timers that miss a refusal.
TEST(target_scheduler, DropsCallsThatMissTheirDeadline) {
  target_scheduler scheduler(settings, now);
  queued_call late = Call(1, "a");
  late.deadline = now + milliseconds(20);
  scheduler.Enqueue(late, now);
  scheduler.Enqueue(Call(2, "a"), now);
  CHECK_TRUE(scheduler.NextWakeup(now) <= now + milliseconds(20));
  now += milliseconds(20);
  CHECK_EQUAL(2, Next(scheduler));
  const auto refused = scheduler.TakeRefused(now);
  CHECK_EQUAL(1, refused.size());
  CHECK_TRUE(refused[0].why == reason::kDeadlineBeforeRun);
  CHECK_FALSE(scheduler.Remove({1, 2}));
  scheduler.Enqueue(Call(3, "a"), now);
  scheduler.Enqueue(Call(4, "b"), now);
  CHECK_TRUE(scheduler.Remove({1, 3}));
  CHECK_EQUAL(1, scheduler.RemoveAll().size());
  CHECK_FALSE(scheduler.NextWakeup(now).has_value());
}

// Load pattern: for a second, calls of requests in progress arrive at twice the
// rate that a target can serve, beside a few new requests. Guards against
// refusing calls while their parents could still use the results, against calls
// that wait longer than that, and against starving new requests.
TEST(target_scheduler, AdmittedCallsWaitAndNewRequestsKeepAShare) {
  service_config settings;
  settings.max_limit = 10;
  scheduler_plugins plugins;
  plugins.limit = "static";
  plugins.exempt_admitted = true;
  plugins.min_new_share = 0.15;
  time_point now{std::chrono::hours(1)};
  target_scheduler scheduler(settings, now, plugins);
  uint64_t sequence = 0;
  const auto enqueue = [&](bool admitted) {
    queued_call call;
    call.id = {admitted ? 1U : 2U, ++sequence};
    call.priority =
        admitted ? priority_class::kCritical : priority_class::kBrowse;
    call.admitted = admitted;
    call.deadline = now + seconds(5);
    call.wait_until = now + milliseconds(300);
    return scheduler.Enqueue(call, now);
  };
  int refused_calls = 0;
  std::array<int, 3> started{};
  std::vector<std::pair<time_point, request_id>> running;
  // Each run takes 10 ms, so the target serves 1,000 calls per second.
  for (int step = 0; step < 1000; ++step) {
    for (size_t i = 0; i < running.size();) {
      if (running[i].first > now) {
        ++i;
        continue;
      }
      scheduler.OnFinished(running[i].second, call_outcome::kSuccess, now);
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
    }
    enqueue(true);
    enqueue(true);
    if (step % 20 == 0)
      enqueue(false);
    while (const auto next = scheduler.TakeNext(now)) {
      ++started[next->id.incarnation];
      running.emplace_back(now + milliseconds(10), next->id);
    }
    for (const refused_call& refusal : scheduler.TakeRefused(now)) {
      if (step < 300)
        ++refused_calls;
      CHECK_TRUE(refusal.why == reason::kQueueTimeout);
    }
    now += milliseconds(1);
  }
  LONGS_EQUAL(0, refused_calls);
  CHECK_TRUE(started[1] >= 900);
  LONGS_EQUAL(50, started[2]);
  CHECK_TRUE(scheduler.waiting() <= 2 * 300 + 50);
}

// Load pattern: filings with a short timeout and lookups with a long one call
// the same full service. Guards against filings that time out behind lookups
// that could have waited.
TEST(target_scheduler, CallsWithTheEarliestDeadlineGoFirst) {
  service_config settings;
  settings.max_limit = 1;
  scheduler_plugins plugins;
  plugins.limit = "static";
  plugins.exempt_admitted = true;
  const time_point now{std::chrono::hours(1)};
  target_scheduler scheduler(settings, now, plugins);
  const int left_ms[] = {700, 690, 300, 500};
  for (size_t i = 0; i < std::size(left_ms); ++i) {
    queued_call call;
    call.id = {1, i};
    call.admitted = true;
    call.deadline = now + milliseconds(left_ms[i]);
    CHECK_FALSE(scheduler.Enqueue(call, now).has_value());
  }
  for (const uint64_t expected : {2U, 3U, 1U, 0U}) {
    const auto next = scheduler.TakeNext(now);
    CHECK_TRUE(next.has_value());
    LONGS_EQUAL(expected, next->id.sequence);
    scheduler.OnFinished(next->id, call_outcome::kSuccess, now);
  }
}

// Guards against callers that are refused as by an overloaded service while a
// busy warm target is asked whether it has turned cold, and against load beyond
// the cold rate meanwhile.
TEST(target_scheduler, ATargetThatMayBeColdIsNotReportedAsFull) {
  service_config settings;
  settings.max_limit = 100;
  settings.cold_per_second = 20;
  time_point now{std::chrono::hours(1)};
  target_scheduler scheduler(settings, now, {"static"});
  const auto take = [&](int count) {
    int taken = 0;
    for (int i = 0; i < count; ++i) {
      queued_call call;
      call.id = {
          1,
          static_cast<uint64_t>(ToMilliseconds(now.time_since_epoch())) * 100 +
              static_cast<uint64_t>(i)};
      call.deadline = now + seconds(10);
      CHECK_FALSE(scheduler.Enqueue(call, now).has_value());
      taken += scheduler.TakeNext(now) ? 1 : 0;
    }
    return taken;
  };
  scheduler.LimitToColdRate(now);
  CHECK_EQUAL(1, take(5));
  CHECK_FALSE(scheduler.IsCold(now));
  CHECK_TRUE(scheduler.PressurePermille(now) < 1000);
  scheduler.SetCold(now + seconds(3), now);
  CHECK_TRUE(scheduler.IsCold(now));
  CHECK_TRUE(scheduler.PressurePermille(now) >= 1000);
  now += milliseconds(1);
  CHECK_EQUAL(0, take(1));
  scheduler.LimitToColdRate(now);
  scheduler.SetCold(now, now);
  now += milliseconds(1);
  CHECK_EQUAL(5, take(5));
}

TEST_GROUP(named_limit) {
  static service_config Settings() {
    service_config settings;
    settings.max_limit = 100;
    return settings;
  }
  time_point now{std::chrono::hours(1)};
  target_scheduler scheduler{Settings(), now, {"static"}};
  uint64_t next_id = 1;

  std::optional<reason> Enqueue() {
    queued_call call;
    call.id = {1, next_id++};
    call.deadline = now + seconds(10);
    return scheduler.Enqueue(call, now);
  }
};

// Load pattern: a target with free slots names a limit far below its load.
// Guards against more calls than it names, and against calls that wait longer
// than the limit can serve.
TEST(named_limit, BoundsTheRateAndTheQueue) {
  scheduler.SetNamedLimit(20, now);
  int taken = 0;
  int refused = 0;
  for (int i = 0; i < 400; ++i) {
    now += milliseconds(10);
    refused += Enqueue() == reason::kTargetLimited ? 1 : 0;
    while (scheduler.TakeNext(now))
      ++taken;
    for (const refused_call& each : scheduler.TakeRefused(now)) {
      CHECK_TRUE(each.why == reason::kTargetLimited);
      ++refused;
    }
    CHECK_TRUE(scheduler.waiting() <= 5);
  }
  CHECK_TRUE(taken >= 75);
  CHECK_TRUE(taken <= 82);
  CHECK_TRUE(taken + refused >= 395);
  CHECK_TRUE(scheduler.LoadPermille(now) >= 1000);
  scheduler.SetNamedLimit(std::nullopt, now);
  CHECK_TRUE(Enqueue() == std::nullopt);
  CHECK_TRUE(scheduler.TakeNext(now).has_value());
}

// Guards against a target that names no calls at all and never gets the call
// whose response would end that.
TEST(named_limit, ALimitOfZeroStillLetsAFewCallsPass) {
  scheduler.SetNamedLimit(0, now);
  int taken = 0;
  for (int i = 0; i < 1600; ++i) {
    now += milliseconds(10);
    Enqueue();
    taken += scheduler.TakeNext(now) ? 1 : 0;
    scheduler.TakeRefused(now);
  }
  // The users allow 5 calls in 4 s.
  CHECK_TRUE(taken >= 3);
  CHECK_TRUE(taken <= 5);
}

}  // namespace
}  // namespace skylarkhoist
