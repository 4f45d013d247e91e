#include "testing/memory_network.h"

#include <algorithm>
#include <deque>
#include <functional>

#include "wire/address.h"

namespace skylarkhoist {
namespace detail {

// One process from start to stop; also its transport.
struct memory_node : public peer_transport,
                     public std::enable_shared_from_this<memory_node> {
  memory_network* network = nullptr;
  peer_info info;
  peer_observer* observer = nullptr;
  bool running = true;
  bool paused = false;
  std::deque<std::function<void()>> held_actions;
  std::map<std::string, std::shared_ptr<memory_link>> links;

  void Start(peer_observer* started_observer) override;
  void Send(const std::string& address,
            const fbs::envelopeT& message) override {
    if (running && network != nullptr)
      network->Send(shared_from_this(), address, message);
  }
};

enum class side_state { kOpening, kUp, kDown };

struct memory_side {
  std::string address;
  // Null on the accepting side until the Hello arrives.
  std::shared_ptr<memory_node> node;
  side_state state = side_state::kOpening;
  peer_info peer;
  std::vector<std::vector<uint8_t>> queued_messages;
  time_point last_received_at;
  link_activity activity{{}};
  // Arrival time of the last message to this side; later ones do not arrive
  // before it.
  time_point last_arrival;
  uint64_t heartbeat_counter = 0;
  uint64_t heartbeat_echo = 0;
};

struct memory_link {
  std::array<memory_side, 2> sides;
  bool silent = false;
};

}  // namespace detail

void detail::memory_node::Start(peer_observer* started_observer) {
  observer = started_observer;
  // Links that opened before the start are reported in the next round of the
  // loop.
  if (network != nullptr) {
    network->RunAfter(duration::zero(), [this, self = shared_from_this()] {
      if (running && !paused)
        network->ResumeNode(info.address);
    });
  }
}

namespace {

using detail::side_state;

constexpr size_t kFrameHeaderBytes = 16;

std::pair<std::string, std::string> Ordered(const std::string& one,
                                            const std::string& other) {
  return one < other ? std::make_pair(one, other) : std::make_pair(other, one);
}

}  // namespace

memory_network::memory_network(loop* run_loop,
                               random_source* random,
                               memory_network_options options)
    : loop_(run_loop), random_(random), options_(options) {}

memory_network::~memory_network() {
  *alive_ = false;
  for (const node_ref& node : all_nodes_) {
    node->network = nullptr;
    node->running = false;
    // Nodes and links hold shared pointers to each other.
    node->links.clear();
    node->held_actions.clear();
  }
}

peer_transport* memory_network::AddNode(const peer_info& info) {
  StopNode(info.address);
  auto node = std::make_shared<detail::memory_node>();
  node->network = this;
  node->info = info;
  nodes_[info.address] = node;
  all_nodes_.push_back(node);
  known_addresses_.insert(info.address);
  return node.get();
}

void memory_network::StopNode(const std::string& address) {
  const auto found = nodes_.find(address);
  if (found == nodes_.end())
    return;
  const node_ref node = found->second;
  nodes_.erase(found);
  node->running = false;
  node->observer = nullptr;
  node->held_actions.clear();
  const auto links = std::move(node->links);
  node->links.clear();
  for (const auto& [peer, link] : links)
    CloseSide(link, link->sides[0].address == address ? 0 : 1,
              link_down_cause::kClosed);
}

void memory_network::PauseNode(const std::string& address) {
  const auto found = nodes_.find(address);
  if (found != nodes_.end())
    found->second->paused = true;
}

void memory_network::ResumeNode(const std::string& address) {
  const auto found = nodes_.find(address);
  if (found == nodes_.end())
    return;
  const node_ref node = found->second;
  node->paused = false;
  while (!node->paused && !node->held_actions.empty()) {
    const std::function<void()> action = std::move(node->held_actions.front());
    node->held_actions.pop_front();
    action();
  }
}

bool memory_network::IsPaused(const std::string& address) const {
  const auto found = nodes_.find(address);
  return found != nodes_.end() && found->second->paused;
}

void memory_network::Partition(const std::set<std::string>& one,
                               const std::set<std::string>& other) {
  partitions_.emplace_back(one, other);
}

void memory_network::Heal() {
  partitions_.clear();
}

void memory_network::SilenceLink(const std::string& one,
                                 const std::string& other) {
  for (const auto& [from, to] :
       {std::pair(one, other), std::pair(other, one)}) {
    const auto node = nodes_.find(from);
    if (node == nodes_.end())
      continue;
    const auto link = node->second->links.find(to);
    if (link != node->second->links.end())
      link->second->silent = true;
  }
}

void memory_network::SetZoneDelay(const std::string& zone,
                                  const std::string& other,
                                  link_delay delay) {
  zone_delays_[Ordered(zone, other)] = delay;
}

void memory_network::SetPairDelay(const std::string& address,
                                  const std::string& other,
                                  link_delay delay) {
  pair_delays_[Ordered(address, other)] = delay;
}

void memory_network::Send(const node_ref& from,
                          const std::string& to,
                          const fbs::envelopeT& message) {
  bytes data = EncodeAndCount(from->info.address, message);
  if (to == from->info.address) {
    RunAfter(duration::zero(), [this, from, data] {
      RunOnNode(from, [from, data] {
        const std::unique_ptr<fbs::envelopeT> decoded(
            fbs::Getenvelope(data.data())->UnPack());
        from->observer->OnPeerMessage(from->info, *decoded);
      });
    });
    return;
  }
  const auto found = from->links.find(to);
  const link_ref link =
      found != from->links.end() ? found->second : OpenLink(from, to);
  const int side = link->sides[0].address == from->info.address ? 0 : 1;
  RecordActivity(*link, side, message);
  if (link->sides[side].state == side_state::kUp)
    Transmit(link, side, std::move(data), false);
  else
    link->sides[side].queued_messages.push_back(std::move(data));
}

memory_network::link_ref memory_network::OpenLink(const node_ref& from,
                                                  const std::string& to) {
  auto link = std::make_shared<detail::memory_link>();
  link->sides[0].address = from->info.address;
  link->sides[0].node = from;
  link->sides[1].address = to;
  for (detail::memory_side& side : link->sides) {
    side.activity =
        link_activity(options_.activity.value_or(link_activity_options()));
    if (!options_.activity)
      side.activity.KeepActive();
  }
  from->links[to] = link;
  const duration delay = DrawDelay(*link);
  RunAfter(options_.silence_timeout, [this, link] {
    RunOnNode(link->sides[0].node, [this, link] {
      if (link->sides[0].state == side_state::kOpening)
        CloseSide(link, 0, link_down_cause::kSilent);
    });
  });
  RunAfter(delay, [this, link, from, to, delay] {
    if (IsPartitioned(from->info.address, to) || link->silent)
      return;
    const auto target = nodes_.find(to);
    if (target == nodes_.end()) {
      // Only a machine can refuse a connection. Nothing is sent to text that is
      // neither an address nor the name of a node that has run here.
      const bool exists =
          ParseAddress(to).has_value() || known_addresses_.count(to) > 0;
      const link_down_cause cause =
          exists ? link_down_cause::kRefused : link_down_cause::kClosed;
      RunAfter(delay, [this, link, from, cause] {
        RunOnNode(from, [this, link, cause] { CloseSide(link, 0, cause); });
      });
      return;
    }
    RunOnNode(target->second,
              [this, link, node = target->second] { HandleHello(link, node); });
  });
  return link;
}

void memory_network::HandleHello(const link_ref& link, const node_ref& target) {
  const node_ref opener = link->sides[0].node;
  if (!opener->running || link->sides[0].state != side_state::kOpening)
    return;
  const std::string& address = opener->info.address;
  std::vector<bytes> queued_messages;
  const auto previous = target->links.find(address);
  if (previous != target->links.end()) {
    const link_ref previous_link = previous->second;
    const int side =
        previous_link->sides[0].address == target->info.address ? 0 : 1;
    detail::memory_side& own_side = previous_link->sides[side];
    if (own_side.state == side_state::kOpening) {
      // Both nodes connected at the same time. This link replaces the other one
      // and takes over its queued messages.
      own_side.state = side_state::kDown;
      queued_messages = std::move(own_side.queued_messages);
      target->links.erase(address);
      detail::memory_side& other = previous_link->sides[1 - side];
      other.state = side_state::kDown;
    } else {
      CloseSide(previous_link, side,
                own_side.peer.incarnation != opener->info.incarnation
                    ? link_down_cause::kReplaced
                    : link_down_cause::kClosed);
    }
  }
  link->sides[1].node = target;
  target->links[address] = link;
  fbs::helloT hello;
  hello.node = target->info.node;
  hello.zone = target->info.zone;
  hello.peer_address = target->info.address;
  hello.incarnation = target->info.incarnation;
  EncodeAndCount(target->info.address, MakeEnvelope(hello));
  hello.peer_address = address;
  EncodeAndCount(address, MakeEnvelope(hello));
  // The answering Hello arrives before anything that the target sends later.
  const time_point answer_arrival = loop_->Now() + DrawDelay(*link);
  link->sides[0].last_arrival = answer_arrival;
  RunAfter(answer_arrival - loop_->Now(), [this, link, target, opener] {
    if (IsPartitioned(opener->info.address, target->info.address) ||
        link->silent)
      return;
    RunOnNode(opener, [this, link, target] {
      if (link->sides[0].state == side_state::kOpening)
        OpenSide(link, 0, target->info);
    });
  });
  link->sides[1].queued_messages = std::move(queued_messages);
  OpenSide(link, 1, opener->info);
}

void memory_network::OpenSide(const link_ref& link,
                              int side,
                              const peer_info& peer) {
  detail::memory_side& own_side = link->sides[side];
  own_side.state = side_state::kUp;
  own_side.peer = peer;
  own_side.last_received_at = loop_->Now();
  own_side.activity.OnLinkUp(own_side.last_received_at);
  if (options_.watch_own_zone && peer.zone == own_side.node->info.zone)
    own_side.activity.KeepActive();
  std::vector<bytes> queued_messages = std::move(own_side.queued_messages);
  own_side.queued_messages.clear();
  for (bytes& data : queued_messages)
    Transmit(link, side, std::move(data), false);
  RunAfter(options_.heartbeat_interval,
           [this, link, side] { OnHeartbeatTimer(link, side); });
  if (own_side.node->observer != nullptr)
    own_side.node->observer->OnLinkUp(peer);
}

void memory_network::CloseSide(const link_ref& link,
                               int side,
                               link_down_cause cause) {
  detail::memory_side& own_side = link->sides[side];
  if (own_side.state == side_state::kDown)
    return;
  const bool was_up = own_side.state == side_state::kUp;
  own_side.state = side_state::kDown;
  const int other = 1 - side;
  const node_ref node = own_side.node;
  if (node != nullptr) {
    const auto found = node->links.find(link->sides[other].address);
    if (found != node->links.end() && found->second == link)
      node->links.erase(found);
  }
  if (was_up || link->sides[other].state == side_state::kUp) {
    RunAfter(DrawDelay(*link), [this, link, other] {
      const node_ref peer = link->sides[other].node;
      if (peer == nullptr || link->silent ||
          IsPartitioned(link->sides[0].address, link->sides[1].address))
        return;
      RunOnNode(peer, [this, link, other] {
        CloseSide(link, other, link_down_cause::kClosed);
      });
    });
  }
  if (node == nullptr || node->observer == nullptr)
    return;
  peer_info peer = own_side.peer;
  peer.address = link->sides[other].address;
  node->observer->OnLinkDown(peer, cause);
}

void memory_network::Transmit(const link_ref& link,
                              int from,
                              bytes data,
                              bool reliable) {
  if (link->silent ||
      IsPartitioned(link->sides[0].address, link->sides[1].address))
    return;
  if (!reliable && DrawBool(options_.loss_probability))
    return;
  const int to = 1 - from;
  if (link->sides[0].node != nullptr && link->sides[1].node != nullptr &&
      link->sides[0].node->info.zone != link->sides[1].node->info.zone) {
    ++sent_between_zones_.messages;
    sent_between_zones_.bytes += data.size() + kFrameHeaderBytes;
  }
  const time_point now = loop_->Now();
  time_point arrival = now + DrawDelay(*link);
  const auto shared = std::make_shared<bytes>(std::move(data));
  const auto arrive = [this, link, to, shared] {
    if (link->silent ||
        IsPartitioned(link->sides[0].address, link->sides[1].address))
      return;
    const node_ref node = link->sides[to].node;
    if (node != nullptr)
      RunOnNode(node,
                [this, link, to, shared] { HandleMessage(link, to, *shared); });
  };
  const auto draw_extra_delay = [this] {
    return duration(static_cast<duration::rep>(
        random_->Fraction() *
        static_cast<double>(options_.max_extra_delay.count())));
  };
  if (!reliable && DrawBool(options_.reordering_probability)) {
    arrival += draw_extra_delay();
  } else {
    arrival = std::max(arrival, link->sides[to].last_arrival);
    link->sides[to].last_arrival = arrival;
  }
  RunAfter(arrival - now, arrive);
  if (!reliable && DrawBool(options_.duplication_probability))
    RunAfter(arrival - now + draw_extra_delay(), arrive);
}

void memory_network::HandleMessage(const link_ref& link,
                                   int to,
                                   const bytes& data) {
  detail::memory_side& own_side = link->sides[to];
  if (own_side.state != side_state::kUp || own_side.node->observer == nullptr)
    return;
  own_side.last_received_at = loop_->Now();
  const std::unique_ptr<fbs::envelopeT> decoded(
      fbs::Getenvelope(data.data())->UnPack());
  if (const auto* heartbeat = decoded->body.Asheartbeat())
    own_side.heartbeat_echo =
        std::max(own_side.heartbeat_echo, heartbeat->counter);
  else
    RecordActivity(*link, to, *decoded);
  const peer_info peer = own_side.peer;
  own_side.node->observer->OnPeerMessage(peer, *decoded);
}

void memory_network::RecordActivity(detail::memory_link& link,
                                    int side,
                                    const fbs::envelopeT& message) {
  detail::memory_side& own_side = link.sides[side];
  const time_point now = loop_->Now();
  if (now > own_side.activity.ActiveUntil())
    own_side.last_received_at = now;
  own_side.activity.OnMessage(message, now);
}

void memory_network::OnHeartbeatTimer(const link_ref& link, int side) {
  detail::memory_side& own_side = link->sides[side];
  if (own_side.state != side_state::kUp || !own_side.node->running)
    return;
  if (!own_side.node->paused) {
    const time_point now = loop_->Now();
    const time_point active_until = own_side.activity.ActiveUntil();
    if (now <= active_until &&
        now - own_side.last_received_at > options_.silence_timeout) {
      CloseSide(link, side, link_down_cause::kSilent);
      return;
    }
    const bool sends_heartbeat = now - options_.silence_timeout <= active_until;
    if (sends_heartbeat && own_side.node->observer != nullptr) {
      fbs::heartbeatT heartbeat = own_side.node->observer->MakeHeartbeat();
      heartbeat.counter = ++own_side.heartbeat_counter;
      heartbeat.echo = own_side.heartbeat_echo;
      Transmit(
          link, side,
          EncodeAndCount(own_side.node->info.address, MakeEnvelope(heartbeat)),
          false);
    }
  }
  RunAfter(options_.heartbeat_interval,
           [this, link, side] { OnHeartbeatTimer(link, side); });
}

void memory_network::RunAfter(duration delay, std::function<void()> action) {
  loop_->RunAfter(delay, [alive = alive_, action = std::move(action)] {
    if (*alive)
      action();
  });
}

void memory_network::RunOnNode(const node_ref& node,
                               std::function<void()> action) {
  if (!node->running)
    return;
  if (node->paused || node->observer == nullptr)
    node->held_actions.push_back(std::move(action));
  else
    action();
}

bool memory_network::IsPartitioned(const std::string& one,
                                   const std::string& other) const {
  return std::any_of(
      partitions_.begin(), partitions_.end(), [&](const auto& sets) {
        return (sets.first.count(one) > 0 && sets.second.count(other) > 0) ||
               (sets.first.count(other) > 0 && sets.second.count(one) > 0);
      });
}

duration memory_network::DrawDelay(const detail::memory_link& link) {
  const std::string& one = link.sides[0].address;
  const std::string& other = link.sides[1].address;
  link_delay delay = options_.delay;
  const auto pair = pair_delays_.find(Ordered(one, other));
  if (pair != pair_delays_.end()) {
    delay = pair->second;
  } else if (!zone_delays_.empty()) {
    const auto first = nodes_.find(one);
    const auto second = nodes_.find(other);
    if (first != nodes_.end() && second != nodes_.end()) {
      const auto zone = zone_delays_.find(
          Ordered(first->second->info.zone, second->second->info.zone));
      if (zone != zone_delays_.end())
        delay = zone->second;
    }
  }
  return delay.fixed +
         duration(static_cast<duration::rep>(
             random_->Fraction() * static_cast<double>(delay.jitter.count())));
}

memory_network::bytes memory_network::EncodeAndCount(
    const std::string& sender,
    const fbs::envelopeT& message) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fbs::envelope::Pack(builder, &message));
  message_count& count =
      sent_counts_[sender][fbs::EnumNamepayload(message.body.type)];
  ++count.messages;
  count.bytes += builder.GetSize() + kFrameHeaderBytes;
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

bool memory_network::DrawBool(double probability) {
  return probability > 0 && random_->Fraction() < probability;
}

timer_id node_loop::RunAfter(duration delay, std::function<void()> callback) {
  const timer_id id = next_id_++;
  timers_[id] = {base_->RunAfter(delay, [this, id] { RunTimer(id); }),
                 std::move(callback)};
  return id;
}

void node_loop::Cancel(timer_id id) {
  const auto found = timers_.find(id);
  if (found == timers_.end())
    return;
  base_->Cancel(found->second.base_id);
  timers_.erase(found);
}

void node_loop::Resume() {
  paused_ = false;
  const std::vector<timer_id> due = std::move(due_timers_);
  due_timers_.clear();
  for (const timer_id id : due)
    RunTimer(id);
}

void node_loop::Stop() {
  for (const auto& [id, timer] : timers_)
    base_->Cancel(timer.base_id);
  timers_.clear();
  due_timers_.clear();
}

void node_loop::RunTimer(timer_id id) {
  const auto found = timers_.find(id);
  if (found == timers_.end())
    return;
  if (paused_) {
    due_timers_.push_back(id);
    return;
  }
  const std::function<void()> callback = std::move(found->second.callback);
  timers_.erase(found);
  callback();
}

}  // namespace skylarkhoist
