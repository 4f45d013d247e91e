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

// Longest time for which a witness grants a lease.
constexpr duration kLeasePeriod = std::chrono::seconds(1);

// Decides whether this node counts as a member of the group of one shard.
//
// A member that stays in the group from one roster to the next goes on
// counting. A member that enters counts only after each former group has lost
// its majority for the old roster, and one lease period after that. A former
// member is lost for the old roster when it has reported a newer version or its
// process is certainly gone. So every majority that counts shares a member
// with, or comes after the end of, every former majority. Former groups that
// are not yet fenced are kept over several roster changes in a row.
//
// History from before the first roster that this process sees is not known.
// The group of that roster without this node stands for it.
class shard_group {
 public:
  shard_group(std::string shard, uint64_t own_incarnation)
      : shard_(std::move(shard)), self_(own_incarnation) {}

  // Ignores versions that are not newer than the present one.
  void SetRoster(const roster_view& roster, time_point now);
  // `incarnation` has applied the roster of `version`. To be repeated, since
  // only members of present and former groups are kept.
  void OnPeerVersion(uint64_t incarnation, uint64_t version, time_point now);
  // The process is certainly gone; silence is not enough.
  void OnPeerGone(uint64_t incarnation, time_point now);

  // True when this node may answer for the group.
  bool Counts(time_point now) const;
  bool IsMember() const { return member_; }

  const std::vector<roster_member>& members() const { return members_; }
  // Same for all nodes with the same members; 0 without any.
  uint64_t id() const { return id_; }
  size_t Majority() const { return members_.size() / 2 + 1; }

  // Former members whose confirmation this node waits for.
  std::vector<roster_member> Unconfirmed() const;

 private:
  struct former_group {
    uint64_t serial = 0;
    std::vector<roster_member> members;
    // First version at which another group was in force.
    uint64_t replaced_at = 0;
  };

  // Part of the group now or of a former group that is kept.
  bool Concerns(uint64_t incarnation) const;
  bool Confirmed(const roster_member& member, uint64_t version) const;
  // Drops former groups that have lost their majority.
  void Settle(time_point now);

  std::string shard_;
  uint64_t self_;
  bool started_ = false;
  bool member_ = false;
  uint64_t version_ = 0;
  uint64_t id_ = 0;
  std::vector<roster_member> members_;
  std::vector<former_group> former_;
  uint64_t next_serial_ = 1;
  // Former groups below this serial must be fenced before this node counts.
  uint64_t entry_serial_ = 0;
  time_point settled_at_;
  std::map<uint64_t, uint64_t> versions_;
  std::set<uint64_t> gone_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_SHARD_GROUP_H_
