#ifndef NODE_NODE_H_
#define NODE_NODE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "kernel/random.h"
#include "kernel/wall_clock.h"
#include "node/config_follower.h"
#include "node/dedup_service.h"
#include "node/entry.h"
#include "node/executor.h"
#include "node/loopback_transport.h"
#include "node/membership.h"
#include "node/rate_service.h"
#include "node/roster_keeper.h"
#include "wire/log_client.h"
#include "wire/peer_transport.h"
#include "wire/target_client.h"

namespace skylarkhoist {

struct node_options {
  std::string name;
  std::string cluster;
  std::string zone;
  std::string public_address;
  std::string local_address;
  std::string peer_address;
  std::vector<std::string> seeds;
  // Random for each run of the process.
  uint64_t incarnation = 0;
  std::string routing = "zone_aware";
  gate_plugins plugins;
  duration gossip_interval = std::chrono::milliseconds(500);
  int retry_credit = kDefaultRetryCredit;
  duration default_deadline = std::chrono::seconds(10);
  size_t max_open_calls = 10000;
  // Open routes and their services, served until there is a configuration.
  config_view bootstrap;
  // Without the log and without a majority of the roster, keyed work is
  // refused after this time, since a withdrawal of a key may have been missed.
  duration config_staleness = std::chrono::seconds(10);
  // How long a node that stops still takes requests from callers.
  duration drain_grace = std::chrono::seconds(1);
  // See dedup_replica_options.
  bool new_fleet = false;
  // See entry_options.
  std::function<void(const http_request& request,
                     const std::string& customer,
                     int credit)>
      on_admitted;
  entry_test_faults entry_faults;
  executor_test_faults executor_faults;
};

// The parts that a node gets from its process, or from a test.
struct node_parts {
  loop* run_loop = nullptr;
  peer_transport* transport = nullptr;
  target_client* targets = nullptr;
  log_client* log = nullptr;
  random_source* random = nullptr;
  const wall_clock* wall = nullptr;
  metrics* counters = nullptr;
};

// One node: the entry role, the executor role and what keeps it part of the
// fleet. The same class runs in the process and, on a manual loop and an
// in-memory network, in tests.
class node : private peer_observer {
 public:
  node(node_options options, const node_parts& parts);
  ~node() override;
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  void Start();

  // A request on the public listener. The returned id is for HandleGone.
  entry_call_id HandlePublic(http_request request, reply_callback reply);

  // A request on the local listener: announcements of targets, metrics, status,
  // and child calls of targets, which carry a context token.
  entry_call_id HandleLocal(http_request request, reply_callback reply);

  // The caller of a request has gone.
  void HandleGone(entry_call_id id);

  // Planned stop: takes nothing new, finishes what it has, hands over its
  // state, then calls `drained`.
  void Drain(std::function<void()> drained);

  config_follower& config() { return config_; }
  membership& members() { return members_; }

  // Runs once when the fleet took this node for dead and evicted it. Its
  // incarnation cannot return, so the process should drain and start anew.
  void OnEvicted(std::function<void()> callback) {
    roster_.OnEvicted(std::move(callback));
  }

  // State of this node and what it knows of the fleet.
  json Status() const;

 private:
  void OnPeerMessage(const peer_info& from,
                     const fbs::envelopeT& message) override;
  void OnLinkUp(const peer_info& peer) override;
  void OnLinkDown(const peer_info& peer, link_down_cause cause) override;
  fbs::heartbeatT MakeHeartbeat() override;

  void OnHeartbeat(const peer_info& from, const fbs::heartbeatT& beat);
  void OnConfigChange();
  bool IsConfigFresh() const;
  void SendToServicePeers(const fbs::suspectT& suspect);
  http_response HandleAnnouncement(const http_request& request);
  void Housekeep();
  void FinishDrain();

  node_options options_;
  node_parts parts_;
  loopback_transport transport_;
  membership members_;
  executor executor_;
  entry entry_;
  config_follower config_;
  roster_keeper roster_;
  rate_service rates_;
  dedup_service dedup_;
  bool draining_ = false;
  std::function<void()> drained_;
  timer_id housekeeping_timer_ = 0;
  uint64_t heartbeat_counter_ = 0;
};

}  // namespace skylarkhoist

#endif  // NODE_NODE_H_
