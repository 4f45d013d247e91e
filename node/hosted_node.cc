#include "node/hosted_node.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "kernel/log.h"
#include "node/call_dispatch.h"

namespace skylarkhoist {
namespace {

// Answers are kept for a node that lost its link and asks; a request that is
// older than its caller's patience is not asked for.
constexpr duration kKeepAnswers = std::chrono::seconds(6);
constexpr size_t kKeepAnswerBytes = size_t{2} << 20;

// Retries of a run repeat the calls that it made, so the share multiplies over
// the depth of a chain: four levels stay below the fifth that all together may
// reach.
constexpr double kRetryShare = 0.04;

// Under overload each kind of request keeps this share of its demand; the rules
// of our users ask for a quarter of what all kinds get.
constexpr double kFloorShare = 0.12;

// Share of hand-overs that requests of callers get at a target while calls of
// other targets wait there.
constexpr double kNewShare = 0.15;

// The deepest service may lose most of its targets at once, and what was let in
// at the door goes on to call it for a while.
constexpr double kLargestCut = 0.5;

// Just above full: a request makes up to ten calls one after the other, and
// waits each time.
constexpr uint32_t kChainTargetLoad = 1150;

// Nodes that read again soon after each change. All of them must miss a change
// before the others learn of it late.
constexpr size_t kScouts = 6;

uint64_t ScoutRank(const std::string& name) {
  return XXH64(name.data(), name.size(), 0);
}

constexpr duration kIdleCheck = std::chrono::milliseconds(20);

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
  // Targets tell their slots, and a run's time says little about its target,
  // since it holds the time of the calls that the target makes.
  result.plugins.limit = "static";
  result.plugins.admitted_wait = true;
  result.plugins.new_share = kNewShare;
  result.announcement_limit = options.announcement_limit;
  result.dialect = options.dialect;
  result.track_suspects = false;
  result.answers.keep = kKeepAnswers;
  result.answers.max_bytes = kKeepAnswerBytes;
  return result;
}

entry_options EntryOptions(const hosted_node_options& options) {
  entry_options result;
  result.incarnation = options.incarnation;
  result.zone = options.zone;
  result.regions = options.regions;
  result.dialect = options.dialect;
  result.local_service = options.local_service;
  result.open_requests_are_calls = true;
  result.retry_lost_runs = true;
  result.retry_share = kRetryShare;
  result.admission.floor_share = kFloorShare;
  result.admission.check_admitted = false;
  result.admission.largest_cut = kLargestCut;
  result.admission.chain_target_load = kChainTargetLoad;
  result.deadline_grace = std::chrono::milliseconds(20);
  return result;
}

}  // namespace

hosted_node::hosted_node(hosted_node_options options,
                         const hosted_node_parts& parts)
    : options_(std::move(options)),
      parts_(parts),
      transport_(parts.run_loop, parts.transport, SelfInfo(options_)),
      directory_(parts.run_loop,
                 parts.store,
                 &transport_,
                 DirectoryOptions(options_)),
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
      state_(parts.run_loop,
             parts.store,
             &transport_,
             parts.operators,
             parts.counters),
      tokens_(parts.run_loop,
              &transport_,
              options_.peer_address,
              options_.name,
              parts.counters) {
  entry_.SetRateAcquire([this](const std::string& customer,
                               time_point /*deadline*/,
                               std::function<void(reason)> done) {
    tokens_.Acquire(customer, std::move(done));
  });
  entry_.SetRateReturn(
      [this](const std::string& customer) { tokens_.Return(customer); });
  state_.OnChange([this] {
    entry_.SetConfig(state_.view());
    executor_.SetConfig(state_.view());
    tokens_.SetConfig(state_.view());
  });
  state_.OnNews([this] { TellOffset(); });
  directory_.OnMembersChanged([this] { OnMembersChanged(); });
  executor_.OnTargetsChanged(
      [this] { directory_.SetTargets(executor_.DescribeTargets()); });
  executor_.OnRun(
      [this](const std::string& route, bool starts) { OnRun(route, starts); });
  entry_.OnLocalCall(
      [this](const std::string& route, const std::string& parent_route) {
        OnLocalCall(route, parent_route);
      });
  entry_.SetRuns([this](const std::string& caller_id) {
    return executor_.FindRun(caller_id);
  });
  executor_.SetDownstreamLoads([this](const fbs::call_requestT& call) {
    return entry_.LoadsOfCalls(counted_calls_.has_calls()
                                   ? counted_calls_.CallsOf(call.route)
                                   : estimated_calls_.CallsOf(call.route));
  });
}

hosted_node::~hosted_node() {
  parts_.run_loop->Cancel(drain_timer_);
}

void hosted_node::Start() {
  transport_.Start(this);
  directory_.Start();
  state_.Start();
}

void hosted_node::OnRun(const std::string& route, bool starts) {
  if (starts) {
    counted_calls_.OnRun(route);
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
  if (entry_.IsServiceFull(route))
    estimated_calls_.SkipInterval();
  estimated_calls_.OnCall(route, parts_.run_loop->Now());
}

// Links without other messages have no heartbeats, so this goes to all.
void hosted_node::TellOffset() {
  for (const std::string& peer : directory_.LivePeers())
    transport_.Send(peer, Envelope(MakeHeartbeat()));
}

// All nodes rank each other by name, so those that see each other agree on the
// scouts; each side of a cut has its own.
bool hosted_node::IsScout() const {
  size_t before = 0;
  for (const auto& [address, name] : directory_.LiveNodes())
    before += ScoutRank(name) < ScoutRank(options_.name) ? 1 : 0;
  return before < kScouts;
}

void hosted_node::OnMembersChanged() {
  state_.SetScout(IsScout());
  tokens_.SetMembers(directory_.LiveNodes(), directory_.HasMajority());
}

void hosted_node::OnPeerMessage(const peer_info& from,
                                const fbs::envelopeT& message) {
  if (DispatchCallMessage(from, message, &entry_, &executor_))
    return;
  const fbs::payloadUnion& body = message.body;
  if (const auto* gossip = body.Asgossip())
    directory_.HandleGossip(from, *gossip);
  else if (const auto* request = body.Asconfig_request())
    state_.HandleRequest(from.address, *request);
  else if (const auto* whole = body.Asconfig_state())
    state_.HandleState(from.address, *whole);
  else if (const auto* ask = body.Astoken_request())
    tokens_.HandleRequest(from, *ask);
  else if (const auto* grant = body.Astoken_grant())
    tokens_.HandleGrant(from, *grant);
  else if (const auto* beat = body.Asheartbeat())
    state_.NotePeerOffset(from.address, beat->applied_offset);
}

void hosted_node::OnLinkUp(const peer_info& peer) {
  directory_.OnLinkUp(peer);
  entry_.OnLinkUp(peer);
}

void hosted_node::OnLinkDown(const peer_info& peer, link_down_cause cause) {
  directory_.OnLinkDown(peer, cause);
  entry_.OnLinkDown(peer, cause);
}

fbs::heartbeatT hosted_node::MakeHeartbeat() {
  fbs::heartbeatT beat;
  beat.counter = ++heartbeat_counter_;
  beat.applied_offset = state_.applied_offset();
  return beat;
}

void hosted_node::Drain(std::function<void()> drained) {
  if (draining_)
    return;
  draining_ = true;
  drained_ = std::move(drained);
  LogStateChange("node", "draining",
                 {{"node", options_.name},
                  {"open_requests", std::to_string(entry_.open_calls())}});
  const duration first = std::min(options_.target_grace, options_.drain_grace);
  drain_timer_ = parts_.run_loop->RunAfter(first, [this] {
    drain_timer_ = 0;
    ReleaseTarget();
  });
}

// From now on other targets serve. Callers come until they have noticed that
// this node is not ready; the local target's calls are served to the end.
void hosted_node::ReleaseTarget() {
  directory_.SetDraining();
  executor_.StopAccepting();
  const duration taken = std::min(options_.target_grace, options_.drain_grace);
  const time_point limit =
      parts_.run_loop->Now() + (options_.drain_limit - taken);
  drain_timer_ =
      parts_.run_loop->RunAfter(options_.drain_grace - taken, [this, limit] {
        drain_timer_ = 0;
        WaitUntilIdle(limit);
      });
}

// From the moment at which nothing is open, new requests are refused: the
// process ends before it could answer them.
void hosted_node::WaitUntilIdle(time_point limit) {
  const bool idle = entry_.open_calls() == 0 && executor_.open_calls() == 0;
  if (!idle && parts_.run_loop->Now() < limit) {
    drain_timer_ = parts_.run_loop->RunAfter(kIdleCheck, [this, limit] {
      drain_timer_ = 0;
      WaitUntilIdle(limit);
    });
    return;
  }
  entry_.StopAccepting();
  executor_.Drain([this] { entry_.Drain([this] { FinishDrain(); }); });
}

void hosted_node::FinishDrain() {
  directory_.Leave([] {});
  // Gives the last messages time to leave.
  drain_timer_ =
      parts_.run_loop->RunAfter(std::chrono::milliseconds(100), [this] {
        drain_timer_ = 0;
        LogStateChange("node", "drained", {{"node", options_.name}});
        std::exchange(drained_, nullptr)();
      });
}

json hosted_node::Status() const {
  const time_point now = parts_.run_loop->Now();
  const duration age = state_.StoreAge(now);
  json status;
  status["node"] = options_.name;
  status["zone"] = options_.zone;
  status["ready"] = IsReady();
  status["draining"] = draining_;
  status["config_version"] = state_.version();
  status["config_offset"] = state_.applied_offset();
  status["store_age_ms"] =
      age == duration::max() ? json(nullptr) : json(ToMilliseconds(age));
  status["has_majority"] = directory_.HasMajority();
  status["open_requests"] = entry_.open_calls();
  status["open_executions"] = executor_.open_calls();
  json members = json::array();
  for (const fbs::member_entryT& entry : directory_.Entries()) {
    json targets = json::array();
    for (const auto& target : entry.targets) {
      targets.push_back({{"service", target->service},
                         {"address", target->address},
                         {"state", ToText(target->state)},
                         {"limit", target->limit}});
    }
    members.push_back({{"node", entry.node},
                       {"zone", entry.zone},
                       {"peer_address", entry.peer_address},
                       {"targets", targets}});
  }
  status["members"] = members;
  status["calls"] = counted_calls_.ToJson();
  return status;
}

}  // namespace skylarkhoist
