#include <CppUTest/TestHarness.h>

#include <vector>

#include "decisions/routing_policy.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(zone_aware) {
  std::unique_ptr<routing_policy> policy =
      routing_registry::Create("zone_aware");
  mt_random random{3};
  time_point now{std::chrono::hours(1)};

  route_candidate Candidate(bool same_zone, uint32_t load, int open = 0) const {
    route_candidate candidate;
    candidate.same_zone = same_zone;
    candidate.load_permille = load;
    candidate.reported_at = now;
    candidate.limit = 100;
    candidate.open_calls = open;
    candidate.open_calls_at_report = open;
    candidate.first_seen = now - seconds(60);
    return candidate;
  }

  // Picks a target `times` times, optionally keeping the calls open, and counts
  // the picks by candidate.
  std::vector<int> Picks(std::vector<route_candidate> candidates, int times,
                         bool keep_open = false) {
    std::vector<int> counts(candidates.size());
    for (int i = 0; i < times; ++i) {
      const size_t chosen = *policy->Pick(candidates, now, random);
      ++counts[chosen];
      candidates[chosen].open_calls += keep_open ? 1 : 0;
    }
    return counts;
  }
};

// Guards against calls to another zone without need, and against calls that a
// full target of the same zone refuses while another zone has capacity.
TEST(zone_aware, PrefersTheSameZoneWhileItHasCapacity) {
  struct row {
    uint32_t same_zone_load;
    uint32_t other_zone_load;
    int same_zone_picks;
  };
  for (const row& each :
       {row{900, 0, 100}, row{1000, 500, 0}, row{1500, 2000, 100}}) {
    CHECK_EQUAL(each.same_zone_picks,
                Picks({Candidate(true, each.same_zone_load),
                       Candidate(false, each.other_zone_load)},
                      100)[0]);
  }
  CHECK_FALSE(policy->Pick({}, now, random).has_value());
}

// Guards against all nodes choosing a target that just became idle: calls
// opened since its report count, and an old report attracts fewer calls than a
// recent one.
TEST(zone_aware, AvoidsHerdingToAFreeTarget) {
  std::vector<route_candidate> candidates(4, Candidate(true, 800));
  candidates[0].load_permille = 0;
  const auto counts = Picks(candidates, 150, true);
  CHECK_TRUE(counts[0] >= 50 && counts[0] <= 100);
  candidates = {Candidate(true, 500), Candidate(true, 400)};
  candidates[1].reported_at = now - milliseconds(900);
  CHECK_EQUAL(0, Picks(candidates, 100)[1]);
}

// Guards against full load on a target that just appeared.
TEST(zone_aware, SlowStartForNewTargets) {
  for (const auto& [age, min_picks, max_picks] :
       {std::make_tuple(0, 20, 200), std::make_tuple(2500, 300, 700),
        std::make_tuple(5000, 1000, 1000)}) {
    std::vector<route_candidate> candidates = {Candidate(true, 0),
                                               Candidate(true, 500)};
    candidates[0].first_seen = now - milliseconds(age);
    const int picks = Picks(candidates, 1000)[0];
    CHECK_TRUE(picks >= min_picks && picks <= max_picks);
  }
}

// Load pattern: all nodes start at once, as after a loss of power. Guards
// against calls to other zones only because the near targets have just been
// found, when the others have been found no earlier.
TEST(zone_aware, NoSlowStartWhenAllTargetsAreNew) {
  std::vector<route_candidate> candidates = {
      Candidate(true, 0), Candidate(false, 0), Candidate(false, 0)};
  for (route_candidate& each : candidates)
    each.first_seen = now - milliseconds(200);
  LONGS_EQUAL(200, Picks(candidates, 200)[0]);
}

// Load pattern: one target of the same zone loses two fifths of its answers
// while others have capacity. Guards against sending calls to it all the same,
// and against avoiding targets because a service behind all of them fails.
TEST(zone_aware, UsesTargetsThatFailMoreThanOthersLast) {
  std::vector<route_candidate> candidates = {
      Candidate(true, 300), Candidate(true, 300), Candidate(false, 300)};
  candidates[0].failure_rate = 0.4;
  LONGS_EQUAL(0, Picks(candidates, 100)[0]);
  candidates[1].failure_rate = 0.4;
  LONGS_EQUAL(100, Picks(candidates, 100)[2]);
  candidates[2].failure_rate = 0.4;
  LONGS_EQUAL(0, Picks(candidates, 100)[2]);
  candidates[2].failure_rate = 0;
  candidates[2].load_permille = 1000;
  LONGS_EQUAL(0, Picks(candidates, 100)[2]);
}

}  // namespace
}  // namespace skylarkhoist
