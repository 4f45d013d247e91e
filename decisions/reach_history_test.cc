#include "decisions/reach_history.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(reach_history) {
  time_point now{std::chrono::hours(1)};
  reach_history history{"own"};

  bool IsLost(const std::string& node) {
    return history.ReachOf(node, now) == node_reach::kLost;
  }
};

// Guards against nodes that are taken for lost while a fleet starts, or after
// their process has ended.
TEST(reach_history, OnlyNodesThatWereLiveAreLost) {
  history.Update({"own", "a"}, {"b", "c"}, now);
  now += seconds(10);
  history.Update({"own"}, {"a", "b"}, now);
  now += seconds(10);
  CHECK_TRUE(IsLost("a"));
  CHECK_FALSE(IsLost("b"));
  CHECK_FALSE(IsLost("own"));
  CHECK_EQUAL(1, history.Counts(now).lost);
  CHECK_EQUAL(2, history.Counts(now).known);
  history.Update({"own"}, {"b"}, now);
  CHECK_TRUE(history.ReachOf("a", now) == node_reach::kEnded);
  CHECK_EQUAL(0, history.Counts(now).lost);
}

// Guards against reservations for a short change of links, and against an end
// of the reservation before the node has found the owner again.
TEST(reach_history, ShortLossesDoNotCount) {
  history.Update({"own", "a"}, {}, now);
  history.Update({"own"}, {"a"}, now);
  now += milliseconds(400);
  CHECK_FALSE(IsLost("a"));
  CHECK_EQUAL(1, history.Counts(now).out_of_reach);
  history.Update({"own", "a"}, {}, now);
  now += milliseconds(200);
  CHECK_FALSE(IsLost("a"));
  history.Update({"own"}, {"a"}, now);
  now += seconds(5);
  CHECK_TRUE(IsLost("a"));
  history.Update({"own", "a"}, {}, now);
  now += seconds(1);
  CHECK_TRUE(IsLost("a"));
  now += seconds(1);
  CHECK_FALSE(IsLost("a"));
  CHECK_TRUE(history.ReachOf("a", now) == node_reach::kLive);
}

}  // namespace
}  // namespace skylarkhoist
