#ifndef NODE_HOSTED_NODE_H_
#define NODE_HOSTED_NODE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "decisions/call_counter.h"
#include "decisions/call_estimator.h"
#include "decisions/capacity_publisher.h"
#include "kernel/json.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "kernel/random.h"
#include "node/departure_exchange.h"
#include "node/departure_log.h"
#include "node/entry.h"
#include "node/executor.h"
#include "node/loopback_transport.h"
#include "node/node_directory.h"
#include "node/operator_records.h"
#include "node/request_dialect.h"
#include "node/rollout_service.h"
#include "node/store_config_follower.h"
#include "node/store_era.h"
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
  // Service that the local target runs.
  std::string local_service;
  // Random number that identifies this run of the process.
  uint64_t incarnation = 0;
  rollout_bounds rollouts;
  const request_dialect* dialect = &SkylarkDialect();
  // Name of the routing policy.
  std::string routing = "zone_aware";
  // Repeats that a service may get as a share of its requests, from all nodes
  // together; 0 when no ratio is set.
  double retry_ratio = 0;
  // A local target whose last announcement is older than this is out of
  // service.
  duration announcement_timeout = std::chrono::seconds(6);
  // Time in which the peers of a new process connect to it and report the
  // departures that its predecessor confirmed. Without an answer of the store,
  // no target is in service before. A live target does not wait for it if it
  // is at most the interval between two announcements.
  duration departure_report_time = std::chrono::seconds(1);
  // How long a draining node still accepts requests, so that callers have time
  // to notice that it is no longer ready.
  duration drain_grace = std::chrono::milliseconds(2500);
  // How long a draining node still sends new calls to its local target, which
  // no other node can reach. The rest of `drain_grace` is for runs in progress.
  duration target_grace = std::chrono::milliseconds(2200);
  // Time after the start of the drain at which requests are refused even if the
  // node has never been idle.
  duration drain_timeout = std::chrono::seconds(4);
};

// Dependencies of a hosted_node, supplied by its process or by a test. Not
// owned.
struct hosted_node_dependencies {
  loop* run_loop = nullptr;
  peer_transport* transport = nullptr;
  target_client* targets = nullptr;
  keyed_store* store = nullptr;
  const operator_record_reader* record_reader = nullptr;
  random_source* random = nullptr;
  metrics* counters = nullptr;
};

// A node for a platform that provides persistent storage: it reads the complete
// configuration from a keyed store and finds its peers there. A target can be
// reached only from its own machine. The entry and executor roles are the same
// as in `node`; there is no roster, no lease, no configuration log and no claim
// on idempotency keys.
class hosted_node : private peer_observer {
 public:
  hosted_node(hosted_node_options options,
              const hosted_node_dependencies& parts);
  ~hosted_node() override;
  hosted_node(const hosted_node&) = delete;
  hosted_node& operator=(const hosted_node&) = delete;

  void Start();

  // Handles a request from a local caller or from the local target. Pass the
  // returned id to HandleCallerGone if the caller disconnects.
  entry_call_id HandleRequest(http_request request, reply_callback reply) {
    return entry_.HandlePublic(std::move(request), std::move(reply));
  }
  void HandleCallerGone(entry_call_id id) { entry_.HandleCallerGone(id); }

  // Handles an announcement of the local target. Returns false when it is older
  // than the last one accepted.
  bool HandleAnnouncement(const target_announcement& announcement) {
    return executor_.HandleAnnouncement(announcement);
  }

  // Marks a target as gone that deregisters itself. `generation` is that of its
  // run or any up to that of the next one. Returns false when there is no such
  // target.
  bool HandleDeparture(const std::string& target_id, int64_t generation) {
    return executor_.HandleDeparture(target_id, generation);
  }

  // Calls `done` with true once a restart of this process would not forget the
  // targets that leave, or with false if that takes too long. Only then has a
  // departure been confirmed to the target.
  void WhenDeparturesStored(std::function<void(bool stored)> done) {
    departure_log_.WhenStored(std::move(done));
  }

  // Whether callers should send new requests to this node.
  bool IsReady() const { return config_.ready() && !draining_; }

  // Starts a planned stop: the node is no longer ready, finishes the requests
  // in progress, then calls `drained`. The process ends after `stop_time` at
  // the latest.
  void Drain(std::function<void()> drained, duration stop_time);

  // Ends the open requests, because the process stops before they are finished.
  // Those that may have run are not reported as refused.
  void FinishOpenRequests() { entry_.FinishOpenRequests(); }

  const store_config_follower& config() const { return config_; }

  // State of this node and of the peers that it knows, for operators.
  json Status() const;

 private:
  void OnPeerMessage(const peer_info& from,
                     const fbs::envelopeT& message) override;
  void OnOwnedPeerMessage(const peer_info& from,
                          fbs::envelopeT&& message) override;
  void OnLinkUp(const peer_info& peer) override;
  void OnLinkDown(const peer_info& peer, link_down_cause cause) override;
  fbs::heartbeatT MakeHeartbeat() override;

  void HandleHeartbeat(const peer_info& from, const fbs::heartbeatT& heartbeat);
  // The store was restored from a copy that may lack what this node wrote.
  void OnEraChange();
  void OnMembersChanged();
  void OnConfigChange();
  void OnRecordsRead(const std::vector<keyed_record>& records);
  // Sends the departures of local targets to the nodes of the own zone and to
  // some of other zones.
  void PublishDepartures();
  void HandleDepartureReport(const peer_info& from,
                             const fbs::departure_reportT& report);
  // Shares what was learned about the local target when it has changed.
  void PublishCapacity();
  // Peer addresses of the other nodes that may have a target of the service.
  std::vector<std::string> PeersServing(const std::string& service) const;
  // Informs the nodes of the own zone, and a few of other zones, which records
  // this node has applied.
  void BroadcastOffset();
  void UpdateReader();
  void OnRun(const std::string& route, bool started);
  void OnLocalCall(const std::string& route, const std::string& parent_route);
  void DrainTarget();
  void WaitUntilIdle(time_point deadline);
  void FinishDrain();

  hosted_node_options options_;
  hosted_node_dependencies parts_;
  loopback_transport transport_;
  store_era store_;
  node_directory directory_;
  departure_log departure_log_;
  departure_exchange departure_exchange_;
  executor executor_;
  entry entry_;
  store_config_follower config_;
  token_service tokens_;
  rollout_service rollouts_;
  // Calls that the runs of each route make: counted where a call names the run
  // that makes it, estimated where it does not.
  call_counter counted_calls_;
  call_estimator estimated_calls_;
  // The departures that an earlier run of this process stored were read.
  bool has_departures_ = false;
  // A peer has reported which departures of that run it knows.
  bool has_departure_report_ = false;
  bool has_config_ = false;
  bool draining_ = false;
  std::function<void()> drained_;
  // When the process ends at the latest.
  time_point stop_at_;
  timer_id drain_timer_ = 0;
  timer_id capacity_timer_ = 0;
  capacity_publisher capacity_publisher_;
  uint64_t heartbeat_counter_ = 0;
};

}  // namespace skylarkhoist

#endif  // NODE_HOSTED_NODE_H_
