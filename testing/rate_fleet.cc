#include "testing/rate_fleet.h"

namespace skylarkhoist {

// Passes messages and link events of a node to its rate service.
class rate_fleet::observer : public peer_observer {
 public:
  void OnPeerMessage(const peer_info& from,
                     const fbs::envelopeT& message) override {
    if (const auto* lease_request = message.body.Aslease_request())
      service->HandleLeaseRequest(from, *lease_request);
    else if (const auto* lease_grant = message.body.Aslease_grant())
      service->HandleLeaseGrant(from, *lease_grant);
    else if (const auto* rate_request = message.body.Asrate_request())
      service->HandleRateRequest(from, *rate_request);
    else if (const auto* rate_grant = message.body.Asrate_grant())
      service->HandleRateGrant(from, *rate_grant);
    else if (const auto* heartbeat = message.body.Asheartbeat())
      service->OnPeerRosterVersion(from.incarnation, heartbeat->roster_version);
  }
  void OnLinkUp(const peer_info& /*peer*/) override {}
  void OnLinkDown(const peer_info& peer, link_down_cause cause) override {
    if (cause == link_down_cause::kRefused)
      service->OnPeerGone(peer.address, 0);
    else if (cause == link_down_cause::kReplaced)
      service->OnPeerGone(peer.address, peer.incarnation);
    else
      service->OnLinkLost(peer.address);
  }
  fbs::heartbeatT MakeHeartbeat() override {
    fbs::heartbeatT heartbeat;
    heartbeat.roster_version = roster_version;
    return heartbeat;
  }

  rate_service* service = nullptr;
  uint64_t roster_version = 0;
};

rate_fleet::rate_fleet(loop* run_loop,
                       random_source* random,
                       memory_network* network)
    : loop_(run_loop), random_(random), network_(network) {
  roster_.version = 1;
}

rate_fleet::~rate_fleet() {
  *alive_ = false;
  for (size_t i = 0; i < nodes_.size(); ++i)
    Crash(i);
}

void rate_fleet::AddNode(const std::string& name, const std::string& zone) {
  fleet_node& node = nodes_.emplace_back();
  node.name = name;
  node.zone = zone;
  node.address = name + ":9";
  StartProcess(node);
}

void rate_fleet::StartProcess(fleet_node& node) {
  node.incarnation = next_incarnation_++;
  node.paused = false;
  node.timers = std::make_unique<node_loop>(loop_);
  node.link_observer = std::make_unique<observer>();
  peer_transport* transport =
      network_->AddNode({node.address, node.name, node.zone, node.incarnation});
  rate_service_options options = default_options_;
  options.incarnation = node.incarnation;
  options.address = node.address;
  node.service = std::make_unique<rate_service>(node.timers.get(), transport,
                                                options, &metrics_);
  node.link_observer->service = node.service.get();
  node.service->SetConfig(config_);
  // A new process has read the log up to its own join record.
  node.service->SetRoster(roster_);
  node.link_observer->roster_version = roster_.version;
  transport->Start(node.link_observer.get());
}

void rate_fleet::Crash(size_t node) {
  fleet_node& crashed = nodes_[node];
  if (crashed.service == nullptr)
    return;
  network_->StopNode(crashed.address);
  crashed.service.reset();
  crashed.link_observer.reset();
  crashed.timers.reset();
}

void rate_fleet::Restart(size_t node, bool evict_old) {
  Crash(node);
  if (!evict_old)
    nodes_[node].unevicted_incarnations.push_back(nodes_[node].incarnation);
  else
    nodes_[node].unevicted_incarnations.clear();
  StartProcess(nodes_[node]);
}

void rate_fleet::Pause(size_t node) {
  if (!IsRunning(node))
    return;
  nodes_[node].paused = true;
  nodes_[node].timers->Pause();
  network_->PauseNode(nodes_[node].address);
}

void rate_fleet::Resume(size_t node) {
  if (!IsRunning(node) || !nodes_[node].paused)
    return;
  nodes_[node].paused = false;
  // Delivers messages before timers run: in this order, a decision that is
  // based on outdated state does the most harm.
  network_->ResumeNode(nodes_[node].address);
  nodes_[node].timers->Resume();
}

void rate_fleet::Publish(duration max_delay) {
  ++roster_.version;
  roster_.members.clear();
  for (const fleet_node& node : nodes_) {
    for (const uint64_t old : node.unevicted_incarnations)
      roster_.members.push_back({node.name, node.zone, node.address, old});
    if (node.in_roster)
      roster_.members.push_back(
          {node.name, node.zone, node.address, node.incarnation});
  }
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (!IsRunning(i))
      continue;
    const duration delay(static_cast<duration::rep>(
        random_->Fraction() * static_cast<double>(max_delay.count())));
    nodes_[i].timers->RunAfter(
        delay, [this, i, incarnation = nodes_[i].incarnation,
                roster = roster_] { ApplyRoster(i, incarnation, roster); });
  }
}

void rate_fleet::ApplyRoster(size_t node,
                             uint64_t incarnation,
                             const roster_view& roster) {
  fleet_node& updated = nodes_[node];
  if (updated.incarnation != incarnation)
    return;
  if (!updated.log_reachable) {
    updated.timers->RunAfter(std::chrono::milliseconds(100),
                             [this, node, incarnation, roster] {
                               ApplyRoster(node, incarnation, roster);
                             });
    return;
  }
  updated.service->SetRoster(roster);
  updated.link_observer->roster_version =
      std::max(updated.link_observer->roster_version, roster.version);
}

void rate_fleet::SetRate(const std::string& customer,
                         double per_second,
                         double burst) {
  config_ = std::make_shared<config_view>(*config_);
  config_->rates[customer] = {per_second, burst};
  for (fleet_node& node : nodes_) {
    if (node.service != nullptr)
      node.service->SetConfig(config_);
  }
}

int rate_fleet::OwnerOf(const std::string& customer) const {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (IsAvailable(i) && nodes_[i].service->Owns(customer))
      return static_cast<int>(i);
  }
  return -1;
}

int rate_fleet::OwnerCount(const std::string& customer) const {
  int owner_count = 0;
  for (const fleet_node& node : nodes_)
    owner_count +=
        node.service != nullptr && node.service->Owns(customer) ? 1 : 0;
  return owner_count;
}

double rate_fleet::CounterSum(const std::string& name,
                              const metric_labels& labels) {
  return metrics_.Counter(name, "", labels).Value();
}

}  // namespace skylarkhoist
