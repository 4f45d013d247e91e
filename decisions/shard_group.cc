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

uint64_t IdOf(const std::vector<roster_member>& members) {
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
  if (started_ && roster.version <= version_)
    return;
  std::vector<roster_member> former = members_;
  if (!started_ && roster.Find(self_) != nullptr) {
    roster_view others = roster;
    others.members.erase(
        std::remove_if(others.members.begin(), others.members.end(),
                       [this](const roster_member& member) {
                         return member.incarnation == self_;
                       }),
        others.members.end());
    former = GroupOf(others, shard_);
  }
  started_ = true;
  version_ = roster.version;
  members_ = GroupOf(roster, shard_);
  const uint64_t id = IdOf(members_);
  if (id != id_ && !former.empty())
    former_.push_back({next_serial_++, std::move(former), roster.version});
  id_ = id;
  const bool member = Contains(members_, self_);
  if (member && !member_) {
    entry_serial_ = next_serial_;
    settled_at_ = now;
  }
  member_ = member;
  Settle(now);
  for (auto known = versions_.begin(); known != versions_.end();)
    known = Concerns(known->first) ? std::next(known) : versions_.erase(known);
  for (auto known = gone_.begin(); known != gone_.end();)
    known = Concerns(*known) ? std::next(known) : gone_.erase(known);
}

void shard_group::OnPeerVersion(uint64_t incarnation,
                                uint64_t version,
                                time_point now) {
  if (!Concerns(incarnation))
    return;
  uint64_t& known = versions_[incarnation];
  if (version <= known)
    return;
  known = version;
  Settle(now);
}

void shard_group::OnPeerGone(uint64_t incarnation, time_point now) {
  if (incarnation != self_ && Concerns(incarnation) &&
      gone_.insert(incarnation).second)
    Settle(now);
}

bool shard_group::Counts(time_point now) const {
  if (!member_ || now < settled_at_ + kLeasePeriod)
    return false;
  return std::none_of(former_.begin(), former_.end(),
                      [this](const former_group& former) {
                        return former.serial < entry_serial_;
                      });
}

std::vector<roster_member> shard_group::Unconfirmed() const {
  std::vector<roster_member> result;
  if (!member_)
    return result;
  for (const former_group& former : former_) {
    if (former.serial >= entry_serial_)
      continue;
    for (const roster_member& member : former.members) {
      if (!Confirmed(member, former.replaced_at) &&
          !Contains(result, member.incarnation))
        result.push_back(member);
    }
  }
  return result;
}

bool shard_group::Concerns(uint64_t incarnation) const {
  return Contains(members_, incarnation) ||
         std::any_of(former_.begin(), former_.end(),
                     [incarnation](const former_group& former) {
                       return Contains(former.members, incarnation);
                     });
}

bool shard_group::Confirmed(const roster_member& member,
                            uint64_t version) const {
  if (member.incarnation == self_)
    return version_ >= version;
  if (gone_.count(member.incarnation) > 0)
    return true;
  const auto known = versions_.find(member.incarnation);
  return known != versions_.end() && known->second >= version;
}

void shard_group::Settle(time_point now) {
  const auto fenced = [this](const former_group& former) {
    const auto confirmed =
        std::count_if(former.members.begin(), former.members.end(),
                      [&](const roster_member& member) {
                        return Confirmed(member, former.replaced_at);
                      });
    return static_cast<size_t>(confirmed) >= former.members.size() / 2 + 1;
  };
  for (auto former = former_.begin(); former != former_.end();) {
    if (!fenced(*former)) {
      ++former;
      continue;
    }
    if (former->serial < entry_serial_)
      settled_at_ = std::max(settled_at_, now);
    former = former_.erase(former);
  }
}

}  // namespace skylarkhoist
