#ifndef NODE_MEMBERSHIP_H_
#define NODE_MEMBERSHIP_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "decisions/roster.h"
#include "kernel/loop.h"
#include "kernel/random.h"
#include "node/target_directory.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

struct membership_options {
  std::string node;
  std::string zone;
  std::string peer_address;
  std::string public_address;
  uint64_t incarnation = 0;
  // Peer addresses to contact before the roster is known.
  std::vector<std::string> seed_peers;
  duration gossip_interval = std::chrono::milliseconds(500);
  // Number of random peers that receive gossip in each interval.
  int fanout = 3;
  size_t max_message_bytes = 4096;
  // With up to this many members, a node sends its full member table over each
  // new link. With more, it sends the table only to a node that has none. A
  // table of 64 members takes about 18 KB.
  size_t max_full_table_members = 64;
  // Contacts older than this do not count for a majority.
  duration contact_window = std::chrono::seconds(10);
};

// The known nodes of the fleet with their zones and targets, spread by gossip.
// Each node writes only its own entry and increments its version. Each node
// forwards a change of state a limited number of times; load reports reach only
// the nodes to which their sender gossips directly. The cost of a gossip
// interval does not depend on the size of the fleet.
class membership : public target_directory {
 public:
  membership(loop* loop,
             peer_transport* transport,
             random_source* random,
             membership_options options);
  ~membership() override;
  membership(const membership&) = delete;
  membership& operator=(const membership&) = delete;

  void Start();

  // Replaces the targets in this node's own entry.
  void SetTargets(const std::vector<fbs::target_entryT>& targets);
  // Informs peers immediately that this node accepts no new calls.
  void SetDraining();
  // Informs peers immediately that this process ends.
  void AnnounceShutdown();
  void SetRoster(const roster_view& roster);
  void SetAppliedOffset(uint64_t offset);

  void HandleGossip(const peer_info& from, const fbs::gossipT& gossip);
  void OnLinkUp(const peer_info& peer);
  void OnLinkDown(const peer_info& peer, link_down_cause cause);
  // To be called for each message from `peer`, since any message shows that it
  // is alive.
  void RecordContact(const peer_info& peer);

  std::vector<target_info> TargetsOf(const std::string& service) const override;
  // Peer addresses of the nodes that have a target of `service`, whether in
  // service or not, without this node.
  std::vector<std::string> PeersWithTargetOf(const std::string& service) const;
  // Peer addresses of the nodes that appear to be alive, without this node.
  std::vector<std::string> LivePeers() const;
  // The entry of this node, then the last known entries of the members that
  // have not ended.
  std::vector<fbs::member_entryT> Entries() const;

  // True when more than half of the recently sampled members, counting this
  // node, were in contact with it within the contact window. A node partitioned
  // into a minority reaches fewer than half of a random sample. Sampling keeps
  // the cost independent of the size of the fleet.
  bool HasMajorityContact() const;

  // Sends gossip to a member outside of the regular interval; a live member
  // answers over the link.
  void Probe(const std::string& address) { SendGossip(address, false); }

  // Time of the last message or newer entry from a roster member, received
  // directly or through gossip; the epoch if there was none.
  time_point LastHeard(const roster_member& member) const;

  // Sets a callback that gets the address of a peer and the configuration
  // offset that it reported.
  void OnPeerOffset(
      std::function<void(const std::string&, uint64_t)> callback) {
    peer_offset_callback_ = std::move(callback);
  }

  // Sets a callback that gets the peer address and the service of a target that
  // came into service, for the first time or again.
  void OnTargetInService(
      std::function<void(const std::string&, const std::string&)> callback) {
    target_in_service_callback_ = std::move(callback);
  }

 private:
  struct member {
    fbs::member_entryT entry;
    time_point entry_updated_at;
    time_point last_contact;
    // The last link to it failed and there is no new one.
    bool unreachable = false;
    // This incarnation has certainly ended.
    bool gone = false;
    // Gossip messages that will still forward the entry.
    int sends_left = 0;
    // Start of service of each serving target, by "SERVICE ADDRESS".
    std::map<std::string, time_point> target_serving_since;
  };
  struct probe {
    std::string address;
    time_point sent_at;
  };

  void Tick();
  void IncrementVersion();
  void SendGossip(const std::string& address, bool full_table);
  void ApplyEntry(const fbs::member_entryT& entry);
  std::vector<std::string> PickGossipPeers();
  void RemoveExpired();

  loop* loop_;
  peer_transport* transport_;
  random_source* random_;
  membership_options options_;
  fbs::member_entryT self_;
  // By peer address, without this node.
  std::map<std::string, member> members_;
  roster_view roster_;
  std::deque<probe> probes_;
  std::function<void(const std::string&, uint64_t)> peer_offset_callback_;
  std::function<void(const std::string&, const std::string&)>
      target_in_service_callback_;
  timer_id timer_ = 0;
};

}  // namespace skylarkhoist

#endif  // NODE_MEMBERSHIP_H_
