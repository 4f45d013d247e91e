#include "node/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

// Each change is passed on this often by each node. With a fan-out of 3 an
// update reaches 1,300 nodes in about 7 rounds; 8 sends leave room for losses.
constexpr int kSendsPerChange = 8;

// Ended incarnations are remembered this long, so that late gossip does not
// revive them.
constexpr duration kGoneMemory = std::chrono::minutes(2);

// Rough size of an entry on the wire, for the bound on message size.
size_t EstimatedBytes(const fbs::member_entryT& entry) {
  size_t bytes = 96 + entry.node.size() + entry.zone.size() +
                 entry.peer_address.size() + entry.public_address.size();
  for (const auto& target : entry.targets)
    bytes += 40 + target->service.size() + target->address.size();
  return bytes;
}

// True when `next` says more than the load and the offset that the node
// reports every second. Only such changes are passed on: load reports of all
// nodes would fill every message and delay changes of state.
bool ChangesState(const fbs::member_entryT& last,
                  const fbs::member_entryT& next) {
  if (last.state != next.state || last.zone != next.zone ||
      last.public_address != next.public_address ||
      last.targets.size() != next.targets.size())
    return true;
  for (size_t i = 0; i < next.targets.size(); ++i) {
    const auto& before = last.targets[i];
    const auto& after = next.targets[i];
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
  for (const std::string& seed : options_.seeds) {
    if (seed != options_.peer_address)
      SendTo(seed, true);
  }
  timer_ = loop_->RunAfter(options_.gossip_interval, [this] { Tick(); });
}

void membership::Tick() {
  ForgetGone();
  for (const std::string& address : PickPeers()) {
    probes_.push_back({address, loop_->Now()});
    SendTo(address, false);
  }
  while (!probes_.empty() &&
         probes_.front().sent_at + options_.contact_window < loop_->Now())
    probes_.pop_front();
  timer_ = loop_->RunAfter(options_.gossip_interval, [this] { Tick(); });
}

// Picks among roster members and all others known, dead or alive: a dead one
// costs a failed connection and is found alive again this way.
std::vector<std::string> membership::PickPeers() {
  std::set<std::string> known(options_.seeds.begin(), options_.seeds.end());
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

void membership::ForgetGone() {
  for (auto item = members_.begin(); item != members_.end();) {
    const member& known = item->second;
    if (known.gone && known.entry_at + kGoneMemory < loop_->Now())
      item = members_.erase(item);
    else
      ++item;
  }
}

void membership::TouchSelf() {
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
  TouchSelf();
  if (!changed)
    return;
  // A change of state must be known within seconds everywhere; load alone
  // travels with answers.
  for (const std::string& address : LivePeers())
    SendTo(address, false);
}

void membership::SetDraining() {
  self_.state = fbs::member_state::kDraining;
  TouchSelf();
  for (const std::string& address : LivePeers())
    SendTo(address, false);
}

void membership::AnnounceGone() {
  self_.state = fbs::member_state::kGone;
  TouchSelf();
  for (const std::string& address : LivePeers())
    SendTo(address, false);
}

void membership::SetRoster(const roster_view& roster) {
  roster_ = roster;
}

void membership::SetAppliedOffset(uint64_t offset) {
  self_.applied_offset = offset;
  TouchSelf();
}

void membership::SendTo(const std::string& address, bool whole_table) {
  fbs::gossipT gossip;
  size_t bytes = EstimatedBytes(self_);
  gossip.entries.push_back(std::make_unique<fbs::member_entryT>(self_));
  for (auto& [member_address, known] : members_) {
    if (member_address == address || (!whole_table && known.sends_left <= 0))
      continue;
    const size_t size = EstimatedBytes(known.entry);
    if (bytes + size > options_.max_message_bytes) {
      if (!whole_table)
        break;
      transport_->Send(address, Envelope(std::move(gossip)));
      gossip = {};
      bytes = 0;
    }
    bytes += size;
    if (!whole_table)
      --known.sends_left;
    gossip.entries.push_back(std::make_unique<fbs::member_entryT>(known.entry));
  }
  transport_->Send(address, Envelope(std::move(gossip)));
}

void membership::HandleGossip(const peer_info& from,
                              const fbs::gossipT& gossip) {
  const bool knew_sender = members_.count(from.address) > 0;
  for (const auto& entry : gossip.entries) {
    if (entry != nullptr && !entry->peer_address.empty())
      Apply(*entry);
  }
  // A node that has just started speaks of itself alone.
  const bool sender_knows_nobody = gossip.entries.size() <= 1;
  if (!knew_sender && sender_knows_nobody)
    SendTo(from.address, true);
}

void membership::Apply(const fbs::member_entryT& entry) {
  if (entry.peer_address == options_.peer_address)
    return;
  const time_point now = loop_->Now();
  auto [found, inserted] = members_.try_emplace(entry.peer_address);
  member& known = found->second;
  const bool same_run =
      !inserted && known.entry.incarnation == entry.incarnation;
  // An incarnation that ended stays ended, whatever late gossip says of it.
  if (same_run && (known.gone || entry.version <= known.entry.version))
    return;
  // Between two runs at one address only direct contact decides which is the
  // newer one.
  if (!inserted && !same_run && !known.gone)
    return;
  if (!same_run) {
    known = member{};
  }
  if (!same_run || ChangesState(known.entry, entry))
    known.sends_left = kSendsPerChange;
  known.entry = entry;
  known.entry_at = now;
  known.gone = entry.state == fbs::member_state::kGone;
  std::map<std::string, time_point> since;
  std::set<std::string> returned;
  for (const auto& target : entry.targets) {
    if (target == nullptr || target->state != fbs::member_state::kServing)
      continue;
    const std::string key = target->service + " " + target->address;
    const auto previous = known.target_since.find(key);
    since[key] = previous == known.target_since.end() ? now : previous->second;
    if (previous == known.target_since.end())
      returned.insert(target->service);
  }
  known.target_since = std::move(since);
  for (const std::string& service : returned) {
    if (target_callback_)
      target_callback_(entry.peer_address, service);
  }
  if (peer_offset_callback_)
    peer_offset_callback_(entry.peer_address, entry.applied_offset);
}

void membership::NoteContact(const peer_info& peer) {
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
  SendTo(peer.address, members_.size() <= options_.max_table_on_link);
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
  known.entry_at = loop_->Now();
  LogStateChange("membership", "node_gone",
                 {{"node", known.entry.node}, {"address", peer.address}});
}

std::vector<member_target> membership::TargetsOf(
    const std::string& service) const {
  std::vector<member_target> targets;
  const auto add = [&](const fbs::member_entryT& entry, const member* known) {
    if (entry.state != fbs::member_state::kServing)
      return;
    for (const auto& target : entry.targets) {
      if (target == nullptr || target->service != service ||
          target->state != fbs::member_state::kServing)
        continue;
      member_target item;
      item.peer_address = entry.peer_address;
      item.zone = entry.zone;
      item.incarnation = entry.incarnation;
      item.load_permille = target->load_permille;
      item.limit = target->limit;
      item.reachable = known == nullptr || !known->unreachable;
      if (known != nullptr) {
        item.load_at = known->entry_at;
        const auto since =
            known->target_since.find(target->service + " " + target->address);
        if (since != known->target_since.end())
          item.seen_since = since->second;
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

std::vector<std::string> membership::NodesBeside(
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
  return std::max(found->second.last_contact, found->second.entry_at);
}

bool membership::HearsMajority() const {
  const time_point now = loop_->Now();
  // Probes of the last tick had no time to be answered.
  const time_point answered_by = now - 2 * options_.gossip_interval;
  std::set<std::string> sampled;
  for (const probe& item : probes_) {
    if (item.sent_at <= answered_by)
      sampled.insert(item.address);
  }
  size_t heard = 1;  // This node.
  for (const std::string& address : sampled) {
    const auto found = members_.find(address);
    if (found != members_.end() &&
        found->second.last_contact + options_.contact_window >= now)
      ++heard;
  }
  return heard * 2 > sampled.size() + 1;
}

}  // namespace skylarkhoist
