#ifndef NODE_ROLLOUT_SERVICE_H_
#define NODE_ROLLOUT_SERVICE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "decisions/rollout_controller.h"
#include "kernel/json.h"
#include "kernel/metrics.h"
#include "node/rollout_coordinator.h"
#include "node/version_policy.h"

namespace skylarkhoist {

// Moves the traffic of services to new versions of their targets, as operators
// order. One node, the coordinator, decides for each service (see
// rollout_coordinator); every node chooses it by rendezvous hashing over the
// live nodes. This node sends the coordinator its counts, and sends calls to
// the new version only as granted.
//
// Invariant: a node that has not heard from the coordinator for kGrantValidity
// sends nothing to a version that is being rolled out.
class rollout_service : public version_policy {
 public:
  rollout_service(const rollout_parts& parts,
                  const rollout_bounds& bounds,
                  std::string own_address,
                  metrics* counters);
  ~rollout_service() override;
  rollout_service(const rollout_service&) = delete;
  rollout_service& operator=(const rollout_service&) = delete;

  // Takes an order. One with the version of the order in force changes nothing.
  void SetOrder(const rollout_record& order);
  void SetMembers(const rollout_members& members);

  void HandleReport(const peer_info& from, const fbs::rollout_reportT& report);
  void HandleGrant(const fbs::rollout_grantT& grant);

  // Whether targets of this version may run only calls whose sender names it.
  bool RequiresPermission(const std::string& service,
                          const std::string& version) const;

  version_rule RuleOf(const std::string& service) const override;
  std::vector<route_candidate> TrialCandidates(
      const std::string& service,
      const std::vector<route_candidate>& candidates) const override;
  void OnSent(const versioned_attempt& sent, bool is_first) override;
  void OnEnded(const versioned_attempt& ended,
               attempt_result result,
               duration run_time) override;

  // Writes the states that this node coordinates again, after the store has
  // lost its last writes.
  void RestoreStatuses();

  // State of the rollouts, for operators.
  json Status() const;

 private:
  struct other_counts {
    uint32_t calls = 0;
    uint32_t failed = 0;
    run_time_histogram run_times{};
  };
  struct rollout {
    rollout_record order;
    time_point ordered_at;
    fbs::rollout_phase phase = fbs::rollout_phase::kRunning;
    // Peer address; empty while no node is known.
    std::string coordinator_address;
    // Set while this node coordinates the rollout.
    std::unique_ptr<rollout_coordinator> coordinator;
    // Calls sent to the new version, the number up to which they may be sent,
    // and until when.
    uint64_t sent = 0;
    uint64_t limit = 0;
    time_point granted_until;
    time_point last_sent_at;
    uint64_t requests = 0;
    uint64_t reported_requests = 0;
    uint64_t round = 0;
    time_point reported_at;
    uint64_t known_exposed = 0;
    uint64_t known_requests = 0;
    uint32_t focus = 0;
    // By route.
    std::map<std::string, duration> slow_times;
    std::map<std::string, other_counts> other;
    // By route and peer address of the node beside the target.
    std::map<std::pair<std::string, std::string>, rollout_target_totals> calls;
    time_point status_read_at;
    prometheus::Gauge* phase_gauge = nullptr;
    prometheus::Gauge* share_gauge = nullptr;
    std::map<std::string, prometheus::Counter*> result_counters;
  };

  // The versions of a service without an order, which may get calls. Others
  // wait for an order: it may not have reached this node yet.
  struct established_versions {
    time_point checked_at;
    time_point established_at;
    // With the time at which this node last saw a target of the version.
    std::map<std::string, time_point> seen_at;
  };

  version_rule RuleWithoutOrder(const std::string& service) const;
  bool IsEnabled() const {
    return bounds_.exposure_share > 0 || bounds_.exposure_slack > 0;
  }
  rollout* Find(const std::string& service, const std::string& version);
  void CountResult(rollout* counted, bool is_new, const char* result);
  std::string ChooseCoordinator(const std::string& service) const;
  void AssignCoordinator(rollout* assigned);
  void Tick();
  void Report(rollout* reported);
  void ReadStatus(rollout* asked);
  void SetPhase(rollout* changed, fbs::rollout_phase phase, const char* source);

  rollout_parts parts_;
  rollout_bounds bounds_;
  std::string own_address_;
  metrics* counters_;
  rollout_members members_;
  // The order in force of each service.
  std::map<std::string, rollout> rollouts_;
  mutable std::map<std::string, established_versions> established_;
  // Versions that were rolled back, by service.
  std::map<std::string, std::set<std::string>> rolled_back_;
  timer_id tick_timer_ = 0;
  // Callbacks of the store hold a weak reference to this, since they may
  // outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // NODE_ROLLOUT_SERVICE_H_
