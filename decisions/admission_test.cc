#include "decisions/admission.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(admission) {
  admission control;
  mt_random random{7};
  time_point now{std::chrono::hours(1)};

  // Offers `rate` calls a second of each class for `span`. The service reports
  // `load` with each passed call. Returns the passed share by class.
  std::array<double, 3> Offer(int rate, duration span, uint32_t load,
                              bool admitted = false) {
    std::array<int, 3> passed{};
    int offered = 0;
    for (const time_point end = now + span; now < end;
         now += std::chrono::microseconds(1'000'000 / rate)) {
      ++offered;
      for (size_t rank = 0; rank < 3; ++rank) {
        if (control.Check("bookings", {"calendar"},
                          static_cast<priority_class>(rank), admitted, now,
                          random))
          continue;
        ++passed[rank];
        control.OnLoad("calendar", load, now);
      }
    }
    return {1.0 * passed[0] / offered, 1.0 * passed[1] / offered,
            1.0 * passed[2] / offered};
  }
};

// Guards against refusals that no load justifies.
TEST(admission, RefusesNothingBelowTheTargetLoad) {
  const auto passed =
      Offer(500, std::chrono::seconds(2), admission::kTargetLoad - 1);
  for (const double share : passed)
    DOUBLES_EQUAL(1.0, share, 0.0);
}

// Guards against admitting work that a deeper service then refuses, and against
// shedding deposits before browsing requests.
TEST(admission, OverloadDeepInTheChainRefusesByClass) {
  struct row {
    int milliseconds_of_overload;
    double browse_at_most;
    double critical_at_least;
  };
  // 2000 permille cut the rate by 0.73 at each step of 50 ms.
  for (const row& each : {row{0, 1.0, 1.0}, row{150, 0.4, 1.0}}) {
    control = admission();
    now += std::chrono::seconds(10);
    Offer(500, std::chrono::seconds(1), 900);
    if (each.milliseconds_of_overload > 0)
      Offer(500, milliseconds(each.milliseconds_of_overload), 2000);
    const auto passed = Offer(500, milliseconds(40), 1300);
    CHECK_TRUE(passed[0] <= each.browse_at_most);
    CHECK_TRUE(passed[2] >= each.critical_at_least);
  }
}

// Guards against refusals from a level that is no longer true.
TEST(admission, StaleLevelIsForgotten) {
  Offer(500, std::chrono::seconds(1), 5000);
  now += admission::kMaxAge;
  CHECK_FALSE(control.LevelOf("calendar", now).has_value());
  CHECK_FALSE(control
                  .Check("bookings", {"calendar"}, priority_class::kBrowse,
                         false, now, random)
                  .has_value());
}

// Guards against browsing requests that take the place of refused deposits, and
// against a service that gets no call, sends no answer and stays refused
// for the whole age of the last level.
TEST(admission, ProbesKeepTheViewFresh) {
  Offer(500, std::chrono::seconds(2), 5000);
  int passed = 0;
  for (const time_point end = now + admission::kClassHold - milliseconds(5);
       now < end; now += milliseconds(1)) {
    passed += !control
                   .Check("bookings", {"calendar"}, priority_class::kBrowse,
                          false, now, random)
                   .has_value();
  }
  CHECK_EQUAL(0, passed);
  control = admission();
  for (int i = 0; i < 2000; ++i, now += milliseconds(1)) {
    if (control.Check("reels", {}, priority_class::kBrowse, false, now, random))
      continue;
    if (i >= 1000)
      ++passed;
    control.OnLoad("reels", 9000, now);
  }
  CHECK_TRUE(passed >= 5 && passed <= 30);
}

// Guards against losing the work of a parent to refuse its child.
TEST(admission, AdmittedCallsPassWhereNewOnesAreRefused) {
  Offer(500, std::chrono::seconds(1), 2000);
  const auto passed = Offer(500, milliseconds(200), 2000, true);
  for (const double share : passed)
    DOUBLES_EQUAL(1.0, share, 0.0);
  CHECK_TRUE(Offer(500, milliseconds(200), 2000)[0] < 0.1);
}

// Guards against refusals that outlast the overload.
TEST(admission, RecoversWithinASecond) {
  Offer(500, std::chrono::seconds(2), 2500);
  Offer(500, std::chrono::seconds(1), 600);
  const auto passed = Offer(500, milliseconds(200), 600);
  for (const double share : passed)
    DOUBLES_EQUAL(1.0, share, 0.01);
}

}  // namespace
}  // namespace skylarkhoist
