#include "testing/fake_targets.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "testing/manual_loop.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kAddress[] = "10.0.0.1:80";

TEST_GROUP(fake_targets) {
  manual_loop loop;
  fake_targets targets{loop, 1};
  std::vector<target_result> results;
  std::vector<duration> latencies;

  static fake_target_options Options() {
    fake_target_options options;
    options.slots = 10;
    options.max_calls = 40;
    options.service_time_spread = 0;
    options.starts_cold = false;
    options.cold_capacity = 3;
    options.successes_to_warm = 20;
    return options;
  }

  target_call_id Call(const std::string& body = "") {
    http_request request;
    request.path = "/work";
    request.body = body;
    const time_point started = loop.Now();
    return targets.Call(kAddress, request, seconds(5),
                        [this, started](const target_result& result) {
                          results.push_back(result);
                          latencies.push_back(loop.Now() - started);
                        });
  }

  void CallTimes(int times) {
    for (int i = 0; i < times; ++i)
      Call();
  }
};

// Guards against simulated targets whose throughput grows with the number of
// calls beyond their slots, which would falsify measurements.
TEST(fake_targets, ServiceTimeGrowsBeyondTheSlots) {
  struct test_case {
    int calls;
    duration last_latency;
  };
  for (const test_case& each :
       {test_case{1, milliseconds(20)}, test_case{10, milliseconds(20)},
        test_case{20, milliseconds(40)}, test_case{40, milliseconds(80)}}) {
    targets.Add(kAddress, Options());
    latencies.clear();
    CallTimes(each.calls);
    loop.Advance(seconds(1));
    CHECK_TRUE(each.last_latency == latencies.back());
  }
}

// Guards against targets that accept any number of connections.
TEST(fake_targets, ShedsAboveTheConnectionLimit) {
  targets.Add(kAddress, Options());
  CallTimes(41);
  loop.Advance(milliseconds(1));
  CHECK_EQUAL(1, results.size());
  CHECK_EQUAL(503, results[0].response.status);
  CHECK_EQUAL(1, targets.counters(kAddress).shed);
}

// Guards against cold targets that withstand the full load of a measurement.
TEST(fake_targets, ColdTargetCrashesAboveItsColdCapacity) {
  fake_target_options options = Options();
  options.starts_cold = true;
  targets.Add(kAddress, options);
  CallTimes(3);
  loop.Advance(seconds(1));
  CHECK_EQUAL(3, targets.counters(kAddress).succeeded);
  CallTimes(4);
  loop.Advance(milliseconds(1));
  CHECK_EQUAL(7, results.size());
  CHECK_TRUE(results.back().error == target_error::kConnectionLost);
  CHECK_EQUAL(1, targets.counters(kAddress).detectable_cold_overloads);
  Call();
  loop.Advance(milliseconds(1));
  CHECK_TRUE(results.back().error == target_error::kConnectRefused);
  CHECK_FALSE(results.back().may_have_run);
  // It becomes warm after 20 successes and the minimum warm-up time.
  loop.Advance(options.restart_time);
  for (int i = 0; i < 20; ++i) {
    CHECK_TRUE(targets.IsCold(kAddress));
    Call();
    loop.Advance(milliseconds(100));
  }
  Call();
  loop.Advance(milliseconds(100));
  CHECK_FALSE(targets.IsCold(kAddress));
}

// Guards against counting run time as useful when no caller gets the response.
TEST(fake_targets, CountsRunTimeForGoneCallersAsWasted) {
  for (const bool accepts : {true, false}) {
    fake_targets own_targets(loop, 1);
    fake_target_options options = Options();
    options.accepts_cancellation = accepts;
    own_targets.Add(kAddress, options);
    const target_call_id id =
        own_targets.Call(kAddress, {}, seconds(1), [](const target_result&) {});
    loop.Advance(milliseconds(5));
    own_targets.Cancel(id);
    loop.Advance(seconds(1));
    CHECK_TRUE(own_targets.counters(kAddress).wasted_run_time ==
               milliseconds(accepts ? 5 : 20));
  }
}

// Guards against calls that end before their child call.
TEST(fake_targets, ParentWaitsForItsChildCall) {
  std::function<void(int)> child_done;
  targets.Add(kAddress, Options(),
              [&](const std::string&, const http_request&,
                  const std::function<void(int)>& done) {
                child_done = done;
                return [] {};
              });
  Call();
  loop.Advance(seconds(1));
  CHECK_EQUAL(0, results.size());
  child_done(503);
  loop.Advance(milliseconds(1));
  CHECK_EQUAL(502, results.at(0).response.status);
  CHECK_TRUE(targets.counters(kAddress).run_time == milliseconds(20));
}

// Guards against disturbances that have no effect on simulated targets.
TEST(fake_targets, SlowdownCrashMarkerAndHealthCheck) {
  fake_target_options options = Options();
  options.health = fake_health::kAlwaysHealthy;
  targets.Add(kAddress, options);
  targets.SlowDown(kAddress, 5, seconds(1));
  Call();
  loop.Advance(seconds(1));
  CHECK_TRUE(latencies[0] == milliseconds(100));
  CallTimes(2);
  Call("x crash-this-target x");
  loop.Advance(milliseconds(1));
  CHECK_EQUAL(4, results.size());
  CHECK_EQUAL(1, targets.counters(kAddress).crashes);
  loop.Advance(seconds(2));
  http_request probe;
  probe.path = "/health";
  targets.Call(kAddress, probe, seconds(1), [&](const target_result& result) {
    CHECK_EQUAL(200, result.response.status);
  });
  CHECK_TRUE(targets.IsCold(kAddress));
  loop.Advance(milliseconds(1));
}

}  // namespace
}  // namespace skylarkhoist
