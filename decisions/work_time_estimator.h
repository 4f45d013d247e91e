#ifndef DECISIONS_WORK_TIME_ESTIMATOR_H_
#define DECISIONS_WORK_TIME_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "decisions/concurrency_limit.h"
#include "decisions/request_types.h"
#include "kernel/time.h"

namespace skylarkhoist {

// A run that ended with a usable work time.
struct work_sample {
  // Work time in units of the usual work time of its kind.
  double ratio = 1;
  time_point started;
  // Calls in progress while it ran: the mean of its start and its end.
  double running = 1;
};

// Estimates the work time of one target: the time that an average call takes
// there without waits for child calls. The usual work time of each kind of call
// is a slow average; how much slower the target is now than usual is a fast
// average over all kinds, so that a change in the mix of kinds does not look
// like a change of the target.
//
// Load pattern: a target becomes 5 to 12 times slower for some seconds. Calls
// in progress that take longer than expected count too, since the first of
// them ends only after several times the usual work time.
class work_time_estimator {
 public:
  void OnStarted(const request_id& id,
                 uint64_t kind,
                 int running,
                 time_point now);
  void OnChildCalls(const request_id& id, bool waiting, time_point now);
  // Returns a sample when the run tells the target's work time.
  std::optional<work_sample> OnFinished(const request_id& id,
                                        call_outcome result,
                                        time_point now);

  // Forgets what was learned. Runs from before don't count.
  void Reset(time_point now);

  bool is_known() const { return !kinds_.empty(); }

  // Work time of an average call at present; zero when unknown.
  duration WorkTime(time_point now) const;

  // Mean time that a run waits for its child calls.
  duration ChildWait() const;

  // As WorkTime, from the usual work times, which change slowly.
  duration UsualTime(time_point now) const;

  // Longest time that a run in progress has worked; zero without one.
  duration LongestWork(time_point now) const;

 private:
  struct run {
    uint64_t kind = 0;
    time_point started;
    int running = 1;
    duration waited = duration::zero();
    std::optional<time_point> waiting_since;
  };
  struct kind_stats {
    double usual_seconds = 0;
    int64_t count = 0;
    time_point updated_at;
    // Recent calls, decayed.
    double weight = 0;
  };

  static double WorkSeconds(const run& each, time_point now);
  // Mean of the usual work times of all kinds, by their recent calls.
  double UsualSeconds(time_point now) const;
  // Ratio of the work times to the usual ones, from ended runs alone.
  double EndedRatio(time_point now) const;
  double Ratio(time_point now) const;
  void AddRatio(double ratio, time_point now);

  std::unordered_map<request_id, run, request_id_hash> runs_;
  std::unordered_map<uint64_t, kind_stats> kinds_;
  double ratio_sum_ = 0;
  double ratio_weight_ = 0;
  time_point ratio_at_;
  double child_wait_seconds_ = 0;
  int64_t child_wait_count_ = 0;
  time_point child_wait_at_;
  time_point reset_at_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_WORK_TIME_ESTIMATOR_H_
