#include "decisions/departure_memory.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace skylarkhoist {
namespace {

using std::chrono::minutes;

TEST_GROUP(departure_memory) {
  time_point now = time_point() + std::chrono::hours(1);
  departure_memory memory;

  bool IsOutdated(int64_t generation, int64_t sequence) {
    return memory.IsOutdated({"t0", generation}, sequence, now);
  }
};

// Guards against a late announcement that brings a draining target back, and
// against one that cannot come back after it has changed its mind.
TEST(departure_memory, OutdatesAnnouncementsBeforeTheDrain) {
  CHECK_FALSE(IsOutdated(5, 1));
  CHECK_TRUE(memory.Record({{"t0", 5}, 10, false}, now));
  CHECK_FALSE(memory.Record({{"t0", 5}, 10, false}, now));
  CHECK_FALSE(memory.Record({{"t0", 5}, 9, false}, now));
  CHECK_TRUE(IsOutdated(4, 100));
  CHECK_TRUE(IsOutdated(5, 10));
  CHECK_FALSE(IsOutdated(5, 11));
  CHECK_FALSE(IsOutdated(6, 1));
}

// Guards against any announcement of a run that has left, whose generation it
// did not tell, and against a departure that holds back the next run.
TEST(departure_memory, OutdatesAllAnnouncementsOfARunThatLeft) {
  memory.Record({{"t0", 5}, 10, false}, now);
  CHECK_TRUE(memory.Record({{"t0", 7}, 0, true}, now));
  CHECK_FALSE(memory.Record({{"t0", 5}, 12, false}, now));
  CHECK_TRUE(IsOutdated(5, 100));
  CHECK_TRUE(IsOutdated(7, 100));
  CHECK_FALSE(IsOutdated(8, 1));
  CHECK_FALSE(memory.IsOutdated({"t1", 5}, 1, now));
}

// Guards against memory that grows with each target that leaves.
TEST(departure_memory, ForgetsOldDepartures) {
  for (int i = 0; i < 100; ++i)
    memory.Record({{"t" + std::to_string(i), 5}, 10, true}, now);
  CHECK_EQUAL(32, memory.All(now).size());
  now += minutes(2);
  CHECK_TRUE(memory.All(now).empty());
}

}  // namespace
}  // namespace skylarkhoist
