#ifndef DECISIONS_ADMISSION_CONTROLLER_H_
#define DECISIONS_ADMISSION_CONTROLLER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decisions/reason.h"
#include "decisions/request_types.h"
#include "kernel/random.h"
#include "kernel/time.h"

namespace skylarkhoist {

struct admission_options {
  // Minimum share of the requests of each class that passes, so that requests
  // of higher priority cannot starve a class.
  double min_class_share = 0;
  // Load, in permille, at which the rate to a downstream service, which
  // requests reach through another service, is held steady. The default is
  // above kTargetLoadPermille because such services often have few slots, and
  // the work done before them makes arrivals more variable. A higher value
  // costs latency, since each request may wait there many times.
  uint32_t downstream_target_permille = 2000;
  // Smallest factor by which one step may lower the rate.
  double min_decrease_factor = 0.7;
  // Whether calls of already admitted requests are counted and may be refused.
  bool check_admitted = true;
};

// Admission control at the entry. Refuses requests that would otherwise fail at
// a service further down their call chain, based on the load levels that
// answers report. One instance per node:
//
//   controller.OnLoadReport("calendar", answer.load, now);
//   if (auto why = controller.Check("bookings", {"calendar"}, priority, false,
//                                   now, random)) { refuse with *why }
//
// For each service it keeps the rate of calls that this node may send. The rate
// falls while the reported load is above the target load and rises below it.
// Within the rate, calls of higher priority pass first. There is no limit
// without a report younger than kMaxReportAge.
class admission_controller {
 public:
  explicit admission_controller(const admission_options& options = {})
      : options_(options) {}

  // Load, in permille, at which the rate is held steady: all slots busy plus a
  // short queue, which keeps targets busy between two reports.
  static constexpr uint32_t kTargetLoadPermille = 1300;
  // An admitted call is refused only above this load, because refusing it also
  // wastes the work of its parent.
  static constexpr uint32_t kMaxAdmittedLoadPermille = 6000;
  static constexpr duration kMaxReportAge = std::chrono::seconds(1);

  // No new call passes within this time after a call of higher priority was
  // refused for the same service, and no call of a critical route is refused
  // within this time after a call of lower priority passed.
  static constexpr duration kPriorityHold = std::chrono::milliseconds(250);

  // Records the load of `service` that an answer reported, in permille: 1000
  // means that all slots are busy, more means that calls wait.
  void OnLoadReport(const std::string& service,
                    uint32_t permille,
                    time_point now);

  // Returns why a request to `service`, which calls the services in
  // `downstream`, is refused, or nothing when it passes. A request that passes
  // counts against the rate of each of these services. `returning`: its caller
  // was refused before and has come back as told. Such a request goes before
  // others of the same priority.
  std::optional<reason> Check(const std::string& service,
                              const std::vector<std::string>& downstream,
                              priority_class priority,
                              bool admitted,
                              time_point now,
                              random_source& random,
                              bool returning = false);

  // Returns the current load of `service` in permille, to be reported in
  // answers; nothing without a recent report.
  std::optional<uint32_t> LoadPermilleOf(const std::string& service,
                                         time_point now) const;

 private:
  // Levels in which requests pass: by priority, and returning requests before
  // new ones of the same priority.
  static constexpr size_t kLevels = kPriorityLevels * 2;

  struct service_state {
    // Exponentially weighted average of the reports.
    double load_permille = 0;
    time_point reported_at;
    // True when calls reach this service through another one.
    bool is_downstream = false;
    // Calls per second; nothing while the service is not limited.
    std::optional<double> allowed_rate;
    // Arrivals by level, and passed calls, in the current interval.
    std::array<int, kLevels> arrivals{};
    int passed = 0;
    // Calls per second, averaged over several intervals.
    std::array<double, kLevels> demand_rate{};
    double passed_rate = 0;
    time_point interval_start;
    time_point last_probe_at;
    // When a new call of each level was last refused and last passed.
    std::array<time_point, kLevels> last_refused;
    std::array<time_point, kLevels> last_passed;
  };

  void UpdateRate(service_state& state, time_point now) const;
  // Probability that a new call of this level passes.
  static double PassProbability(const service_state& state, size_t level);
  static bool MayProbe(const service_state& state, time_point now);
  static bool LowerLevelPassed(const service_state& state,
                               size_t level,
                               time_point now);
  static bool HigherLevelRefused(const service_state& state,
                                 size_t level,
                                 time_point now);

  admission_options options_;
  std::map<std::string, service_state> services_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_ADMISSION_CONTROLLER_H_
