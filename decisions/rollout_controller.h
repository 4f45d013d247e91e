#ifndef DECISIONS_ROLLOUT_CONTROLLER_H_
#define DECISIONS_ROLLOUT_CONTROLLER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "kernel/time.h"

namespace skylarkhoist {

// How many requests a version may get that turns out to be bad.
struct rollout_bounds {
  // As a share of all requests of the service, and beyond this share. No
  // rollout starts while both are 0.
  double exposure_share = 0;
  double exposure_slack = 0;
  // Time from the 50th bad answer of a version within which it must get nothing
  // more.
  duration rollback_time = std::chrono::seconds(5);
};

// Number of answers by run time.
using run_time_histogram = std::array<uint64_t, 32>;

// Returns the bucket of a run time. The bounds of the buckets grow by the
// square root of two.
size_t RunTimeBucket(duration run_time);
// Returns the time at which a bucket starts.
duration RunTimeBucketStart(size_t bucket);

// Calls of one route to one target of the new version that have ended.
struct rollout_target_totals {
  uint64_t calls = 0;
  uint64_t failed = 0;
  uint64_t slow = 0;
  // Runs that broke off without an answer.
  uint64_t lost = 0;
};

// Calls of one route that have ended.
struct rollout_route_totals {
  // Calls to other versions, those of them that failed or broke off, and the
  // run times of the answered ones.
  uint64_t other_calls = 0;
  uint64_t other_failed = 0;
  run_time_histogram other_run_times{};
  // Calls to the new version, by the address of the node beside the target.
  std::map<std::string, rollout_target_totals> targets;
};

// Totals over all nodes since the order.
struct rollout_totals {
  std::map<std::string, rollout_route_totals> routes;
};

enum class rollout_verdict { kContinue, kComplete, kRollBack };

// Decides how many calls of a service may go to a new version, and when the
// version has proved good or bad.
//
// Bad answers are failures and answers that take several times as long as those
// of the other versions on the same route. They are compared with the other
// versions over the same time, per route and over all routes, since a trouble
// of the services behind it makes both worse. A version that turns bad late is
// noticed in windows of some seconds, which earlier good answers don't dilute.
//
//   rollout_controller controller(bounds, length);
//   switch (controller.Update(totals, targets_ready, age)) { ... }
//   allowed = controller.AllowedExposure(requests);
class rollout_controller {
 public:
  // `length` is the time within which a good version has to be complete.
  rollout_controller(const rollout_bounds& bounds, duration length);

  // Takes the totals at `age`, the time since the order. `targets_ready` tells
  // whether the targets of the new version can take the whole traffic.
  rollout_verdict Update(const rollout_totals& totals,
                         bool targets_ready,
                         duration age);

  // Returns how many calls may go to the new version until the service has got
  // `requests` requests, in total.
  uint64_t AllowedExposure(uint64_t requests) const;

  // Share of the requests that the new version may get now.
  double share() const { return share_; }

  // Run time from which on answers of a route count as slow. Routes with few
  // answers have none.
  const std::map<std::string, duration>& slow_times() const {
    return slow_times_;
  }

  // What made Update return kRollBack, for logs.
  const std::string& cause() const { return cause_; }

 private:
  struct snapshot {
    duration age = duration::zero();
    rollout_totals totals;
    // By route: losses of the new version at the same time count as one, since
    // a crash of one machine breaks off many runs.
    std::map<std::string, uint64_t> loss_events;
  };
  // Counts of one window.
  struct comparison {
    uint64_t calls = 0;
    uint64_t failed = 0;
    uint64_t slow = 0;
    double expected_failed = 0;
    double expected_slow = 0;
  };

  void UpdateShare(duration age);
  void UpdateSlowTimes();
  // Returns the strongest evidence against the new version: the negative
  // logarithm of a bound on the probability that a version like the others has
  // that many bad answers.
  double Evidence();
  double EvidenceSince(const snapshot& start);
  comparison Compare(const std::string& route, const snapshot& start) const;
  double Judge(const std::string& route, const comparison& counts);
  uint64_t EndedCalls(const std::string& route) const;
  bool HasEnoughCalls() const;

  rollout_bounds bounds_;
  duration length_;
  // Time of the decision when nothing speaks against the version.
  duration decide_at_;
  double share_ = 0;
  std::map<std::string, duration> slow_times_;
  std::deque<snapshot> snapshots_;
  std::string cause_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_ROLLOUT_CONTROLLER_H_
