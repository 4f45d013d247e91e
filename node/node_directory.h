#ifndef NODE_NODE_DIRECTORY_H_
#define NODE_NODE_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "kernel/loop.h"
#include "node/target_directory.h"
#include "wire/keyed_store.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

struct node_directory_options {
  std::string node;
  std::string zone;
  std::string peer_address;
  uint64_t incarnation = 0;
  // Time between two attempts to connect to a node without a link.
  duration reconnect_interval = std::chrono::milliseconds(500);
  // Time between two reads of the node records in the store. They find nodes
  // that could not connect to this one.
  duration refresh_interval = std::chrono::seconds(30);
};

// The running nodes of the fleet and their targets, without forwarded gossip:
// each node writes its address to the store once, then reads the addresses of
// the others and sends each of them its own entry over a direct link. Of two
// nodes that start at the same time at least one reads the other's record.
//
// Invariant: the entry of another node is the last one that its present
// incarnation sent to this node.
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

  void HandleGossip(const peer_info& from, const fbs::gossipT& gossip);
  void OnLinkUp(const peer_info& peer);
  void OnLinkDown(const peer_info& peer, link_down_cause cause);

  std::vector<target_info> TargetsOf(const std::string& service) const override;

  // Peer addresses of the nodes with a link, without this node.
  std::vector<std::string> LivePeers() const;
  // Names of this node and of the nodes with a link, by peer address.
  std::map<std::string, std::string> LiveNodes() const;

  // True when this node and those with a link to it are more than half of the
  // nodes that are not known to have ended.
  bool HasMajority() const;

  // Sets a callback for changes of the nodes: one was found in the store, got
  // or lost its link, or ended.
  void OnMembersChanged(std::function<void()> callback) {
    members_changed_callback_ = std::move(callback);
  }

  // The entry of this node, then those of the nodes with a link.
  std::vector<fbs::member_entryT> Entries() const;

 private:
  struct member {
    std::string node;
    std::string zone;
    uint64_t incarnation = 0;
    bool linked = false;
    // Its process has certainly ended, and no new one has connected.
    bool ended = false;
    // The last entry that this incarnation sent.
    fbs::member_entryT entry;
    // Start of service of each serving target, by its address.
    std::map<std::string, time_point> serving_since;
  };

  void WriteOwnRecord();
  void ReadNodeRecords();
  void OnNodeRecords(const tl::expected<keyed_batch, store_error>& result);
  void ScheduleStep(duration delay, void (node_directory::*step)());
  void SendOwnEntry(const std::string& address);
  void BroadcastOwnEntry();
  void Reconnect();
  void NotifyMembersChanged();

  loop* loop_;
  keyed_store* store_;
  peer_transport* transport_;
  node_directory_options options_;
  fbs::member_entryT self_;
  // By peer address, without this node.
  std::map<std::string, member> members_;
  // Start of service of this node's serving targets, by address.
  std::map<std::string, time_point> own_serving_since_;
  std::function<void()> members_changed_callback_;
  duration retry_delay_ = duration::zero();
  timer_id step_timer_ = 0;
  timer_id reconnect_timer_ = 0;
  // Callbacks of the store hold a weak reference to this, since they may
  // outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // NODE_NODE_DIRECTORY_H_
