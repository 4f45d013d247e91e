#ifndef DECISIONS_CALL_COUNTER_H_
#define DECISIONS_CALL_COUNTER_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "kernel/json.h"

namespace skylarkhoist {

// Counts which routes the runs of each route call at one target, and how often.
// A run is one execution of a request at the target. The target names the run
// that each call belongs to; call_estimator serves targets that don't.
//
// Load pattern: the fleet starts while a downstream service is full. The first
// call of a run is enough to show that requests of its route lead to that
// service, however long the call waits.
//
//   counter.OnRunStart("browse");
//   counter.OnCall("browse", "slots");
//   counter.CalledRoutes("browse")   // {"slots"}
class call_counter {
 public:
  void OnRunStart(const std::string& route);
  void OnCall(const std::string& route, const std::string& called_route);

  // True once a call was counted, which means that the target names the run of
  // its calls.
  bool has_calls() const { return has_calls_; }

  // Routes that a run of `route` calls at least kMinCallsPerRun times on
  // average.
  std::vector<std::string> CalledRoutes(const std::string& route) const;

  // Object with the called routes of each route that makes calls.
  json ToJson() const;

 private:
  // Applied for each run, so that the weight of a run halves after about 70
  // more runs of its route.
  static constexpr double kDecayFactor = 0.99;
  static constexpr double kMinCallsPerRun = 0.1;
  // Bounds the memory. All counts are cleared when there are more routes.
  static constexpr size_t kMaxRoutes = 2000;

  struct route_stats {
    double runs = 0;
    std::map<std::string, double> calls;
  };

  bool has_calls_ = false;
  std::map<std::string, route_stats> routes_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_CALL_COUNTER_H_
