#ifndef DECISIONS_LEASE_HOLDER_H_
#define DECISIONS_LEASE_HOLDER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>

#include "decisions/lease_witness.h"
#include "kernel/time.h"

namespace skylarkhoist {

// The holder counts its lease from the time of sending and gives up this much
// earlier than the witnesses, for clocks that run at slightly different speeds.
constexpr duration kLeaseMargin = std::chrono::milliseconds(50);
constexpr duration kLeaseRenewal = kLeasePeriod / 3;

struct lease_round {
  uint64_t round = 0;
  uint64_t epoch = 0;
};

// The side of a lease that asks for it. Acquisition takes two rounds: the first
// collects the epochs that the witnesses know, the second records the new epoch
// with a majority, so that epochs of successive holders rise.
//
//   const lease_round round = holder.StartRound(group, majority, version, now);
//   // send `round` to all members of the group
//   holder.OnGrant(witness, round.round, answer.granted, answer.epoch,
//                  answer_version, now);
//   if (holder.Holds(now)) ...
//
// Holds() must be asked immediately before each use and again after any wait.
class lease_holder {
 public:
  lease_round StartRound(uint64_t group,
                         size_t majority,
                         uint64_t roster_version,
                         time_point now);

  // Returns true when the grant completes a majority, so that the next round of
  // an acquisition can follow at once.
  bool OnGrant(uint64_t witness,
               uint64_t round,
               bool granted,
               uint64_t epoch,
               uint64_t witness_roster_version,
               time_point now);

  bool Holds(time_point now) const { return epoch_ != 0 && now < until_; }
  // True once the lease was held and has ended; Drop() starts afresh.
  bool Lapsed(time_point now) const { return epoch_ != 0 && now >= until_; }
  // Gives up. Grants of earlier rounds no longer count.
  void Drop();

  // 0 unless held.
  uint64_t epoch() const { return epoch_; }
  // Time of the last StartRound.
  time_point sent_at() const { return sent_at_; }
  uint64_t last_round() const { return next_round_ - 1; }
  // Roster version of the newest round that a majority granted. A new owner
  // learns of it from any majority.
  uint64_t recorded_version() const { return recorded_version_; }
  // Highest roster version of a former holder that witnesses reported.
  uint64_t former_version() const { return former_version_; }

 private:
  struct open_round {
    uint64_t round = 0;
    uint64_t epoch = 0;
    uint64_t group = 0;
    size_t majority = 0;
    uint64_t roster_version = 0;
    time_point sent;
    std::set<uint64_t> grants;
    uint64_t highest_epoch = 0;
  };

  uint64_t next_round_ = 1;
  // Epoch chosen by the first round, not yet recorded with a majority.
  uint64_t proposed_ = 0;
  uint64_t epoch_ = 0;
  time_point until_;
  time_point sent_at_;
  uint64_t recorded_version_ = 0;
  uint64_t former_version_ = 0;
  std::deque<open_round> rounds_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_LEASE_HOLDER_H_
