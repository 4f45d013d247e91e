#ifndef NODE_ROSTER_KEEPER_H_
#define NODE_ROSTER_KEEPER_H_

#include <functional>
#include <set>
#include <vector>

#include "decisions/roster.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "node/config_follower.h"
#include "node/membership.h"

namespace skylarkhoist {

struct roster_keeper_options {
  roster_member self;
  duration interval = std::chrono::seconds(1);
  // A member that was not heard from for this long is evicted.
  duration eviction_timeout = std::chrono::seconds(30);
  // A monitored member that was not heard from for this long is probed in each
  // interval.
  duration probe_after = std::chrono::seconds(5);
  // Additional delay of the second and third monitor of a member, so that in
  // most cases only the first one appends an eviction.
  duration backup_delay = std::chrono::seconds(15);
};

// Keeps the roster in the log up to date: adds this node, evicts members that
// are silent for too long, and reports when this node itself was evicted. A new
// process at a member's address needs no eviction: its join replaces the
// member.
//
// Each member is monitored by three others, chosen by rendezvous hashing over
// the roster. So a node monitors about three members whatever the size of the
// fleet, and probes them when it has no other evidence that they are alive.
//
// Groups of replicas and witnesses are chosen from the roster, so a dead member
// in the roster weakens its groups, and a live member that is evicted loses its
// records. Only a node in contact with a majority evicts, so a partitioned
// minority never evicts the rest of the fleet.
class roster_keeper {
 public:
  roster_keeper(loop* loop,
                config_follower* config,
                membership* members,
                roster_keeper_options options,
                metrics* counters);
  ~roster_keeper();
  roster_keeper(const roster_keeper&) = delete;
  roster_keeper& operator=(const roster_keeper&) = delete;

  void Start();

  // Removes this node from the roster for a planned stop. Nothing more is
  // appended afterwards.
  void Leave();

  // Sets a callback that runs once when the roster shows that this node was
  // evicted. An evicted incarnation cannot join again, so the process has to
  // end or restart.
  void OnEvicted(std::function<void()> callback) {
    evicted_callback_ = std::move(callback);
  }

 private:
  void Tick();
  void JoinOrDetectEviction();
  void EvictSilentMembers();
  void UpdateMonitoredMembers();
  void Evict(const roster_member& member);

  loop* loop_;
  config_follower* config_;
  membership* members_;
  roster_keeper_options options_;
  std::function<void()> evicted_callback_;
  bool join_pending_ = false;
  bool joined_ = false;
  // This node has left or was evicted.
  bool stopped_ = false;
  struct monitored_member {
    roster_member member;
    // Rank of this node among the monitors of the member, 0 for the first.
    size_t monitor_index = 0;
    time_point monitored_since;
  };
  std::vector<monitored_member> monitored_;
  // Roster version for which `monitored_` was chosen.
  uint64_t monitored_version_ = 0;
  // Incarnations with an eviction that is being appended to the log.
  std::set<uint64_t> pending_evictions_;
  timer_id timer_ = 0;
  prometheus::Counter& evictions_;
};

}  // namespace skylarkhoist

#endif  // NODE_ROSTER_KEEPER_H_
