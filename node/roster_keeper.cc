#include "node/roster_keeper.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

uint64_t Rank(uint64_t silent, uint64_t candidate) {
  return XXH64(&candidate, sizeof(candidate), silent);
}

}  // namespace

roster_keeper::roster_keeper(loop* loop,
                             config_follower* config,
                             const membership* members,
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
  started_at_ = loop_->Now();
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

void roster_keeper::EvictSilent() {
  if (leaving_ || !members_->HearsMajority())
    return;
  const time_point now = loop_->Now();
  for (const roster_member& member : config_->roster().members) {
    if (member.incarnation == options_.self.incarnation ||
        evicting_.count(member.incarnation) > 0)
      continue;
    // A node that just started has heard of nobody yet.
    const time_point heard = std::max(started_at_, members_->LastHeard(member));
    duration limit = options_.silence_limit;
    if (!IsFirstInLine(member))
      limit += options_.backup_delay;
    if (heard + limit <= now)
      Evict(member);
  }
}

bool roster_keeper::IsFirstInLine(const roster_member& silent) const {
  const time_point now = loop_->Now();
  const uint64_t own = Rank(silent.incarnation, options_.self.incarnation);
  for (const roster_member& other : config_->roster().members) {
    if (other.incarnation == silent.incarnation ||
        other.incarnation == options_.self.incarnation)
      continue;
    const bool alive =
        members_->LastHeard(other) + options_.silence_limit / 2 > now;
    if (alive && Rank(silent.incarnation, other.incarnation) > own)
      return false;
  }
  return true;
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
