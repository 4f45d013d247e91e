#include "node/roster_keeper.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

constexpr size_t kMonitorsPerMember = 3;

uint64_t MonitorRank(uint64_t member, uint64_t candidate) {
  return XXH64(&candidate, sizeof(candidate), member);
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
      evictions_(counters->Counter(
          "skylarkhoist_evictions_total",
          "Roster evictions that this node appended to the log")) {}

roster_keeper::~roster_keeper() {
  loop_->Cancel(timer_);
}

void roster_keeper::Start() {
  Tick();
}

void roster_keeper::Tick() {
  if (!stopped_ && config_->ready()) {
    JoinOrDetectEviction();
    EvictSilentMembers();
  }
  timer_ = loop_->RunAfter(options_.interval, [this] { Tick(); });
}

void roster_keeper::JoinOrDetectEviction() {
  const bool member =
      config_->roster().Find(options_.self.incarnation) != nullptr;
  if (member) {
    joined_ = true;
    return;
  }
  if (joined_) {
    stopped_ = true;
    LogWarning("roster", "evicted", {{"node", options_.self.node}});
    if (evicted_callback_)
      evicted_callback_();
    return;
  }
  if (join_pending_)
    return;
  join_pending_ = true;
  config_->AppendJoin(options_.self,
                      [this](const append_result&) { join_pending_ = false; });
}

// Determines the members that this node monitors, once for each roster version.
void roster_keeper::UpdateMonitoredMembers() {
  const roster_view& roster = config_->roster();
  if (roster.version == monitored_version_)
    return;
  monitored_version_ = roster.version;
  std::map<uint64_t, time_point> monitored_since;
  for (const monitored_member& item : monitored_)
    monitored_since[item.member.incarnation] = item.monitored_since;
  monitored_.clear();
  for (const roster_member& member : roster.members) {
    if (member.incarnation == options_.self.incarnation)
      continue;
    const uint64_t own_rank =
        MonitorRank(member.incarnation, options_.self.incarnation);
    size_t monitor_index = 0;
    for (const roster_member& other : roster.members) {
      if (other.incarnation != member.incarnation &&
          MonitorRank(member.incarnation, other.incarnation) > own_rank)
        ++monitor_index;
      if (monitor_index == kMonitorsPerMember)
        break;
    }
    if (monitor_index == kMonitorsPerMember)
      continue;
    const auto previous = monitored_since.find(member.incarnation);
    monitored_.push_back(
        {member, monitor_index,
         previous == monitored_since.end() ? loop_->Now() : previous->second});
  }
}

void roster_keeper::EvictSilentMembers() {
  UpdateMonitoredMembers();
  if (stopped_ || !members_->HasMajorityContact())
    return;
  const time_point now = loop_->Now();
  for (const monitored_member& item : monitored_) {
    if (pending_evictions_.count(item.member.incarnation) > 0)
      continue;
    // A node that has just become a monitor may not have heard from the member
    // yet.
    const time_point last_heard =
        std::max(item.monitored_since, members_->LastHeard(item.member));
    duration timeout = options_.eviction_timeout;
    if (item.monitor_index > 0)
      timeout += options_.backup_delay;
    if (last_heard + timeout <= now)
      Evict(item.member);
    else if (last_heard + options_.probe_after <= now)
      members_->Probe(item.member.peer_address);
  }
}

void roster_keeper::Evict(const roster_member& member) {
  pending_evictions_.insert(member.incarnation);
  evictions_.Increment();
  LogStateChange("roster", "evicting",
                 {{"node", member.node}, {"address", member.peer_address}});
  const uint64_t incarnation = member.incarnation;
  config_->AppendEvict(incarnation, [this, incarnation](const append_result&) {
    pending_evictions_.erase(incarnation);
  });
}

void roster_keeper::Leave() {
  if (stopped_)
    return;
  stopped_ = true;
  config_->AppendLeave(options_.self.incarnation, [](const append_result&) {});
}

}  // namespace skylarkhoist
