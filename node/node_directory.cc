#include "node/node_directory.h"

#include <algorithm>
#include <utility>

#include "kernel/json.h"
#include "kernel/log.h"
#include "wire/address.h"

namespace skylarkhoist {
namespace {

constexpr duration kMinRetryDelay = std::chrono::milliseconds(200);
constexpr duration kMaxRetryDelay = std::chrono::seconds(2);

fbs::member_entryT CopyOf(const fbs::member_entryT& entry) {
  return entry;
}

bool SameTargets(const std::vector<std::unique_ptr<fbs::target_entryT>>& before,
                 const std::vector<fbs::target_entryT>& after) {
  return before.size() == after.size() &&
         std::equal(before.begin(), before.end(), after.begin(),
                    [](const auto& left, const fbs::target_entryT& right) {
                      return left->service == right.service &&
                             left->address == right.address &&
                             left->state == right.state &&
                             left->limit == right.limit;
                    });
}

// Records when each target came into service and removes those out of service.
void UpdateServingSince(const fbs::member_entryT& entry,
                        time_point now,
                        std::map<std::string, time_point>* serving_since) {
  for (const auto& target : entry.targets) {
    if (target->state == fbs::member_state::kServing)
      serving_since->try_emplace(target->address, now);
    else
      serving_since->erase(target->address);
  }
}

}  // namespace

node_directory::node_directory(loop* loop,
                               keyed_store* store,
                               peer_transport* transport,
                               node_directory_options options)
    : loop_(loop),
      store_(store),
      transport_(transport),
      options_(std::move(options)) {
  self_.node = options_.node;
  self_.zone = options_.zone;
  self_.peer_address = options_.peer_address;
  self_.incarnation = options_.incarnation;
  self_.version = 1;
}

node_directory::~node_directory() {
  loop_->Cancel(step_timer_);
  loop_->Cancel(reconnect_timer_);
}

void node_directory::Start() {
  WriteOwnRecord();
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
  store_->Put(store_topic::kNodes, options_.node, record.dump(),
              [this, alive = std::weak_ptr<bool>(alive_)](const auto& result) {
                if (alive.expired())
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

void node_directory::ReadNodeRecords() {
  store_->ReadNewest(
      store_topic::kNodes,
      [this, alive = std::weak_ptr<bool>(alive_)](const auto& result) {
        if (!alive.expired())
          OnNodeRecords(result);
      });
}

void node_directory::OnNodeRecords(
    const tl::expected<keyed_batch, store_error>& result) {
  if (!result) {
    retry_delay_ = std::clamp(retry_delay_ * 2, kMinRetryDelay, kMaxRetryDelay);
    ScheduleStep(retry_delay_, &node_directory::ReadNodeRecords);
    return;
  }
  retry_delay_ = duration::zero();
  size_t added = 0;
  for (const keyed_record& record : result->records) {
    if (!record.value || record.key == options_.node)
      continue;
    const auto value = ParseJson(*record.value);
    if (!value || !value->is_object() || !value->contains("address") ||
        !(*value)["address"].is_string() || !value->contains("zone") ||
        !(*value)["zone"].is_string() ||
        !IsConnectable((*value)["address"].get<std::string>())) {
      LogWarning("directory", "bad_record", {{"key", record.key}});
      continue;
    }
    const std::string address = (*value)["address"];
    // The record of a node that used this node's address earlier.
    if (address == options_.peer_address)
      continue;
    const auto [found, inserted] = members_.try_emplace(address);
    if (!inserted)
      continue;
    ++added;
    found->second.node = record.key;
    found->second.zone = (*value)["zone"];
    SendOwnEntry(address);
  }
  LogStateChange("directory", "nodes_read",
                 {{"added", std::to_string(added)},
                  {"known", std::to_string(members_.size())}});
  if (added > 0)
    NotifyMembersChanged();
  ScheduleStep(options_.refresh_interval, &node_directory::ReadNodeRecords);
}

void node_directory::SendOwnEntry(const std::string& address) {
  fbs::gossipT gossip;
  gossip.entries.push_back(std::make_unique<fbs::member_entryT>(CopyOf(self_)));
  transport_->Send(address, MakeEnvelope(std::move(gossip)));
}

void node_directory::BroadcastOwnEntry() {
  ++self_.version;
  for (const auto& [address, each] : members_) {
    if (each.linked)
      SendOwnEntry(address);
  }
}

void node_directory::Reconnect() {
  for (const auto& [address, each] : members_) {
    if (!each.linked)
      SendOwnEntry(address);
  }
  reconnect_timer_ =
      loop_->RunAfter(options_.reconnect_interval, [this] { Reconnect(); });
}

void node_directory::SetTargets(
    const std::vector<fbs::target_entryT>& targets) {
  const bool same = SameTargets(self_.targets, targets);
  self_.targets.clear();
  for (const fbs::target_entryT& target : targets)
    self_.targets.push_back(std::make_unique<fbs::target_entryT>(target));
  UpdateServingSince(self_, loop_->Now(), &own_serving_since_);
  if (!same)
    BroadcastOwnEntry();
}

void node_directory::SetDraining() {
  self_.state = fbs::member_state::kDraining;
  BroadcastOwnEntry();
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
      entry.peer_address != from.address ||
      (sender.entry.incarnation == entry.incarnation &&
       sender.entry.version >= entry.version))
    return;
  for (const auto& target : entry.targets) {
    if (target == nullptr)
      return;
  }
  const bool ended = entry.state == fbs::member_state::kGone;
  const bool changed = ended != sender.ended;
  sender.entry = CopyOf(entry);
  sender.ended = ended;
  if (entry.state == fbs::member_state::kServing)
    UpdateServingSince(entry, loop_->Now(), &sender.serving_since);
  else
    sender.serving_since.clear();
  if (changed)
    NotifyMembersChanged();
}

void node_directory::OnLinkUp(const peer_info& peer) {
  if (peer.address == options_.peer_address)
    return;
  member& known = members_[peer.address];
  if (known.incarnation != peer.incarnation) {
    known.entry = fbs::member_entryT();
    known.serving_since.clear();
  }
  known.node = peer.node;
  known.zone = peer.zone;
  known.incarnation = peer.incarnation;
  known.linked = true;
  known.ended = false;
  LogStateChange("directory", "link_up",
                 {{"peer", peer.node}, {"address", peer.address}});
  SendOwnEntry(peer.address);
  NotifyMembersChanged();
}

void node_directory::OnLinkDown(const peer_info& peer, link_down_cause cause) {
  const auto found = members_.find(peer.address);
  if (found == members_.end())
    return;
  member& known = found->second;
  const bool ended = cause == link_down_cause::kRefused;
  if (!known.linked && known.ended == (known.ended || ended))
    return;
  if (known.linked)
    LogStateChange("directory", "link_down",
                   {{"peer", known.node},
                    {"address", peer.address},
                    {"cause", std::to_string(static_cast<int>(cause))}});
  known.linked = false;
  known.ended = known.ended || ended;
  known.serving_since.clear();
  // A new entry arrives over the next link.
  known.entry = fbs::member_entryT();
  NotifyMembersChanged();
}

void node_directory::NotifyMembersChanged() {
  if (members_changed_callback_)
    members_changed_callback_();
}

std::vector<target_info> node_directory::TargetsOf(
    const std::string& service) const {
  std::vector<target_info> found;
  const auto add = [&](const fbs::member_entryT& entry,
                       const std::map<std::string, time_point>& serving_since) {
    if (entry.state != fbs::member_state::kServing)
      return;
    for (const auto& target : entry.targets) {
      if (target->service != service ||
          target->state != fbs::member_state::kServing)
        continue;
      target_info item;
      item.peer_address = entry.peer_address;
      item.zone = entry.zone;
      item.incarnation = entry.incarnation;
      item.load_permille = target->load_permille;
      item.limit = target->limit;
      const auto start = serving_since.find(target->address);
      if (start != serving_since.end())
        item.first_seen = start->second;
      found.push_back(std::move(item));
    }
  };
  add(self_, own_serving_since_);
  for (const auto& [address, each] : members_) {
    if (each.linked)
      add(each.entry, each.serving_since);
  }
  return found;
}

std::vector<std::string> node_directory::LivePeers() const {
  std::vector<std::string> live;
  for (const auto& [address, each] : members_) {
    if (each.linked && !each.ended)
      live.push_back(address);
  }
  return live;
}

std::map<std::string, std::string> node_directory::LiveNodes() const {
  std::map<std::string, std::string> live = {
      {options_.peer_address, options_.node}};
  for (const auto& [address, each] : members_) {
    if (each.linked && !each.ended)
      live.emplace(address, each.node);
  }
  return live;
}

bool node_directory::HasMajority() const {
  size_t running = 1;
  size_t linked = 1;
  for (const auto& [address, each] : members_) {
    running += each.ended ? 0 : 1;
    linked += each.linked && !each.ended ? 1 : 0;
  }
  return linked * 2 > running;
}

std::vector<fbs::member_entryT> node_directory::Entries() const {
  std::vector<fbs::member_entryT> entries = {self_};
  for (const auto& [address, each] : members_) {
    if (each.linked)
      entries.push_back(each.entry);
  }
  return entries;
}

}  // namespace skylarkhoist
