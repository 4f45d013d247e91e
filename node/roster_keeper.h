#ifndef NODE_ROSTER_KEEPER_H_
#define NODE_ROSTER_KEEPER_H_

#include <functional>
#include <map>
#include <set>

#include "decisions/roster.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "node/config_follower.h"
#include "node/membership.h"

namespace skylarkhoist {

struct roster_keeper_options {
  roster_member self;
  duration interval = std::chrono::seconds(1);
  // A member that nobody heard of for this long is evicted.
  duration silence_limit = std::chrono::seconds(30);
  // Further wait of members that are not first in line, so that one append is
  // enough in most cases.
  duration backup_delay = std::chrono::seconds(15);
};

// Keeps the roster in the log true: joins this node, evicts members that are
// silent for long, and tells when this node was evicted itself. A newer process
// at a member's address needs no eviction: its join replaces the member.
//
// Groups of replicas and witnesses are chosen from the roster, so a dead member
// that stays in it weakens its groups, and an eviction of a live one costs it
// its records. Only a node that hears a majority evicts; the members of a cut
// off minority never evict the rest.
class roster_keeper {
 public:
  roster_keeper(loop* loop,
                config_follower* config,
                const membership* members,
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
  bool IsFirstInLine(const roster_member& silent) const;
  void Evict(const roster_member& member);

  loop* loop_;
  config_follower* config_;
  const membership* members_;
  roster_keeper_options options_;
  std::function<void()> evicted_callback_;
  bool joining_ = false;
  bool joined_ = false;
  bool leaving_ = false;
  time_point started_at_;
  // Incarnations whose eviction is being appended.
  std::set<uint64_t> evicting_;
  timer_id timer_ = 0;
  prometheus::Counter& evictions_;
};

}  // namespace skylarkhoist

#endif  // NODE_ROSTER_KEEPER_H_
