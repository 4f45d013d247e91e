#include "node/hosted_node.h"

#include <algorithm>
#include <utility>

#include "kernel/log.h"
#include "node/call_dispatch.h"

namespace skylarkhoist {
namespace {

// Answers are kept for entry nodes that ask for them after a lost link. An
// entry node asks only as long as its caller waits.
constexpr duration kAnswerRetention = std::chrono::seconds(6);
constexpr size_t kMaxRetainedAnswerBytes = size_t{2} << 20;

// Retries as a share of first attempts. A retried run repeats its child calls,
// so the share compounds with the depth of the call chain: with four levels the
// total stays below the allowed 20%.
constexpr double kMaxRetryShare = 0.04;

// Part of the allowed ratio of retries that a service gets whose runs make no
// calls. The rest covers the unused retries that its nodes have saved up.
constexpr double kLeafRetryRatioShare = 0.8;

// Share of the requests of each priority class that is admitted even under
// overload. Users require for each class at least a quarter of the share that
// all classes together get.
constexpr double kMinAdmittedShare = 0.12;

// Minimum share of the calls sent to a target that new requests of callers get
// while child calls of admitted requests wait for the same target.
constexpr double kMinNewRequestShare = 0.15;

// One control step reduces the admitted rate at most to this share of it. The
// last service of a chain may lose most of its targets at once while requests
// that were already admitted continue to call it.
constexpr double kMinRateFactorPerStep = 0.5;

// Slightly above full load (1000), since a request makes up to ten consecutive
// calls and waits in the queue for each of them.
constexpr uint32_t kChainTargetLoadPermille = 1150;

constexpr duration kIdleCheckInterval = std::chrono::milliseconds(20);

// Interval of the checks whether the learned capacity has changed.
constexpr duration kCapacityInterval = std::chrono::milliseconds(250);

peer_info SelfInfo(const hosted_node_options& options) {
  return {options.peer_address, options.name, options.zone,
          options.incarnation};
}

node_directory_options DirectoryOptions(const hosted_node_options& options) {
  node_directory_options result;
  result.node = options.name;
  result.zone = options.zone;
  result.peer_address = options.peer_address;
  result.incarnation = options.incarnation;
  return result;
}

executor_options ExecutorOptions(const hosted_node_options& options) {
  executor_options result;
  result.zone = options.zone;
  // Targets announce their slots, which remain the upper bound.
  result.plugins.limit = "learned";
  result.plugins.exempt_admitted = true;
  result.plugins.min_new_share = kMinNewRequestShare;
  result.announcement_timeout = options.announcement_timeout;
  result.dialect = options.dialect;
  result.track_suspects = false;
  result.quarantine_crashing_requests = true;
  result.answers.retention = kAnswerRetention;
  result.answers.max_answer_bytes = kMaxRetainedAnswerBytes;
  return result;
}

entry_options EntryOptions(const hosted_node_options& options) {
  entry_options result;
  result.incarnation = options.incarnation;
  result.zone = options.zone;
  result.regions = options.regions;
  result.dialect = options.dialect;
  result.local_service = options.local_service;
  result.keyless_requests_are_child_calls = true;
  result.retry_lost_runs = true;
  result.routing = options.routing;
  result.retry_share = kMaxRetryShare;
  result.leaf_retry_share = options.retry_ratio * kLeafRetryRatioShare;
  result.admission.min_class_share = kMinAdmittedShare;
  result.admission.check_admitted = false;
  result.admission.min_decrease_factor = kMinRateFactorPerStep;
  result.admission.downstream_target_permille = kChainTargetLoadPermille;
  result.deadline_grace = std::chrono::milliseconds(20);
  return result;
}

}  // namespace

hosted_node::hosted_node(hosted_node_options options,
                         const hosted_node_dependencies& parts)
    : options_(std::move(options)),
      parts_(parts),
      transport_(parts.run_loop, parts.transport, SelfInfo(options_)),
      store_(parts.store, parts.counters),
      directory_(parts.run_loop,
                 &store_,
                 &transport_,
                 DirectoryOptions(options_)),
      departure_log_(parts.run_loop, &store_, options_.name),
      departure_exchange_(parts.run_loop, &transport_, options_.name),
      executor_(parts.run_loop,
                &transport_,
                parts.targets,
                parts.random,
                ExecutorOptions(options_),
                parts.counters),
      entry_(parts.run_loop,
             &transport_,
             &directory_,
             &executor_.contexts(),
             parts.random,
             EntryOptions(options_),
             parts.counters),
      config_(parts.run_loop,
              &store_,
              &transport_,
              options_.zone,
              parts.record_reader,
              parts.counters),
      tokens_(parts.run_loop,
              &transport_,
              options_.peer_address,
              options_.name,
              options_.incarnation,
              parts.counters),
      rollouts_({parts.run_loop, &transport_, &store_, &directory_},
                options_.rollouts,
                options_.peer_address,
                parts.counters) {
  entry_.SetVersionPolicy(&rollouts_);
  executor_.SetVersionCheck(
      [this](const std::string& service, const std::string& version) {
        return rollouts_.RequiresPermission(service, version);
      });
  config_.OnRollout(
      [this](const rollout_record& order) { rollouts_.SetOrder(order); });
  entry_.SetRateTokenAcquirer([this](const std::string& customer,
                                     time_point /*deadline*/,
                                     std::function<void(reason)> done) {
    tokens_.Acquire(customer, std::move(done));
  });
  entry_.SetRateTokenReturner(
      [this](const std::string& customer) { tokens_.Return(customer); });
  config_.OnChange([this] { OnConfigChange(); });
  store_.OnChange([this] { OnEraChange(); });
  config_.OnNewRecords([this] { BroadcastOffset(); });
  config_.OnStoreChange([this](bool lost) {
    directory_.SetStoreLost(options_.peer_address, lost);
    if (!lost)
      directory_.OnStoreAnswered();
    BroadcastOffset();
  });
  directory_.OnMembersChanged([this] { OnMembersChanged(); });
  executor_.AwaitDepartures(options_.departure_report_time);
  directory_.OnRecordsRead([this](const std::vector<keyed_record>& records) {
    OnRecordsRead(records);
  });
  executor_.OnDeparture([this] {
    departure_log_.Store(executor_.Departures());
    PublishDepartures();
  });
  executor_.OnTargetsChanged(
      [this] { directory_.SetTargets(executor_.DescribeTargets()); });
  executor_.OnRun([this](const std::string& route, bool started) {
    OnRun(route, started);
  });
  executor_.OnSuspect([this](const fbs::suspectT& suspect) {
    for (const std::string& peer : PeersServing(suspect.service))
      transport_.Send(peer, MakeEnvelope(fbs::suspectT(suspect)));
  });
  executor_.OnTargetCrash([this](const fbs::target_crashT& crash) {
    for (const std::string& peer : PeersServing(crash.service))
      transport_.Send(peer, MakeEnvelope(fbs::target_crashT(crash)));
  });
  entry_.OnLocalCall(
      [this](const std::string& route, const std::string& parent_route) {
        OnLocalCall(route, parent_route);
      });
  entry_.SetChildCallObserver(&executor_);
  entry_.SetRunLookup([this](const std::string& caller_id) {
    return executor_.FindRun(caller_id);
  });
  executor_.OnRunEnded(
      [this](const ended_run& run) { entry_.OnLocalRunEnded(run); });
  executor_.SetDownstreamLoads([this](const fbs::call_requestT& call) {
    return entry_.LoadsOfRoutes(
        counted_calls_.has_calls() ? counted_calls_.CalledRoutes(call.route)
                                   : estimated_calls_.CalledRoutes(call.route));
  });
}

hosted_node::~hosted_node() {
  parts_.run_loop->Cancel(drain_timer_);
  parts_.run_loop->Cancel(capacity_timer_);
}

void hosted_node::Start() {
  transport_.Start(this);
  directory_.Start();
  config_.Start();
  capacity_timer_ = parts_.run_loop->RunAfter(kCapacityInterval,
                                              [this] { PublishCapacity(); });
}

void hosted_node::PublishCapacity() {
  executor_.PublishCapacities();
  const std::vector<fbs::target_entryT> targets = executor_.DescribeTargets();
  bool publish = false;
  for (const fbs::target_entryT& target : targets) {
    publish = capacity_publisher_.ShouldPublish(target.address, target.limit,
                                                target.speed_milli,
                                                parts_.run_loop->Now()) ||
              publish;
  }
  if (publish)
    directory_.SetTargets(targets);
  capacity_timer_ = parts_.run_loop->RunAfter(kCapacityInterval,
                                              [this] { PublishCapacity(); });
}

void hosted_node::OnConfigChange() {
  // When all nodes start while the store is away, the first configuration may
  // arrive before any node has read the departures. The node that has read the
  // configuration in the store reads the departures next and reports them.
  if (!std::exchange(has_config_, true) && !has_departures_ &&
      !has_departure_report_)
    executor_.AwaitDepartures(options_.departure_report_time / 2);
  entry_.SetConfig(config_.view());
  executor_.SetConfig(config_.view());
  tokens_.SetConfig(config_.view());
}

// Only the first read matters: later departures are known from this process and
// from its peers.
void hosted_node::OnRecordsRead(const std::vector<keyed_record>& records) {
  if (std::exchange(has_departures_, true))
    return;
  executor_.SetDepartures(departure_log_.Load(records));
  if (departure_log_.is_behind())
    departure_log_.Store(executor_.Departures());
  PublishDepartures();
  departure_exchange_.OnRecordsRead(records);
}

void hosted_node::PublishDepartures() {
  const std::vector<target_departure> departures = executor_.Departures();
  departure_exchange_.Publish(departures, directory_.ZonePeers());
  departure_exchange_.Publish(departures, directory_.Neighbours());
}

void hosted_node::HandleDepartureReport(const peer_info& from,
                                        const fbs::departure_reportT& report) {
  const auto departures = departure_exchange_.Receive(from, report);
  if (!departures)
    return;
  has_departure_report_ = true;
  if (executor_.AddDepartures(*departures))
    LogStateChange("node", "departures_reported", {{"peer", from.node}});
}

void hosted_node::OnRun(const std::string& route, bool started) {
  if (started) {
    counted_calls_.OnRunStart(route);
    estimated_calls_.OnRunStart(route, parts_.run_loop->Now());
  } else {
    estimated_calls_.OnRunEnd(route, parts_.run_loop->Now());
  }
}

void hosted_node::OnLocalCall(const std::string& route,
                              const std::string& parent_route) {
  if (!parent_route.empty()) {
    counted_calls_.OnCall(parent_route, route);
    return;
  }
  // Where targets name the run of their calls, other calls come from callers.
  if (!counted_calls_.has_calls())
    executor_.OnUnknownChildCall();
  if (entry_.IsServiceFull(route))
    estimated_calls_.SkipInterval();
  estimated_calls_.OnCall(route, parts_.run_loop->Now());
}

// Sends extra heartbeats, because the transport sends none on idle links and
// others only at its interval.
void hosted_node::BroadcastOffset() {
  for (const auto& peers : {directory_.ZonePeers(), directory_.Neighbours()}) {
    for (const std::string& peer : peers)
      transport_.Send(peer, MakeEnvelope(MakeHeartbeat()));
  }
}

// Nodes without a target count too, since that may only be down.
std::vector<std::string> hosted_node::PeersServing(
    const std::string& service) const {
  std::vector<std::string> peers;
  for (const node_view& node : directory_.LiveViews()) {
    const bool serves = node.targets.empty() ||
                        std::any_of(node.targets.begin(), node.targets.end(),
                                    [&](const target_view& target) {
                                      return target.service == service;
                                    });
    if (serves && node.address != options_.peer_address)
      peers.push_back(node.address);
  }
  return peers;
}

// All readers of the fleet read in turn: first those of the first zone, by
// their rank in it.
void hosted_node::UpdateReader() {
  const std::vector<std::string> readers = directory_.Roles().readers;
  const auto own =
      std::find(readers.begin(), readers.end(), options_.peer_address);
  if (own == readers.end()) {
    config_.SetReader(std::nullopt);
    return;
  }
  const std::vector<std::string> zones = directory_.Zones();
  const auto zone = std::find(zones.begin(), zones.end(), options_.zone);
  const size_t per_zone = ReadersPerZone(zones.size());
  const size_t rank = static_cast<size_t>(own - readers.begin()) % per_zone;
  reader_turn turn;
  turn.position = static_cast<size_t>(zone - zones.begin()) * per_zone + rank;
  turn.count = zones.size() * per_zone;
  config_.SetReader(turn);
}

void hosted_node::OnMembersChanged() {
  UpdateReader();
  token_members members;
  members.has_majority = directory_.HasMajority();
  members.out_of_reach = directory_.OutOfReach();
  for (const node_view& node : directory_.LiveViews()) {
    members.names.emplace(node.address, node.name);
    members.all_limit_owners =
        members.all_limit_owners && node.protocol >= kZoneViewProtocol;
  }
  rollouts_.SetMembers({members.names, members.has_majority});
  tokens_.SetMembers(members);
}

void hosted_node::OnOwnedPeerMessage(const peer_info& from,
                                     fbs::envelopeT&& message) {
  if (fbs::call_requestT* call = message.body.Ascall_request())
    executor_.HandleCall(from, std::move(*call));
  else
    OnPeerMessage(from, message);
}

void hosted_node::OnPeerMessage(const peer_info& from,
                                const fbs::envelopeT& message) {
  if (DispatchCallMessage(from, message, &entry_, &executor_))
    return;
  const fbs::payloadUnion& body = message.body;
  if (const auto* gossip = body.Asgossip())
    directory_.HandleGossip(from, *gossip);
  else if (const auto* config_request = body.Asconfig_request())
    config_.HandleRequest(from.address, *config_request);
  else if (const auto* config_state = body.Asconfig_state())
    config_.HandleState(from, *config_state);
  else if (const auto* token_request = body.Astoken_request())
    tokens_.HandleRequest(from, *token_request);
  else if (const auto* token_grant = body.Astoken_grant())
    tokens_.HandleGrant(from, *token_grant);
  else if (const auto* view_request = body.Aszone_view_request())
    directory_.HandleViewRequest(from, *view_request);
  else if (const auto* view = body.Aszone_view())
    directory_.HandleView(from, *view);
  else if (const auto* suspect = body.Assuspect())
    executor_.HandleSuspect(*suspect);
  else if (const auto* crash = body.Astarget_crash())
    executor_.HandleTargetCrash(*crash);
  else if (const auto* addresses = body.Asnode_addresses())
    directory_.HandleAddresses(*addresses);
  else if (const auto* report = body.Asrollout_report())
    rollouts_.HandleReport(from, *report);
  else if (const auto* grant = body.Asrollout_grant())
    rollouts_.HandleGrant(*grant);
  else if (const auto* departed = body.Asdeparture_report())
    HandleDepartureReport(from, *departed);
  else if (const auto* heartbeat = body.Asheartbeat())
    HandleHeartbeat(from, *heartbeat);
}

void hosted_node::HandleHeartbeat(const peer_info& from,
                                  const fbs::heartbeatT& heartbeat) {
  directory_.SetStoreLost(from.address, heartbeat.store_lost);
  const uint64_t previous_era = store_.current();
  const bool same_era =
      store_.ObservePeer(heartbeat.store_era, heartbeat.applied_offset);
  if (store_.current() > previous_era && from.zone != options_.zone)
    BroadcastOffset();
  if (same_era)
    config_.OnPeerOffset(from, heartbeat.applied_offset);
}

void hosted_node::OnEraChange() {
  config_.OnEraChange();
  directory_.OnEraChange();
  departure_log_.OnEraChange();
  rollouts_.RestoreStatuses();
}

void hosted_node::OnLinkUp(const peer_info& peer) {
  directory_.OnLinkUp(peer);
  entry_.OnLinkUp(peer);
  // A node that has restarted does not know the requests that crash targets.
  if (peer.address != options_.peer_address) {
    departure_exchange_.OnLinkUp(peer, executor_.Departures());
    for (fbs::suspectT& suspect : executor_.QuarantinedRequests())
      transport_.Send(peer.address, MakeEnvelope(std::move(suspect)));
    config_.SendUnconfirmedRecords(peer.address);
  }
}

void hosted_node::OnLinkDown(const peer_info& peer, link_down_cause cause) {
  directory_.OnLinkDown(peer, cause);
  departure_exchange_.OnLinkDown(peer);
  entry_.OnLinkDown(peer, cause);
}

fbs::heartbeatT hosted_node::MakeHeartbeat() {
  fbs::heartbeatT heartbeat;
  heartbeat.counter = ++heartbeat_counter_;
  heartbeat.applied_offset = config_.applied_offset();
  heartbeat.store_era = store_.current();
  heartbeat.store_lost = config_.store_lost();
  return heartbeat;
}

void hosted_node::Drain(std::function<void()> drained, duration stop_time) {
  if (draining_)
    return;
  draining_ = true;
  drained_ = std::move(drained);
  stop_at_ = parts_.run_loop->Now() + stop_time;
  LogStateChange("node", "draining",
                 {{"node", options_.name},
                  {"open_requests", std::to_string(entry_.open_calls())}});
  const duration target_delay =
      std::min(options_.target_grace, options_.drain_grace);
  drain_timer_ = parts_.run_loop->RunAfter(target_delay, [this] {
    drain_timer_ = 0;
    DrainTarget();
  });
}

// Stops sending new calls to the local target; targets of other nodes run them
// instead. Requests are accepted for the rest of `drain_grace`, until callers
// have noticed that this node is not ready. Calls that the local target makes
// are served until the end of the drain.
void hosted_node::DrainTarget() {
  directory_.SetDraining();
  executor_.StopAccepting();
  const duration elapsed =
      std::min(options_.target_grace, options_.drain_grace);
  const time_point deadline =
      parts_.run_loop->Now() + (options_.drain_timeout - elapsed);
  drain_timer_ = parts_.run_loop->RunAfter(options_.drain_grace - elapsed,
                                           [this, deadline] {
                                             drain_timer_ = 0;
                                             entry_.RefuseLongerThan(stop_at_);
                                             WaitUntilIdle(deadline);
                                           });
}

// Refuses new requests once no call is open or at `deadline`, because the
// process could end before it answers them.
void hosted_node::WaitUntilIdle(time_point deadline) {
  const bool idle = entry_.open_calls() == 0 && executor_.open_calls() == 0;
  if (!idle && parts_.run_loop->Now() < deadline) {
    drain_timer_ =
        parts_.run_loop->RunAfter(kIdleCheckInterval, [this, deadline] {
          drain_timer_ = 0;
          WaitUntilIdle(deadline);
        });
    return;
  }
  entry_.StopAccepting();
  executor_.Drain([this] { entry_.Drain([this] { FinishDrain(); }); });
}

void hosted_node::FinishDrain() {
  directory_.Leave([] {});
  // Leaves time to send the last messages.
  drain_timer_ =
      parts_.run_loop->RunAfter(std::chrono::milliseconds(100), [this] {
        drain_timer_ = 0;
        LogStateChange("node", "drained", {{"node", options_.name}});
        std::exchange(drained_, nullptr)();
      });
}

json hosted_node::Status() const {
  const time_point now = parts_.run_loop->Now();
  const duration age = config_.StoreAge(now);
  json status;
  status["node"] = options_.name;
  status["zone"] = options_.zone;
  status["ready"] = IsReady();
  status["draining"] = draining_;
  status["config_version"] = config_.version();
  status["config_offset"] = config_.applied_offset();
  status["store_era"] = store_.current();
  status["store_age_ms"] =
      age == duration::max() ? json(nullptr) : json(ToMilliseconds(age));
  status["has_majority"] = directory_.HasMajority();
  status["open_requests"] = entry_.open_calls();
  status["open_executions"] = executor_.open_calls();
  json members = json::array();
  for (const node_view& node : directory_.LiveViews()) {
    json targets = json::array();
    for (const target_view& target : node.targets) {
      targets.push_back({{"service", target.service},
                         {"address", target.address},
                         {"version", target.version},
                         {"state", target.serving ? "serving" : "draining"},
                         {"limit", target.limit},
                         {"calls_per_second", target.speed_milli / 1000.0}});
    }
    members.push_back({{"node", node.name},
                       {"zone", node.zone},
                       {"peer_address", node.address},
                       {"targets", targets}});
  }
  status["members"] = members;
  status["rollouts"] = rollouts_.Status();
  status["calls"] = counted_calls_.ToJson();
  return status;
}

}  // namespace skylarkhoist
