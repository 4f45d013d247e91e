#include "node/zone_view_exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "kernel/log.h"
#include "node/node_view_messages.h"

namespace skylarkhoist {
namespace {

constexpr duration kTickInterval = std::chrono::milliseconds(250);

// Nodes that have ended are forgotten after this time. Until then, views that
// were made before they ended may arrive.
constexpr duration kEndedNodeRetention = std::chrono::minutes(5);

// Key of the subscription to a relay of the own zone.
constexpr char kRelayKey[] = "";

// Spreads the subscribers over the publishers.
uint64_t Preference(const std::string& subscriber,
                    const std::string& publisher) {
  const uint64_t seed = XXH64(subscriber.data(), subscriber.size(), 0);
  return XXH64(publisher.data(), publisher.size(), seed);
}

}  // namespace

zone_view_exchange::zone_view_exchange(loop* loop,
                                       peer_transport* transport,
                                       peer_info self,
                                       const node_view_table* own_zone,
                                       zone_view_options options)
    : loop_(loop),
      transport_(transport),
      self_(std::move(self)),
      own_zone_(own_zone),
      options_(options) {}

zone_view_exchange::~zone_view_exchange() {
  loop_->Cancel(tick_timer_);
  loop_->Cancel(publish_timer_);
}

void zone_view_exchange::Start() {
  ScheduleTick();
}

void zone_view_exchange::ScheduleTick() {
  tick_timer_ = loop_->RunAfter(kTickInterval, [this] { Tick(); });
}

void zone_view_exchange::Tick() {
  ScheduleTick();
  const time_point now = loop_->Now();
  other_zones_.RemoveEnded(now - kEndedNodeRetention);
  for (auto each = failed_publishers_.begin();
       each != failed_publishers_.end();) {
    each = now - each->second >= options_.failed_publisher_pause
               ? failed_publishers_.erase(each)
               : std::next(each);
  }
  UpdateSubscriptions();
  for (auto& [key, own] : subscriptions_)
    Renew(key, &own);
}

void zone_view_exchange::SetRelays(const std::vector<std::string>& relays) {
  if (relays == relays_)
    return;
  relays_ = relays;
  relays_changed_at_ = loop_->Now();
  const bool was_relay = is_relay_;
  is_relay_ =
      std::find(relays_.begin(), relays_.end(), self_.address) != relays_.end();
  if (was_relay && !is_relay_)
    relay_until_ = loop_->Now() + options_.subscription_time;
  if (was_relay != is_relay_)
    LogStateChange("views", is_relay_ ? "relay_started" : "relay_ended",
                   {{"node", self_.node}, {"zone", self_.zone}});
  UpdateSubscriptions();
}

void zone_view_exchange::SetAddresses(
    const std::map<std::string, std::set<std::string>>& addresses_by_zone,
    bool lacks_addresses) {
  addresses_by_zone_ = addresses_by_zone;
  lacks_addresses_ = lacks_addresses;
  UpdateSubscriptions();
}

void zone_view_exchange::SetOwnZoneComplete() {
  if (std::exchange(own_zone_complete_, true))
    return;
  // Subscribers have got partial views so far.
  for (auto& [address, each] : subscribers_) {
    if (each.scope == fbs::view_scope::kOwnZone)
      SendView(address, &each, /*complete=*/true);
  }
}

bool zone_view_exchange::IsActingRelay() const {
  return is_relay_ || loop_->Now() < relay_until_;
}

// A relay has a subscription to each other zone, another node one to a relay.
void zone_view_exchange::UpdateSubscriptions() {
  const bool relay = IsActingRelay();
  for (auto each = subscriptions_.begin(); each != subscriptions_.end();) {
    const bool wanted =
        each->first == kRelayKey
            ? !relay
            : relay && addresses_by_zone_.count(each->first) > 0;
    each = wanted ? std::next(each) : subscriptions_.erase(each);
  }
  std::vector<std::string> keys;
  if (!relay) {
    keys.emplace_back(kRelayKey);
  } else {
    for (const auto& [zone, addresses] : addresses_by_zone_)
      keys.push_back(zone);
  }
  for (const std::string& key : keys) {
    const auto [own, inserted] = subscriptions_.try_emplace(key);
    if (!inserted && !own->second.publisher.empty())
      continue;
    own->second.scope = key == kRelayKey ? fbs::view_scope::kOtherZones
                                         : fbs::view_scope::kOwnZone;
    ChoosePublisher(key, &own->second);
  }
}

void zone_view_exchange::Renew(const std::string& key, subscription* own) {
  const time_point now = loop_->Now();
  if (own->publisher.empty()) {
    ChoosePublisher(key, own);
    return;
  }
  if (!own->answered_last &&
      now - own->requested_at >= options_.answer_timeout) {
    OnPublisherFailed(key, own);
    return;
  }
  const node_view* publisher = other_zones_.Find(own->publisher);
  const bool is_leaving = publisher != nullptr && publisher->draining;
  const bool is_replaced_relay =
      key == kRelayKey && !relays_.empty() &&
      std::find(relays_.begin(), relays_.end(), own->publisher) ==
          relays_.end() &&
      now - relays_changed_at_ >= options_.relay_change_delay;
  if (own->answered && (is_leaving || is_replaced_relay))
    ChoosePublisher(key, own);
  else if (now - own->requested_at >= options_.renewal_interval)
    SendRequest(own);
}

std::vector<std::string> zone_view_exchange::CandidatesFor(
    const std::string& key) const {
  std::vector<std::string> candidates;
  if (key == kRelayKey) {
    candidates = relays_;
  } else {
    const auto found = addresses_by_zone_.find(key);
    if (found != addresses_by_zone_.end())
      candidates.assign(found->second.begin(), found->second.end());
  }
  candidates.erase(
      std::remove(candidates.begin(), candidates.end(), self_.address),
      candidates.end());
  const auto rank = [&](const std::string& address) {
    const node_view* known = other_zones_.Find(address);
    const bool is_live = known != nullptr &&
                         known->status == node_status::kLive &&
                         !known->draining;
    return std::make_tuple(failed_publishers_.count(address) > 0,
                           key != kRelayKey && !is_live,
                           Preference(self_.address, address));
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const std::string& left, const std::string& right) {
              return rank(left) < rank(right);
            });
  return candidates;
}

void zone_view_exchange::ChoosePublisher(const std::string& key,
                                         subscription* own) {
  const std::vector<std::string> candidates = CandidatesFor(key);
  own->answered = false;
  own->known_incarnation = 0;
  own->publisher = candidates.empty() ? std::string() : candidates.front();
  if (!own->publisher.empty())
    SendRequest(own);
}

void zone_view_exchange::SendRequest(subscription* own) {
  own->requested_at = loop_->Now();
  own->answered_last = false;
  fbs::zone_view_requestT request;
  request.scope = own->scope;
  if (own->known_incarnation != 0) {
    request.known = std::make_unique<fbs::view_positionT>();
    request.known->incarnation = own->known_incarnation;
    request.known->change = own->known_change;
  }
  transport_->Send(own->publisher, MakeEnvelope(std::move(request)));
}

void zone_view_exchange::OnPublisherFailed(const std::string& key,
                                           subscription* own) {
  failed_publishers_[own->publisher] = loop_->Now();
  ChoosePublisher(key, own);
  if (key == kRelayKey) {
    for (const auto& [zone, state] : zones_)
      SetInReach(zone, false);
  } else {
    SetInReach(key, false);
  }
  NotifyChanged();
}

void zone_view_exchange::OnLinkDown(const peer_info& peer) {
  subscribers_.erase(peer.address);
  for (auto& [key, own] : subscriptions_) {
    if (own.publisher == peer.address)
      OnPublisherFailed(key, &own);
  }
}

void zone_view_exchange::SetInReach(const std::string& zone, bool in_reach) {
  zone_state& state = zones_[zone];
  if (state.in_reach == in_reach)
    return;
  state.in_reach = in_reach;
  if (!in_reach)
    state.lost_at = loop_->Now();
  LogStateChange("views", in_reach ? "zone_in_reach" : "zone_out_of_reach",
                 {{"zone", zone}});
  other_zones_.CountChange();
  SchedulePublish();
}

void zone_view_exchange::SetUnreachableZones(
    const std::set<std::string>& unreachable) {
  std::set<std::string> zones = unreachable;
  for (const node_view* node : other_zones_.Nodes())
    zones.insert(node->zone);
  for (const std::string& zone : zones)
    SetInReach(zone, unreachable.count(zone) == 0);
}

bool zone_view_exchange::IsInReach(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.in_reach;
}

bool zone_view_exchange::WasInReach(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() &&
         (found->second.in_reach ||
          loop_->Now() - found->second.lost_at < options_.stale_view_time);
}

std::vector<std::string> zone_view_exchange::Neighbours() const {
  std::set<std::string> addresses;
  for (const auto& [key, own] : subscriptions_) {
    if (key != kRelayKey && own.answered)
      addresses.insert(own.publisher);
  }
  for (const auto& [address, each] : subscribers_) {
    if (each.zone != self_.zone)
      addresses.insert(address);
  }
  return {addresses.begin(), addresses.end()};
}

const node_view_table& zone_view_exchange::TableOf(
    fbs::view_scope scope) const {
  return scope == fbs::view_scope::kOwnZone ? *own_zone_ : other_zones_;
}

void zone_view_exchange::HandleRequest(const peer_info& from,
                                       const fbs::zone_view_requestT& request) {
  if (request.scope > fbs::view_scope::MAX)
    return;
  const time_point now = loop_->Now();
  subscriber& added = subscribers_[from.address];
  added.scope = request.scope;
  added.zone = from.zone;
  added.expires_at = now + options_.subscription_time;
  // Serves as a relay if another node takes it for one.
  if (request.scope == fbs::view_scope::kOtherZones && !is_relay_) {
    relay_until_ = now + options_.subscription_time;
    UpdateSubscriptions();
  }
  const bool continues = request.known != nullptr &&
                         request.known->incarnation == self_.incarnation &&
                         request.known->change <= TableOf(added.scope).change();
  added.sent_change = continues ? request.known->change : 0;
  SendView(from.address, &added, !continues);
}

bool zone_view_exchange::HasUnansweredSubscription() const {
  return subscriptions_.empty() ||
         std::any_of(subscriptions_.begin(), subscriptions_.end(),
                     [](const auto& each) { return !each.second.answered; });
}

fbs::zone_viewT zone_view_exchange::MakeView(const subscriber& to,
                                             bool complete) const {
  const node_view_table& table = TableOf(to.scope);
  fbs::zone_viewT view;
  view.scope = to.scope;
  view.complete = complete;
  view.partial = to.scope == fbs::view_scope::kOwnZone
                     ? !own_zone_complete_
                     : HasUnansweredSubscription();
  view.lacks_addresses = lacks_addresses_;
  view.position = std::make_unique<fbs::view_positionT>();
  view.position->incarnation = self_.incarnation;
  view.position->change = table.change();
  for (const node_view* node :
       table.ChangedSince(complete ? 0 : to.sent_change)) {
    // Nodes that this one has not reached yet may be live.
    const bool is_known =
        !view.partial || node->status == node_status::kLive || !complete;
    if (is_known && node->zone != to.zone)
      view.nodes.push_back(ToWire(*node));
  }
  if (to.scope == fbs::view_scope::kOtherZones) {
    for (const auto& [zone, addresses] : addresses_by_zone_) {
      if (!IsInReach(zone))
        view.unreachable_zones.push_back(zone);
    }
  }
  return view;
}

void zone_view_exchange::SendView(const std::string& address,
                                  subscriber* to,
                                  bool complete) {
  fbs::zone_viewT view = MakeView(*to, complete);
  to->sent_change = view.position->change;
  transport_->Send(address, MakeEnvelope(std::move(view)));
}

void zone_view_exchange::OnOwnZoneChanged() {
  SchedulePublish();
}

void zone_view_exchange::SchedulePublish() {
  if (publish_timer_ == 0)
    publish_timer_ = loop_->RunAfter(options_.publish_delay, [this] {
      publish_timer_ = 0;
      Publish();
    });
}

void zone_view_exchange::Publish() {
  const time_point now = loop_->Now();
  for (auto each = subscribers_.begin(); each != subscribers_.end();) {
    each = each->second.expires_at <= now ? subscribers_.erase(each)
                                          : std::next(each);
  }
  for (auto& [address, each] : subscribers_) {
    if (TableOf(each.scope).change() > each.sent_change)
      SendView(address, &each, /*complete=*/false);
  }
}

void zone_view_exchange::HandleView(const peer_info& from,
                                    const fbs::zone_viewT& view) {
  const bool from_relay = view.scope == fbs::view_scope::kOtherZones;
  const std::string key = from_relay ? std::string(kRelayKey) : from.zone;
  const auto found = subscriptions_.find(key);
  if (found == subscriptions_.end() ||
      found->second.publisher != from.address || view.position == nullptr ||
      (from_relay && from.zone != self_.zone))
    return;
  subscription& own = found->second;
  own.answered = true;
  own.answered_last = true;
  own.known_incarnation = view.position->incarnation;
  own.known_change = view.position->change;
  const uint64_t change_before = other_zones_.change();
  ApplyNodes(from.zone, view);
  if (from_relay)
    SetUnreachableZones(
        {view.unreachable_zones.begin(), view.unreachable_zones.end()});
  else
    SetInReach(from.zone, true);
  if (view.lacks_addresses && lacking_addresses_callback_)
    lacking_addresses_callback_(from.address);
  if (other_zones_.change() == change_before)
    return;
  SchedulePublish();
  NotifyChanged();
}

void zone_view_exchange::ApplyNodes(const std::string& publisher_zone,
                                    const fbs::zone_viewT& view) {
  const bool from_relay = view.scope == fbs::view_scope::kOtherZones;
  const time_point now = loop_->Now();
  std::set<std::string> addresses;
  for (const auto& message : view.nodes) {
    const auto node = message == nullptr ? std::nullopt : FromWire(*message);
    if (!node || node->zone == self_.zone ||
        (!from_relay && node->zone != publisher_zone))
      continue;
    addresses.insert(node->address);
    other_zones_.Update(*node, now);
  }
  if (view.complete && !view.partial)
    other_zones_.EndMissing(from_relay ? std::string() : publisher_zone,
                            addresses, now);
}

void zone_view_exchange::NotifyChanged() {
  if (change_callback_)
    change_callback_();
}

}  // namespace skylarkhoist
