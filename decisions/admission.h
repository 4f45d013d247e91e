#ifndef DECISIONS_ADMISSION_H_
#define DECISIONS_ADMISSION_H_

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
  // Least share of the requests of each class that passes, so that no kind of
  // request is starved by more important ones.
  double floor_share = 0;
  // Load in permille of a service deeper in the chain at which the rate is
  // held. Such services often have few slots, and the work done before them
  // lets arrivals vary more; but each request may wait there many times.
  uint32_t chain_target_load = 2000;
  // The rate falls to this share in one step at most.
  double largest_cut = 0.7;
  // Whether calls of admitted requests are counted and may be refused.
  bool check_admitted = true;
};

// Refuses requests at the entry that would fail deep in their chain, from the
// load levels that answers carry back. One instance per node:
//
//   admission.OnLoad("calendar", answer.load, now);
//   if (auto why = admission.Check("bookings", {"calendar"}, rank, false, now,
//                                  random)) { refuse with *why }
//
// For each service it holds the rate that this node may send. The rate falls
// while the reported load is above kTargetLoad and rises below it. Within the
// rate, calls of a higher rank go first. Without a report
// younger than kMaxAge there is no limit.
class admission {
 public:
  explicit admission(const admission_options& options = {})
      : options_(options) {}

  // Load in permille at which the rate is held: full plus a short queue, which
  // keeps targets busy between two reports.
  static constexpr uint32_t kTargetLoad = 1300;
  // An admitted call is refused only above this load, because its parent's work
  // is lost with it.
  static constexpr uint32_t kAdmittedLoad = 6000;
  static constexpr duration kMaxAge = std::chrono::seconds(1);

  // No new call passes within this time after a more important one was refused
  // for the same service, and no critical one is refused within this time after
  // a less important one passed.
  static constexpr duration kClassHold = std::chrono::milliseconds(250);

  // Takes a load level of `service` from an answer; 1000 means full, more means
  // that calls wait.
  void OnLoad(const std::string& service, uint32_t permille, time_point now);

  // Returns why a request to `service`, whose chain goes on to `downstream`, is
  // refused; nothing when it may go on. A request that may go on counts against
  // the rate of each of the services.
  std::optional<reason> Check(const std::string& service,
                              const std::vector<std::string>& downstream,
                              priority_class rank,
                              bool admitted,
                              time_point now,
                              random_source& random);

  // The present load level of `service`, to be passed on in answers; nothing
  // when no fresh one is known.
  std::optional<uint32_t> LevelOf(const std::string& service,
                                  time_point now) const;

 private:
  struct service_state {
    // Average of the reports, weighted towards the recent ones.
    double level = 0;
    time_point reported;
    // True when calls to this service come through another one.
    bool deep = false;
    // Calls a second; nothing while the service is not limited.
    std::optional<double> allowed;
    // Arrivals and passed calls of the current interval.
    std::array<int, kPriorityLevels> arrived{};
    int passed = 0;
    // Calls a second, averaged over some intervals.
    std::array<double, kPriorityLevels> demand{};
    double passed_rate = 0;
    time_point interval_start;
    time_point last_probe;
    // When a new call of each class was last refused, and last passed.
    std::array<time_point, kPriorityLevels> refused;
    std::array<time_point, kPriorityLevels> passed_at;
  };

  void Adjust(service_state& state, time_point now) const;
  // Probability that a new call of this class passes.
  static double PassShare(const service_state& state, size_t rank);
  static bool MayProbe(const service_state& state, time_point now);
  static bool LowerPassed(const service_state& state,
                          size_t rank,
                          time_point now);
  static bool HigherRefused(const service_state& state,
                            size_t rank,
                            time_point now);

  admission_options options_;
  std::map<std::string, service_state> services_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_ADMISSION_H_
