#ifndef DECISIONS_CALL_ESTIMATOR_H_
#define DECISIONS_CALL_ESTIMATOR_H_

#include <map>
#include <string>
#include <vector>

#include "kernel/time.h"

namespace skylarkhoist {

// Estimates how many calls to which routes the runs of each route make at one
// target that does not tell which run a call belongs to. It fits the number of
// calls in short intervals to the run time in these intervals by least squares,
// so that routes whose runs have no effect on the number of calls get an
// estimate near 0.
//
// Load pattern: a downstream service lacks capacity. Requests that lead to it
// are refused at the entry, and the others pass.
//
//   estimator.OnRunStart("browse", now);
//   estimator.OnCall("slots", now);
//   estimator.OnRunEnd("browse", now);
//   estimator.CallsPerRun("browse", "slots")   // 4.0 after some seconds
class call_estimator {
 public:
  void OnRunStart(const std::string& route, time_point now);
  void OnRunEnd(const std::string& route, time_point now);
  void OnCall(const std::string& called_route, time_point now);

  // Excludes the current interval. Used while calls wait at their targets,
  // because their number then follows the capacity of the targets and not the
  // runs.
  void SkipInterval() { skip_interval_ = true; }

  // Returns 0 without an estimate.
  double CallsPerRun(const std::string& route,
                     const std::string& called_route) const;

  // Routes that a run of `route` calls at least kMinCallsPerRun times,
  // excluding estimates far below those of other routes for the same call.
  std::vector<std::string> CalledRoutes(const std::string& route) const;

 private:
  static constexpr duration kInterval = std::chrono::milliseconds(150);
  // Applied for each interval, so that the weight of an interval halves after
  // about 20 s.
  static constexpr double kDecayFactor = 0.995;
  // Ridge regression penalty, which keeps estimates with little data near 0.
  static constexpr double kRidgePenalty = 1.0;
  static constexpr double kMinCallsPerRun = 0.3;
  // An estimate below this share of the largest one for the same called route
  // may be noise.
  static constexpr double kMinShareOfLargest = 0.25;
  // Number of routes fitted together. Further routes count as making no calls.
  static constexpr size_t kMaxFittedRoutes = 12;

  struct run_stats {
    size_t index = 0;
    int running = 0;
    time_point updated_at;
    // Run time in the current interval.
    double interval_run_seconds = 0;
    // Decayed sums, which give the average time of a run.
    double total_seconds = 0;
    double total_runs = 0;
  };
  struct call_stats {
    double calls = 0;
    // Decayed sums of calls times run time, by index of the running route.
    std::vector<double> call_run_products;
    // Estimated calls per second of run time, by index of the running route.
    std::vector<double> calls_per_run_second;
  };

  void Advance(time_point now);
  void CloseInterval();
  void SolveCallRates();
  run_stats* FindOrAddRoute(const std::string& route, time_point now);
  static void AccumulateRunTime(run_stats* run, time_point now);

  time_point interval_start_;
  bool skip_interval_ = false;
  std::map<std::string, run_stats> runs_;
  std::map<std::string, call_stats> calls_;
  // Decayed sums of the products of the run times of two routes, by index.
  std::vector<std::vector<double>> run_time_products_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_CALL_ESTIMATOR_H_
