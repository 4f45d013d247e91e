#include "node/node.h"

#include <algorithm>
#include <utility>

#include "kernel/log.h"
#include "node/call_dispatch.h"

namespace skylarkhoist {
namespace {

constexpr duration kTargetRefreshInterval = std::chrono::seconds(1);

membership_options MembershipOptions(const node_options& options) {
  membership_options result;
  result.node = options.name;
  result.zone = options.zone;
  result.peer_address = options.peer_address;
  result.public_address = options.public_address;
  result.incarnation = options.incarnation;
  result.seed_peers = options.seed_peers;
  result.gossip_interval = options.gossip_interval;
  return result;
}

executor_options ExecutorOptions(const node_options& options) {
  executor_options result;
  result.zone = options.zone;
  result.plugins = options.plugins;
  result.faults = options.executor_faults;
  return result;
}

entry_options EntryOptions(const node_options& options) {
  entry_options result;
  result.incarnation = options.incarnation;
  result.zone = options.zone;
  result.routing = options.routing;
  result.retry_credit = options.retry_credit;
  result.default_deadline = options.default_deadline;
  result.max_open_calls = options.max_open_calls;
  result.on_rate_admitted = options.on_rate_admitted;
  result.faults = options.entry_faults;
  return result;
}

config_follower_options ConfigFollowerOptions(const node_options& options) {
  config_follower_options result;
  result.peer_address = options.peer_address;
  result.zone = options.zone;
  result.author = options.name;
  result.seed_peers = options.seed_peers;
  result.bootstrap = options.bootstrap;
  return result;
}

dedup_options DedupOptions(const node_options& options) {
  dedup_options result;
  result.incarnation = options.incarnation;
  result.address = options.peer_address;
  result.replica.new_fleet = options.new_fleet;
  return result;
}

roster_keeper_options RosterKeeperOptions(const node_options& options) {
  roster_keeper_options result;
  result.self = {options.name, options.zone, options.peer_address,
                 options.incarnation};
  return result;
}

rate_service_options RateServiceOptions(const node_options& options) {
  rate_service_options result;
  result.incarnation = options.incarnation;
  result.address = options.peer_address;
  return result;
}

peer_info SelfInfo(const node_options& options) {
  return {options.peer_address, options.name, options.zone,
          options.incarnation};
}

http_response JsonResponse(int status, const json& body) {
  http_response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = JsonText(body) + "\n";
  return response;
}

http_response FindingsResponse(const findings& problems) {
  json items = json::array();
  for (const finding& item : problems.items())
    items.push_back({{"place", item.place}, {"message", item.message}});
  return JsonResponse(400, {{"findings", items}});
}

std::string RequiredString(const json& object,
                           const char* name,
                           findings* problems) {
  const auto found = object.find(name);
  if (found != object.end() && found->is_string() &&
      !found->get_ref<const std::string&>().empty())
    return found->get<std::string>();
  problems->Add(std::string("/") + name, "must be a non-empty string");
  return {};
}

}  // namespace

node::node(node_options options, const node_dependencies& dependencies)
    : options_(std::move(options)),
      dependencies_(dependencies),
      transport_(dependencies.run_loop,
                 dependencies.transport,
                 SelfInfo(options_)),
      members_(dependencies.run_loop,
               &transport_,
               dependencies.random,
               MembershipOptions(options_)),
      executor_(dependencies.run_loop,
                &transport_,
                dependencies.targets,
                dependencies.random,
                ExecutorOptions(options_),
                dependencies.counters),
      entry_(dependencies.run_loop,
             &transport_,
             &members_,
             &executor_.contexts(),
             dependencies.random,
             EntryOptions(options_),
             dependencies.counters),
      config_(
          dependencies.run_loop,
          dependencies.log,
          &transport_,
          dependencies.random,
          ConfigFollowerOptions(options_),
          [this] { return members_.LivePeers(); },
          dependencies.counters),
      roster_(dependencies.run_loop,
              &config_,
              &members_,
              RosterKeeperOptions(options_),
              dependencies.counters),
      rates_(dependencies.run_loop,
             &transport_,
             RateServiceOptions(options_),
             dependencies.counters),
      dedup_(dependencies.run_loop,
             &transport_,
             DedupOptions(options_),
             dependencies.wall,
             dependencies.counters) {
  entry_.SetDedupService(&dedup_);
  entry_.SetRateTokenAcquirer([this](const std::string& customer,
                                     time_point deadline,
                                     std::function<void(reason)> done) {
    rates_.Acquire(customer, deadline, std::move(done));
  });
  config_.OnChange([this] { OnConfigChange(); });
  members_.OnPeerOffset([this](const std::string& address, uint64_t offset) {
    config_.OnPeerOffset(address, offset);
  });
  // A node that restarted, or whose target was away, may have missed suspect
  // messages.
  members_.OnTargetInService(
      [this](const std::string& address, const std::string& service) {
        for (fbs::suspectT& suspect : executor_.SuspectsOf(service))
          transport_.Send(address, MakeEnvelope(std::move(suspect)));
      });
  executor_.OnTargetsChanged(
      [this] { members_.SetTargets(executor_.DescribeTargets()); });
  executor_.OnSuspect(
      [this](const fbs::suspectT& suspect) { SendToServicePeers(suspect); });
  executor_.SetDownstreamLoads([this](const fbs::call_requestT& call) {
    return entry_.DownstreamLoads(call.service);
  });
  entry_.SetConfigFreshnessCheck([this] { return IsConfigFresh(); });
  entry_.SetChildCallObserver(&executor_);
}

node::~node() {
  dependencies_.run_loop->Cancel(target_refresh_timer_);
}

void node::Start() {
  transport_.Start(this);
  members_.Start();
  config_.Start();
  roster_.Start();
  target_refresh_timer_ = dependencies_.run_loop->RunAfter(
      kTargetRefreshInterval, [this] { RefreshTargets(); });
}

void node::OnConfigChange() {
  entry_.SetConfig(config_.view());
  executor_.SetConfig(config_.view());
  members_.SetRoster(config_.roster());
  // Before the first node has joined there are no shard groups.
  if (!config_.roster().members.empty())
    dedup_.SetRoster(config_.roster());
  rates_.SetConfig(config_.view());
  rates_.SetRoster(config_.roster());
  members_.SetAppliedOffset(config_.applied_offset());
}

bool node::IsConfigFresh() const {
  return config_.ready() && (config_.log_age(dependencies_.run_loop->Now()) <=
                                 options_.max_log_age ||
                             members_.HasMajorityContact());
}

// Refreshes the load of the local targets in gossip.
void node::RefreshTargets() {
  members_.SetTargets(executor_.DescribeTargets());
  target_refresh_timer_ = dependencies_.run_loop->RunAfter(
      kTargetRefreshInterval, [this] { RefreshTargets(); });
}

entry_call_id node::HandlePublic(http_request request, reply_callback reply) {
  return entry_.HandlePublic(std::move(request), std::move(reply));
}

entry_call_id node::HandleLocal(http_request request, reply_callback reply) {
  const std::string path = request.path.substr(0, request.path.find('?'));
  if (path == "/v1/targets") {
    reply(HandleAnnouncement(request));
    return 0;
  }
  if (path == "/metrics" && request.method == "GET") {
    http_response response;
    response.status = 200;
    response.headers.Add("Content-Type", "text/plain; version=0.0.4");
    response.body = dependencies_.counters->ToText();
    reply(response);
    return 0;
  }
  if (path == "/v1/status" && request.method == "GET") {
    reply(JsonResponse(200, Status()));
    return 0;
  }
  return entry_.HandleChildCall(std::move(request), std::move(reply));
}

void node::HandleCallerGone(entry_call_id id) {
  entry_.HandleCallerGone(id);
}

// DELETE announces that a target leaves; any other method announces the target.
http_response node::HandleAnnouncement(const http_request& request) {
  const auto body = ParseJson(request.body);
  if (!body)
    return FindingsResponse(body.error());
  findings problems;
  if (!body->is_object()) {
    problems.Add("/", "must be an object");
    return FindingsResponse(problems);
  }
  target_announcement announcement;
  announcement.service = RequiredString(*body, "service", &problems);
  announcement.address = RequiredString(*body, "address", &problems);
  const std::string state = request.method == "DELETE" ? "leaving"
                            : body->value("state", json("serving")).is_string()
                                ? body->value("state", "serving")
                                : "";
  if (state == "leaving")
    announcement.state = fbs::member_state::kDraining;
  else if (state != "serving")
    problems.Add("/state", "must be \"serving\" or \"leaving\"");
  if (!problems.empty())
    return FindingsResponse(problems);
  executor_.HandleAnnouncement(announcement);
  return JsonResponse(200, {{"state", state}});
}

json node::Status() const {
  const time_point now = dependencies_.run_loop->Now();
  const duration age = config_.log_age(now);
  json status;
  status["node"] = options_.name;
  status["zone"] = options_.zone;
  status["peer_address"] = options_.peer_address;
  status["draining"] = draining_;
  status["config_offset"] = config_.applied_offset();
  status["config_fresh"] = IsConfigFresh();
  status["log_age_ms"] =
      age == duration::max() ? json(nullptr) : json(ToMilliseconds(age));
  status["roster_version"] = config_.roster().version;
  status["roster_size"] = config_.roster().members.size();
  status["open_requests"] = entry_.open_calls();
  status["open_executions"] = executor_.open_calls();
  json members = json::array();
  for (const fbs::member_entryT& entry : members_.Entries()) {
    json targets = json::array();
    for (const auto& target : entry.targets) {
      targets.push_back({{"service", target->service},
                         {"address", target->address},
                         {"state", ToText(target->state)},
                         {"limit", target->limit},
                         {"load_permille", target->load_permille}});
    }
    members.push_back({{"node", entry.node},
                       {"zone", entry.zone},
                       {"peer_address", entry.peer_address},
                       {"public_address", entry.public_address},
                       {"state", ToText(entry.state)},
                       {"config_offset", entry.applied_offset},
                       {"targets", targets}});
  }
  status["members"] = members;
  return status;
}

// Passes a message to the role or service that handles it. config_news carries
// new records of the configuration log; rate_request and rate_grant ask for and
// lend rate tokens.
void node::OnPeerMessage(const peer_info& from, const fbs::envelopeT& message) {
  members_.RecordContact(from);
  if (DispatchCallMessage(from, message, &entry_, &executor_))
    return;
  const fbs::payloadUnion& body = message.body;
  if (const auto* gossip = body.Asgossip())
    members_.HandleGossip(from, *gossip);
  else if (const auto* update = body.Asconfig_news())
    config_.HandleUpdate(from.address, *update);
  else if (const auto* request = body.Asconfig_request())
    config_.HandleRequest(from.address, *request);
  else if (const auto* state = body.Asconfig_state())
    config_.HandleState(from.address, *state);
  else if (const auto* suspect = body.Assuspect())
    executor_.HandleSuspect(*suspect);
  else if (const auto* heartbeat = body.Asheartbeat())
    OnHeartbeat(from, *heartbeat);
  else if (const auto* lease_request = body.Aslease_request())
    rates_.HandleLeaseRequest(from, *lease_request);
  else if (const auto* lease_grant = body.Aslease_grant())
    rates_.HandleLeaseGrant(from, *lease_grant);
  else if (const auto* rate_request = body.Asrate_request())
    rates_.HandleRateRequest(from, *rate_request);
  else if (const auto* rate_grant = body.Asrate_grant())
    rates_.HandleRateGrant(from, *rate_grant);
  else
    dedup_.OnPeerMessage(from, message);
}

void node::OnHeartbeat(const peer_info& from,
                       const fbs::heartbeatT& heartbeat) {
  config_.OnPeerOffset(from.address, heartbeat.applied_offset);
  dedup_.OnPeerRosterVersion(from.incarnation, heartbeat.roster_version);
  rates_.OnPeerRosterVersion(from.incarnation, heartbeat.roster_version);
}

void node::OnLinkUp(const peer_info& peer) {
  if (peer.address != options_.peer_address)
    members_.OnLinkUp(peer);
  entry_.OnLinkUp(peer);
}

void node::OnLinkDown(const peer_info& peer, link_down_cause cause) {
  members_.OnLinkDown(peer, cause);
  entry_.OnLinkDown(peer, cause);
  const bool process_ended =
      cause == link_down_cause::kRefused || cause == link_down_cause::kReplaced;
  if (process_ended) {
    dedup_.OnPeerGone(peer.address, peer.incarnation);
    rates_.OnPeerGone(peer.address, peer.incarnation);
  } else {
    rates_.OnLinkLost(peer.address);
  }
}

fbs::heartbeatT node::MakeHeartbeat() {
  fbs::heartbeatT heartbeat;
  heartbeat.counter = ++heartbeat_counter_;
  heartbeat.applied_offset = config_.applied_offset();
  heartbeat.roster_version = config_.roster().version;
  return heartbeat;
}

// Every node with a target of the service must know a suspect before its caller
// can send the request again; so must nodes whose target is down, since that
// can return.
void node::SendToServicePeers(const fbs::suspectT& suspect) {
  for (const std::string& address : members_.PeersWithTargetOf(suspect.service))
    transport_.Send(address, MakeEnvelope(fbs::suspectT(suspect)));
}

void node::Drain(std::function<void()> on_drained) {
  if (draining_)
    return;
  draining_ = true;
  on_drained_ = std::move(on_drained);
  LogStateChange("node", "draining", {{"node", options_.name}});
  members_.SetDraining();
  // Callers learn from refused connections or from other nodes that this node
  // leaves. Until then it serves them through targets of other nodes.
  dependencies_.run_loop->RunAfter(options_.drain_grace, [this] {
    entry_.StopAccepting();
    executor_.Drain([this] {
      entry_.Drain([this] {
        rates_.Drain([this] { dedup_.Drain([this] { FinishDrain(); }); });
      });
    });
  });
  executor_.StopAccepting();
}

void node::FinishDrain() {
  members_.AnnounceShutdown();
  roster_.Leave();
  // Gives the last messages time to be sent.
  dependencies_.run_loop->RunAfter(std::chrono::milliseconds(200), [this] {
    LogStateChange("node", "drained", {{"node", options_.name}});
    std::exchange(on_drained_, nullptr)();
  });
}

}  // namespace skylarkhoist
