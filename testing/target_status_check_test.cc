#include "testing/target_status_check.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a check that never reports a violation, and against one that
// binds nodes that have passed nothing on.
TEST_GROUP(target_status_check) {
  target_status_check check;
  time_point now{std::chrono::hours(1)};

  // Runs a request each 100 ms and returns the number of violations.
  int Violations(size_t node, duration length) {
    int count = 0;
    for (const time_point end = now + length; now < end;
         now += milliseconds(100))
      count += check.OnRun(node, now, now).has_value() ? 1 : 0;
    return count;
  }
};

TEST(target_status_check, ReportsMoreThanALimitFromBoundNodes) {
  check.BeginLimit(2, now);
  CHECK_EQUAL(0, Violations(1, seconds(8)));
  check.OnLimitPassedOn(1, now);
  // 10 a second, while 17 in 4 s are allowed.
  CHECK_TRUE(Violations(1, seconds(8)) > 0);
  CHECK_EQUAL(0, Violations(2, seconds(8)));
  check.OnNodeExcused(1);
  CHECK_EQUAL(0, Violations(1, seconds(8)));
}

TEST(target_status_check, ReportsRequestsAfterADeparture) {
  check.BeginDeparture();
  check.OnDeparturePassedOn(1, now);
  CHECK_EQUAL(0, Violations(1, seconds(2)));
  now += milliseconds(100);
  CHECK_TRUE(Violations(1, seconds(1)) > 0);
  CHECK_EQUAL(0, Violations(2, seconds(1)));
  check.Clear();
  CHECK_EQUAL(0, Violations(1, seconds(1)));
}

}  // namespace
}  // namespace skylarkhoist
