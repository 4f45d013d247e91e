#include "testing/config_fleet.h"

#include <algorithm>
#include <utility>

namespace skylarkhoist {
namespace {

constexpr auto kGossipInterval = std::chrono::milliseconds(500);
constexpr size_t kGossipFanout = 3;
constexpr size_t kZoneCount = 3;

std::string ZoneOf(size_t index) {
  return "z" + std::to_string(index % kZoneCount);
}

}  // namespace

struct config_fleet::fleet_node : public peer_observer {
  fleet_node(config_fleet* owning_fleet, size_t index, uint64_t incarnation)
      : fleet(owning_fleet),
        self{AddressOf(index), "n" + std::to_string(index), ZoneOf(index),
             incarnation},
        timers(owning_fleet->loop_),
        log(owning_fleet->log_.Connect([owning_fleet, index] {
          return owning_fleet->log_reachable_[index];
        })),
        transport(owning_fleet->network_.AddNode(self)) {
    config_follower_options options = owning_fleet->options_;
    options.peer_address = self.address;
    options.zone = self.zone;
    options.author = self.node;
    options.seed_peers = {AddressOf(0), AddressOf(1)};
    options.wall_clock_ms = [owning_fleet] {
      return ToMilliseconds(owning_fleet->loop_->Now().time_since_epoch());
    };
    follower = std::make_unique<config_follower>(
        &timers, log.get(), transport, owning_fleet->random_, options,
        [owning_fleet, index] { return owning_fleet->LivePeers(index); },
        &counters);
  }

  void OnPeerMessage(const peer_info& from,
                     const fbs::envelopeT& message) override {
    if (const auto* update = message.body.Asconfig_news())
      follower->HandleUpdate(from.address, *update);
    else if (const auto* request = message.body.Asconfig_request())
      follower->HandleRequest(from.address, *request);
    else if (const auto* state = message.body.Asconfig_state())
      follower->HandleState(from.address, *state);
    else if (const auto* heartbeat = message.body.Asheartbeat())
      follower->OnPeerOffset(from.address, heartbeat->applied_offset);
    else if (const auto* gossip = message.body.Asgossip())
      follower->OnPeerOffset(from.address,
                             gossip->entries.front()->applied_offset);
  }
  void OnLinkUp(const peer_info& /*peer*/) override {}
  void OnLinkDown(const peer_info& /*peer*/,
                  link_down_cause /*cause*/) override {}
  fbs::heartbeatT MakeHeartbeat() override {
    fbs::heartbeatT heartbeat;
    heartbeat.applied_offset = follower->applied_offset();
    return heartbeat;
  }

  config_fleet* fleet;
  peer_info self;
  node_loop timers;
  metrics counters;
  std::unique_ptr<log_client> log;
  peer_transport* transport;
  std::unique_ptr<config_follower> follower;
  // Path versions and offset after the last change, to detect one that falls.
  std::map<std::string, uint64_t> last_versions;
  uint64_t last_offset = 0;
};

config_fleet::config_fleet(manual_loop* loop,
                           random_source* random,
                           size_t size,
                           config_follower_options options)
    : loop_(loop),
      random_(random),
      options_(std::move(options)),
      log_(loop, random),
      network_(loop, random),
      log_reachable_(size, true),
      nodes_(size) {}

config_fleet::~config_fleet() {
  for (size_t i = 0; i < nodes_.size(); ++i)
    Stop(i);
}

void config_fleet::StartAll() {
  for (size_t i = 0; i < nodes_.size(); ++i)
    Start(i);
}

void config_fleet::Start(size_t index) {
  Stop(index);
  nodes_[index] =
      std::make_unique<fleet_node>(this, index, next_incarnation_++);
  fleet_node& node = *nodes_[index];
  node.transport->Start(&node);
  node.follower->OnChange([this, index] { CountReverts(index); });
  node.follower->Start();
  GossipFrom(index);
}

void config_fleet::Stop(size_t index) {
  if (nodes_[index] == nullptr)
    return;
  network_.StopNode(AddressOf(index));
  nodes_[index].reset();
}

void config_fleet::Join(size_t index) {
  const peer_info& self = nodes_[index]->self;
  nodes_[index]->follower->AppendJoin(
      {self.node, self.zone, self.address, self.incarnation}, nullptr);
}

void config_fleet::JoinAll() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (IsRunning(i))
      Join(i);
  }
  for (int i = 0; i < 100 && !AllAgree(); ++i)
    loop_->Advance(std::chrono::milliseconds(200));
}

config_follower& config_fleet::follower(size_t index) const {
  return *nodes_[index]->follower;
}

std::string config_fleet::AddressOf(size_t index) {
  return "10.0.0." + std::to_string(index + 1) + ":9";
}

uint64_t config_fleet::MinOffset() const {
  uint64_t lowest = UINT64_MAX;
  for (const auto& node : nodes_) {
    if (node != nullptr)
      lowest = std::min(lowest, node->follower->applied_offset());
  }
  return lowest;
}

bool config_fleet::AllAgree() const {
  const json* first_state = nullptr;
  json state;
  for (const auto& node : nodes_) {
    if (node == nullptr)
      continue;
    if (node->follower->applied_offset() + 1 != log_.end_offset())
      return false;
    if (first_state == nullptr) {
      state = node->follower->state().ToJson();
      first_state = &state;
    } else if (node->follower->state().ToJson() != *first_state) {
      return false;
    }
  }
  return true;
}

std::vector<std::string> config_fleet::LivePeers(size_t index) const {
  std::vector<std::string> live_peers;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (i != index && nodes_[i] != nullptr)
      live_peers.push_back(AddressOf(i));
  }
  return live_peers;
}

void config_fleet::GossipFrom(size_t index) {
  fleet_node& node = *nodes_[index];
  const std::vector<std::string> live_peers = LivePeers(index);
  for (size_t i = 0; i < kGossipFanout && !live_peers.empty(); ++i) {
    fbs::gossipT gossip;
    auto entry = std::make_unique<fbs::member_entryT>();
    entry->applied_offset = node.follower->applied_offset();
    gossip.entries.push_back(std::move(entry));
    node.transport->Send(live_peers[random_->Below(live_peers.size())],
                         MakeEnvelope(std::move(gossip)));
  }
  node.timers.RunAfter(kGossipInterval, [this, index] { GossipFrom(index); });
}

void config_fleet::CountReverts(size_t index) {
  fleet_node& node = *nodes_[index];
  const config_state& fold = node.follower->state();
  if (fold.offset() < node.last_offset)
    ++reverts_;
  node.last_offset = fold.offset();
  for (const auto& [path, entry] : fold.entries()) {
    uint64_t& version = node.last_versions[path];
    if (entry.version < version)
      ++reverts_;
    version = entry.version;
  }
}

}  // namespace skylarkhoist
