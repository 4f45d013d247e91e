#include "node/node_directory.h"

#include <algorithm>
#include <set>
#include <utility>

#include "kernel/json.h"
#include "kernel/log.h"
#include "node/call_types.h"
#include "node/departure_records.h"
#include "node/node_view_messages.h"
#include "wire/address.h"

namespace skylarkhoist {
namespace {

constexpr duration kMinRetryDelay = std::chrono::milliseconds(200);
constexpr duration kMaxRetryDelay = std::chrono::seconds(2);

// How long a list of targets is used again. A lookup visits all nodes, and each
// call needs one. Whether a zone is in reach also changes with time alone.
constexpr duration kTargetLookupTime = std::chrono::milliseconds(5);

// Bounds the addresses that one message may add.
constexpr size_t kMaxReceivedAddresses = 4096;

fbs::member_entryT CopyOf(const fbs::member_entryT& entry) {
  return entry;
}

peer_info SelfInfo(const node_directory_options& options) {
  return {options.peer_address, options.node, options.zone,
          options.incarnation};
}

bool SameTargets(const std::vector<std::unique_ptr<fbs::target_entryT>>& before,
                 const std::vector<fbs::target_entryT>& after) {
  return before.size() == after.size() &&
         std::equal(before.begin(), before.end(), after.begin(),
                    [](const auto& left, const fbs::target_entryT& right) {
                      return left->service == right.service &&
                             left->address == right.address &&
                             left->state == right.state &&
                             left->limit == right.limit &&
                             left->speed_milli == right.speed_milli &&
                             left->version == right.version;
                    });
}

}  // namespace

node_directory::node_directory(loop* loop,
                               keyed_store* store,
                               peer_transport* transport,
                               node_directory_options options)
    : loop_(loop),
      store_(store),
      transport_(transport),
      options_(std::move(options)),
      views_(loop, transport, SelfInfo(options_), &own_zone_, options_.views) {
  self_.node = options_.node;
  self_.zone = options_.zone;
  self_.peer_address = options_.peer_address;
  self_.incarnation = options_.incarnation;
  self_.version = 1;
  self_.protocol = kMaxPeerProtocol;
  self_.lacks_addresses = true;
  views_.OnChange([this] { NotifyMembersChanged(); });
  views_.OnLackingAddresses(
      [this](const std::string& publisher) { SendAddresses(publisher); });
  UpdateOwnView();
}

node_directory::~node_directory() {
  loop_->Cancel(step_timer_);
  loop_->Cancel(reconnect_timer_);
  loop_->Cancel(settling_timer_);
  loop_->Cancel(role_timer_);
  loop_->Cancel(change_timer_);
}

void node_directory::Start() {
  WriteOwnRecord();
  views_.Start();
  AllowRolesAfter(options_.max_role_delay);
  reconnect_timer_ =
      loop_->RunAfter(options_.reconnect_interval, [this] { Reconnect(); });
}

void node_directory::ScheduleStep(duration delay,
                                  void (node_directory::*step)()) {
  loop_->Cancel(step_timer_);
  step_timer_ = loop_->RunAfter(delay, [this, step] {
    step_timer_ = 0;
    (this->*step)();
  });
}

void node_directory::WriteOwnRecord() {
  const json record = {{"address", options_.peer_address},
                       {"zone", options_.zone},
                       {"incarnation", options_.incarnation}};
  store_->Put(store_topic::kNodes, options_.node, JsonText(record),
              [this, call = ++current_call_,
               alive = std::weak_ptr<bool>(alive_)](const auto& result) {
                if (alive.expired() || call != current_call_)
                  return;
                if (result) {
                  retry_delay_ = duration::zero();
                  ReadNodeRecords();
                  return;
                }
                retry_delay_ = std::clamp(retry_delay_ * 2, kMinRetryDelay,
                                          kMaxRetryDelay);
                ScheduleStep(retry_delay_, &node_directory::WriteOwnRecord);
              });
}

void node_directory::OnEraChange() {
  if (self_.state == fbs::member_state::kGone)
    return;
  loop_->Cancel(step_timer_);
  step_timer_ = 0;
  WriteOwnRecord();
}

void node_directory::OnStoreAnswered() {
  if (has_read_records_ || self_.state == fbs::member_state::kGone)
    return;
  loop_->Cancel(step_timer_);
  step_timer_ = 0;
  WriteOwnRecord();
}

void node_directory::ReadNodeRecords() {
  store_->ReadNewest(store_topic::kNodes,
                     [this, call = ++current_call_,
                      alive = std::weak_ptr<bool>(alive_)](const auto& result) {
                       if (!alive.expired() && call == current_call_)
                         OnNodeRecords(result);
                     });
}

bool node_directory::AddMember(const std::string& address,
                               const std::string& node,
                               const std::string& zone) {
  // The record of a node that used this node's address earlier is ignored.
  if (address == options_.peer_address)
    return false;
  const auto [found, inserted] = members_.try_emplace(address);
  if (!inserted)
    return false;
  found->second.node = node;
  found->second.zone = zone;
  found->second.unlinked_since = loop_->Now();
  if (IsOwnZone(found->second)) {
    found->second.attempted_at = loop_->Now();
    SendOwnEntry(address);
  }
  return true;
}

void node_directory::OnNodeRecords(
    const tl::expected<keyed_batch, store_failure>& result) {
  if (!result) {
    retry_delay_ = std::clamp(retry_delay_ * 2, kMinRetryDelay, kMaxRetryDelay);
    ScheduleStep(retry_delay_, &node_directory::ReadNodeRecords);
    return;
  }
  retry_delay_ = duration::zero();
  if (records_callback_)
    records_callback_(result->records);
  self_.lacks_addresses = false;
  size_t added = 0;
  for (const keyed_record& record : result->records) {
    if (!record.value || record.key == options_.node ||
        NodeOfDepartureKey(record.key))
      continue;
    const auto value = ParseJson(*record.value);
    if (!value || !value->is_object() || !value->contains("address") ||
        !(*value)["address"].is_string() || !value->contains("zone") ||
        !(*value)["zone"].is_string() ||
        !IsConnectable((*value)["address"].get<std::string>())) {
      LogWarning("directory", "bad_record", {{"key", record.key}});
      continue;
    }
    added += AddMember((*value)["address"], record.key, (*value)["zone"]);
  }
  LogStateChange("directory", "nodes_read",
                 {{"added", std::to_string(added)},
                  {"known", std::to_string(members_.size())}});
  if (!std::exchange(has_read_records_, true)) {
    settling_timer_ = loop_->RunAfter(options_.settling_time, [this] {
      settling_timer_ = 0;
      OnSettled();
    });
    AllowRolesAfter(options_.role_delay);
  }
  if (added > 0)
    NotifyMembersChanged();
  const zone_roles roles = Roles();
  const bool is_relay = std::find(roles.relays.begin(), roles.relays.end(),
                                  options_.peer_address) != roles.relays.end();
  ScheduleStep(
      is_relay ? options_.relay_refresh_interval : options_.refresh_interval,
      &node_directory::ReadNodeRecords);
}

void node_directory::AllowRolesAfter(duration delay) {
  if (allows_roles_)
    return;
  loop_->Cancel(role_timer_);
  role_timer_ = loop_->RunAfter(delay, [this] {
    role_timer_ = 0;
    allows_roles_ = true;
    NotifyMembersChanged();
  });
}

void node_directory::OnSettled() {
  settled_ = true;
  for (const auto& [address, each] : members_) {
    if (IsOwnZone(each))
      UpdateView(address, each);
  }
  views_.SetOwnZoneComplete();
}

void node_directory::SendAddresses(const std::string& to) {
  fbs::node_addressesT message;
  for (const auto& [address, each] : members_) {
    if (each.ended || address == to)
      continue;
    auto item = std::make_unique<fbs::node_addressT>();
    item->address = address;
    item->zone = each.zone;
    message.addresses.push_back(std::move(item));
  }
  transport_->Send(to, MakeEnvelope(std::move(message)));
}

void node_directory::HandleAddresses(const fbs::node_addressesT& message) {
  bool added = false;
  const size_t count =
      std::min(message.addresses.size(), kMaxReceivedAddresses);
  for (size_t i = 0; i < count; ++i) {
    const auto& item = message.addresses[i];
    if (item != nullptr && IsConnectable(item->address) && !item->zone.empty())
      added = AddMember(item->address, std::string(), item->zone) || added;
  }
  self_.lacks_addresses = false;
  if (added)
    NotifyMembersChanged();
}

void node_directory::SendOwnEntry(const std::string& address) {
  fbs::gossipT gossip;
  gossip.entries.push_back(std::make_unique<fbs::member_entryT>(CopyOf(self_)));
  transport_->Send(address, MakeEnvelope(std::move(gossip)));
}

bool node_directory::IsKnownDirectly(const member& each) const {
  return IsOwnZone(each) || each.protocol < kZoneViewProtocol;
}

void node_directory::BroadcastOwnEntry() {
  ++self_.version;
  UpdateOwnView();
  for (const auto& [address, each] : members_) {
    if (each.linked && IsKnownDirectly(each))
      SendOwnEntry(address);
  }
}

void node_directory::Reconnect() {
  const time_point now = loop_->Now();
  for (auto& [address, each] : members_) {
    if (each.linked || !IsOwnZone(each))
      continue;
    const bool long_lost = now - each.unlinked_since >= options_.long_lost_time;
    if (long_lost && now - each.attempted_at < options_.slow_reconnect_interval)
      continue;
    each.attempted_at = now;
    SendOwnEntry(address);
  }
  reconnect_timer_ =
      loop_->RunAfter(options_.reconnect_interval, [this] { Reconnect(); });
}

void node_directory::UpdateOwnView() {
  target_lookups_.clear();
  own_zone_.Update(ViewOf(self_, node_status::kLive), loop_->Now());
  views_.OnOwnZoneChanged();
}

void node_directory::SetTargets(
    const std::vector<fbs::target_entryT>& targets) {
  const bool same = SameTargets(self_.targets, targets);
  self_.targets.clear();
  for (const fbs::target_entryT& target : targets)
    self_.targets.push_back(std::make_unique<fbs::target_entryT>(target));
  if (!same)
    BroadcastOwnEntry();
}

void node_directory::SetDraining() {
  self_.state = fbs::member_state::kDraining;
  BroadcastOwnEntry();
  NotifyMembersChanged();
}

void node_directory::Leave(std::function<void()> done) {
  self_.state = fbs::member_state::kGone;
  BroadcastOwnEntry();
  store_->Put(store_topic::kNodes, options_.node, std::nullopt,
              [done = std::move(done)](const auto& /*result*/) { done(); });
}

void node_directory::HandleGossip(const peer_info& from,
                                  const fbs::gossipT& gossip) {
  const auto found = members_.find(from.address);
  if (found == members_.end() || gossip.entries.empty() ||
      gossip.entries.front() == nullptr)
    return;
  member& sender = found->second;
  const fbs::member_entryT& entry = *gossip.entries.front();
  if (entry.incarnation != from.incarnation ||
      entry.peer_address != from.address || entry.zone != sender.zone ||
      (sender.entry.incarnation == entry.incarnation &&
       sender.entry.version >= entry.version))
    return;
  for (const auto& target : entry.targets) {
    if (target == nullptr)
      return;
  }
  const bool was_draining = sender.entry.state != fbs::member_state::kServing;
  sender.entry = CopyOf(entry);
  const bool ended = entry.state == fbs::member_state::kGone;
  const bool changed =
      ended != sender.ended ||
      was_draining != (entry.state != fbs::member_state::kServing);
  sender.ended = ended;
  UpdateView(from.address, sender);
  if (entry.lacks_addresses && !self_.lacks_addresses)
    SendAddresses(from.address);
  if (changed)
    NotifyMembersChanged();
}

// Updates the view of a node that is known directly.
void node_directory::UpdateView(const std::string& address,
                                const member& each) {
  if (!IsKnownDirectly(each) || (each.incarnation == 0 && !settled_))
    return;
  target_lookups_.clear();
  fbs::member_entryT entry = CopyOf(each.entry);
  if (entry.incarnation != each.incarnation || entry.peer_address.empty()) {
    entry = fbs::member_entryT();
    entry.node = each.node;
    entry.zone = each.zone;
    entry.peer_address = address;
    entry.incarnation = each.incarnation;
    entry.protocol = each.protocol;
  }
  node_status status = node_status::kLost;
  if (each.ended)
    status = node_status::kEnded;
  else if (each.linked)
    status = node_status::kLive;
  if (IsOwnZone(each)) {
    if (own_zone_.Update(ViewOf(entry, status), loop_->Now()))
      views_.OnOwnZoneChanged();
  } else {
    direct_nodes_.Update(ViewOf(entry, status), loop_->Now());
  }
}

void node_directory::OnLinkUp(const peer_info& peer) {
  if (peer.address == options_.peer_address)
    return;
  member& known = members_[peer.address];
  if (known.incarnation != peer.incarnation) {
    known.entry = fbs::member_entryT();
    known.store_lost = false;
  }
  known.node = peer.node;
  known.zone = peer.zone;
  known.incarnation = peer.incarnation;
  known.protocol = peer.protocol;
  known.linked = true;
  known.ended = false;
  failed_links_.erase(peer.address);
  LogStateChange("directory", "link_up",
                 {{"peer", peer.node}, {"address", peer.address}});
  UpdateView(peer.address, known);
  if (IsKnownDirectly(known))
    SendOwnEntry(peer.address);
  NotifyMembersChanged();
}

void node_directory::OnLinkDown(const peer_info& peer, link_down_cause cause) {
  views_.OnLinkDown(peer);
  const auto found = members_.find(peer.address);
  if (found == members_.end())
    return;
  member& known = found->second;
  const bool ended = cause == link_down_cause::kRefused;
  if (!known.linked && known.ended == (known.ended || ended) &&
      IsOwnZone(known))
    return;
  if (known.linked) {
    LogStateChange("directory", "link_down",
                   {{"peer", known.node},
                    {"address", peer.address},
                    {"cause", std::to_string(static_cast<int>(cause))}});
    known.unlinked_since = loop_->Now();
  }
  known.linked = false;
  if (!IsKnownDirectly(known)) {
    failed_links_[peer.address] = {known.incarnation,
                                   loop_->Now() + options_.failed_link_pause};
    return;
  }
  known.ended = known.ended || ended;
  UpdateView(peer.address, known);
  NotifyMembersChanged();
}

void node_directory::SetStoreLost(const std::string& address, bool lost) {
  const auto found = members_.find(address);
  if (address != options_.peer_address && found == members_.end())
    return;
  bool& known = address == options_.peer_address ? own_store_lost_
                                                 : found->second.store_lost;
  if (std::exchange(known, lost) != lost)
    NotifyMembersChanged();
}

// Reports changes in a later round of the loop, so that many links that come up
// at the same time are reported once.
void node_directory::NotifyMembersChanged() {
  target_lookups_.clear();
  if (change_timer_ != 0)
    return;
  change_timer_ = loop_->RunAfter(options_.change_delay, [this] {
    change_timer_ = 0;
    std::map<std::string, std::set<std::string>> addresses;
    for (const auto& [address, each] : members_) {
      if (!IsOwnZone(each) && each.protocol >= kZoneViewProtocol)
        addresses[each.zone].insert(address);
    }
    for (const node_view* node : views_.other_zones().Nodes()) {
      if (node->status != node_status::kEnded)
        addresses[node->zone].insert(node->address);
    }
    views_.SetAddresses(addresses, self_.lacks_addresses);
    views_.SetRelays(Roles().relays);
    if (members_changed_callback_)
      members_changed_callback_();
  });
}

bool node_directory::HasFailedLink(const node_view& node) const {
  const auto failed = failed_links_.find(node.address);
  return failed != failed_links_.end() &&
         failed->second.incarnation == node.incarnation &&
         loop_->Now() < failed->second.until;
}

void node_directory::AddTargets(const node_view_table& table,
                                const node_view& node,
                                const std::string& service,
                                std::vector<target_info>* found) const {
  if (node.status != node_status::kLive || node.draining)
    return;
  for (const target_view& target : node.targets) {
    if (target.service != service || !target.serving)
      continue;
    target_info item;
    item.peer_address = node.address;
    item.zone = node.zone;
    item.incarnation = node.incarnation;
    item.load_permille = target.load_permille;
    item.limit = target.limit;
    item.run_time = RunTimeAt(target.limit, target.speed_milli);
    item.expected_time = std::chrono::microseconds(target.expected_us);
    item.version = target.version;
    item.first_seen = table.ServingSince(node.address, target.address);
    found->push_back(std::move(item));
  }
}

std::vector<target_info> node_directory::TargetsOf(
    const std::string& service) const {
  const time_point now = loop_->Now();
  target_lookup& lookup = target_lookups_[service];
  if (lookup.valid_until <= now)
    lookup = {FindTargets(service), now + kTargetLookupTime};
  return lookup.targets;
}

std::vector<target_info> node_directory::FindTargets(
    const std::string& service) const {
  std::vector<target_info> found;
  for (const node_view* node : own_zone_.Nodes())
    AddTargets(own_zone_, *node, service, &found);
  const node_view_table& other_zones = views_.other_zones();
  for (const node_view* node : other_zones.Nodes()) {
    if (views_.WasInReach(node->zone) && !HasFailedLink(*node))
      AddTargets(other_zones, *node, service, &found);
  }
  for (const node_view* node : direct_nodes_.Nodes()) {
    if (!views_.IsInReach(node->zone))
      AddTargets(direct_nodes_, *node, service, &found);
  }
  return found;
}

std::vector<std::string> node_directory::ZonePeers() const {
  std::vector<std::string> peers;
  for (const auto& [address, each] : members_) {
    if (IsOwnZone(each) && each.linked && !each.ended)
      peers.push_back(address);
  }
  return peers;
}

std::vector<node_view> node_directory::LiveViews() const {
  std::vector<node_view> live = {ViewOf(self_, node_status::kLive)};
  const auto add = [&](const node_view& node) {
    if (node.status == node_status::kLive &&
        node.address != options_.peer_address)
      live.push_back(node);
  };
  for (const node_view* node : own_zone_.Nodes())
    add(*node);
  for (const node_view* node : views_.other_zones().Nodes()) {
    if (views_.IsInReach(node->zone))
      add(*node);
  }
  for (const node_view* node : direct_nodes_.Nodes()) {
    if (!views_.IsInReach(node->zone))
      add(*node);
  }
  return live;
}

node_status node_directory::StatusOf(const std::string& address,
                                     const member& each) const {
  if (!IsOwnZone(each)) {
    const node_view* node = views_.other_zones().Find(address);
    if (node != nullptr &&
        (views_.IsInReach(each.zone) || node->status == node_status::kEnded))
      return node->status;
    if (!IsKnownDirectly(each))
      return node_status::kLost;
  }
  if (each.ended)
    return node_status::kEnded;
  return each.linked ? node_status::kLive : node_status::kLost;
}

void node_directory::VisitStatuses(
    const std::function<void(const std::string&, node_status)>& visit) const {
  for (const auto& [address, each] : members_)
    visit(address, StatusOf(address, each));
  for (const node_view* node : views_.other_zones().Nodes()) {
    if (members_.count(node->address) > 0)
      continue;
    const bool counts_as_lost =
        node->status == node_status::kLive && !views_.IsInReach(node->zone);
    visit(node->address, counts_as_lost ? node_status::kLost : node->status);
  }
}

bool node_directory::HasMajority() const {
  size_t running = 1;
  size_t live = 1;
  VisitStatuses([&](const std::string& /*address*/, node_status status) {
    running += status == node_status::kEnded ? 0 : 1;
    live += status == node_status::kLive ? 1 : 0;
  });
  return live * 2 > running;
}

std::set<std::string> node_directory::OutOfReach() const {
  std::set<std::string> found;
  VisitStatuses([&](const std::string& address, node_status status) {
    if (status == node_status::kLost)
      found.insert(address);
  });
  return found;
}

zone_roles node_directory::Roles() const {
  if (!allows_roles_)
    return {};
  std::vector<zone_node> nodes;
  if (self_.state == fbs::member_state::kServing)
    nodes.push_back({options_.peer_address, options_.node, own_store_lost_});
  for (const auto& [address, each] : members_) {
    if (IsOwnZone(each) && each.linked && !each.ended &&
        each.protocol >= kZoneViewProtocol &&
        each.entry.state == fbs::member_state::kServing)
      nodes.push_back({address, each.node, each.store_lost});
  }
  return AssignZoneRoles(nodes, Zones().size());
}

std::vector<std::string> node_directory::Zones() const {
  std::set<std::string> zones = {options_.zone};
  for (const auto& [address, each] : members_)
    zones.insert(each.zone);
  for (const node_view* node : views_.other_zones().Nodes())
    zones.insert(node->zone);
  return {zones.begin(), zones.end()};
}

}  // namespace skylarkhoist
