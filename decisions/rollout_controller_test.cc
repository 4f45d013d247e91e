#include "decisions/rollout_controller.h"

// CppUTest redefines `new`, which these headers use.
#include <functional>
#include <random>

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr rollout_bounds kBounds{0.1, 50, seconds(5)};
constexpr duration kLength = seconds(30);
constexpr duration kStep = milliseconds(200);
constexpr duration kUsualTime = milliseconds(40);

enum class answer { kGood, kFailed, kSlow };

// A service with two routes, of which "rare" gets one request in ten. The new
// version has two targets and gets all calls that the controller allows, up to
// a quarter of the requests.
struct simulation {
  // How the new version answers a call on a route at an age; `calls` is its
  // number of calls in this step.
  using behavior = std::function<
      answer(const std::string& route, duration age, uint64_t calls)>;

  rollout_controller controller{kBounds, kLength};
  rollout_totals totals;
  std::mt19937 random{7};
  double requests_per_second = 400;
  double other_failure_share = 0.01;
  bool targets_ready = true;
  uint64_t requests = 0;
  uint64_t exposed = 0;
  uint64_t bad = 0;
  duration age = duration::zero();
  rollout_verdict verdict = rollout_verdict::kContinue;

  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
  }

  duration OtherTime() {
    return kUsualTime / 2 +
           duration(static_cast<duration::rep>(
               std::uniform_real_distribution<double>(0, 1)(random) *
               static_cast<double>(kUsualTime.count())));
  }

  void AnswerNew(const std::string& route, answer how) {
    rollout_target_totals& target =
        totals.routes[route].targets[exposed % 2 == 0 ? "a" : "b"];
    ++exposed;
    ++target.calls;
    const auto slow = controller.slow_times().find(route);
    if (how == answer::kFailed)
      ++target.failed;
    else if (slow != controller.slow_times().end() &&
             OtherTime() * (how == answer::kSlow ? 4 : 1) >= slow->second)
      ++target.slow;
    bad += how == answer::kGood ? 0 : 1;
  }

  void Run(const behavior& answer_of) {
    while (verdict == rollout_verdict::kContinue &&
           age < kLength + seconds(5)) {
      age += kStep;
      const auto count = static_cast<uint64_t>(
          requests_per_second * std::chrono::duration<double>(age).count() -
          static_cast<double>(requests));
      uint64_t calls = 0;
      for (uint64_t i = 0; i < count; ++i) {
        const std::string route = ++requests % 10 == 0 ? "rare" : "main";
        if (exposed < controller.AllowedExposure(requests) &&
            calls * 4 < count) {
          AnswerNew(route, answer_of(route, age, ++calls));
          continue;
        }
        rollout_route_totals& other = totals.routes[route];
        ++other.other_calls;
        if (Chance(other_failure_share))
          ++other.other_failed;
        else
          ++other.other_run_times[RunTimeBucket(OtherTime())];
      }
      CHECK_TRUE(static_cast<double>(exposed) <=
                 kBounds.exposure_share * static_cast<double>(requests) +
                     kBounds.exposure_slack);
      verdict = controller.Update(totals, targets_ready, age);
    }
  }
};

TEST_GROUP(rollout_controller) {
  simulation run;
};

answer Good(const std::string&, duration, uint64_t) {
  return answer::kGood;
}

// Guards against a good version that is not complete in time, and against a
// decision that leaves no time for a slow store.
TEST(rollout_controller, GoodVersionCompletesInTime) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    simulation each;
    each.random.seed(seed);
    each.Run(Good);
    CHECK_TRUE(each.verdict == rollout_verdict::kComplete);
    CHECK_TRUE(each.age <= kLength - seconds(5));
  }
}

// Guards against a good version that is blamed for a trouble of the services
// behind it, which makes all versions fail.
TEST(rollout_controller, GoodVersionCompletesAmongFailuresOfAllVersions) {
  run.other_failure_share = 0.3;
  run.Run([&](const std::string&, duration, uint64_t) {
    return run.Chance(0.3) ? answer::kFailed : answer::kGood;
  });
  CHECK_TRUE(run.verdict == rollout_verdict::kComplete);
}

// Guards against a bad version that gets too many requests, whatever the load
// under which it shows: from the start, late, at many calls at a time, on one
// route, with failures or slow answers.
TEST(rollout_controller, BadVersionIsStoppedBeforeItsFiftiethBadAnswer) {
  const struct {
    const char* name;
    simulation::behavior answer_of;
  } cases[] = {
      {"at once",
       [](const std::string&, duration, uint64_t calls) {
         return calls % 3 == 0 ? answer::kFailed : answer::kGood;
       }},
      {"always",
       [](const std::string&, duration, uint64_t) { return answer::kFailed; }},
      {"late",
       [](const std::string&, duration age, uint64_t calls) {
         return age > seconds(10) && calls % 3 == 0 ? answer::kFailed
                                                    : answer::kGood;
       }},
      {"under load",
       [](const std::string&, duration, uint64_t calls) {
         return calls > 6 ? answer::kFailed : answer::kGood;
       }},
      {"on the rare route",
       [](const std::string& route, duration, uint64_t calls) {
         return route == "rare" && calls % 2 == 0 ? answer::kFailed
                                                  : answer::kGood;
       }},
      {"slow",
       [](const std::string&, duration, uint64_t calls) {
         return calls % 2 == 0 ? answer::kSlow : answer::kGood;
       }},
      {"slow late",
       [](const std::string&, duration age, uint64_t calls) {
         return age > seconds(10) && calls % 2 == 0 ? answer::kSlow
                                                    : answer::kGood;
       }},
  };
  for (const auto& each : cases) {
    simulation bad;
    bad.Run(each.answer_of);
    CHECK_TEXT(bad.verdict == rollout_verdict::kRollBack, each.name);
    CHECK_TEXT(bad.bad < 50, each.name);
  }
}

// Guards against a crash of one machine, which breaks off many runs at once,
// and against one slow machine, that stop a good version.
TEST(rollout_controller, OneMachineInTroubleIsNoFaultOfTheVersion) {
  run.Run([&](const std::string& route, duration age, uint64_t) {
    if (age == seconds(8))
      run.totals.routes[route].targets["a"].lost += 3;
    if (age > seconds(9) && age < seconds(11))
      ++run.totals.routes[route].targets["a"].slow;
    return answer::kGood;
  });
  CHECK_TRUE(run.verdict == rollout_verdict::kComplete);
}

// Guards against a service with few requests whose rollout never ends.
TEST(rollout_controller, FewRequestsAreJudgedAtTheEnd) {
  run.requests_per_second = 2;
  run.Run(Good);
  CHECK_TRUE(run.verdict == rollout_verdict::kComplete);
  CHECK_TRUE(run.age <= kLength);
  CHECK_TRUE(run.exposed > 0);
}

// Guards against a move of all traffic to targets that don't exist.
TEST(rollout_controller, WithoutReadyTargetsItIsRolledBackAtTheEnd) {
  run.targets_ready = false;
  run.Run(Good);
  CHECK_TRUE(run.verdict == rollout_verdict::kRollBack);
  CHECK_TRUE(run.age >= kLength);
}

}  // namespace
}  // namespace skylarkhoist
