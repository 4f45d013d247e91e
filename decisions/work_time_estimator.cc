#include "decisions/work_time_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time constants of the averages: of the usual work time of a kind, and of the
// present ratio to it.
constexpr duration kUsualTime = seconds(20);
constexpr duration kRatioTime = milliseconds(500);
constexpr duration kChildWaitTime = seconds(5);
// After the first runs of a kind, a run counts for the usual work time at most
// as this multiple of it. Otherwise some seconds at a twelfth of the speed
// would stay in the usual work time, and a target that gets few calls for that
// would seem slow long after.
constexpr int kInitialRuns = 20;
constexpr double kMaxUsualRatio = 2;
// Minimum weight of the ended runs, in runs. With fewer, the spread of work
// times would look like a change of the target.
constexpr double kMinRatioWeight = 8;
// Without runs that end, the ratio returns to 1 with this time constant, so
// that a slow target that gets no calls is tried again.
constexpr duration kIdleTime = seconds(1);
// A run in progress counts as late from this multiple of its expected work time
// on.
constexpr double kLateFactor = 1.5;
// Bounds the memory. Calls of further kinds are not counted.
constexpr size_t kMaxKinds = 64;

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

double DecayFactor(duration elapsed, duration time_constant) {
  return std::exp(-Seconds(std::max(elapsed, duration::zero())) /
                  Seconds(time_constant));
}

}  // namespace

void work_time_estimator::OnStarted(const request_id& id,
                                    uint64_t kind,
                                    int running,
                                    time_point now) {
  run& started = runs_[id];
  started = run();
  started.kind = kind;
  started.started = now;
  started.running = running;
}

void work_time_estimator::OnChildCalls(const request_id& id,
                                       bool waiting,
                                       time_point now) {
  const auto found = runs_.find(id);
  if (found == runs_.end())
    return;
  run& each = found->second;
  if (waiting && !each.waiting_since) {
    each.waiting_since = now;
  } else if (!waiting && each.waiting_since) {
    each.waited += now - *each.waiting_since;
    each.waiting_since.reset();
  }
}

std::optional<work_sample> work_time_estimator::OnFinished(const request_id& id,
                                                           call_outcome result,
                                                           time_point now) {
  const auto found = runs_.find(id);
  if (found == runs_.end())
    return std::nullopt;
  const run ended = found->second;
  const auto running_at_end = static_cast<double>(runs_.size());
  runs_.erase(found);
  if (ended.started < reset_at_ || result == call_outcome::kShed)
    return std::nullopt;
  const double work = std::max(WorkSeconds(ended, now), 1e-6);
  const auto known = kinds_.find(ended.kind);
  if (result != call_outcome::kSuccess) {
    // The work of a run that ended early would have taken at least this long.
    if (known != kinds_.end() &&
        work > known->second.usual_seconds * EndedRatio(now) * kLateFactor)
      AddRatio(work / known->second.usual_seconds, now);
    return std::nullopt;
  }
  if (known == kinds_.end() && kinds_.size() >= kMaxKinds)
    return std::nullopt;
  kind_stats& kind = kinds_[ended.kind];
  if (kind.count == 0)
    kind.usual_seconds = work;
  work_sample sample;
  sample.ratio = work / kind.usual_seconds;
  sample.started = ended.started;
  sample.running = (ended.running + running_at_end) / 2;
  AddRatio(sample.ratio, now);
  const double decay = DecayFactor(now - kind.updated_at, kUsualTime);
  ++kind.count;
  const double bounded_work =
      kind.count <= kInitialRuns
          ? work
          : std::min(work, kind.usual_seconds * kMaxUsualRatio);
  kind.usual_seconds +=
      std::max(1.0 / static_cast<double>(kind.count), 1 - decay) *
      (bounded_work - kind.usual_seconds);
  kind.weight = (kind.count == 1 ? 0 : kind.weight * decay) + 1;
  kind.updated_at = now;
  ++child_wait_count_;
  child_wait_seconds_ +=
      std::max(1.0 / static_cast<double>(child_wait_count_),
               1 - DecayFactor(now - child_wait_at_, kChildWaitTime)) *
      (std::max(Seconds(now - ended.started) - work, 0.0) -
       child_wait_seconds_);
  child_wait_at_ = now;
  return sample;
}

void work_time_estimator::Reset(time_point now) {
  kinds_.clear();
  ratio_sum_ = 0;
  ratio_weight_ = 0;
  child_wait_seconds_ = 0;
  child_wait_count_ = 0;
  reset_at_ = now;
}

double work_time_estimator::WorkSeconds(const run& each, time_point now) {
  const time_point until = each.waiting_since.value_or(now);
  return std::max(Seconds(until - each.started - each.waited), 0.0);
}

double work_time_estimator::UsualSeconds(time_point now) const {
  double sum = 0;
  double weights = 0;
  for (const auto& [id, kind] : kinds_) {
    const double weight =
        kind.weight * DecayFactor(now - kind.updated_at, kUsualTime);
    sum += weight * kind.usual_seconds;
    weights += weight;
  }
  return weights > 0 ? sum / weights : 0;
}

void work_time_estimator::AddRatio(double ratio, time_point now) {
  const double previous = EndedRatio(now);
  const double weight =
      std::max(ratio_weight_ * DecayFactor(now - ratio_at_, kRatioTime),
               std::min(ratio_weight_, kMinRatioWeight));
  ratio_weight_ = weight + 1;
  ratio_sum_ = previous * weight + ratio;
  ratio_at_ = now;
}

double work_time_estimator::EndedRatio(time_point now) const {
  if (ratio_weight_ == 0)
    return 1;
  return 1 + (ratio_sum_ / ratio_weight_ - 1) *
                 DecayFactor(now - ratio_at_, kIdleTime);
}

double work_time_estimator::Ratio(time_point now) const {
  const double ended = EndedRatio(now);
  double weight =
      std::max(ratio_weight_ * DecayFactor(now - ratio_at_, kRatioTime),
               kMinRatioWeight);
  double sum = ended * weight;
  for (const auto& [id, each] : runs_) {
    const auto kind = kinds_.find(each.kind);
    if (kind == kinds_.end() || each.started < reset_at_)
      continue;
    const double ratio = WorkSeconds(each, now) / kind->second.usual_seconds;
    if (ratio > ended * kLateFactor) {
      sum += ratio;
      weight += 1;
    }
  }
  return sum / weight;
}

duration work_time_estimator::WorkTime(time_point now) const {
  if (kinds_.empty())
    return duration::zero();
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Ratio(now) * UsualSeconds(now)));
}

duration work_time_estimator::ChildWait() const {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(child_wait_seconds_));
}

duration work_time_estimator::UsualTime(time_point now) const {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(UsualSeconds(now)));
}

duration work_time_estimator::LongestWork(time_point now) const {
  double longest = 0;
  for (const auto& [id, each] : runs_) {
    if (each.started >= reset_at_)
      longest = std::max(longest, WorkSeconds(each, now));
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(longest));
}

}  // namespace skylarkhoist
