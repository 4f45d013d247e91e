#include "decisions/weighted_split.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <map>
#include <string>

namespace skylarkhoist {
namespace {

TEST_GROUP(weighted_split) {
  weighted_split split;
  std::map<std::string, int> picked;

  void Pick(const std::vector<weighted_service>& parts, int count) {
    for (int i = 0; i < count; ++i)
      ++picked[split.Pick(parts)];
  }
};

// Guards against a share that is only right on the average over a long time.
TEST(weighted_split, EachPartIsNearItsShareAtEveryMoment) {
  const std::vector<weighted_service> parts = {{"a", 90}, {"b", 9}, {"c", 1}};
  for (int total = 1; total <= 1000; ++total) {
    Pick(parts, 1);
    for (const weighted_service& part : parts) {
      const double owed = part.weight / 100 * total;
      CHECK_TRUE(std::abs(picked[part.service] - owed) <= 1.01);
    }
  }
}

// Guards against parts without weight that get requests, and against weights of
// an earlier configuration that go on working.
TEST(weighted_split, NewWeightsHoldAtOnce) {
  Pick({{"a", 99}, {"b", 1}, {"c", 0}}, 50);
  LONGS_EQUAL(0, picked["c"]);
  picked.clear();
  Pick({{"b", 50}, {"c", 50}}, 100);
  CHECK_TRUE(std::abs(picked["b"] - 50) <= 2);
  picked.clear();
  Pick({{"b", 0}}, 3);
  LONGS_EQUAL(3, picked["b"]);
}

}  // namespace
}  // namespace skylarkhoist
