#ifndef DECISIONS_TARGET_CAPACITY_H_
#define DECISIONS_TARGET_CAPACITY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "decisions/concurrency_limit.h"
#include "decisions/work_time_estimator.h"
#include "kernel/time.h"

namespace skylarkhoist {

// Learns how many calls one target handles well at the same time, up to the
// number that it announces, and how long it works on a call.
//
// Load patterns: a target gets slow at a part of its slots; a target becomes
// slower for some seconds, whatever its concurrency; the runs of a target wait
// for slow child calls.
//
// The limit goes down only where the target completes more calls at a lower
// concurrency. Both of the last two patterns can look like this, because
// concurrency rises with them. A lower limit is therefore tried first, and kept
// only if calls that start under it are faster. A lower limit that was kept
// grows again in trials. Without such evidence, the limit is the announced one.
//
//   capacity.Advance(now);
//   capacity.OnStarted(id, kind, running, now);
//   capacity.OnChildCalls(id, true, now);
//   capacity.OnFinished(id, call_outcome::kSuccess, now);
class target_capacity {
 public:
  explicit target_capacity(int max_limit);

  void SetMaxLimit(int max_limit);

  // See concurrency_limit.
  void OnStarted(const request_id& id,
                 uint64_t kind,
                 int running,
                 time_point now);
  void OnChildCalls(const request_id& id, bool waiting, time_point now) {
    work_.OnChildCalls(id, waiting, now);
  }
  void OnFinished(const request_id& id, call_outcome result, time_point now);
  void Advance(time_point now);
  void HoldAtMaximum(time_point until);

  // The target has restarted: learns from the start.
  void Reset(time_point now);

  int limit() const;
  duration WorkTime(time_point now) const { return work_.WorkTime(now); }
  // The same with the mean wait for child calls.
  duration RunTime(time_point now) const;
  // "announced", "learned", "trial" or "stalled".
  std::string_view state() const;

 private:
  static constexpr size_t kLevels = 10;

  // Averages over calls, decayed over time.
  struct average {
    double weight = 0;
    double ratio = 0;
    double running = 0;
    time_point updated_at;

    void Add(const work_sample& sample, duration time_constant, time_point now);
    double WeightAt(duration time_constant, time_point now) const;
  };
  struct trial {
    // 0 when there is no trial.
    int limit = 0;
    time_point started;
    // When the calls in progress first fitted the limit.
    time_point settled;
    // Throughput and ratio before the trial.
    double throughput = 0;
    double ratio = 0;
    int samples = 0;
    double ratio_sum = 0;
    // The same over the first half of the calls.
    double early_ratio_sum = 0;
    double running_sum = 0;
  };

  int MinLimit() const;
  size_t LevelOf(double running) const;
  // Relative number of calls that the target completes in a given time.
  double Throughput(double running, double ratio, time_point now) const;
  void StartTrial(int limit, time_point now);
  void AddToTrial(const work_sample& sample, time_point now);
  void EndTrial(bool accepted, time_point now);
  void ConsiderLower(time_point now);
  void ConsiderHigher(time_point now);
  void CheckStall(time_point now);
  void EndStall(time_point now);
  void ForgetLevels();

  int max_limit_;
  int limit_;
  work_time_estimator work_;
  // By concurrency as a share of the announced limit.
  std::array<average, kLevels> levels_;
  average recent_;
  trial trial_;
  int running_ = 0;
  time_point hold_until_;
  duration lower_backoff_;
  time_point next_lower_at_;
  duration higher_backoff_;
  time_point next_higher_at_;
  // The limit before it was lowered last; 0 once it has been tried again.
  int limit_before_ = 0;
  // When the limit was last nearly used up.
  time_point saturated_at_;
  time_point succeeded_at_;
  time_point stall_checked_at_;
  bool stalled_ = false;
  time_point stall_ended_at_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_TARGET_CAPACITY_H_
