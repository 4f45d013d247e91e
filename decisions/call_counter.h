#ifndef DECISIONS_CALL_COUNTER_H_
#define DECISIONS_CALL_COUNTER_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "kernel/json.h"

namespace skylarkhoist {

// Counts how many calls of which route the runs of each route make at one
// target, where it is told which run a call belongs to. Where it is not told,
// see call_estimator.
//
// Load pattern: the fleet starts into a deep service that is full. Calls show
// from the first one on which requests lead there, however long they wait.
//
//   counter.OnRun("browse");
//   counter.OnCall("browse", "slots");
//   counter.CallsOf("browse")   // {"slots"}
class call_counter {
 public:
  void OnRun(const std::string& route);
  void OnCall(const std::string& route, const std::string& call_route);

  // Some call told its run.
  bool has_calls() const { return has_calls_; }

  // Routes of which a run of `route` makes at least kLeastCalls on average.
  std::vector<std::string> CallsOf(const std::string& route) const;

  // Names of the routes with calls, each with the list of CallsOf.
  json ToJson() const;

 private:
  // A run counts for half after about 70 more of its route.
  static constexpr double kForgetting = 0.99;
  static constexpr double kLeastCalls = 0.1;
  // Bounds the memory; all is learned anew above it.
  static constexpr size_t kMaxRoutes = 2000;

  struct run_route {
    double runs = 0;
    std::map<std::string, double> calls;
  };

  bool has_calls_ = false;
  std::map<std::string, run_route> routes_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_CALL_COUNTER_H_
