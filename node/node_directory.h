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
  // Between two tries to reach a node that does not answer.
  duration redial_interval = std::chrono::milliseconds(500);
  // Between two readings of the store, which find nodes that could not reach
  // this one.
  duration refresh_interval = std::chrono::seconds(30);
};

// Which nodes run and which targets are beside them, without gossip between
// third parties: each node writes its address to the store once, reads those of
// the others after that, and tells each over its own link what it has. Of two
// nodes that start at the same time at least one reads the other's record.
//
// Invariant: what this node says of others comes from their own last message,
// of their present run.
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

  // Replaces what this node says of its own targets, and tells the others when
  // a state has changed.
  void SetTargets(const std::vector<fbs::target_entryT>& targets);
  // Tells the others at once that this node takes no new calls.
  void SetDraining();
  // Tells the others that this process ends, and drops its record.
  void Leave(std::function<void()> done);

  void HandleGossip(const peer_info& from, const fbs::gossipT& gossip);
  void OnLinkUp(const peer_info& peer);
  void OnLinkDown(const peer_info& peer, link_down_cause cause);

  std::vector<member_target> TargetsOf(
      const std::string& service) const override;

  // Peer addresses of the nodes with a link, without this one.
  std::vector<std::string> LivePeers() const;
  // Names of this node and of the nodes with a link, by peer address.
  std::map<std::string, std::string> LiveNodes() const;

  // More than half of the nodes that are not known to have ended have a link
  // with this one; this node counts.
  bool HasMajority() const;

  // Called when a node gets or loses its link, or ends.
  void OnMembersChanged(std::function<void()> callback) {
    members_changed_ = std::move(callback);
  }

  // What this node and each known one say of themselves.
  std::vector<fbs::member_entryT> Entries() const;

 private:
  struct member {
    std::string node;
    std::string zone;
    uint64_t incarnation = 0;
    bool linked = false;
    // Its process has certainly ended and has not come back.
    bool ended = false;
    // What it last said of itself in this run.
    fbs::member_entryT entry;
    std::map<std::string, time_point> serving_since;
  };

  void WriteOwnRecord();
  void ReadOthers();
  void OnOthers(const tl::expected<keyed_batch, store_error>& result);
  void Again(duration delay, void (node_directory::*step)());
  void Greet(const std::string& address);
  void TellAll();
  void Redial();
  void NotifyMembers();

  loop* loop_;
  keyed_store* store_;
  peer_transport* transport_;
  node_directory_options options_;
  fbs::member_entryT self_;
  // By peer address, without this node.
  std::map<std::string, member> members_;
  std::map<std::string, time_point> own_since_;
  std::function<void()> members_changed_;
  duration retry_delay_ = duration::zero();
  timer_id step_timer_ = 0;
  timer_id redial_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // NODE_NODE_DIRECTORY_H_
