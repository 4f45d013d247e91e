#ifndef NODE_ROLLOUT_COORDINATOR_H_
#define NODE_ROLLOUT_COORDINATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decisions/rollout_controller.h"
#include "kernel/loop.h"
#include "node/operator_records.h"
#include "node/rollout_records.h"
#include "node/target_directory.h"
#include "wire/keyed_store.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// The nodes among which coordinators of rollouts are chosen.
struct rollout_members {
  // Names of this node and of the live nodes in its reach, by peer address.
  std::map<std::string, std::string> names;
  // They are a majority of the nodes that are not known to have ended.
  bool has_majority = false;
};

// Dependencies of a coordinator. Not owned.
struct rollout_parts {
  loop* run_loop = nullptr;
  peer_transport* transport = nullptr;
  keyed_store* store = nullptr;
  const target_directory* targets = nullptr;
};

// Coordinates one rollout at the node that is chosen for it: adds up the
// reports of all nodes, grants them calls to the new version, decides, and
// writes the state to the store.
//
// Invariant: a node may send at most as many calls as the coordinator has
// counted for it. A grant counts in full until the node reports that it has
// given up the rest, so neither lost messages nor nodes that end make the
// exposure exceed the bound.
//
// A successor learns the totals from the next report of each node, and from the
// totals that earlier grants told them. It grants nothing before it has read
// the state in the store and a majority of the nodes have reported.
class rollout_coordinator {
 public:
  rollout_coordinator(const rollout_parts& parts,
                      const rollout_bounds& bounds,
                      rollout_record order);
  ~rollout_coordinator();
  rollout_coordinator(const rollout_coordinator&) = delete;
  rollout_coordinator& operator=(const rollout_coordinator&) = delete;

  void Start();
  void SetMembers(const rollout_members& members) { members_ = members; }
  // Writes the state again, after the store has lost its last writes.
  void RestoreStatus();
  void HandleReport(const peer_info& from, const fbs::rollout_reportT& report);

  fbs::rollout_phase phase() const { return phase_; }
  double share() const { return MayGrant() ? controller_.share() : 0; }

 private:
  // What one process reported last.
  struct node_row {
    uint64_t incarnation = 0;
    time_point reported_at;
    // Number of calls that the node may send in total, as granted.
    uint64_t limit = 0;
    fbs::rollout_reportT report;
  };

  void ReadStatus();
  void OnStatusRead(const tl::expected<keyed_batch, store_failure>& result);
  void WriteRunning();
  void Write(fbs::rollout_phase phase);
  void OnWritten(fbs::rollout_phase phase,
                 const tl::expected<written_record, store_failure>& result);
  void CheckCompletion();
  std::optional<fbs::rollout_phase> StoredPhase(
      const tl::expected<keyed_batch, store_failure>& result) const;
  void ScheduleStoreCall(std::function<void()> call);
  void Tick();
  bool MayGrant() const;
  // Whether a majority of the nodes have reported recently.
  bool KnowsFleet() const;
  uint64_t Grant(const fbs::rollout_reportT& report, uint64_t new_requests);
  uint64_t Exposed() const;
  uint64_t Requests() const;
  rollout_totals Totals() const;
  bool TargetsReady() const;
  void Complete();
  void Stop(const std::string& cause);
  void SetPhase(fbs::rollout_phase phase, const std::string& cause);
  // Tells all nodes the phase.
  void Broadcast();
  fbs::rollout_grantT MakeGrant() const;

  rollout_parts parts_;
  rollout_record order_;
  rollout_bounds bounds_;
  rollout_controller controller_;
  rollout_members members_;
  fbs::rollout_phase phase_ = fbs::rollout_phase::kRunning;
  time_point ordered_at_;
  bool has_read_status_ = false;
  // The store holds the state "running" of this rollout.
  bool running_is_stored_ = false;
  // A write of "completed" may have taken effect, so the rollout can no longer
  // be rolled back.
  bool completing_ = false;
  bool write_pending_ = false;
  // By peer address.
  std::map<std::string, node_row> rows_;
  // Reports of processes that have ended.
  std::vector<fbs::rollout_reportT> ended_;
  // Calls of nodes that ended before this coordinator took over.
  bool knows_fleet_ = false;
  uint64_t exposed_before_ = 0;
  uint64_t highest_known_exposed_ = 0;
  timer_id tick_timer_ = 0;
  timer_id store_timer_ = 0;
  timer_id completion_timer_ = 0;
  // Callbacks of the store hold a weak reference to this, since they may
  // outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // NODE_ROLLOUT_COORDINATOR_H_
