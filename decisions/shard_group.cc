#include "decisions/shard_group.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace skylarkhoist {
namespace {

bool Contains(const std::vector<roster_member>& members, uint64_t incarnation) {
  return std::any_of(members.begin(), members.end(),
                     [incarnation](const roster_member& member) {
                       return member.incarnation == incarnation;
                     });
}

uint64_t GroupIdOf(const std::vector<roster_member>& members) {
  if (members.empty())
    return 0;
  std::vector<uint64_t> incarnations;
  incarnations.reserve(members.size());
  for (const roster_member& member : members)
    incarnations.push_back(member.incarnation);
  std::sort(incarnations.begin(), incarnations.end());
  return XXH64(incarnations.data(), incarnations.size() * sizeof(uint64_t), 0);
}

}  // namespace

void shard_group::SetRoster(const roster_view& roster, time_point now) {
  if (has_roster_ && roster.version <= roster_version_)
    return;
  std::vector<roster_member> earlier_members = members_;
  if (!has_roster_ && roster.Find(self_) != nullptr) {
    roster_view others = roster;
    others.members.erase(
        std::remove_if(others.members.begin(), others.members.end(),
                       [this](const roster_member& member) {
                         return member.incarnation == self_;
                       }),
        others.members.end());
    earlier_members = GroupOf(others, shard_);
  }
  has_roster_ = true;
  roster_version_ = roster.version;
  members_ = GroupOf(roster, shard_);
  const uint64_t id = GroupIdOf(members_);
  if (id != group_id_ && !earlier_members.empty())
    earlier_groups_.push_back(
        {next_serial_++, std::move(earlier_members), roster.version});
  group_id_ = id;
  const bool is_member = Contains(members_, self_);
  if (is_member && !is_member_) {
    entry_serial_ = next_serial_;
    fenced_at_ = now;
  }
  is_member_ = is_member;
  DropFencedGroups(now);
  for (auto peer = peer_versions_.begin(); peer != peer_versions_.end();)
    peer =
        IsTracked(peer->first) ? std::next(peer) : peer_versions_.erase(peer);
  for (auto peer = gone_peers_.begin(); peer != gone_peers_.end();)
    peer = IsTracked(*peer) ? std::next(peer) : gone_peers_.erase(peer);
}

void shard_group::OnPeerRosterVersion(uint64_t incarnation,
                                      uint64_t version,
                                      time_point now) {
  if (!IsTracked(incarnation))
    return;
  uint64_t& known_version = peer_versions_[incarnation];
  if (version <= known_version)
    return;
  known_version = version;
  DropFencedGroups(now);
}

void shard_group::OnPeerGone(uint64_t incarnation, time_point now) {
  if (incarnation != self_ && IsTracked(incarnation) &&
      gone_peers_.insert(incarnation).second)
    DropFencedGroups(now);
}

bool shard_group::IsActiveMember(time_point now) const {
  if (!is_member_ || now < fenced_at_ + kLeasePeriod)
    return false;
  return std::none_of(earlier_groups_.begin(), earlier_groups_.end(),
                      [this](const earlier_group& group) {
                        return group.serial < entry_serial_;
                      });
}

std::vector<roster_member> shard_group::UnconfirmedMembers() const {
  std::vector<roster_member> result;
  if (!is_member_)
    return result;
  for (const earlier_group& group : earlier_groups_) {
    if (group.serial >= entry_serial_)
      continue;
    for (const roster_member& member : group.members) {
      if (!HasConfirmed(member, group.replaced_in_version) &&
          !Contains(result, member.incarnation))
        result.push_back(member);
    }
  }
  return result;
}

bool shard_group::IsTracked(uint64_t incarnation) const {
  return Contains(members_, incarnation) ||
         std::any_of(earlier_groups_.begin(), earlier_groups_.end(),
                     [incarnation](const earlier_group& group) {
                       return Contains(group.members, incarnation);
                     });
}

bool shard_group::HasConfirmed(const roster_member& member,
                               uint64_t version) const {
  if (member.incarnation == self_)
    return roster_version_ >= version;
  if (gone_peers_.count(member.incarnation) > 0)
    return true;
  const auto peer = peer_versions_.find(member.incarnation);
  return peer != peer_versions_.end() && peer->second >= version;
}

void shard_group::DropFencedGroups(time_point now) {
  const auto is_fenced = [this](const earlier_group& group) {
    const auto confirmed =
        std::count_if(group.members.begin(), group.members.end(),
                      [&](const roster_member& member) {
                        return HasConfirmed(member, group.replaced_in_version);
                      });
    return static_cast<size_t>(confirmed) >= group.members.size() / 2 + 1;
  };
  for (auto group = earlier_groups_.begin(); group != earlier_groups_.end();) {
    if (!is_fenced(*group)) {
      ++group;
      continue;
    }
    if (group->serial < entry_serial_)
      fenced_at_ = std::max(fenced_at_, now);
    group = earlier_groups_.erase(group);
  }
}

}  // namespace skylarkhoist
