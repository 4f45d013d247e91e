#include <algorithm>
#include <array>
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

// Age of the load report as a share of the maximum.
double AgeShare(const route_candidate& candidate, time_point now) {
  const std::chrono::duration<double> age = now - candidate.reported_at;
  return std::clamp(age / kMaxReportAge, 0.0, 1.0);
}

// Estimates the loads of targets whose speed is known. An old report counts as
// the mean of the recent ones of the same or of the other zones. A penalty for
// the age would favour fast targets, and no penalty slow ones, because slow
// targets answer less often.
class load_estimator {
 public:
  load_estimator(const std::vector<route_candidate>& candidates, time_point now)
      : now_(now) {
    std::array<double, 2> weights{};
    std::array<double, 2> sums{};
    for (const route_candidate& each : candidates) {
      const double weight = 1 - AgeShare(each, now);
      weights[Group(each)] += weight;
      sums[Group(each)] += weight * each.load_permille;
    }
    for (size_t i = 0; i < means_.size(); ++i)
      means_[i] = weights[i] > 0 ? sums[i] / weights[i] : kUnknownLoadPermille;
  }

  double Estimate(const route_candidate& candidate) const {
    if (candidate.run_time == duration::zero())
      return EstimateLoad(candidate, now_);
    const double age_share = AgeShare(candidate, now_);
    const double limit = std::max<double>(candidate.limit, 1);
    const double own_load = candidate.open_calls * 1000 / limit;
    const int opened_since =
        candidate.open_calls_at_report < 0
            ? 0
            : std::max(candidate.open_calls - candidate.open_calls_at_report,
                       0);
    const double reported =
        candidate.load_permille + opened_since * 1000 / limit;
    return std::max(own_load, reported * (1 - age_share) +
                                  means_[Group(candidate)] * age_share);
  }

 private:
  // Load assumed while there is no recent report. Low enough that a target of
  // another zone gets calls, which bring a report, before the near one is full.
  static constexpr double kUnknownLoadPermille = 300;

  static size_t Group(const route_candidate& candidate) {
    return candidate.same_zone ? 0 : 1;
  }

  time_point now_;
  std::array<double, 2> means_{};
};

// A target whose failure rate is above the margin plus the factor times the
// lowest rate is used only when no other has capacity. The comparison is
// relative because a failure that all targets share, as when a service behind
// them fails, says nothing about one of them.
constexpr double kFailureRateMargin = 0.1;
constexpr double kFailureRateFactor = 2.5;

// A target counts as slow when its run time is this multiple of the fastest
// one's and exceeds it by the margin. Targets that differ by a factor of 3
// share the work by occupancy, that is in proportion to their speed.
constexpr double kSlowFactor = 4;
constexpr duration kSlowMargin = std::chrono::milliseconds(20);

// Bounds the run times that a call is expected to wait at a full target, since
// the load comes from a message.
constexpr double kMaxQueuedRuns = 100;

// Share of the calls for which a slow target is treated like the others. These
// calls show when it has recovered.
constexpr double kProbeShare = 0.01;

// Calls go to another zone when a target there has less load than the chosen
// one of the same zone by a margin. The margin covers the bytes and the delay
// between zones, and falls with the load of the near target, because its calls
// soon have to wait. Up to the first load, calls stay in the zone. A policy
// that is not to balance zones keeps them there until the near targets are
// full.
constexpr double kBalancingSpillPermille = 700;
constexpr double kFullSpillPermille = 850;
constexpr double kMaxSpillMarginPermille = 500;
constexpr double kMinSpillMarginPermille = 50;
// Below this load, calls don't go to a target in another zone that takes longer
// by the factor.
constexpr double kUrgentSpillPermille = 900;
constexpr double kMaxSpillSlowdown = 2;

// Prefers targets of the same zone while they have capacity and calls need not
// wait soon, then those of other zones with capacity. Slow targets and full
// ones follow by the expected time of the call, then failing targets with
// capacity, then any target. In each group it chooses the less loaded of two
// random candidates: if each node chose the least loaded of all, they would all
// send to the same idle target.
//
// Load patterns: some targets lose or fail a part of their answers while the
// others have capacity. A target gets several times slower for some seconds. A
// zone has fewer targets than the others.
class zone_aware_routing : public routing_policy {
 public:
  // Calls stay in the zone while a near target has less load than
  // `min_spill_permille`.
  explicit zone_aware_routing(double min_spill_permille)
      : min_spill_permille_(min_spill_permille) {}

  std::optional<size_t> Pick(const std::vector<route_candidate>& candidates,
                             time_point now,
                             random_source& random) override {
    std::vector<estimated_target> same_zone_targets;
    std::vector<estimated_target> other_zone_targets;
    std::vector<estimated_target> slow_targets;
    std::vector<estimated_target> full_targets;
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
    const load_estimator loads(candidates, now);
    const duration max_run_time = MaxRunTime(candidates, max_failure_rate);
    for (size_t i = 0; i < candidates.size(); ++i) {
      const route_candidate& each = candidates[i];
      const estimated_target estimated = {i, loads.Estimate(each), Speed(each)};
      all_targets.push_back(estimated);
      if (estimated.estimate >= kFullPermille) {
        if (each.failure_rate <= max_failure_rate)
          full_targets.push_back(estimated);
        continue;
      }
      // Draws a number only during a slow start: most targets have their full
      // share, and there may be dozens of them for each call.
      const double share = SlowStartShare(each, now);
      if (share < highest_share && random.Fraction() * highest_share >= share)
        continue;
      if (each.failure_rate > max_failure_rate)
        failing_targets.push_back(estimated);
      else if (each.run_time > max_run_time && random.Fraction() >= kProbeShare)
        slow_targets.push_back(estimated);
      else
        (each.same_zone ? same_zone_targets : other_zone_targets)
            .push_back(estimated);
    }
    if (!same_zone_targets.empty()) {
      const estimated_target near = LessLoaded(same_zone_targets, random);
      if (near.estimate < min_spill_permille_ || other_zone_targets.empty() ||
          candidates[near.index].run_time == duration::zero())
        return near.index;
      const estimated_target far = LessLoaded(other_zone_targets, random);
      return ShouldSpill(candidates, near, far) ? far.index : near.index;
    }
    if (!other_zone_targets.empty())
      return LessLoaded(other_zone_targets, random).index;
    if (!slow_targets.empty()) {
      const estimated_target slow = LessLoaded(slow_targets, random);
      if (full_targets.empty())
        return slow.index;
      const estimated_target full = LessLoaded(full_targets, random);
      return ExpectedTime(candidates, full) < ExpectedTime(candidates, slow)
                 ? full.index
                 : slow.index;
    }
    for (const auto* group : {&failing_targets, &all_targets}) {
      if (!group->empty())
        return LessLoaded(*group, random).index;
    }
    return std::nullopt;
  }

  bool HasCapacity(const std::vector<route_candidate>& candidates,
                   time_point now) const override {
    const load_estimator loads(candidates, now);
    return std::any_of(candidates.begin(), candidates.end(),
                       [&](const route_candidate& each) {
                         return loads.Estimate(each) < kFullPermille;
                       });
  }

 private:
  struct estimated_target {
    size_t index;
    double estimate;
    // Calls per second; 0 when unknown.
    double speed;
  };

  static double Speed(const route_candidate& candidate) {
    const std::chrono::duration<double> run_time = candidate.run_time;
    return run_time.count() > 0 ? candidate.limit / run_time.count() : 0;
  }

  static double SlowStartShare(const route_candidate& candidate,
                               time_point now) {
    const double age_share =
        std::chrono::duration<double>(now - candidate.first_seen) /
        kSlowStartTime;
    return std::clamp(age_share, kSlowStartMinShare, 1.0);
  }

  // Longest run time of a target that does not count as slow.
  static duration MaxRunTime(const std::vector<route_candidate>& candidates,
                             double max_failure_rate) {
    duration fastest = duration::max();
    for (const route_candidate& each : candidates) {
      if (each.run_time > duration::zero() &&
          each.failure_rate <= max_failure_rate)
        fastest = std::min(fastest, each.run_time);
    }
    if (fastest == duration::max())
      return fastest;
    return std::max(std::chrono::duration_cast<duration>(fastest * kSlowFactor),
                    fastest + kSlowMargin);
  }

  static bool ShouldSpill(const std::vector<route_candidate>& candidates,
                          const estimated_target& near,
                          const estimated_target& far) {
    const duration near_time = candidates[near.index].run_time;
    const duration far_time = candidates[far.index].run_time;
    if (far_time == duration::zero() ||
        (near.estimate < kUrgentSpillPermille &&
         far_time > near_time * kMaxSpillSlowdown))
      return false;
    const double share =
        std::clamp((near.estimate - kBalancingSpillPermille) /
                       (kFullSpillPermille - kBalancingSpillPermille),
                   0.0, 1.0);
    const double margin =
        kMaxSpillMarginPermille +
        share * (kMinSpillMarginPermille - kMaxSpillMarginPermille);
    return near.estimate - margin > far.estimate;
  }

  // Expected time of a call, without the calls that the target makes. A full
  // target runs the calls that this node opened since the report before it.
  static duration ExpectedTime(const std::vector<route_candidate>& candidates,
                               const estimated_target& target) {
    const route_candidate& candidate = candidates[target.index];
    const double queued =
        std::clamp(target.estimate / kFullPermille - 1, 0.0, kMaxQueuedRuns);
    return std::max(candidate.expected_time,
                    std::chrono::duration_cast<duration>(candidate.run_time *
                                                         (1 + queued)));
  }

  // Draws a random index other than `excluded`, in proportion to the speeds of
  // the targets. With equal chances, a slow target would get more than its
  // share whenever the loads are little known.
  static size_t Draw(const std::vector<estimated_target>& group,
                     size_t excluded,
                     random_source& random) {
    const bool known =
        std::all_of(group.begin(), group.end(),
                    [](const auto& each) { return each.speed > 0; });
    if (!known) {
      const size_t drawn =
          random.Below(group.size() - (excluded < group.size() ? 1 : 0));
      return drawn + (drawn >= excluded ? 1 : 0);
    }
    double sum = 0;
    for (size_t i = 0; i < group.size(); ++i)
      sum += i == excluded ? 0 : group[i].speed;
    double left = random.Fraction() * sum;
    size_t drawn = excluded == 0 ? 1 : 0;
    for (size_t i = 0; i < group.size() && left >= 0; ++i) {
      if (i == excluded)
        continue;
      drawn = i;
      left -= group[i].speed;
    }
    return drawn;
  }

  static estimated_target LessLoaded(const std::vector<estimated_target>& group,
                                     random_source& random) {
    if (group.size() == 1)
      return group.front();
    const size_t first = Draw(group, group.size(), random);
    const size_t second = Draw(group, first, random);
    return group[second].estimate < group[first].estimate ? group[second]
                                                          : group[first];
  }

  double min_spill_permille_;
};

const routing_registry::registration kZoneAware("zone_aware", [] {
  return std::make_unique<zone_aware_routing>(kFullPermille);
});

const routing_registry::registration kZoneBalanced("zone_balanced", [] {
  return std::make_unique<zone_aware_routing>(kBalancingSpillPermille);
});

}  // namespace
}  // namespace skylarkhoist
