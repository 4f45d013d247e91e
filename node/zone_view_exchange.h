#ifndef NODE_ZONE_VIEW_EXCHANGE_H_
#define NODE_ZONE_VIEW_EXCHANGE_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decisions/node_view_table.h"
#include "kernel/loop.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

struct zone_view_options {
  // Time between two requests of a subscriber. Shorter than the time for which
  // a message keeps a link active, so that the loss of a publisher is noticed.
  duration renewal_interval = std::chrono::seconds(2);
  // A publisher that does not answer a request within this time is replaced.
  duration answer_timeout = std::chrono::milliseconds(800);
  // A publisher that failed is not chosen again for this long while there are
  // others.
  duration failed_publisher_pause = std::chrono::seconds(3);
  // A subscription ends this long after its last request. A node that is no
  // longer a relay continues as one for as long.
  duration subscription_time = std::chrono::seconds(6);
  // A subscriber leaves a publisher that is no longer a relay after this time,
  // in which its successor gets views of its own.
  duration relay_change_delay = std::chrono::seconds(2);
  // Changes within this time are published together.
  duration publish_delay = std::chrono::milliseconds(20);
  // Nodes of a zone out of reach are still reported for this long, since the
  // next publisher usually answers at once.
  duration stale_view_time = std::chrono::seconds(2);
};

// Exchanges views of the nodes between zones, so that the traffic between zones
// does not grow with the square of the number of nodes. Each node knows the
// nodes of its own zone directly. A few nodes of each zone, its relays,
// subscribe to one node of each other zone and learn that zone's nodes from it.
// All other nodes subscribe to one of the relays of their zone and learn the
// nodes of all other zones from it.
//
// Only the first kind of subscription crosses zones. What arrives over the
// second is never passed on, so views don't travel in circles.
class zone_view_exchange {
 public:
  // `own_zone` holds the nodes of the own zone, including this node.
  zone_view_exchange(loop* loop,
                     peer_transport* transport,
                     peer_info self,
                     const node_view_table* own_zone,
                     zone_view_options options);
  ~zone_view_exchange();
  zone_view_exchange(const zone_view_exchange&) = delete;
  zone_view_exchange& operator=(const zone_view_exchange&) = delete;

  void Start();

  // Sets a callback for changes of the other zones' nodes or of what is in
  // reach.
  void OnChange(std::function<void()> callback) {
    change_callback_ = std::move(callback);
  }

  // Sets the relays of the own zone, in order of rank. This node is a relay if
  // it is one of them.
  void SetRelays(const std::vector<std::string>& relays);

  // Sets the known addresses in each other zone, to which a relay may
  // subscribe. `lacks_addresses`: this node could not get them so far.
  void SetAddresses(
      const std::map<std::string, std::set<std::string>>& addresses_by_zone,
      bool lacks_addresses);

  // Sets a callback for a publisher that lacks the addresses of other nodes.
  void OnLackingAddresses(
      std::function<void(const std::string& publisher)> callback) {
    lacking_addresses_callback_ = std::move(callback);
  }

  // The own zone's view is complete from now on: nodes that it does not contain
  // do not run.
  void SetOwnZoneComplete();

  // To be called after changes of `own_zone`.
  void OnOwnZoneChanged();

  void HandleRequest(const peer_info& from,
                     const fbs::zone_view_requestT& request);
  void HandleView(const peer_info& from, const fbs::zone_viewT& view);
  void OnLinkDown(const peer_info& peer);

  // Nodes of the other zones. They may be out of date while their zone is not
  // in reach.
  const node_view_table& other_zones() const { return other_zones_; }

  // Zones of which this node has or had a view.
  bool IsKnown(const std::string& zone) const { return zones_.count(zone) > 0; }
  // Whether there is a recent view of the zone.
  bool IsInReach(const std::string& zone) const;
  // The same, or there was one a short time ago.
  bool WasInReach(const std::string& zone) const;

  // Nodes of other zones with which this node has a subscription in either
  // direction.
  std::vector<std::string> Neighbours() const;

 private:
  // A subscription of this node.
  struct subscription {
    fbs::view_scope scope = fbs::view_scope::kOwnZone;
    // Empty while none is chosen.
    std::string publisher;
    time_point requested_at;
    // Whether there was an answer from this publisher, and whether there was
    // one since the last request.
    bool answered = false;
    bool answered_last = false;
    // Position of the last view from this publisher.
    uint64_t known_incarnation = 0;
    uint64_t known_change = 0;
  };
  // A subscription of another node.
  struct subscriber {
    fbs::view_scope scope = fbs::view_scope::kOwnZone;
    std::string zone;
    uint64_t sent_change = 0;
    time_point expires_at;
  };
  struct zone_state {
    bool in_reach = false;
    time_point lost_at;
  };

  void Tick();
  void UpdateSubscriptions();
  // Renews the subscription if that is due, or chooses another publisher.
  void Renew(const std::string& key, subscription* own);
  // Possible publishers, the preferred one first.
  std::vector<std::string> CandidatesFor(const std::string& key) const;
  void ChoosePublisher(const std::string& key, subscription* own);
  void SendRequest(subscription* own);
  void OnPublisherFailed(const std::string& key, subscription* own);
  bool IsActingRelay() const;
  // Whether a subscription of this node has no answer yet.
  bool HasUnansweredSubscription() const;
  void SetInReach(const std::string& zone, bool in_reach);
  void SetUnreachableZones(const std::set<std::string>& unreachable);
  void ApplyNodes(const std::string& publisher_zone,
                  const fbs::zone_viewT& view);
  void SchedulePublish();
  void Publish();
  void SendView(const std::string& address, subscriber* to, bool complete);
  fbs::zone_viewT MakeView(const subscriber& to, bool complete) const;
  void NotifyChanged();
  const node_view_table& TableOf(fbs::view_scope scope) const;
  void ScheduleTick();

  loop* loop_;
  peer_transport* transport_;
  peer_info self_;
  const node_view_table* own_zone_;
  zone_view_options options_;
  std::function<void()> change_callback_;
  std::function<void(const std::string& publisher)> lacking_addresses_callback_;
  bool is_relay_ = false;
  // This node continues as a relay until then after it lost the role.
  time_point relay_until_;
  time_point relays_changed_at_;
  bool own_zone_complete_ = false;
  std::vector<std::string> relays_;
  std::map<std::string, std::set<std::string>> addresses_by_zone_;
  bool lacks_addresses_ = true;
  node_view_table other_zones_;
  std::map<std::string, zone_state> zones_;
  // By zone; the key of the subscription to a relay of the own zone is empty.
  std::map<std::string, subscription> subscriptions_;
  // By peer address.
  std::map<std::string, subscriber> subscribers_;
  // When each publisher failed, by peer address.
  std::map<std::string, time_point> failed_publishers_;
  timer_id tick_timer_ = 0;
  timer_id publish_timer_ = 0;
};

}  // namespace skylarkhoist

#endif  // NODE_ZONE_VIEW_EXCHANGE_H_
