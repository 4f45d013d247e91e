#include "testing/memory_network.h"

#include <algorithm>
#include <deque>
#include <functional>

namespace skylarkhoist {
namespace detail {

// One run of a process; also its transport.
struct memory_node : public peer_transport,
                     public std::enable_shared_from_this<memory_node> {
  memory_network* network = nullptr;
  peer_info info;
  peer_observer* observer = nullptr;
  bool running = true;
  bool paused = false;
  std::deque<std::function<void()>> waiting;
  std::map<std::string, std::shared_ptr<memory_link>> links;

  void Start(peer_observer* value) override;
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
  std::vector<std::vector<uint8_t>> waiting;
  time_point last_heard;
  // End of the use that the messages so far gave the link.
  time_point used_until;
  // Arrival of the last message towards this side, which keeps them in order.
  time_point last_arrival;
  uint64_t counter = 0;
  uint64_t echo = 0;
};

struct memory_link {
  std::array<memory_side, 2> sides;
  bool silent = false;
};

}  // namespace detail

void detail::memory_node::Start(peer_observer* value) {
  observer = value;
  // Links that opened before the start are reported in the next round.
  if (network != nullptr) {
    network->After(duration::zero(), [this, self = shared_from_this()] {
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
    // Nodes and links refer to each other.
    node->links.clear();
    node->waiting.clear();
  }
}

peer_transport* memory_network::AddNode(const peer_info& info) {
  StopNode(info.address);
  auto node = std::make_shared<detail::memory_node>();
  node->network = this;
  node->info = info;
  nodes_[info.address] = node;
  all_nodes_.push_back(node);
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
  node->waiting.clear();
  const auto links = std::move(node->links);
  node->links.clear();
  for (const auto& [peer, link] : links)
    SideDown(link, link->sides[0].address == address ? 0 : 1,
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
  while (!node->paused && !node->waiting.empty()) {
    const std::function<void()> action = std::move(node->waiting.front());
    node->waiting.pop_front();
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
  bytes data = Encode(from->info.address, message);
  if (to == from->info.address) {
    After(duration::zero(), [this, from, data] {
      OnNode(from, [from, data] {
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
  Use(*link, side, message.body.Ascall_request() != nullptr);
  if (link->sides[side].state == side_state::kUp)
    Transmit(link, side, std::move(data), false);
  else
    link->sides[side].waiting.push_back(std::move(data));
}

memory_network::link_ref memory_network::OpenLink(const node_ref& from,
                                                  const std::string& to) {
  auto link = std::make_shared<detail::memory_link>();
  link->sides[0].address = from->info.address;
  link->sides[0].node = from;
  link->sides[1].address = to;
  from->links[to] = link;
  const duration there = DrawDelay(*link);
  After(options_.silence_limit, [this, link] {
    OnNode(link->sides[0].node, [this, link] {
      if (link->sides[0].state == side_state::kOpening)
        SideDown(link, 0, link_down_cause::kSilent);
    });
  });
  After(there, [this, link, from, to, there] {
    if (Blocked(from->info.address, to) || link->silent)
      return;
    const auto target = nodes_.find(to);
    if (target == nodes_.end()) {
      After(there, [this, link, from] {
        OnNode(from,
               [this, link] { SideDown(link, 0, link_down_cause::kRefused); });
      });
      return;
    }
    OnNode(target->second,
           [this, link, node = target->second] { ArriveHello(link, node); });
  });
  return link;
}

void memory_network::ArriveHello(const link_ref& link, const node_ref& target) {
  const node_ref opener = link->sides[0].node;
  if (!opener->running || link->sides[0].state != side_state::kOpening)
    return;
  const std::string& address = opener->info.address;
  std::vector<bytes> waiting;
  const auto old = target->links.find(address);
  if (old != target->links.end()) {
    const link_ref old_link = old->second;
    const int side = old_link->sides[0].address == target->info.address ? 0 : 1;
    detail::memory_side& mine = old_link->sides[side];
    if (mine.state == side_state::kOpening) {
      // Both sides connect at once; the messages of the dropped attempt move.
      mine.state = side_state::kDown;
      waiting = std::move(mine.waiting);
      target->links.erase(address);
      detail::memory_side& other = old_link->sides[1 - side];
      other.state = side_state::kDown;
    } else {
      SideDown(old_link, side,
               mine.peer.incarnation != opener->info.incarnation
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
  Encode(target->info.address, Envelope(hello));
  hello.peer_address = address;
  Encode(address, Envelope(hello));
  // The answer is on its way before anything that the target sends next.
  const time_point answer = loop_->Now() + DrawDelay(*link);
  link->sides[0].last_arrival = answer;
  After(answer - loop_->Now(), [this, link, target, opener] {
    if (Blocked(opener->info.address, target->info.address) || link->silent)
      return;
    OnNode(opener, [this, link, target] {
      if (link->sides[0].state == side_state::kOpening)
        SideUp(link, 0, target->info);
    });
  });
  link->sides[1].waiting = std::move(waiting);
  SideUp(link, 1, opener->info);
}

void memory_network::SideUp(const link_ref& link,
                            int side,
                            const peer_info& peer) {
  detail::memory_side& mine = link->sides[side];
  mine.state = side_state::kUp;
  mine.peer = peer;
  mine.last_heard = loop_->Now();
  mine.used_until =
      std::max(mine.used_until, mine.last_heard + options_.use_period);
  std::vector<bytes> waiting = std::move(mine.waiting);
  mine.waiting.clear();
  for (bytes& data : waiting)
    Transmit(link, side, std::move(data), false);
  After(options_.heartbeat_interval, [this, link, side] { Beat(link, side); });
  if (mine.node->observer != nullptr)
    mine.node->observer->OnLinkUp(peer);
}

void memory_network::SideDown(const link_ref& link,
                              int side,
                              link_down_cause cause) {
  detail::memory_side& mine = link->sides[side];
  if (mine.state == side_state::kDown)
    return;
  const bool was_up = mine.state == side_state::kUp;
  mine.state = side_state::kDown;
  const int other = 1 - side;
  const node_ref node = mine.node;
  if (node != nullptr) {
    const auto found = node->links.find(link->sides[other].address);
    if (found != node->links.end() && found->second == link)
      node->links.erase(found);
  }
  if (was_up || link->sides[other].state == side_state::kUp) {
    After(DrawDelay(*link), [this, link, other] {
      const node_ref peer = link->sides[other].node;
      if (peer == nullptr || link->silent ||
          Blocked(link->sides[0].address, link->sides[1].address))
        return;
      OnNode(peer, [this, link, other] {
        SideDown(link, other, link_down_cause::kClosed);
      });
    });
  }
  if (node == nullptr || node->observer == nullptr)
    return;
  peer_info peer = mine.peer;
  peer.address = link->sides[other].address;
  node->observer->OnLinkDown(peer, cause);
}

void memory_network::Transmit(const link_ref& link,
                              int from,
                              bytes data,
                              bool reliable) {
  if (link->silent || Blocked(link->sides[0].address, link->sides[1].address))
    return;
  if (!reliable && Chance(options_.loss))
    return;
  const int to = 1 - from;
  const time_point now = loop_->Now();
  time_point arrival = now + DrawDelay(*link);
  const auto shared = std::make_shared<bytes>(std::move(data));
  const auto arrive = [this, link, to, shared] {
    if (link->silent || Blocked(link->sides[0].address, link->sides[1].address))
      return;
    const node_ref node = link->sides[to].node;
    if (node != nullptr)
      OnNode(node,
             [this, link, to, shared] { ArriveMessage(link, to, *shared); });
  };
  const auto extra = [this] {
    return duration(static_cast<duration::rep>(
        random_->Fraction() * static_cast<double>(options_.late.count())));
  };
  if (!reliable && Chance(options_.reordering)) {
    arrival += extra();
  } else {
    arrival = std::max(arrival, link->sides[to].last_arrival);
    link->sides[to].last_arrival = arrival;
  }
  After(arrival - now, arrive);
  if (!reliable && Chance(options_.duplication))
    After(arrival - now + extra(), arrive);
}

void memory_network::ArriveMessage(const link_ref& link,
                                   int to,
                                   const bytes& data) {
  detail::memory_side& mine = link->sides[to];
  if (mine.state != side_state::kUp || mine.node->observer == nullptr)
    return;
  mine.last_heard = loop_->Now();
  const std::unique_ptr<fbs::envelopeT> decoded(
      fbs::Getenvelope(data.data())->UnPack());
  if (const auto* beat = decoded->body.Asheartbeat())
    mine.echo = std::max(mine.echo, beat->counter);
  else
    Use(*link, to, decoded->body.Ascall_request() != nullptr);
  const peer_info peer = mine.peer;
  mine.node->observer->OnPeerMessage(peer, *decoded);
}

void memory_network::Use(detail::memory_link& link, int side, bool call) {
  detail::memory_side& mine = link.sides[side];
  const time_point now = loop_->Now();
  if (options_.use_period != duration::zero() && now > mine.used_until)
    mine.last_heard = now;
  mine.used_until =
      std::max(mine.used_until,
               now + (call ? options_.call_use_period : options_.use_period));
}

void memory_network::Beat(const link_ref& link, int side) {
  detail::memory_side& mine = link->sides[side];
  if (mine.state != side_state::kUp || !mine.node->running)
    return;
  if (!mine.node->paused) {
    const bool always = options_.use_period == duration::zero();
    if ((always || loop_->Now() <= mine.used_until) &&
        loop_->Now() - mine.last_heard > options_.silence_limit) {
      SideDown(link, side, link_down_cause::kSilent);
      return;
    }
    const bool beats =
        always || loop_->Now() <= mine.used_until + options_.silence_limit;
    if (beats && mine.node->observer != nullptr) {
      fbs::heartbeatT beat = mine.node->observer->MakeHeartbeat();
      beat.counter = ++mine.counter;
      beat.echo = mine.echo;
      Transmit(link, side, Encode(mine.node->info.address, Envelope(beat)),
               false);
    }
  }
  After(options_.heartbeat_interval, [this, link, side] { Beat(link, side); });
}

void memory_network::After(duration delay, std::function<void()> action) {
  loop_->RunAfter(delay, [alive = alive_, action = std::move(action)] {
    if (*alive)
      action();
  });
}

void memory_network::OnNode(const node_ref& node,
                            std::function<void()> action) {
  if (!node->running)
    return;
  if (node->paused || node->observer == nullptr)
    node->waiting.push_back(std::move(action));
  else
    action();
}

bool memory_network::Blocked(const std::string& one,
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

memory_network::bytes memory_network::Encode(const std::string& sender,
                                             const fbs::envelopeT& message) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fbs::envelope::Pack(builder, &message));
  message_count& count = sent_[sender][fbs::EnumNamepayload(message.body.type)];
  ++count.messages;
  count.bytes += builder.GetSize() + kFrameHeaderBytes;
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

bool memory_network::Chance(double probability) {
  return probability > 0 && random_->Fraction() < probability;
}

timer_id node_loop::RunAfter(duration delay, std::function<void()> callback) {
  const timer_id id = next_id_++;
  timers_[id] = {base_->RunAfter(delay, [this, id] { Fire(id); }),
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
  const std::vector<timer_id> due = std::move(due_);
  due_.clear();
  for (const timer_id id : due)
    Fire(id);
}

void node_loop::Stop() {
  for (const auto& [id, timer] : timers_)
    base_->Cancel(timer.base_id);
  timers_.clear();
  due_.clear();
}

void node_loop::Fire(timer_id id) {
  const auto found = timers_.find(id);
  if (found == timers_.end())
    return;
  if (paused_) {
    due_.push_back(id);
    return;
  }
  const std::function<void()> callback = std::move(found->second.callback);
  timers_.erase(found);
  callback();
}

}  // namespace skylarkhoist
