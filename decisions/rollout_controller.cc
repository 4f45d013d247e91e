#include "decisions/rollout_controller.h"

#include <algorithm>
#include <cmath>

namespace skylarkhoist {
namespace {

constexpr duration kFirstBucketStart = std::chrono::microseconds(500);

// Windows in which the versions are compared, in addition to the whole time.
constexpr duration kWindows[] = {std::chrono::seconds(3),
                                 std::chrono::seconds(8)};

// Part of the bounds that is used. The rest covers requests that have been
// counted but were sent before the order.
constexpr double kUsedShare = 0.9;
constexpr double kUsedSlack = 0.2;

// Steps of the share, each from a part of the time until the decision on. The
// calls that the earlier steps held back are sent at the start of a step, so
// that the targets get much load at once.
struct share_step {
  double from;
  double part_of_share;
};
constexpr share_step kShareSteps[] = {{0, 0.2}, {0.15, 0.5}, {0.35, 1}};

// The decision leaves half of the time for slow writes to the store, or more
// than a quarter and 10 s in long rollouts. The longest silence of the store
// that is expected is 8 s.
constexpr double kEarliestDecision = 0.5;
constexpr double kLatestDecision = 0.75;
constexpr duration kStoreReserve = std::chrono::seconds(10);
// After this part of the time, a version is judged by what is known.
constexpr double kLastDecision = 0.85;

// Calls to the new version on each route, or in all if a route has few, for a
// decision before the last one.
constexpr uint64_t kMinCallsPerRoute = 20;

// The share of bad answers of a good version, as a multiple of that of the
// others and beyond it.
constexpr double kFailedFactor = 1.5;
constexpr double kSlowFactor = 1.2;
constexpr double kExtraBad = 0.01;

// Slow answers take longer, by a tolerance of one bucket (1.4 times), than a
// share of 0.97 of the answers of the other versions.
constexpr uint64_t kMaxSlowPerHundred = 3;
constexpr size_t kToleratedBuckets = 1;
constexpr uint64_t kMinAnswersForSlowTime = 20;

// Fewer bad answers prove nothing; a version is stopped at a probability of
// error below exp(-9.2) = 1e-4, and the decision waits at one below 0.05.
constexpr uint64_t kMinBadAnswers = 5;
constexpr double kProof = 9.2;
constexpr double kSuspicion = 3;

// Chernoff bound: the negative logarithm of a bound on the probability of at
// least `bad` bad ones of `calls`, each bad with probability `expected`.
double NegativeLogProbability(uint64_t bad, uint64_t calls, double expected) {
  if (calls == 0)
    return 0;
  const double share =
      static_cast<double>(bad) / static_cast<double>(std::max(bad, calls));
  const double bounded = std::clamp(expected, 1e-6, 0.999);
  if (share <= bounded)
    return 0;
  double divergence = share * std::log(share / bounded);
  if (share < 1)
    divergence += (1 - share) * std::log((1 - share) / (1 - bounded));
  return divergence * static_cast<double>(calls);
}

// Share of bad ones of the other versions. Few calls leave it uncertain, and
// the half call added makes it higher then.
double SmoothedShare(double bad, double calls) {
  return (bad + 0.5) / (calls + 10);
}

duration Scale(duration time, double factor) {
  return std::chrono::duration_cast<duration>(time * factor);
}

}  // namespace

size_t RunTimeBucket(duration run_time) {
  if (run_time <= kFirstBucketStart)
    return 0;
  const double ratio = std::chrono::duration<double>(run_time) /
                       std::chrono::duration<double>(kFirstBucketStart);
  const auto bucket = static_cast<size_t>(2 * std::log2(ratio));
  return std::min(bucket, run_time_histogram().size() - 1);
}

duration RunTimeBucketStart(size_t bucket) {
  return Scale(kFirstBucketStart, std::exp2(static_cast<double>(bucket) / 2));
}

rollout_controller::rollout_controller(const rollout_bounds& bounds,
                                       duration length)
    : bounds_(bounds),
      length_(length),
      decide_at_(std::max(
          Scale(length, kEarliestDecision),
          std::min(Scale(length, kLatestDecision), length - kStoreReserve))) {
  snapshots_.emplace_back();
}

uint64_t rollout_controller::AllowedExposure(uint64_t requests) const {
  return static_cast<uint64_t>(share_ * static_cast<double>(requests) +
                               kUsedSlack * bounds_.exposure_slack);
}

void rollout_controller::UpdateShare(duration age) {
  for (const share_step& step : kShareSteps) {
    if (age >= Scale(decide_at_, step.from))
      share_ = bounds_.exposure_share * kUsedShare * step.part_of_share;
  }
}

void rollout_controller::UpdateSlowTimes() {
  const rollout_totals& first = snapshots_.front().totals;
  for (const auto& [name, route] : snapshots_.back().totals.routes) {
    run_time_histogram recent = route.other_run_times;
    const auto before = first.routes.find(name);
    uint64_t answers = 0;
    for (size_t i = 0; i < recent.size(); ++i) {
      if (before != first.routes.end())
        recent[i] -= std::min(recent[i], before->second.other_run_times[i]);
      answers += recent[i];
    }
    if (answers < kMinAnswersForSlowTime)
      continue;
    uint64_t slower = answers;
    size_t bucket = 0;
    while (bucket + 1 < recent.size()) {
      slower -= recent[bucket];
      if (slower * 100 <= kMaxSlowPerHundred * answers)
        break;
      ++bucket;
    }
    // The times in the bucket lie below the start of the next one.
    slow_times_[name] = RunTimeBucketStart(bucket + 1 + kToleratedBuckets);
  }
}

rollout_controller::comparison rollout_controller::Compare(
    const std::string& route,
    const snapshot& start) const {
  comparison result;
  const snapshot& end = snapshots_.back();
  const rollout_route_totals& now = end.totals.routes.at(route);
  static const rollout_route_totals kNone;
  const auto found = start.totals.routes.find(route);
  const rollout_route_totals& before =
      found == start.totals.routes.end() ? kNone : found->second;
  // Totals decrease when a node restarts.
  const auto since = [](uint64_t total, uint64_t earlier) {
    return total - std::min(total, earlier);
  };
  uint64_t highest_slow = 0;
  size_t called_targets = 0;
  for (const auto& [address, target] : now.targets) {
    const auto earlier = before.targets.find(address);
    const rollout_target_totals base = earlier == before.targets.end()
                                           ? rollout_target_totals()
                                           : earlier->second;
    const uint64_t calls = since(target.calls, base.calls);
    const uint64_t slow = since(target.slow, base.slow);
    called_targets += calls > 0 ? 1 : 0;
    result.calls += calls;
    result.failed += since(target.failed, base.failed);
    result.slow += slow;
    highest_slow = std::max(highest_slow, slow);
  }
  // A machine that is slow for a while is no fault of the version.
  if (now.targets.size() > 1 && result.slow - highest_slow < 2)
    result.slow = 0;
  const auto losses = end.loss_events.find(route);
  const auto earlier_losses = start.loss_events.find(route);
  if (losses != end.loss_events.end())
    result.failed += since(
        losses->second,
        earlier_losses == start.loss_events.end() ? 0 : earlier_losses->second);
  const auto other_calls =
      static_cast<double>(since(now.other_calls, before.other_calls));
  result.expected_failed = SmoothedShare(
      static_cast<double>(since(now.other_failed, before.other_failed)),
      other_calls);
  uint64_t other_slow = 0;
  const auto slow_time = slow_times_.find(route);
  for (size_t i = 0; i < now.other_run_times.size(); ++i) {
    if (slow_time != slow_times_.end() &&
        RunTimeBucketStart(i + kToleratedBuckets) >= slow_time->second)
      other_slow += since(now.other_run_times[i], before.other_run_times[i]);
  }
  result.expected_slow =
      SmoothedShare(static_cast<double>(other_slow), other_calls);
  return result;
}

double rollout_controller::Judge(const std::string& route,
                                 const comparison& counts) {
  const double failed = NegativeLogProbability(
      counts.failed, counts.calls,
      counts.expected_failed * kFailedFactor + kExtraBad);
  const double slow =
      NegativeLogProbability(counts.slow, counts.calls,
                             counts.expected_slow * kSlowFactor + kExtraBad);
  double evidence = 0;
  if (counts.failed >= kMinBadAnswers && failed > evidence) {
    evidence = failed;
    cause_ = "failed " + std::to_string(counts.failed) + " of " +
             std::to_string(counts.calls) + " on route " + route;
  }
  if (counts.slow >= kMinBadAnswers && slow > evidence) {
    evidence = slow;
    cause_ = "slow " + std::to_string(counts.slow) + " of " +
             std::to_string(counts.calls) + " on route " + route;
  }
  return evidence;
}

double rollout_controller::EvidenceSince(const snapshot& start) {
  double strongest = 0;
  comparison all;
  const auto judge = [&](const std::string& route, const comparison& counts) {
    const std::string cause = cause_;
    const double evidence = Judge(route, counts);
    if (evidence > strongest)
      strongest = evidence;
    else
      cause_ = cause;
  };
  for (const auto& [route, totals] : snapshots_.back().totals.routes) {
    const comparison counts = Compare(route, start);
    judge(route, counts);
    // What is expected of all routes has the weight of the new version's calls.
    all.calls += counts.calls;
    all.failed += counts.failed;
    all.slow += counts.slow;
    const auto calls = static_cast<double>(counts.calls);
    all.expected_failed += counts.expected_failed * calls;
    all.expected_slow += counts.expected_slow * calls;
  }
  if (all.calls > 0) {
    all.expected_failed /= static_cast<double>(all.calls);
    all.expected_slow /= static_cast<double>(all.calls);
    judge("*", all);
  }
  return strongest;
}

double rollout_controller::Evidence() {
  cause_.clear();
  double evidence = EvidenceSince(snapshot());
  const duration now = snapshots_.back().age;
  for (const duration window : kWindows) {
    const auto start = std::find_if(
        snapshots_.begin(), snapshots_.end(),
        [&](const snapshot& each) { return each.age >= now - window; });
    const std::string cause = cause_;
    const double recent = EvidenceSince(*start);
    if (recent > evidence)
      evidence = recent;
    else
      cause_ = cause;
  }
  return evidence;
}

uint64_t rollout_controller::EndedCalls(const std::string& route) const {
  uint64_t calls = 0;
  for (const auto& [address, target] :
       snapshots_.back().totals.routes.at(route).targets)
    calls += target.calls;
  return calls;
}

// A route with few requests gets few calls to the new version.
bool rollout_controller::HasEnoughCalls() const {
  for (const auto& [route, totals] : snapshots_.back().totals.routes) {
    if (EndedCalls(route) < kMinCallsPerRoute)
      return false;
  }
  return !snapshots_.back().totals.routes.empty();
}

rollout_verdict rollout_controller::Update(const rollout_totals& totals,
                                           bool targets_ready,
                                           duration age) {
  snapshot next{age, totals, snapshots_.back().loss_events};
  for (const auto& [name, route] : totals.routes) {
    const auto before = snapshots_.back().totals.routes.find(name);
    uint64_t lost = 0;
    uint64_t lost_before = 0;
    for (const auto& [address, target] : route.targets)
      lost += target.lost;
    if (before != snapshots_.back().totals.routes.end()) {
      for (const auto& [address, target] : before->second.targets)
        lost_before += target.lost;
    }
    if (lost > lost_before)
      ++next.loss_events[name];
  }
  snapshots_.push_back(std::move(next));
  const duration oldest = age - kWindows[1];
  while (snapshots_.size() > 2 && snapshots_[1].age <= oldest)
    snapshots_.pop_front();
  UpdateShare(age);
  UpdateSlowTimes();
  const double evidence = Evidence();
  if (evidence >= kProof)
    return rollout_verdict::kRollBack;
  if (age < decide_at_)
    return rollout_verdict::kContinue;
  const bool last_decision = age >= Scale(length_, kLastDecision);
  if (!last_decision && (evidence >= kSuspicion || !HasEnoughCalls()))
    return rollout_verdict::kContinue;
  if (last_decision && evidence >= kSuspicion)
    return rollout_verdict::kRollBack;
  uint64_t calls = 0;
  for (const auto& [route, each] : totals.routes)
    calls += EndedCalls(route);
  if (targets_ready && calls > 0)
    return rollout_verdict::kComplete;
  if (age < length_)
    return rollout_verdict::kContinue;
  cause_ = "no ready targets or no calls at the end of the time";
  return rollout_verdict::kRollBack;
}

}  // namespace skylarkhoist
