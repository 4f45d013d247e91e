#include "decisions/cold_state.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(cold_state) {
  cold_state state;
  const time_point start = time_point() + seconds(100);
};

// Guards against a cold state that lasts longer than the target announces.
TEST(cold_state, FollowsTheAnnouncements) {
  CHECK_TRUE(state.cold_until() <= start);
  state.OnAnnouncement(seconds(3), start);
  CHECK_TRUE(state.cold_until() == start + seconds(3));
  state.OnAnnouncement(seconds(1), start + seconds(1));
  CHECK_TRUE(state.cold_until() == start + seconds(2));
}

// Guards against a late announcement that ends a suspicion, and against a
// suspicion without end.
TEST(cold_state, TheSecondAnnouncementEndsASuspicion) {
  state.Suspect();
  CHECK_TRUE(state.is_suspected());
  state.OnAnnouncement(duration::zero(), start);
  CHECK_TRUE(state.is_suspected());
  state.OnAnnouncement(seconds(2), start);
  CHECK_FALSE(state.is_suspected());
  CHECK_TRUE(state.cold_until() == start + seconds(2));
}

// Guards against a warm target that stays limited after its health check.
TEST(cold_state, AHealthCheckEndsASuspicion) {
  state.OnAnnouncement(duration::zero(), start);
  state.Suspect();
  state.OnHealth(start, duration::zero(), start + milliseconds(10));
  CHECK_FALSE(state.is_suspected());
  CHECK_TRUE(state.cold_until() <= start + milliseconds(10));
}

// Guards against a health check that is out of date and ends the cold state
// that the target has announced.
TEST(cold_state, AHealthCheckDoesNotEndAnAnnouncedColdState) {
  state.OnAnnouncement(seconds(3), start);
  state.Suspect();
  state.OnHealth(start, duration::zero(), start + milliseconds(10));
  CHECK_TRUE(state.cold_until() == start + seconds(3));
}

// Guards against a late announcement that ends the cold time which a health
// check has shown.
TEST(cold_state, ALateAnnouncementDoesNotOverruleAHealthCheck) {
  state.Suspect();
  state.OnHealth(start, seconds(2), start + milliseconds(10));
  CHECK_TRUE(state.cold_until() == start + seconds(2) + milliseconds(10));
  state.OnAnnouncement(duration::zero(), start + milliseconds(20));
  CHECK_TRUE(state.cold_until() == start + seconds(2));
}

}  // namespace
}  // namespace skylarkhoist
