#include "node/roster_keeper.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

// Monitors of each member.
constexpr size_t kMonitors = 3;

uint64_t Rank(uint64_t silent, uint64_t candidate) {
  return XXH64(&candidate, sizeof(candidate), silent);
}

}  // namespace

roster_keeper::roster_keeper(loop* loop,
                             config_follower* config,
                             membership* members,
                             roster_keeper_options options,
                             metrics* counters)
    : loop_(loop),
      config_(config),
      members_(members),
      options_(std::move(options)),
      evictions_(counters->Counter("skylarkhoist_evictions_total",
                                   "Evictions that this node appended")) {}

roster_keeper::~roster_keeper() {
  loop_->Cancel(timer_);
}

void roster_keeper::Start() {
  Tick();
}

void roster_keeper::Tick() {
  if (!leaving_ && config_->ready()) {
    JoinOrNoticeEviction();
    EvictSilent();
  }
  timer_ = loop_->RunAfter(options_.interval, [this] { Tick(); });
}

void roster_keeper::JoinOrNoticeEviction() {
  const bool member =
      config_->roster().Find(options_.self.incarnation) != nullptr;
  if (member) {
    joined_ = true;
    return;
  }
  if (joined_) {
    leaving_ = true;
    LogWarning("roster", "evicted", {{"node", options_.self.node}});
    if (evicted_callback_)
      evicted_callback_();
    return;
  }
  if (joining_)
    return;
  joining_ = true;
  config_->AppendJoin(options_.self,
                      [this](const append_result&) { joining_ = false; });
}

// Finds the members that this node monitors, once for each roster version.
void roster_keeper::UpdateMonitored() {
  const roster_view& roster = config_->roster();
  if (roster.version == monitored_version_)
    return;
  monitored_version_ = roster.version;
  std::map<uint64_t, time_point> since;
  for (const monitored_member& item : monitored_)
    since[item.member.incarnation] = item.since;
  monitored_.clear();
  for (const roster_member& member : roster.members) {
    if (member.incarnation == options_.self.incarnation)
      continue;
    const uint64_t own = Rank(member.incarnation, options_.self.incarnation);
    size_t position = 0;
    for (const roster_member& other : roster.members) {
      if (other.incarnation != member.incarnation &&
          Rank(member.incarnation, other.incarnation) > own)
        ++position;
      if (position == kMonitors)
        break;
    }
    if (position == kMonitors)
      continue;
    const auto before = since.find(member.incarnation);
    monitored_.push_back(
        {member, position,
         before == since.end() ? loop_->Now() : before->second});
  }
}

void roster_keeper::EvictSilent() {
  UpdateMonitored();
  if (leaving_ || !members_->HearsMajority())
    return;
  const time_point now = loop_->Now();
  for (const monitored_member& item : monitored_) {
    if (evicting_.count(item.member.incarnation) > 0)
      continue;
    // A node that took over a member may not have heard of it yet.
    const time_point heard =
        std::max(item.since, members_->LastHeard(item.member));
    duration limit = options_.silence_limit;
    if (item.position > 0)
      limit += options_.backup_delay;
    if (heard + limit <= now)
      Evict(item.member);
    else if (heard + options_.probe_after <= now)
      members_->Probe(item.member.peer_address);
  }
}

void roster_keeper::Evict(const roster_member& member) {
  evicting_.insert(member.incarnation);
  evictions_.Increment();
  LogStateChange("roster", "evicting",
                 {{"node", member.node}, {"address", member.peer_address}});
  const uint64_t incarnation = member.incarnation;
  config_->AppendEvict(incarnation, [this, incarnation](const append_result&) {
    evicting_.erase(incarnation);
  });
}

void roster_keeper::Leave() {
  if (leaving_)
    return;
  leaving_ = true;
  config_->AppendLeave(options_.self.incarnation, [](const append_result&) {});
}

}  // namespace skylarkhoist
