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
  std::vector<std::string> seed_peers;
  // Random for each run of the process.
  uint64_t incarnation = 0;
  std::string routing = "zone_aware";
  scheduler_plugins plugins;
  duration gossip_interval = std::chrono::milliseconds(500);
  int retry_credit = kDefaultRetryCredit;
  duration default_deadline = std::chrono::seconds(10);
  size_t max_open_calls = 10000;
  // Open routes and their services, which are served until a configuration is
  // available.
  config_view bootstrap;
  // A node that has neither read the configuration log nor heard from a
  // majority of the roster for this long refuses requests that need a key,
  // since it may have missed the withdrawal of a key.
  duration max_log_age = std::chrono::seconds(10);
  // How long a node that stops still accepts requests from callers.
  duration drain_grace = std::chrono::seconds(1);
  // See dedup_replica_options.
  bool new_fleet = false;
  // See entry_options.
  std::function<void(const http_request& request,
                     const std::string& customer,
                     int credit)>
      on_rate_admitted;
  entry_test_faults entry_faults;
  executor_test_faults executor_faults;
};

// The dependencies that a process or a test passes to a node.
struct node_dependencies {
  loop* run_loop = nullptr;
  peer_transport* transport = nullptr;
  target_client* targets = nullptr;
  log_client* log = nullptr;
  random_source* random = nullptr;
  const wall_clock* wall = nullptr;
  metrics* counters = nullptr;
};

// One node: the entry role, the executor role and the services that keep it a
// member of the fleet. Tests run the same class on a manual loop and an
// in-memory network.
class node : private peer_observer {
 public:
  node(node_options options, const node_dependencies& dependencies);
  ~node() override;
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  void Start();

  // Handles a request on the public listener. The returned id identifies the
  // request when its caller disconnects.
  entry_call_id HandlePublic(http_request request, reply_callback reply);

  // Handles a request on the local listener: announcements of targets, metrics,
  // status, and child calls of targets, which carry a context token.
  entry_call_id HandleLocal(http_request request, reply_callback reply);

  // Handles the disconnect of the caller of request `id`.
  void HandleCallerGone(entry_call_id id);

  // Planned stop: refuses new requests after `drain_grace`, finishes those in
  // progress, hands over its state to other nodes, then calls `on_drained`.
  void Drain(std::function<void()> on_drained);

  config_follower& config() { return config_; }
  membership& members() { return members_; }

  // `callback` runs once, when the fleet considered this node dead and evicted
  // it. Its incarnation cannot rejoin, so the process should drain and restart.
  void OnEvicted(std::function<void()> callback) {
    roster_.OnEvicted(std::move(callback));
  }

  // Returns the state of this node and its view of the fleet.
  json Status() const;

 private:
  void OnPeerMessage(const peer_info& from,
                     const fbs::envelopeT& message) override;
  void OnLinkUp(const peer_info& peer) override;
  void OnLinkDown(const peer_info& peer, link_down_cause cause) override;
  fbs::heartbeatT MakeHeartbeat() override;

  void OnHeartbeat(const peer_info& from, const fbs::heartbeatT& heartbeat);
  void OnConfigChange();
  bool IsConfigFresh() const;
  void SendToServicePeers(const fbs::suspectT& suspect);
  http_response HandleAnnouncement(const http_request& request);
  void RefreshTargets();
  void FinishDrain();

  node_options options_;
  node_dependencies dependencies_;
  loopback_transport transport_;
  membership members_;
  executor executor_;
  entry entry_;
  config_follower config_;
  roster_keeper roster_;
  rate_service rates_;
  dedup_service dedup_;
  bool draining_ = false;
  std::function<void()> on_drained_;
  timer_id target_refresh_timer_ = 0;
  uint64_t heartbeat_counter_ = 0;
};

}  // namespace skylarkhoist

#endif  // NODE_NODE_H_
