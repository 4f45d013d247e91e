#include "node/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

// Number of times that each node forwards a change. With a fan-out of 3 an
// update reaches 1,300 nodes in about 7 rounds; 8 sends allow for lost
// messages.
constexpr int kSendsPerChange = 8;

// Ended incarnations are kept for this long so that delayed gossip does not
// restore them as running.
constexpr duration kGoneRetention = std::chrono::minutes(2);

// Approximate size of an entry on the wire, to limit the size of messages.
size_t EstimatedBytes(const fbs::member_entryT& entry) {
  size_t bytes = 96 + entry.node.size() + entry.zone.size() +
                 entry.peer_address.size() + entry.public_address.size();
  for (const auto& target : entry.targets)
    bytes += 40 + target->service.size() + target->address.size();
  return bytes;
}

// True when `current` differs from `previous` in more than the load and the
// offset, which each node reports every second. Only such changes are
// forwarded: load reports of all nodes would fill every message and delay
// changes of state.
bool ChangesState(const fbs::member_entryT& previous,
                  const fbs::member_entryT& current) {
  if (previous.state != current.state || previous.zone != current.zone ||
      previous.public_address != current.public_address ||
      previous.targets.size() != current.targets.size())
    return true;
  for (size_t i = 0; i < current.targets.size(); ++i) {
    const auto& before = previous.targets[i];
    const auto& after = current.targets[i];
    if (before == nullptr || after == nullptr)
      return true;
    if (before->service != after->service ||
        before->address != after->address || before->state != after->state)
      return true;
  }
  return false;
}

}  // namespace

membership::membership(loop* loop,
                       peer_transport* transport,
                       random_source* random,
                       membership_options options)
    : loop_(loop),
      transport_(transport),
      random_(random),
      options_(std::move(options)) {
  self_.node = options_.node;
  self_.zone = options_.zone;
  self_.peer_address = options_.peer_address;
  self_.public_address = options_.public_address;
  self_.incarnation = options_.incarnation;
  self_.version = 1;
  self_.state = fbs::member_state::kServing;
}

membership::~membership() {
  loop_->Cancel(timer_);
}

void membership::Start() {
  for (const std::string& seed : options_.seed_peers) {
    if (seed != options_.peer_address)
      SendGossip(seed, true);
  }
  timer_ = loop_->RunAfter(options_.gossip_interval, [this] { Tick(); });
}

void membership::Tick() {
  RemoveExpired();
  for (const std::string& address : PickGossipPeers()) {
    probes_.push_back({address, loop_->Now()});
    SendGossip(address, false);
  }
  while (!probes_.empty() &&
         probes_.front().sent_at + options_.contact_window < loop_->Now())
    probes_.pop_front();
  timer_ = loop_->RunAfter(options_.gossip_interval, [this] { Tick(); });
}

// Picks random peers among the seeds, the roster and all other known members
// whose process has not certainly ended. Unreachable members are included, at
// the cost of a failed connection, since this finds them once they are back.
std::vector<std::string> membership::PickGossipPeers() {
  std::set<std::string> known(options_.seed_peers.begin(),
                              options_.seed_peers.end());
  for (const roster_member& member : roster_.members)
    known.insert(member.peer_address);
  for (const auto& [address, member] : members_) {
    if (!member.gone)
      known.insert(address);
  }
  known.erase(options_.peer_address);
  std::vector<std::string> all(known.begin(), known.end());
  std::vector<std::string> picked;
  while (!all.empty() && picked.size() < static_cast<size_t>(options_.fanout)) {
    const size_t index = random_->Below(all.size());
    picked.push_back(std::move(all[index]));
    all.erase(all.begin() + static_cast<std::ptrdiff_t>(index));
  }
  return picked;
}

void membership::RemoveExpired() {
  for (auto item = members_.begin(); item != members_.end();) {
    const member& known = item->second;
    if (known.gone && known.entry_updated_at + kGoneRetention < loop_->Now())
      item = members_.erase(item);
    else
      ++item;
  }
}

void membership::IncrementVersion() {
  ++self_.version;
}

void membership::SetTargets(const std::vector<fbs::target_entryT>& targets) {
  std::vector<std::unique_ptr<fbs::target_entryT>> copies;
  bool changed = targets.size() != self_.targets.size();
  for (size_t i = 0; i < targets.size(); ++i) {
    copies.push_back(std::make_unique<fbs::target_entryT>(targets[i]));
    changed = changed || targets[i].state != self_.targets[i]->state ||
              targets[i].address != self_.targets[i]->address;
  }
  self_.targets = std::move(copies);
  IncrementVersion();
  if (!changed)
    return;
  // A change of state has to reach all nodes within seconds. A change of load
  // alone needs no message, since answers carry load levels.
  for (const std::string& address : LivePeers())
    SendGossip(address, false);
}

void membership::SetDraining() {
  self_.state = fbs::member_state::kDraining;
  IncrementVersion();
  for (const std::string& address : LivePeers())
    SendGossip(address, false);
}

void membership::AnnounceShutdown() {
  self_.state = fbs::member_state::kGone;
  IncrementVersion();
  for (const std::string& address : LivePeers())
    SendGossip(address, false);
}

void membership::SetRoster(const roster_view& roster) {
  roster_ = roster;
}

void membership::SetAppliedOffset(uint64_t offset) {
  self_.applied_offset = offset;
  IncrementVersion();
}

void membership::SendGossip(const std::string& address, bool full_table) {
  fbs::gossipT gossip;
  size_t bytes = EstimatedBytes(self_);
  gossip.entries.push_back(std::make_unique<fbs::member_entryT>(self_));
  for (auto& [member_address, known] : members_) {
    if (member_address == address || (!full_table && known.sends_left <= 0))
      continue;
    const size_t size = EstimatedBytes(known.entry);
    if (bytes + size > options_.max_message_bytes) {
      if (!full_table)
        break;
      transport_->Send(address, MakeEnvelope(std::move(gossip)));
      gossip = {};
      bytes = 0;
    }
    bytes += size;
    if (!full_table)
      --known.sends_left;
    gossip.entries.push_back(std::make_unique<fbs::member_entryT>(known.entry));
  }
  transport_->Send(address, MakeEnvelope(std::move(gossip)));
}

void membership::HandleGossip(const peer_info& from,
                              const fbs::gossipT& gossip) {
  const bool sender_was_known = members_.count(from.address) > 0;
  for (const auto& entry : gossip.entries) {
    if (entry != nullptr && !entry->peer_address.empty())
      ApplyEntry(*entry);
  }
  // A node that has just started sends only its own entry.
  const bool sender_is_new = gossip.entries.size() <= 1;
  if (!sender_was_known && sender_is_new)
    SendGossip(from.address, true);
}

void membership::ApplyEntry(const fbs::member_entryT& entry) {
  if (entry.peer_address == options_.peer_address)
    return;
  const time_point now = loop_->Now();
  auto [found, inserted] = members_.try_emplace(entry.peer_address);
  member& known = found->second;
  const bool same_incarnation =
      !inserted && known.entry.incarnation == entry.incarnation;
  // An incarnation that has ended never returns, even if delayed gossip shows
  // it as running.
  if (same_incarnation && (known.gone || entry.version <= known.entry.version))
    return;
  // Gossip does not tell which of two incarnations at one address is the newer
  // one; only a direct link does.
  if (!inserted && !same_incarnation && !known.gone)
    return;
  if (!same_incarnation) {
    known = member{};
  }
  if (!same_incarnation || ChangesState(known.entry, entry))
    known.sends_left = kSendsPerChange;
  known.entry = entry;
  known.entry_updated_at = now;
  known.gone = entry.state == fbs::member_state::kGone;
  std::map<std::string, time_point> serving_since;
  std::set<std::string> newly_serving;
  for (const auto& target : entry.targets) {
    if (target == nullptr || target->state != fbs::member_state::kServing)
      continue;
    const std::string key = target->service + " " + target->address;
    const auto previous = known.target_serving_since.find(key);
    serving_since[key] =
        previous == known.target_serving_since.end() ? now : previous->second;
    if (previous == known.target_serving_since.end())
      newly_serving.insert(target->service);
  }
  known.target_serving_since = std::move(serving_since);
  for (const std::string& service : newly_serving) {
    if (target_in_service_callback_)
      target_in_service_callback_(entry.peer_address, service);
  }
  if (peer_offset_callback_)
    peer_offset_callback_(entry.peer_address, entry.applied_offset);
}

void membership::RecordContact(const peer_info& peer) {
  const auto found = members_.find(peer.address);
  if (found == members_.end())
    return;
  found->second.last_contact = loop_->Now();
  found->second.unreachable = false;
}

void membership::OnLinkUp(const peer_info& peer) {
  const auto found = members_.find(peer.address);
  if (found != members_.end()) {
    member& known = found->second;
    if (known.entry.incarnation != peer.incarnation) {
      known = member{};
      known.entry.node = peer.node;
      known.entry.zone = peer.zone;
      known.entry.peer_address = peer.address;
      known.entry.incarnation = peer.incarnation;
    }
    known.unreachable = false;
    known.last_contact = loop_->Now();
  }
  SendGossip(peer.address, members_.size() <= options_.max_full_table_members);
}

void membership::OnLinkDown(const peer_info& peer, link_down_cause cause) {
  const auto found = members_.find(peer.address);
  if (found == members_.end())
    return;
  member& known = found->second;
  known.unreachable = true;
  const bool process_ended =
      cause == link_down_cause::kRefused || cause == link_down_cause::kReplaced;
  if (!process_ended || known.gone)
    return;
  known.gone = true;
  known.entry_updated_at = loop_->Now();
  LogStateChange("membership", "node_gone",
                 {{"node", known.entry.node}, {"address", peer.address}});
}

std::vector<target_info> membership::TargetsOf(
    const std::string& service) const {
  std::vector<target_info> targets;
  const auto add = [&](const fbs::member_entryT& entry, const member* known) {
    if (entry.state != fbs::member_state::kServing)
      return;
    for (const auto& target : entry.targets) {
      if (target == nullptr || target->service != service ||
          target->state != fbs::member_state::kServing)
        continue;
      target_info item;
      item.peer_address = entry.peer_address;
      item.zone = entry.zone;
      item.incarnation = entry.incarnation;
      item.load_permille = target->load_permille;
      item.limit = target->limit;
      item.reachable = known == nullptr || !known->unreachable;
      if (known != nullptr) {
        item.reported_at = known->entry_updated_at;
        const auto serving_since = known->target_serving_since.find(
            target->service + " " + target->address);
        if (serving_since != known->target_serving_since.end())
          item.first_seen = serving_since->second;
      }
      targets.push_back(std::move(item));
    }
  };
  add(self_, nullptr);
  for (const auto& [address, known] : members_) {
    if (!known.gone)
      add(known.entry, &known);
  }
  return targets;
}

std::vector<std::string> membership::PeersWithTargetOf(
    const std::string& service) const {
  std::vector<std::string> addresses;
  for (const auto& [address, known] : members_) {
    const auto& targets = known.entry.targets;
    if (!known.gone &&
        std::any_of(targets.begin(), targets.end(), [&](const auto& target) {
          return target != nullptr && target->service == service;
        }))
      addresses.push_back(address);
  }
  return addresses;
}

std::vector<std::string> membership::LivePeers() const {
  std::vector<std::string> peers;
  for (const auto& [address, known] : members_) {
    if (!known.gone && !known.unreachable)
      peers.push_back(address);
  }
  return peers;
}

std::vector<fbs::member_entryT> membership::Entries() const {
  std::vector<fbs::member_entryT> entries{self_};
  for (const auto& [address, known] : members_) {
    if (!known.gone)
      entries.push_back(known.entry);
  }
  return entries;
}

time_point membership::LastHeard(const roster_member& member) const {
  const auto found = members_.find(member.peer_address);
  if (found == members_.end() ||
      found->second.entry.incarnation != member.incarnation)
    return {};
  return std::max(found->second.last_contact, found->second.entry_updated_at);
}

bool membership::HasMajorityContact() const {
  const time_point now = loop_->Now();
  // Members may not have answered the most recent probes yet.
  const time_point sent_before = now - 2 * options_.gossip_interval;
  std::set<std::string> sampled;
  for (const probe& item : probes_) {
    if (item.sent_at <= sent_before)
      sampled.insert(item.address);
  }
  size_t responsive = 1;  // Counts this node.
  for (const std::string& address : sampled) {
    const auto found = members_.find(address);
    if (found != members_.end() &&
        found->second.last_contact + options_.contact_window >= now)
      ++responsive;
  }
  return responsive * 2 > sampled.size() + 1;
}

}  // namespace skylarkhoist
