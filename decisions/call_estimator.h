#ifndef DECISIONS_CALL_ESTIMATOR_H_
#define DECISIONS_CALL_ESTIMATOR_H_

#include <map>
#include <string>
#include <vector>

#include "kernel/time.h"

namespace skylarkhoist {

// Learns how many calls of which route the runs of each route make at one
// target. Which run a call belongs to is not told, so the calls of short
// intervals are fitted, by least squares, to the runs in progress in them:
// routes whose runs come and go without an effect on the calls get none.
//
// Load pattern: a service deep in the chain is short of room. Requests that
// lead to it are refused at the door, those that do not go on.
//
//   estimator.OnRunStart("browse", now);
//   estimator.OnCall("slots", now);
//   estimator.OnRunEnd("browse", now);
//   estimator.CallsPerRun("browse", "slots")   // 4.0 after some seconds
class call_estimator {
 public:
  void OnRunStart(const std::string& route, time_point now);
  void OnRunEnd(const std::string& route, time_point now);
  void OnCall(const std::string& call_route, time_point now);

  // Leaves the present interval out: calls wait at their targets, and then
  // their number follows the targets' capacity and not the runs.
  void SkipInterval() { skip_ = true; }

  // 0 while nothing is known.
  double CallsPerRun(const std::string& route,
                     const std::string& call_route) const;

  // Routes of the calls that a run of `route` makes, with at least
  // kLeastCalls each and not far below those of other routes.
  std::vector<std::string> CallsOf(const std::string& route) const;

 private:
  static constexpr duration kInterval = std::chrono::milliseconds(150);
  // An interval counts for half after about 20 s.
  static constexpr double kForgetting = 0.995;
  // Pulls estimates without evidence towards 0.
  static constexpr double kRidge = 1.0;
  static constexpr double kLeastCalls = 0.3;
  // Below this share of the largest estimate for the same call, an estimate may
  // be noise.
  static constexpr double kLeastShare = 0.25;
  // Fitted together; further routes count as making no calls.
  static constexpr size_t kMaxRoutes = 12;

  struct run_route {
    size_t index = 0;
    int running = 0;
    time_point changed;
    // Run time within the interval, in seconds.
    double run_seconds = 0;
    // Averages for the time of one run.
    double total_seconds = 0;
    double total_runs = 0;
  };
  struct call_route {
    double calls = 0;
    // Sums of calls times run time, by route.
    std::vector<double> products;
    // Calls for each second of a run, by route.
    std::vector<double> rates;
  };

  void Advance(time_point now);
  void CloseInterval();
  void Solve();
  run_route* FindRun(const std::string& route, time_point now);
  static void Account(run_route* run, time_point now);

  time_point interval_start_;
  bool skip_ = false;
  std::map<std::string, run_route> runs_;
  std::map<std::string, call_route> calls_;
  // Sums of products of run times of two routes, row by row.
  std::vector<std::vector<double>> squares_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_CALL_ESTIMATOR_H_
