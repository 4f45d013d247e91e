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
  // Peer addresses to ask before the roster is known.
  std::vector<std::string> seeds;
  duration gossip_interval = std::chrono::milliseconds(500);
  // Peers that get each gossip message.
  int fanout = 3;
  size_t max_message_bytes = 4096;
  // Up to this many members, each new link brings the whole table; above it,
  // only a node that knows nobody gets one. A table of 64 members is about
  // 18 KB.
  size_t max_table_on_link = 64;
  // How far back contacts count for HearsMajority.
  duration contact_window = std::chrono::seconds(10);
};

// What this node knows of the others: which nodes run, in which zone, and the
// targets beside them. Spreads by gossip: each node speaks for itself with a
// rising version, and each change of state is passed on a bounded number of
// times. Load reports reach direct receivers only. The cost of a tick does not
// depend on the size of the fleet.
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

  // Replaces what this node says of its own targets.
  void SetTargets(const std::vector<fbs::target_entryT>& targets);
  // Tells peers at once that this node takes no new calls.
  void SetDraining();
  // Tells peers at once that this process ends.
  void AnnounceGone();
  void SetRoster(const roster_view& roster);
  void SetAppliedOffset(uint64_t offset);

  void HandleGossip(const peer_info& from, const fbs::gossipT& gossip);
  void OnLinkUp(const peer_info& peer);
  void OnLinkDown(const peer_info& peer, link_down_cause cause);
  // Any message is a sign of life.
  void NoteContact(const peer_info& peer);

  std::vector<member_target> TargetsOf(
      const std::string& service) const override;
  // Peer addresses of the nodes beside a target of `service`, in service or
  // not, without this one.
  std::vector<std::string> NodesBeside(const std::string& service) const;
  // Peer addresses of the nodes that seem to run, without this one.
  std::vector<std::string> LivePeers() const;
  // What this node and each known member that runs say of themselves.
  std::vector<fbs::member_entryT> Entries() const;

  // True when, within the contact window, at least half of the sampled roster
  // members answered. Sampling keeps the cost independent of the size of the
  // fleet: a node cut off with a minority reaches fewer than half of a random
  // sample.
  bool HearsMajority() const;

  // Sends gossip to a member out of turn; a live one answers on the link.
  void Probe(const std::string& address) { SendTo(address, false); }

  // Last sign of life of a roster member, from itself or by gossip; the epoch
  // when there was none.
  time_point LastHeard(const roster_member& member) const;

  // Called with the address and the offset that a peer reported.
  void OnPeerOffset(
      std::function<void(const std::string&, uint64_t)> callback) {
    peer_offset_callback_ = std::move(callback);
  }

  // Called with the peer address and the service of a target that came into
  // service, for the first time or again.
  void OnTargetInService(
      std::function<void(const std::string&, const std::string&)> callback) {
    target_callback_ = std::move(callback);
  }

 private:
  struct member {
    fbs::member_entryT entry;
    time_point entry_at;
    time_point last_contact;
    // The link failed and has not come up again.
    bool unreachable = false;
    // This incarnation has surely ended.
    bool gone = false;
    int sends_left = 0;
    std::map<std::string, time_point> target_since;
  };
  struct probe {
    std::string address;
    time_point sent_at;
  };

  void Tick();
  void TouchSelf();
  void SendTo(const std::string& address, bool whole_table);
  void Apply(const fbs::member_entryT& entry);
  std::vector<std::string> PickPeers();
  void ForgetGone();

  loop* loop_;
  peer_transport* transport_;
  random_source* random_;
  membership_options options_;
  fbs::member_entryT self_;
  std::map<std::string, member> members_;
  roster_view roster_;
  std::deque<probe> probes_;
  std::function<void(const std::string&, uint64_t)> peer_offset_callback_;
  std::function<void(const std::string&, const std::string&)> target_callback_;
  timer_id timer_ = 0;
};

}  // namespace skylarkhoist

#endif  // NODE_MEMBERSHIP_H_
