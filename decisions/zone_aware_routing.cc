#include <algorithm>
#include <chrono>

#include "decisions/routing_policy.h"

namespace skylarkhoist {
namespace {

// Load reports older than this are ignored.
constexpr duration kMaxReportAge = std::chrono::seconds(1);
// Largest increase of the estimated load for the age of a report. It grows with
// the age, because a target that was idle at the time of the report may be full
// by now.
constexpr double kMaxAgePenaltyPermille = 300;
// Limit assumed for a target whose limit is unknown.
constexpr int kDefaultLimit = 8;
// Slow start: the share of calls that a new target gets grows from the minimum
// share to its full share within this time, compared with the target that was
// seen first.
constexpr duration kSlowStartTime = std::chrono::seconds(5);
constexpr double kSlowStartMinShare = 0.1;
constexpr double kFullPermille = 1000;

// Estimated load in permille: the reported load plus the calls that this node
// opened since, but at least the load of this node's open calls.
double EstimateLoad(const route_candidate& candidate, time_point now) {
  const double limit = candidate.limit > 0
                           ? static_cast<double>(candidate.limit)
                           : kDefaultLimit;
  const double own_load = candidate.open_calls * 1000 / limit;
  const duration age = now - candidate.reported_at;
  if (age >= kMaxReportAge)
    return own_load + kMaxAgePenaltyPermille;
  const double opened_since =
      candidate.open_calls_at_report < 0
          ? 0
          : std::max(candidate.open_calls - candidate.open_calls_at_report, 0) *
                1000 / limit;
  const double age_share = std::chrono::duration<double>(age) / kMaxReportAge;
  return std::max(candidate.load_permille + opened_since, own_load) +
         kMaxAgePenaltyPermille * age_share;
}

// A target whose failure rate is above the margin plus the factor times the
// lowest rate is used only when no other has capacity. The comparison is
// relative because a failure that all targets share, as when a service behind
// them fails, says nothing about one of them.
constexpr double kFailureRateMargin = 0.1;
constexpr double kFailureRateFactor = 2.5;

// Prefers targets of the same zone while they have capacity, then those of
// other zones with capacity, then failing targets with capacity, then any
// target. In each group it chooses the less loaded of two random candidates: if
// each node chose the least loaded of all, they would all send to the same idle
// target.
//
// Load pattern: some targets lose or fail a part of their answers while the
// others have capacity.
class zone_aware_routing : public routing_policy {
 public:
  std::optional<size_t> Pick(const std::vector<route_candidate>& candidates,
                             time_point now,
                             random_source& random) override {
    std::vector<estimated_target> same_zone_targets;
    std::vector<estimated_target> other_zone_targets;
    std::vector<estimated_target> failing_targets;
    std::vector<estimated_target> all_targets;
    double lowest_failure_rate = 1.0;
    double highest_share = kSlowStartMinShare;
    for (const route_candidate& each : candidates) {
      lowest_failure_rate = std::min(lowest_failure_rate, each.failure_rate);
      highest_share = std::max(highest_share, SlowStartShare(each, now));
    }
    const double max_failure_rate =
        kFailureRateMargin + lowest_failure_rate * kFailureRateFactor;
    for (size_t i = 0; i < candidates.size(); ++i) {
      const route_candidate& each = candidates[i];
      const estimated_target estimated = {i, EstimateLoad(each, now)};
      all_targets.push_back(estimated);
      if (estimated.estimate >= kFullPermille)
        continue;
      // Draws a number only during a slow start: most targets have their full
      // share, and there may be dozens of them for each call.
      const double share = SlowStartShare(each, now);
      if (share < highest_share && random.Fraction() * highest_share >= share)
        continue;
      if (each.failure_rate > max_failure_rate)
        failing_targets.push_back(estimated);
      else
        (each.same_zone ? same_zone_targets : other_zone_targets)
            .push_back(estimated);
    }
    for (const auto* group : {&same_zone_targets, &other_zone_targets,
                              &failing_targets, &all_targets}) {
      if (!group->empty())
        return LessLoaded(*group, random);
    }
    return std::nullopt;
  }

  bool HasCapacity(const std::vector<route_candidate>& candidates,
                   time_point now) const override {
    return std::any_of(candidates.begin(), candidates.end(),
                       [&](const route_candidate& each) {
                         return EstimateLoad(each, now) < kFullPermille;
                       });
  }

 private:
  struct estimated_target {
    size_t index;
    double estimate;
  };

  static double SlowStartShare(const route_candidate& candidate,
                               time_point now) {
    const double age_share =
        std::chrono::duration<double>(now - candidate.first_seen) /
        kSlowStartTime;
    return std::clamp(age_share, kSlowStartMinShare, 1.0);
  }

  static size_t LessLoaded(const std::vector<estimated_target>& group,
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

const routing_registry::registration kZoneAware("zone_aware", [] {
  return std::make_unique<zone_aware_routing>();
});

}  // namespace
}  // namespace skylarkhoist
