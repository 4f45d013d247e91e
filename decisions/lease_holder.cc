#include "decisions/lease_holder.h"

#include <algorithm>

namespace skylarkhoist {
namespace {

// Rounds whose grants still count; renewals overlap when links are slow.
constexpr size_t kMaxPendingRounds = 4;

}  // namespace

lease_round lease_holder::StartRound(uint64_t group,
                                     size_t majority,
                                     uint64_t roster_version,
                                     time_point now) {
  pending_round round;
  round.round = next_round_++;
  round.epoch = epoch_ != 0 ? epoch_ : proposed_epoch_;
  round.group = group;
  round.majority = majority;
  round.roster_version = roster_version;
  round.sent_at = now;
  last_round_at_ = now;
  pending_rounds_.push_back(round);
  if (pending_rounds_.size() > kMaxPendingRounds)
    pending_rounds_.pop_front();
  return {round.round, round.epoch};
}

bool lease_holder::OnGrant(uint64_t witness,
                           uint64_t round,
                           bool granted,
                           uint64_t epoch,
                           uint64_t holder_roster_version,
                           time_point now) {
  const auto found = std::find_if(
      pending_rounds_.begin(), pending_rounds_.end(),
      [round](const auto& pending) { return pending.round == round; });
  if (found == pending_rounds_.end() || !granted)
    return false;
  previous_holder_roster_version_ =
      std::max(previous_holder_roster_version_, holder_roster_version);
  found->highest_epoch = std::max(found->highest_epoch, epoch);
  if (!found->grants.insert(witness).second ||
      found->grants.size() != found->majority)
    return false;
  if (found->epoch == 0) {
    if (epoch_ != 0 || proposed_epoch_ != 0)
      return false;
    proposed_epoch_ = std::max(found->highest_epoch,
                               found->roster_version << kEpochCounterBits);
    return true;
  }
  const time_point expires_at =
      found->sent_at + kLeasePeriod - kLeaseDriftMargin;
  if (expires_at <= now || (epoch_ != 0 && now >= expires_at_))
    return false;
  epoch_ = found->epoch;
  proposed_epoch_ = 0;
  expires_at_ = std::max(expires_at_, expires_at);
  committed_roster_version_ =
      std::max(committed_roster_version_, found->roster_version);
  return true;
}

void lease_holder::Reset() {
  epoch_ = 0;
  proposed_epoch_ = 0;
  expires_at_ = time_point();
  committed_roster_version_ = 0;
  previous_holder_roster_version_ = 0;
  pending_rounds_.clear();
}

}  // namespace skylarkhoist
