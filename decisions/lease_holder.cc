#include "decisions/lease_holder.h"

#include <algorithm>

namespace skylarkhoist {
namespace {

// Rounds that may still be answered; renewals overlap when links are slow.
constexpr size_t kOpenRounds = 4;

}  // namespace

lease_round lease_holder::StartRound(uint64_t group,
                                     size_t majority,
                                     uint64_t roster_version,
                                     time_point now) {
  open_round round;
  round.round = next_round_++;
  round.epoch = epoch_ != 0 ? epoch_ : proposed_;
  round.group = group;
  round.majority = majority;
  round.roster_version = roster_version;
  round.sent = now;
  sent_at_ = now;
  rounds_.push_back(round);
  if (rounds_.size() > kOpenRounds)
    rounds_.pop_front();
  return {round.round, round.epoch};
}

bool lease_holder::OnGrant(uint64_t witness,
                           uint64_t round,
                           bool granted,
                           uint64_t epoch,
                           uint64_t witness_roster_version,
                           time_point now) {
  const auto found =
      std::find_if(rounds_.begin(), rounds_.end(),
                   [round](const auto& open) { return open.round == round; });
  if (found == rounds_.end() || !granted)
    return false;
  former_version_ = std::max(former_version_, witness_roster_version);
  found->highest_epoch = std::max(found->highest_epoch, epoch);
  if (!found->grants.insert(witness).second ||
      found->grants.size() != found->majority)
    return false;
  if (found->epoch == 0) {
    if (epoch_ != 0 || proposed_ != 0)
      return false;
    proposed_ = std::max(found->highest_epoch,
                         found->roster_version << kEpochCounterBits);
    return true;
  }
  const time_point until = found->sent + kLeasePeriod - kLeaseMargin;
  if (until <= now || (epoch_ != 0 && now >= until_))
    return false;
  epoch_ = found->epoch;
  proposed_ = 0;
  until_ = std::max(until_, until);
  recorded_version_ = std::max(recorded_version_, found->roster_version);
  return true;
}

void lease_holder::Drop() {
  epoch_ = 0;
  proposed_ = 0;
  until_ = time_point();
  recorded_version_ = 0;
  former_version_ = 0;
  rounds_.clear();
}

}  // namespace skylarkhoist
