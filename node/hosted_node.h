#ifndef NODE_HOSTED_NODE_H_
#define NODE_HOSTED_NODE_H_

#include <functional>
#include <map>
#include <string>

#include "decisions/call_counter.h"
#include "decisions/call_estimator.h"
#include "kernel/json.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "kernel/random.h"
#include "node/entry.h"
#include "node/executor.h"
#include "node/loopback_transport.h"
#include "node/node_directory.h"
#include "node/operator_records.h"
#include "node/request_dialect.h"
#include "node/state_follower.h"
#include "node/token_service.h"
#include "wire/keyed_store.h"
#include "wire/peer_transport.h"
#include "wire/target_client.h"

namespace skylarkhoist {

struct hosted_node_options {
  std::string name;
  std::string zone;
  std::string peer_address;
  // Region of each zone.
  std::map<std::string, std::string> regions;
  // Service of the target beside this node.
  std::string local_service;
  // Random for each run of the process.
  uint64_t incarnation = 0;
  const request_dialect* dialect = &OwnDialect();
  // A target that has not announced itself for this time is out of service.
  duration announcement_limit = std::chrono::seconds(6);
  // How long a node that stops goes on taking requests, so that callers have
  // noticed that it is not ready.
  duration drain_grace = std::chrono::milliseconds(2500);
  // How long it goes on giving calls to its target, which no other node
  // reaches. What is left of the grace then is for the runs in progress.
  duration target_grace = std::chrono::milliseconds(2200);
  // When a node that stops refuses requests although it has never been idle.
  duration drain_limit = std::chrono::seconds(4);
};

// The parts that a node gets from its process, or from a test.
struct hosted_node_parts {
  loop* run_loop = nullptr;
  peer_transport* transport = nullptr;
  target_client* targets = nullptr;
  keyed_store* store = nullptr;
  const operator_record_reader* operators = nullptr;
  random_source* random = nullptr;
  metrics* counters = nullptr;
};

// A node on a platform that keeps what must last: the configuration comes whole
// from a store, nodes find each other there, and only local processes reach a
// target. The entry and executor roles are those of `node`; the roster, its
// leases, the fold of changes and the claims on idempotency keys have no part
// in it.
class hosted_node : private peer_observer {
 public:
  hosted_node(hosted_node_options options, const hosted_node_parts& parts);
  ~hosted_node() override;
  hosted_node(const hosted_node&) = delete;
  hosted_node& operator=(const hosted_node&) = delete;

  void Start();

  // A request of a local caller or of the local target. The returned id is for
  // HandleGone.
  entry_call_id HandleRequest(http_request request, reply_callback reply) {
    return entry_.HandlePublic(std::move(request), std::move(reply));
  }
  void HandleGone(entry_call_id id) { entry_.HandleGone(id); }

  // Returns false when the announcement is older than what is known.
  bool Announce(const target_announcement& announcement) {
    return executor_.Announce(announcement);
  }

  bool Depart(const std::string& target_id, int64_t lifetime) {
    return executor_.Depart(target_id, lifetime);
  }

  // New callers may come.
  bool IsReady() const { return state_.ready() && !draining_; }

  // Planned stop: is not ready from now on, finishes what it has, then calls
  // `drained`.
  void Drain(std::function<void()> drained);

  const state_follower& state() const { return state_; }

  // State of this node and what it knows of the others.
  json Status() const;

 private:
  void OnPeerMessage(const peer_info& from,
                     const fbs::envelopeT& message) override;
  void OnLinkUp(const peer_info& peer) override;
  void OnLinkDown(const peer_info& peer, link_down_cause cause) override;
  fbs::heartbeatT MakeHeartbeat() override;

  void OnMembersChanged();
  void TellOffset();
  bool IsScout() const;
  void OnRun(const std::string& route, bool starts);
  void OnLocalCall(const std::string& route, const std::string& parent_route);
  void ReleaseTarget();
  void WaitUntilIdle(time_point limit);
  void FinishDrain();

  hosted_node_options options_;
  hosted_node_parts parts_;
  loopback_transport transport_;
  node_directory directory_;
  executor executor_;
  entry entry_;
  state_follower state_;
  token_service tokens_;
  // Calls that tell their run, and calls that don't.
  call_counter counted_calls_;
  call_estimator estimated_calls_;
  bool draining_ = false;
  std::function<void()> drained_;
  timer_id drain_timer_ = 0;
  uint64_t heartbeat_counter_ = 0;
};

}  // namespace skylarkhoist

#endif  // NODE_HOSTED_NODE_H_
