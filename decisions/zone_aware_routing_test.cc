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

  route_candidate Candidate(bool near, uint32_t load, int open = 0) const {
    route_candidate made;
    made.same_zone = near;
    made.load_permille = load;
    made.load_at = now;
    made.limit = 100;
    made.open_calls = open;
    made.open_at_load = open;
    made.seen_since = now - seconds(60);
    return made;
  }

  // Picks `times` times, keeping the picked calls open, and counts.
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

// Guards against calls between zones that nothing requires, and against
// refusals while another zone has room.
TEST(zone_aware, NearZoneFirstWhileItHasRoom) {
  struct row {
    uint32_t near_load;
    uint32_t far_load;
    int near_picks;
  };
  for (const row& each :
       {row{900, 0, 100}, row{1000, 500, 0}, row{1500, 2000, 100}}) {
    CHECK_EQUAL(each.near_picks, Picks({Candidate(true, each.near_load),
                                        Candidate(false, each.far_load)},
                                       100)[0]);
  }
  CHECK_FALSE(policy->Pick({}, now, random).has_value());
}

// Guards against a herd onto a target that just became free: own calls opened
// since its report count, and an old report attracts less than a new one.
TEST(zone_aware, NoHerdOntoAFreeTarget) {
  std::vector<route_candidate> candidates(4, Candidate(true, 800));
  candidates[0].load_permille = 0;
  const auto counts = Picks(candidates, 150, true);
  CHECK_TRUE(counts[0] >= 50 && counts[0] <= 100);
  candidates = {Candidate(true, 500), Candidate(true, 400)};
  candidates[1].load_at = now - milliseconds(900);
  CHECK_EQUAL(0, Picks(candidates, 100)[1]);
}

// Guards against full load on a target that just appeared.
TEST(zone_aware, RampForNewTargets) {
  for (const auto& [age, least, most] :
       {std::make_tuple(0, 20, 200), std::make_tuple(2500, 300, 700),
        std::make_tuple(5000, 1000, 1000)}) {
    std::vector<route_candidate> candidates = {Candidate(true, 0),
                                               Candidate(true, 500)};
    candidates[0].seen_since = now - milliseconds(age);
    const int picks = Picks(candidates, 1000)[0];
    CHECK_TRUE(picks >= least && picks <= most);
  }
}

// Load pattern: one target near loses two fifths of its answers while others
// have room. Guards against calls that are given to it all the same, and
// against targets that are avoided because a service behind all of them fails.
TEST(zone_aware, TargetsThatFailMoreThanOthersAreUsedLast) {
  std::vector<route_candidate> candidates = {
      Candidate(true, 300), Candidate(true, 300), Candidate(false, 300)};
  candidates[0].failed_share = 0.4;
  LONGS_EQUAL(0, Picks(candidates, 100)[0]);
  candidates[1].failed_share = 0.4;
  LONGS_EQUAL(100, Picks(candidates, 100)[2]);
  candidates[2].failed_share = 0.4;
  LONGS_EQUAL(0, Picks(candidates, 100)[2]);
  candidates[2].failed_share = 0;
  candidates[2].load_permille = 1000;
  LONGS_EQUAL(0, Picks(candidates, 100)[2]);
}

}  // namespace
}  // namespace skylarkhoist
