#ifndef DECISIONS_RUN_PROGRESS_H_
#define DECISIONS_RUN_PROGRESS_H_

#include <map>
#include <string>
#include <unordered_map>

namespace skylarkhoist {

// Tracks how far the runs at a target have come with their calls: how many
// calls a run of a route makes to another route, and how many of them a run in
// progress has left.
//
// Load pattern: requests make several calls to a full service, one after the
// other, and one failed call wastes all the calls before it.
//
//   progress.OnCallSucceeded("id-1", "slots");
//   progress.CallsLeft("id-1", "browse", "slots")   // 3 of 4
//   progress.OnRunEnded("id-1", "browse", true);
class run_progress {
 public:
  // A call of the run `run_id` to `called_route` has been answered without an
  // error.
  void OnCallSucceeded(const std::string& run_id,
                       const std::string& called_route);

  // The run has ended. Only a successful one shows how many calls it takes.
  void OnRunEnded(const std::string& run_id,
                  const std::string& route,
                  bool succeeded);

  // Returns how many calls to `called_route` the run has left, with the one
  // that it is making; 1 while no run of `route` has succeeded yet.
  int CallsLeft(const std::string& run_id,
                const std::string& route,
                const std::string& called_route) const;

 private:
  // Bounds the memory. When there are more, all are forgotten.
  static constexpr size_t kMaxRoutes = 2000;
  static constexpr size_t kMaxRuns = 20'000;
  // Weight of the last run in the average number of calls.
  static constexpr double kRunWeight = 0.05;

  using call_counts = std::map<std::string, int>;

  // Answered calls of the runs in progress, by route.
  std::unordered_map<std::string, call_counts> runs_;
  // Average calls of a successful run, by its route and the called route.
  std::map<std::string, std::map<std::string, double>> calls_per_run_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_RUN_PROGRESS_H_
