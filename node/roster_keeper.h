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
  // A member that was silent for this long is evicted.
  duration silence_limit = std::chrono::seconds(30);
  // A monitored member that was silent for this long is probed, each interval.
  duration probe_after = std::chrono::seconds(5);
  // Further wait of the second and third monitor of a member, so that one
  // append is enough in most cases.
  duration backup_delay = std::chrono::seconds(15);
};

// Keeps the roster in the log true: joins this node, evicts members that are
// silent for long, and tells when this node was evicted itself. A newer process
// at a member's address needs no eviction: its join replaces the member.
//
// Each member is watched by three others, its monitors, chosen by rendezvous
// hashing over the roster. So a node watches about three members whatever the
// size of the fleet, and probes them when nothing else has shown that they run.
//
// Groups of replicas and witnesses are chosen from the roster, so a dead member
// that stays in it weakens its groups, and an eviction of a live one costs it
// its records. Only a node that hears a majority evicts; the members of a cut
// off minority never evict the rest.
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

  // Leaves the roster for a planned stop; nothing is appended afterwards.
  void Leave();

  // Runs once when the roster shows that this node was evicted. An incarnation
  // never returns, so the process has to end or restart.
  void OnEvicted(std::function<void()> callback) {
    evicted_callback_ = std::move(callback);
  }

 private:
  void Tick();
  void JoinOrNoticeEviction();
  void EvictSilent();
  void UpdateMonitored();
  void Evict(const roster_member& member);

  loop* loop_;
  config_follower* config_;
  membership* members_;
  roster_keeper_options options_;
  std::function<void()> evicted_callback_;
  bool joining_ = false;
  bool joined_ = false;
  bool leaving_ = false;
  struct monitored_member {
    roster_member member;
    // 0 for the first of its monitors.
    size_t position = 0;
    time_point since;
  };
  std::vector<monitored_member> monitored_;
  uint64_t monitored_version_ = 0;
  // Incarnations whose eviction is being appended.
  std::set<uint64_t> evicting_;
  timer_id timer_ = 0;
  prometheus::Counter& evictions_;
};

}  // namespace skylarkhoist

#endif  // NODE_ROSTER_KEEPER_H_
