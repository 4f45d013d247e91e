#include <algorithm>
#include <chrono>

#include "decisions/routing_policy.h"

namespace skylarkhoist {
namespace {

// Reports older than this say nothing.
constexpr duration kReportAge = std::chrono::seconds(1);
// Added to the estimate as a report gets old: a target that was free long ago
// may be full by now.
constexpr double kAgePenalty = 300;
// Calls that a target of unknown limit is taken to bear.
constexpr int kUnknownLimit = 8;
// A target that just appeared gets its full share after this time, starting
// from a small one.
constexpr duration kRamp = std::chrono::seconds(5);
constexpr double kRampStart = 0.1;
constexpr double kFull = 1000;

// Estimated load in permille: the report plus own calls opened since, at least
// the own open calls.
double EstimateOf(const route_candidate& candidate, time_point now) {
  const double limit = candidate.limit > 0
                           ? static_cast<double>(candidate.limit)
                           : kUnknownLimit;
  const double own = candidate.open_calls * 1000 / limit;
  const duration age = now - candidate.load_at;
  if (age >= kReportAge)
    return own + kAgePenalty;
  const double added =
      candidate.open_at_load < 0
          ? 0
          : std::max(candidate.open_calls - candidate.open_at_load, 0) * 1000 /
                limit;
  const double old = std::chrono::duration<double>(age) / kReportAge;
  return std::max(candidate.load_permille + added, own) + kAgePenalty * old;
}

// Targets that fail clearly more often than the best one are used when no other
// has room. What all targets of a service do, such as failing with a service
// behind them, says nothing about one of them.
constexpr double kFailing = 0.1;
constexpr double kFailingFactor = 2.5;

// The near zone while it has room, then other zones with room, then targets
// with room that fail, then all. In each group the less loaded of two random
// candidates: choosing the least loaded of all would send every node to the
// same free target.
//
// Load pattern: some targets lose or fail a part of their answers while the
// others have room.
class zone_aware_routing : public routing_policy {
 public:
  std::optional<size_t> Pick(const std::vector<route_candidate>& candidates,
                             time_point now,
                             random_source& random) override {
    std::vector<choice> near;
    std::vector<choice> far;
    std::vector<choice> failing;
    std::vector<choice> all;
    double least_failed = 1.0;
    for (const route_candidate& each : candidates)
      least_failed = std::min(least_failed, each.failed_share);
    const double bound = kFailing + least_failed * kFailingFactor;
    for (size_t i = 0; i < candidates.size(); ++i) {
      const route_candidate& each = candidates[i];
      const choice added = {i, EstimateOf(each, now)};
      all.push_back(added);
      if (added.estimate >= kFull || HeldBack(each, now, random))
        continue;
      if (each.failed_share > bound)
        failing.push_back(added);
      else
        (each.same_zone ? near : far).push_back(added);
    }
    for (const auto* group : {&near, &far, &failing, &all}) {
      if (!group->empty())
        return LessLoaded(*group, random);
    }
    return std::nullopt;
  }

 private:
  struct choice {
    size_t index;
    double estimate;
  };

  static bool HeldBack(const route_candidate& candidate,
                       time_point now,
                       random_source& random) {
    const duration age = now - candidate.seen_since;
    if (age >= kRamp)
      return false;
    const double share =
        std::max(std::chrono::duration<double>(age) / kRamp, kRampStart);
    return random.Fraction() >= share;
  }

  static size_t LessLoaded(const std::vector<choice>& group,
                           random_source& random) {
    const size_t first = random.Below(group.size());
    if (group.size() == 1)
      return group[first].index;
    size_t second = random.Below(group.size() - 1);
    second += second >= first ? 1 : 0;
    return group[second].estimate < group[first].estimate ? group[second].index
                                                          : group[first].index;
  }
};

const routing_registry::entry kZoneAware("zone_aware", [] {
  return std::make_unique<zone_aware_routing>();
});

}  // namespace
}  // namespace skylarkhoist
