#include "decisions/weighted_round_robin.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <map>
#include <string>

namespace skylarkhoist {
namespace {

TEST_GROUP(weighted_round_robin) {
  weighted_round_robin split;
  std::map<std::string, int> picked;

  void Pick(const std::vector<weighted_service>& parts, int count) {
    for (int i = 0; i < count; ++i)
      ++picked[split.Pick(parts)];
  }
};

// Guards against shares that are correct only on average over a long time.
TEST(weighted_round_robin, StaysWithinOneRequestOfTheShare) {
  const std::vector<weighted_service> parts = {{"a", 90}, {"b", 9}, {"c", 1}};
  for (int total = 1; total <= 1000; ++total) {
    Pick(parts, 1);
    for (const weighted_service& part : parts) {
      const double expected = part.weight / 100 * total;
      CHECK_TRUE(std::abs(picked[part.service] - expected) <= 1.01);
    }
  }
}

// Guards against choosing services without weight, and against weights of an
// earlier configuration that still have an effect.
TEST(weighted_round_robin, NewWeightsApplyImmediately) {
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
