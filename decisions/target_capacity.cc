#include "decisions/target_capacity.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time constants of the averages of a level, and of the present ones.
constexpr duration kLevelTime = seconds(5);
constexpr duration kRecentTime = seconds(1);
// Minimum number of calls that say something about a level.
constexpr double kMinLevelWeight = 8;
// A lower limit is tried when it promises this factor of throughput and calls
// are slower by the second factor than under it.
constexpr double kMinThroughputGain = 1.1;
constexpr double kMinSlowdown = 1.25;
// It is kept when it gives this factor of throughput.
constexpr double kConfirmedGain = 1.05;
// It is not kept when the second half of the trial's calls were faster than the
// first by this factor: then the target is recovering, whatever its limit.
constexpr double kRecoveryRatio = 0.75;
// A higher limit is kept when it gives this factor of throughput.
constexpr double kGrowthGain = 1.05;
constexpr double kGrowthFactor = 1.25;
// Calls in a trial, and its maximum length as a time and in work times.
constexpr int kTrialCalls = 30;
constexpr int kFirstTrialCalls = 8;
constexpr duration kMinTrialTime = seconds(2);
constexpr int kTrialWorkTimes = 6;
// Intervals between trials. They double after each failed one.
constexpr duration kMinLowerBackoff = seconds(5);
constexpr duration kMaxLowerBackoff = seconds(60);
constexpr duration kMinHigherBackoff = seconds(1);
constexpr duration kMaxHigherBackoff = seconds(16);
// The limit counts as used up from this share on.
constexpr double kSaturatedShare = 0.9;
// A lower limit is forgotten when it was not used up for this time.
constexpr duration kUnusedLimitTime = seconds(10);
// Minimum limit as a share of the announced one, and as a number of calls.
constexpr double kMinLimitShare = 0.1;
constexpr int kMinLimit = 2;
// A target is stalled when no call has ended, although one should have, for
// this time and this many work times.
constexpr duration kMinStallTime = seconds(2);
constexpr int kStallWorkTimes = 8;
constexpr duration kStallCheckInterval = milliseconds(100);

double DecayFactor(duration elapsed, duration time_constant) {
  return std::exp(-std::chrono::duration<double>(elapsed) /
                  std::chrono::duration<double>(time_constant));
}

}  // namespace

void target_capacity::average::Add(const work_sample& sample,
                                   duration time_constant,
                                   time_point now) {
  weight = WeightAt(time_constant, now) + 1;
  ratio += (sample.ratio - ratio) / weight;
  running += (sample.running - running) / weight;
  updated_at = now;
}

double target_capacity::average::WeightAt(duration time_constant,
                                          time_point now) const {
  return weight == 0 ? 0
                     : weight * DecayFactor(now - updated_at, time_constant);
}

target_capacity::target_capacity(int max_limit)
    : max_limit_(std::max(max_limit, 1)),
      limit_(max_limit_),
      lower_backoff_(kMinLowerBackoff),
      higher_backoff_(kMinHigherBackoff) {}

void target_capacity::SetMaxLimit(int max_limit) {
  max_limit = std::max(max_limit, 1);
  if (max_limit == max_limit_)
    return;
  // A limit that was learned for another number of slots says little.
  max_limit_ = max_limit;
  limit_ = max_limit;
  trial_ = trial();
  ForgetLevels();
}

void target_capacity::OnStarted(const request_id& id,
                                uint64_t kind,
                                int running,
                                time_point now) {
  work_.OnStarted(id, kind, running, now);
  running_ = running;
  if (running >= limit() * kSaturatedShare)
    saturated_at_ = now;
}

void target_capacity::OnFinished(const request_id& id,
                                 call_outcome result,
                                 time_point now) {
  const auto sample = work_.OnFinished(id, result, now);
  running_ = std::max(running_ - 1, 0);
  if (result == call_outcome::kSuccess) {
    succeeded_at_ = now;
    if (stalled_)
      EndStall(now);
  }
  if (sample && sample->started >= stall_ended_at_) {
    levels_[LevelOf(sample->running)].Add(*sample, kLevelTime, now);
    recent_.Add(*sample, kRecentTime, now);
    AddToTrial(*sample, now);
  }
  Advance(now);
}

void target_capacity::Advance(time_point now) {
  CheckStall(now);
  if (now < hold_until_ || stalled_)
    return;
  if (trial_.limit > 0) {
    if (trial_.settled == time_point() && running_ <= trial_.limit)
      trial_.settled = now;
    if (now - trial_.started >
        std::max(kMinTrialTime, work_.WorkTime(now) * kTrialWorkTimes))
      EndTrial(false, now);
    return;
  }
  ConsiderLower(now);
  if (trial_.limit == 0 && limit_ < max_limit_)
    ConsiderHigher(now);
}

void target_capacity::HoldAtMaximum(time_point until) {
  hold_until_ = until;
  limit_ = max_limit_;
  trial_ = trial();
  stalled_ = false;
  ForgetLevels();
}

void target_capacity::Reset(time_point now) {
  work_.Reset(now);
  limit_ = max_limit_;
  trial_ = trial();
  stalled_ = false;
  lower_backoff_ = kMinLowerBackoff;
  higher_backoff_ = kMinHigherBackoff;
  next_lower_at_ = now;
  ForgetLevels();
}

int target_capacity::limit() const {
  if (stalled_)
    return std::min(limit_, MinLimit());
  return trial_.limit > 0 ? trial_.limit : limit_;
}

duration target_capacity::RunTime(time_point now) const {
  return work_.is_known() ? work_.WorkTime(now) + work_.ChildWait()
                          : duration::zero();
}

std::string_view target_capacity::state() const {
  if (stalled_)
    return "stalled";
  if (trial_.limit > 0)
    return "trial";
  return limit_ < max_limit_ ? "learned" : "announced";
}

int target_capacity::MinLimit() const {
  return std::min(
      max_limit_,
      std::max(kMinLimit, static_cast<int>(max_limit_ * kMinLimitShare)));
}

size_t target_capacity::LevelOf(double running) const {
  const double share = std::max(running - 1, 0.0) / max_limit_;
  return std::min(static_cast<size_t>(share * kLevels), kLevels - 1);
}

double target_capacity::Throughput(double running,
                                   double ratio,
                                   time_point now) const {
  const std::chrono::duration<double> usual = work_.UsualTime(now);
  const std::chrono::duration<double> child_wait = work_.ChildWait();
  return running / (ratio * usual.count() + child_wait.count());
}

void target_capacity::StartTrial(int limit, time_point now) {
  trial_ = trial();
  trial_.limit = limit;
  trial_.started = now;
  trial_.throughput = Throughput(recent_.running, recent_.ratio, now);
  trial_.ratio = recent_.ratio;
  if (limit >= running_)
    trial_.settled = now;
}

void target_capacity::AddToTrial(const work_sample& sample, time_point now) {
  if (trial_.limit == 0 || trial_.settled == time_point() ||
      sample.started < trial_.settled)
    return;
  // Only calls beside more than the previous limit tell about a higher one.
  if (trial_.limit > limit_ && sample.running < limit_)
    return;
  ++trial_.samples;
  trial_.ratio_sum += sample.ratio;
  if (trial_.samples * 2 <= kTrialCalls)
    trial_.early_ratio_sum += sample.ratio;
  trial_.running_sum += sample.running;
  const double ratio = trial_.ratio_sum / trial_.samples;
  // Without a gain after the first calls, the target is slow whatever its
  // limit.
  if (trial_.samples == kFirstTrialCalls && trial_.limit < limit_ &&
      ratio * kMinSlowdown > trial_.ratio)
    EndTrial(false, now);
  if (trial_.samples < kTrialCalls)
    return;
  const bool is_recovering = trial_.ratio_sum - trial_.early_ratio_sum <
                             trial_.early_ratio_sum * kRecoveryRatio;
  if (trial_.limit > limit_) {
    EndTrial(Throughput(trial_.running_sum / trial_.samples, ratio, now) >=
                 trial_.throughput * kGrowthGain,
             now);
  } else {
    EndTrial(Throughput(trial_.limit, ratio, now) >=
                     trial_.throughput * kConfirmedGain &&
                 ratio * kMinSlowdown <= trial_.ratio && !is_recovering,
             now);
  }
}

void target_capacity::EndTrial(bool accepted, time_point now) {
  const bool higher = trial_.limit > limit_;
  const bool was_tested = trial_.samples >= kTrialCalls;
  const int previous = limit_;
  if (accepted)
    limit_ = trial_.limit;
  trial_ = trial();
  recent_ = average();
  if (higher) {
    // Without enough calls the trial was none.
    if (was_tested)
      higher_backoff_ = accepted
                            ? kMinHigherBackoff
                            : std::min(higher_backoff_ * 2, kMaxHigherBackoff);
    next_higher_at_ = now + higher_backoff_;
    if (was_tested)
      limit_before_ = 0;
    return;
  }
  ForgetLevels();
  lower_backoff_ = accepted ? kMinLowerBackoff
                            : std::min(lower_backoff_ * 2, kMaxLowerBackoff);
  next_lower_at_ = now + lower_backoff_;
  higher_backoff_ = kMinHigherBackoff;
  next_higher_at_ = now + higher_backoff_;
  limit_before_ = accepted ? previous : 0;
}

// Tries the concurrency at which the target completed more calls than at the
// present one, if there is any.
void target_capacity::ConsiderLower(time_point now) {
  if (now < next_lower_at_ ||
      recent_.WeightAt(kRecentTime, now) < kMinLevelWeight)
    return;
  const double present = Throughput(recent_.running, recent_.ratio, now);
  const size_t present_level = LevelOf(recent_.running);
  double best = present * kMinThroughputGain;
  int best_limit = 0;
  for (size_t i = 0; i < present_level; ++i) {
    const average& level = levels_[i];
    if (level.WeightAt(kLevelTime, now) < kMinLevelWeight ||
        recent_.ratio < level.ratio * kMinSlowdown)
      continue;
    const double throughput = Throughput(level.running, level.ratio, now);
    if (throughput < best)
      continue;
    best = throughput;
    best_limit = static_cast<int>(
        std::ceil(static_cast<double>((i + 1) * max_limit_) / kLevels));
  }
  best_limit = std::max(best_limit, best_limit == 0 ? 0 : MinLimit());
  if (best_limit > 0 && best_limit < limit_)
    StartTrial(best_limit, now);
}

void target_capacity::ConsiderHigher(time_point now) {
  if (now - saturated_at_ >= kUnusedLimitTime) {
    limit_ = max_limit_;
    return;
  }
  if (now < next_higher_at_ || running_ < limit_ * kSaturatedShare ||
      recent_.WeightAt(kRecentTime, now) < kMinLevelWeight)
    return;
  // Tries the previous limit first: the target may have become faster during
  // the trial of the lower one for another reason.
  const int grown = std::max(
      limit_before_, static_cast<int>(std::ceil(limit_ * kGrowthFactor)));
  StartTrial(std::min(std::max(grown, limit_ + 1), max_limit_), now);
}

void target_capacity::CheckStall(time_point now) {
  if (now - stall_checked_at_ < kStallCheckInterval || now < hold_until_)
    return;
  stall_checked_at_ = now;
  if (stalled_ || !work_.is_known())
    return;
  const duration stall_time =
      std::max(kMinStallTime, work_.UsualTime(now) * kStallWorkTimes);
  if (now - succeeded_at_ < stall_time || work_.LongestWork(now) < stall_time)
    return;
  stalled_ = true;
  trial_ = trial();
}

// The runs that lasted through the stall say nothing about a limit.
void target_capacity::EndStall(time_point now) {
  stalled_ = false;
  stall_ended_at_ = now;
  ForgetLevels();
}

void target_capacity::ForgetLevels() {
  levels_ = {};
  recent_ = average();
}

}  // namespace skylarkhoist
