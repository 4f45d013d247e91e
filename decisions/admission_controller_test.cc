#include "decisions/admission_controller.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(admission) {
  admission_controller controller;
  mt_random random{7};
  time_point now{std::chrono::hours(1)};

  // Offers `rate` calls per second of each class for `period`. The service
  // reports `load` with each call that passes. Returns the share that passed,
  // by class.
  std::array<double, 3> Offer(int rate, duration period, uint32_t load,
                              bool admitted = false, bool downstream = true) {
    std::array<int, 3> passed{};
    int offered = 0;
    for (const time_point end = now + period; now < end;
         now += std::chrono::microseconds(1'000'000 / rate)) {
      ++offered;
      for (size_t priority = 0; priority < 3; ++priority) {
        if (controller.Check(downstream ? "bookings" : "calendar",
                             downstream ? std::vector<std::string>{"calendar"}
                                        : std::vector<std::string>(),
                             static_cast<priority_class>(priority), admitted,
                             now, random))
          continue;
        ++passed[priority];
        controller.OnLoadReport("calendar", load, now);
      }
    }
    return {1.0 * passed[0] / offered, 1.0 * passed[1] / offered,
            1.0 * passed[2] / offered};
  }
};

// Guards against refusals while the load is below the target.
TEST(admission, RefusesNothingBelowTheTargetLoad) {
  const auto passed = Offer(500, std::chrono::seconds(2),
                            admission_controller::kTargetLoadPermille - 1);
  for (const double share : passed)
    DOUBLES_EQUAL(1.0, share, 0.0);
}

// Guards against admitting requests that a downstream service then refuses, and
// against refusing deposits before browsing requests.
TEST(admission, DownstreamOverloadRefusesLowPriorityFirst) {
  struct row {
    bool downstream;
    int overload_ms;
    double max_browse_share;
  };
  // The first rate update comes after 50 ms, or 200 ms for a downstream
  // service.
  for (const row& each : {row{false, 0, 1.0}, row{false, 150, 0.4},
                          row{true, 0, 1.0}, row{true, 600, 0.4}}) {
    controller = admission_controller();
    now += std::chrono::seconds(10);
    Offer(500, std::chrono::seconds(1), 900, false, each.downstream);
    if (each.overload_ms > 0) {
      Offer(500, milliseconds(each.overload_ms), 3000, false, each.downstream);
    }
    const auto passed =
        Offer(500, milliseconds(40), 1300, false, each.downstream);
    CHECK_TRUE(passed[0] <= each.max_browse_share);
    DOUBLES_EQUAL(1.0, passed[2], 0.0);
  }
}

// Guards against refusals based on an outdated load report.
TEST(admission, IgnoresStaleLoadReports) {
  Offer(500, std::chrono::seconds(1), 5000);
  now += admission_controller::kMaxReportAge;
  CHECK_FALSE(controller.LoadPermilleOf("calendar", now).has_value());
  CHECK_FALSE(controller
                  .Check("bookings", {"calendar"}, priority_class::kBrowse,
                         false, now, random)
                  .has_value());
}

// Guards against browsing requests that pass right after deposits were refused,
// and against a service that gets no calls, so that it sends no load report and
// stays refused until the last report expires.
TEST(admission, ProbesRefreshTheLoad) {
  Offer(500, std::chrono::seconds(2), 5000);
  int passed = 0;
  for (const time_point end =
           now + admission_controller::kPriorityHold - milliseconds(5);
       now < end; now += milliseconds(1)) {
    passed += !controller
                   .Check("bookings", {"calendar"}, priority_class::kBrowse,
                          false, now, random)
                   .has_value();
  }
  CHECK_EQUAL(0, passed);
  controller = admission_controller();
  for (int i = 0; i < 2000; ++i, now += milliseconds(1)) {
    if (controller.Check("reels", {}, priority_class::kBrowse, false, now,
                         random))
      continue;
    if (i >= 1000)
      ++passed;
    controller.OnLoadReport("reels", 9000, now);
  }
  CHECK_TRUE(passed >= 5 && passed <= 30);
}

// Guards against refusing a child call, which wastes the work of its parent.
TEST(admission, AdmittedCallsPassWhereNewOnesAreRefused) {
  Offer(500, std::chrono::seconds(2), 3000);
  const auto passed = Offer(500, milliseconds(200), 3000, true);
  for (const double share : passed)
    DOUBLES_EQUAL(1.0, share, 0.0);
  CHECK_TRUE(Offer(500, milliseconds(200), 3000)[0] < 0.1);
}

// Guards against refusals that outlast the overload. Service must recover
// within 3 s of a surge, of which a downstream service may use 2 s here and
// others 1 s.
TEST(admission, RecoversAfterTheOverload) {
  for (const bool downstream : {false, true}) {
    controller = admission_controller();
    now += std::chrono::seconds(10);
    Offer(500, std::chrono::seconds(2), 2500, false, downstream);
    Offer(500, std::chrono::seconds(downstream ? 2 : 1), 600, false,
          downstream);
    const auto passed = Offer(500, milliseconds(200), 600, false, downstream);
    for (const double share : passed)
      DOUBLES_EQUAL(1.0, share, 0.01);
  }
}

// Load pattern: for seconds, three times what the last service in the chain can
// serve, in all classes. Guards against starving a class, against a minimum
// share that takes away the capacity for classes of higher priority, and
// against refusing calls whose parents were admitted.
TEST(admission, EachClassKeepsItsMinimumShare) {
  admission_options options;
  options.min_class_share = 0.12;
  options.check_admitted = false;
  controller = admission_controller(options);
  Offer(500, std::chrono::seconds(2), 9000);
  const auto passed = Offer(500, std::chrono::seconds(4), 9000);
  CHECK_TRUE(passed[0] >= 0.09);
  CHECK_TRUE(passed[0] <= 0.16);
  CHECK_TRUE(passed[2] >= passed[0] - 0.03);
  const auto calls = Offer(500, std::chrono::seconds(1), 9000, true);
  for (const double share : calls)
    DOUBLES_EQUAL(1.0, share, 0.0);
}

// Load pattern: the last service in the chain loses two of three targets at
// once. Guards against a rate that takes seconds to adapt.
TEST(admission, LargerDecreaseFollowsASuddenCapacityLoss) {
  const auto share_after = [&](double min_decrease_factor) {
    admission_options options;
    options.min_decrease_factor = min_decrease_factor;
    controller = admission_controller(options);
    Offer(500, std::chrono::seconds(2), 500);
    Offer(500, milliseconds(600), 20'000);
    return Offer(500, milliseconds(200), 20'000)[2];
  };
  CHECK_TRUE(share_after(0.5) < share_after(0.7) * 0.8);
}

// Load pattern: a service has room for two thirds of its requests, and callers
// come back as they were told. Guards against refusing a caller twice while new
// callers of the same priority pass, and against returning callers that go
// before more important ones.
TEST(admission, ReturningCallersGoBeforeNewOnes) {
  constexpr auto kStep = std::chrono::microseconds(1'000'000 / 600);
  constexpr double kServedPerStep = 2;
  constexpr double kPermillePerWaitingCall = 20;
  const struct {
    priority_class priority;
    bool returning;
  } requests[] = {{priority_class::kBrowse, false},
                  {priority_class::kBrowse, true},
                  {priority_class::kCritical, false}};
  std::array<int, 3> passed{};
  int offered = 0;
  double waiting = 0;
  for (const time_point start = now; now < start + std::chrono::seconds(6);
       now += kStep) {
    const bool counts = now >= start + std::chrono::seconds(2);
    offered += counts ? 1 : 0;
    for (size_t i = 0; i < std::size(requests); ++i) {
      if (controller.Check("calendar", {}, requests[i].priority, false, now,
                           random, requests[i].returning))
        continue;
      passed[i] += counts ? 1 : 0;
      waiting += 1;
    }
    waiting = std::max(0.0, waiting - kServedPerStep);
    controller.OnLoadReport(
        "calendar",
        static_cast<uint32_t>(1000 + waiting * kPermillePerWaitingCall), now);
  }
  CHECK_TRUE(passed[2] > offered * 0.9);
  // An even split would be half each.
  CHECK_TRUE(passed[1] > offered / 2);
  CHECK_TRUE(passed[0] < passed[1] / 2);
}

}  // namespace
}  // namespace skylarkhoist
