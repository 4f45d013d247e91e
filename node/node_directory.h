#ifndef NODE_NODE_DIRECTORY_H_
#define NODE_NODE_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "decisions/node_view_table.h"
#include "decisions/zone_roles.h"
#include "kernel/loop.h"
#include "node/target_directory.h"
#include "node/zone_view_exchange.h"
#include "wire/keyed_store.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

struct node_directory_options {
  std::string node;
  std::string zone;
  std::string peer_address;
  uint64_t incarnation = 0;
  // Time between two attempts to connect to a node of the own zone without a
  // link, and the same for a node that has had none for `long_lost_time`.
  duration reconnect_interval = std::chrono::milliseconds(500);
  duration slow_reconnect_interval = std::chrono::seconds(5);
  duration long_lost_time = std::chrono::seconds(30);
  // Time between two reads of the node records in the store, by relays and by
  // other nodes. They find nodes that could not connect to this one.
  duration relay_refresh_interval = std::chrono::seconds(30);
  duration refresh_interval = std::chrono::minutes(5);
  // A node knows all nodes of its zone this long after it has read their
  // records: by then, those that run have links with it.
  duration settling_time = std::chrono::milliseconds(1500);
  // A node that has just started takes no role for its zone, and looks for none
  // in others, for this time after it has read the records, or for the second
  // time if it cannot read them. Meanwhile it knows only some of its peers.
  duration role_delay = std::chrono::milliseconds(200);
  duration max_role_delay = std::chrono::seconds(1);
  // Changes within this time are reported together.
  duration change_delay = std::chrono::milliseconds(10);
  // After a failed link to a node of another zone, its targets are not used for
  // this long, or until it has restarted.
  duration failed_link_pause = std::chrono::seconds(2);
  zone_view_options views;
};

// The running nodes of the fleet and their targets. Each node writes its
// address to the store once, reads the addresses of the others, and keeps a
// link with each node of its own zone, over which both send their own entries.
// Of two nodes that start at the same time at least one reads the other's
// record. The nodes of other zones are known from zone_view_exchange; links
// with them open when a call needs them.
//
// Invariant: the entry of a node of the own zone is the last one that its
// present incarnation sent to this node.
class node_directory : public target_directory {
 public:
  node_directory(loop* loop,
                 keyed_store* store,
                 peer_transport* transport,
                 node_directory_options options);
  ~node_directory() override;
  node_directory(const node_directory&) = delete;
  node_directory& operator=(const node_directory&) = delete;

  void Start();

  // Replaces the targets in this node's own entry, and sends it to the others
  // when anything but the load has changed.
  void SetTargets(const std::vector<fbs::target_entryT>& targets);
  // Informs the others immediately that this node accepts no new calls.
  void SetDraining();
  // Informs the others that this process ends, and deletes its record from the
  // store.
  void Leave(std::function<void()> done);

  // To be called when the store was restored from an older copy, which may lack
  // the record of this node. Writes it again and reads those of the others.
  void OnEraChange();

  // To be called when the store answers after it did not. Reads the records at
  // once if that has failed so far.
  void OnStoreAnswered();

  void HandleGossip(const peer_info& from, const fbs::gossipT& gossip);
  void HandleViewRequest(const peer_info& from,
                         const fbs::zone_view_requestT& request) {
    views_.HandleRequest(from, request);
  }
  void HandleView(const peer_info& from, const fbs::zone_viewT& view) {
    views_.HandleView(from, view);
  }
  void HandleAddresses(const fbs::node_addressesT& message);
  void OnLinkUp(const peer_info& peer);
  void OnLinkDown(const peer_info& peer, link_down_cause cause);

  // Records whether the store answers a node of the own zone, which may be this
  // one, for the choice of readers.
  void SetStoreLost(const std::string& address, bool lost);

  std::vector<target_info> TargetsOf(const std::string& service) const override;

  // Peer addresses of the nodes of the own zone with a link, without this node.
  std::vector<std::string> ZonePeers() const;
  // Peer addresses of a few nodes of other zones.
  std::vector<std::string> Neighbours() const { return views_.Neighbours(); }

  // True when the live nodes in reach, with this one, are more than half of the
  // nodes that are not known to have ended.
  bool HasMajority() const;

  // The nodes of the own zone with a role for the zone; none at first after the
  // start.
  zone_roles Roles() const;
  // All known zones in order of their names.
  std::vector<std::string> Zones() const;

  // Sets a callback for the records of the nodes in the store, which are read
  // at the start and from time to time.
  void OnRecordsRead(
      std::function<void(const std::vector<keyed_record>&)> callback) {
    records_callback_ = std::move(callback);
  }

  // Sets a callback for changes of the nodes: one was found, got or lost its
  // link, ended, or its zone came in or out of reach.
  void OnMembersChanged(std::function<void()> callback) {
    members_changed_callback_ = std::move(callback);
  }

  // Peer addresses of the nodes that are out of reach and not known to have
  // ended, also of those that have never been in reach.
  std::set<std::string> OutOfReach() const;

  // The nodes that are live and in reach, beginning with this one.
  std::vector<node_view> LiveViews() const;

 private:
  struct member {
    std::string node;
    std::string zone;
    uint64_t incarnation = 0;
    uint16_t protocol = kMaxPeerProtocol;
    bool linked = false;
    // Its process has certainly ended, and no new one has connected.
    bool ended = false;
    bool store_lost = false;
    // The last entry that this incarnation sent.
    fbs::member_entryT entry;
    // When it was found or lost its link, and the last attempt to connect.
    time_point unlinked_since;
    time_point attempted_at;
  };
  // A failed link to a node of another zone.
  struct failed_link {
    uint64_t incarnation = 0;
    time_point until;
  };

  bool IsOwnZone(const member& each) const {
    return each.zone == options_.zone;
  }
  // Whether the node is known from its own messages over a link with it, and
  // not from views.
  bool IsKnownDirectly(const member& each) const;
  void WriteOwnRecord();
  void ReadNodeRecords();
  void OnNodeRecords(const tl::expected<keyed_batch, store_failure>& result);
  // Returns whether the node was unknown.
  bool AddMember(const std::string& address,
                 const std::string& node,
                 const std::string& zone);
  void ScheduleStep(duration delay, void (node_directory::*step)());
  void SendOwnEntry(const std::string& address);
  void SendAddresses(const std::string& to);
  void BroadcastOwnEntry();
  void Reconnect();
  void OnSettled();
  void AllowRolesAfter(duration delay);
  void UpdateOwnView();
  void UpdateView(const std::string& address, const member& each);
  bool HasFailedLink(const node_view& node) const;
  // Calls `visit` for each known node but this one, with its status as used for
  // the majority.
  void VisitStatuses(
      const std::function<void(const std::string&, node_status)>& visit) const;
  // The status of a known node as used for the majority.
  node_status StatusOf(const std::string& address, const member& each) const;
  std::vector<target_info> FindTargets(const std::string& service) const;
  void AddTargets(const node_view_table& table,
                  const node_view& node,
                  const std::string& service,
                  std::vector<target_info>* found) const;
  void NotifyMembersChanged();

  // The targets of a service, until one of the views changes or the time has
  // come.
  struct target_lookup {
    std::vector<target_info> targets;
    time_point valid_until;
  };

  loop* loop_;
  keyed_store* store_;
  peer_transport* transport_;
  node_directory_options options_;
  fbs::member_entryT self_;
  // By peer address, without this node.
  std::map<std::string, member> members_;
  // Nodes of the own zone, including this one.
  node_view_table own_zone_;
  // Nodes of other zones with a link that don't exchange views.
  node_view_table direct_nodes_;
  zone_view_exchange views_;
  // By peer address.
  std::map<std::string, failed_link> failed_links_;
  bool own_store_lost_ = false;
  bool has_read_records_ = false;
  bool settled_ = false;
  bool allows_roles_ = false;
  std::function<void()> members_changed_callback_;
  std::function<void(const std::vector<keyed_record>&)> records_callback_;
  duration retry_delay_ = duration::zero();
  // Number of the last call to the store; results of earlier ones are ignored.
  uint64_t current_call_ = 0;
  timer_id step_timer_ = 0;
  timer_id reconnect_timer_ = 0;
  timer_id settling_timer_ = 0;
  timer_id role_timer_ = 0;
  timer_id change_timer_ = 0;
  // Callbacks of the store hold a weak reference to this, since they may
  // outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  mutable std::map<std::string, target_lookup> target_lookups_;
};

}  // namespace skylarkhoist

#endif  // NODE_NODE_DIRECTORY_H_
