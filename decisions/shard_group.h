#ifndef DECISIONS_SHARD_GROUP_H_
#define DECISIONS_SHARD_GROUP_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decisions/roster.h"
#include "kernel/time.h"

namespace skylarkhoist {

// Longest duration of a lease that a witness grants.
constexpr duration kLeasePeriod = std::chrono::seconds(1);

// Decides whether this node is an active member of the group of one shard,
// which means that it may answer for the group.
//
// A member that stays in the group from one roster to the next remains active.
// A new member becomes active one lease period after all earlier groups are
// fenced. A group is fenced once a majority of its members can no longer act
// under its roster, since they have reported a newer roster version or their
// processes have ended. So a majority of active members either has a member in
// common with a majority of an earlier group, or becomes active after the
// leases of that majority have expired. Earlier groups are kept over any number
// of roster changes until they are fenced.
//
// The groups before the first roster that this process receives are not known.
// If that roster lists this node, the group of the roster without this node is
// taken for the earlier group.
class shard_group {
 public:
  shard_group(std::string shard, uint64_t own_incarnation)
      : shard_(std::move(shard)), self_(own_incarnation) {}

  // Ignores versions that are not newer than the current one.
  void SetRoster(const roster_view& roster, time_point now);
  // `incarnation` has applied the roster of `version`. To be called repeatedly,
  // since versions of nodes outside the current and earlier groups are dropped.
  void OnPeerRosterVersion(uint64_t incarnation,
                           uint64_t version,
                           time_point now);
  // The process of `incarnation` has ended; a silent process does not count.
  void OnPeerGone(uint64_t incarnation, time_point now);

  // True when this node is an active member.
  bool IsActiveMember(time_point now) const;
  // True when this node is in the group of the current roster, active or not.
  bool IsMember() const { return is_member_; }

  const std::vector<roster_member>& members() const { return members_; }
  // Identifies the set of members; equal on all nodes. 0 for an empty group.
  uint64_t id() const { return group_id_; }
  size_t Majority() const { return members_.size() / 2 + 1; }

  // Members of earlier groups that have not reported a newer version and whose
  // processes have not ended, while this node waits for their groups.
  std::vector<roster_member> UnconfirmedMembers() const;

 private:
  struct earlier_group {
    uint64_t serial = 0;
    std::vector<roster_member> members;
    // First roster version with another group.
    uint64_t replaced_in_version = 0;
  };

  // True for members of the current group and of stored earlier groups.
  bool IsTracked(uint64_t incarnation) const;
  // True when `member` has reached roster `version` or its process has ended.
  bool HasConfirmed(const roster_member& member, uint64_t version) const;
  // Drops earlier groups that are fenced and updates `fenced_at_`.
  void DropFencedGroups(time_point now);

  std::string shard_;
  uint64_t self_;
  bool has_roster_ = false;
  bool is_member_ = false;
  uint64_t roster_version_ = 0;
  uint64_t group_id_ = 0;
  std::vector<roster_member> members_;
  std::vector<earlier_group> earlier_groups_;
  uint64_t next_serial_ = 1;
  // Earlier groups with a lower serial than this must be fenced before this
  // node becomes active: those from before it entered the current group.
  uint64_t entry_serial_ = 0;
  // When the last of these was fenced, or when this node entered if none was.
  time_point fenced_at_;
  std::map<uint64_t, uint64_t> peer_versions_;
  std::set<uint64_t> gone_peers_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_SHARD_GROUP_H_
