#include "kernel/system_random.h"

#include <CppUTest/TestHarness.h>

#include <set>

namespace skylarkhoist {
namespace {

TEST_GROUP(system_random){};

// Guards against numbers that repeat when the buffer is refilled.
TEST(system_random, DoesNotRepeatNumbers) {
  constexpr size_t kNumbers = 1000;
  system_random random;
  std::set<uint64_t> seen;
  for (size_t i = 0; i < kNumbers; ++i)
    seen.insert(random.Next());
  CHECK_EQUAL(kNumbers, seen.size());
}

// Guards against two generators, as in two processes, with the same numbers.
TEST(system_random, DiffersBetweenGenerators) {
  system_random first;
  system_random second;
  CHECK(first.Next() != second.Next());
}

}  // namespace
}  // namespace skylarkhoist
