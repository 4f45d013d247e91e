#include "kernel/connection_budget.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMegabyte = size_t{1} << 20U;

TEST_GROUP(connection_budget) {
  time_point now{seconds(100)};
  connection_budget_settings settings;

  void setup() override {
    settings.max_bytes = 80 * kMegabyte;
    settings.max_connections = 100;
  }

  // Receives the head and `memory` of a body on connection `id`.
  void Receive(connection_budget & budget, uint64_t id, size_t memory) {
    budget.OnReceived(id, 100, 100, now);
    budget.OnHeadComplete(id, now);
    budget.OnReceived(id, memory, memory, now);
  }
};

// Guards against closing ordinary callers in place of those that hold most for
// longest, while bodies stop just short of their end.
TEST(connection_budget, LargestAndLongestGoFirst) {
  connection_budget budget(settings);
  for (uint64_t id = 1; id <= 4; ++id) {
    budget.Add(id, now);
    Receive(budget, id, id == 1 ? 30 * kMegabyte : 15 * kMegabyte);
  }
  CHECK_FALSE(budget.IsExceeded());
  now += seconds(1);
  budget.Add(5, now);
  Receive(budget, 5, 1000);
  budget.Add(6, now);
  Receive(budget, 6, 6 * kMegabyte);
  CHECK_TRUE(budget.IsExceeded());
  const auto closed = budget.TakeClosures(now);
  CHECK_EQUAL(1U, closed.size());
  CHECK_EQUAL(1U, closed[0].id);
  CHECK_TRUE(closed[0].cause == closure_cause::kMemory);
  CHECK_FALSE(budget.IsExceeded());
}

// Guards against refusing the largest legal request in calm, and against small
// requests that are refused or closed beside it.
TEST(connection_budget, SmallRequestsPassBesideALargeOne) {
  connection_budget budget(settings);
  budget.Add(1, now);
  Receive(budget, 1, 68 * kMegabyte);
  CHECK_TRUE(budget.TakeClosures(now).empty());
  CHECK_TRUE(budget.TryStart(1, 128 * kMegabyte));
  for (uint64_t id = 2; id <= 40; ++id) {
    budget.Add(id, now);
    Receive(budget, id, 50'000);
    CHECK_FALSE(budget.IsExceeded());
    CHECK_TRUE(budget.TryStart(id, 100'000));
  }
  budget.Add(41, now);
  Receive(budget, 41, kMegabyte);
  CHECK_FALSE(budget.TryStart(41, 2 * kMegabyte));
  // A request in progress may have run, so it is never closed.
  CHECK_TRUE(budget.TakeClosures(now + seconds(1)).empty());
  for (uint64_t id = 1; id <= 40; ++id)
    budget.OnRequestEnded(id, now);
  budget.Remove(41);
  CHECK_EQUAL(0U, budget.held_bytes());
}

// Guards against many bodies that are complete at once and start before the
// connections that exceed the limit are closed.
TEST(connection_budget, CompleteBodiesStartOnlyWithinTheLimit) {
  connection_budget budget(settings);
  for (uint64_t id = 1; id <= 20; ++id) {
    budget.Add(id, now);
    Receive(budget, id, 4 * kMegabyte);
  }
  for (uint64_t id = 1; id <= 20; ++id)
    budget.TryStart(id, 8 * kMegabyte);
  CHECK_TRUE(budget.held_bytes() <= 90 * kMegabyte);
}

// Guards against connections that use up the descriptors, and against closing
// one whose request is in progress.
TEST(connection_budget, LongestIdleConnectionGoesFirst) {
  settings.max_connections = 2;
  connection_budget budget(settings);
  for (uint64_t id = 1; id <= 3; ++id) {
    budget.Add(id, now);
    now += seconds(1);
  }
  budget.OnReceived(1, 10, 10, now);
  CHECK_TRUE(budget.TryStart(1, 10));
  const auto closed = budget.TakeClosures(now);
  CHECK_EQUAL(1U, closed.size());
  CHECK_EQUAL(2U, closed[0].id);
  CHECK_TRUE(closed[0].cause == closure_cause::kConnections);
}

// Guards against heads without end and bodies that stop or trickle, and against
// closing a slow caller whose body still grows or an idle connection.
TEST(connection_budget, NoProgressEndsAtItsTimeLimit) {
  connection_budget budget(settings);
  for (uint64_t id = 1; id <= 4; ++id)
    budget.Add(id, now);
  const auto step = settings.body_timeout - milliseconds(1);
  budget.OnReceived(1, 1, 1, now);
  Receive(budget, 2, 10);
  Receive(budget, 3, 10);
  now += step;
  budget.OnReceived(1, 1, 2, now);
  budget.OnReceived(2, 1, 11, now);
  budget.OnReceived(3, 5000, 5000, now);
  now += milliseconds(1);
  const auto closed = budget.TakeClosures(now);
  CHECK_EQUAL(2U, closed.size());
  for (const auto& each : closed) {
    CHECK_TRUE(each.cause == (each.id == 1 ? closure_cause::kHeadTimeout
                                           : closure_cause::kBodyTimeout));
  }
  CHECK_EQUAL(2U, budget.connections());
}

}  // namespace
}  // namespace skylarkhoist
