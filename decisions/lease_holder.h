#ifndef DECISIONS_LEASE_HOLDER_H_
#define DECISIONS_LEASE_HOLDER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>

#include "decisions/lease_witness.h"
#include "kernel/time.h"

namespace skylarkhoist {

// Clock drift allowance: the holder counts its lease from the time it sent the
// request and stops using it this much earlier than the witnesses would.
constexpr duration kLeaseDriftMargin = std::chrono::milliseconds(50);
constexpr duration kLeaseRenewalInterval = kLeasePeriod / 3;

// One lease request that goes to all members of the group.
struct lease_round {
  uint64_t round = 0;
  // 0 in the first round of an acquisition.
  uint64_t epoch = 0;
};

// Acquires and renews a lease from a majority of witnesses. Acquisition takes
// two rounds: the first collects the highest epochs that the witnesses have
// seen, the second commits a higher epoch with a majority. So each holder has a
// higher epoch than all holders before it.
//
//   const lease_round round = holder.StartRound(group, majority, version, now);
//   // send `round` to all members of the group
//   holder.OnGrant(witness, round.round, response.granted, response.epoch,
//                  response.holder_version, now);
//   if (holder.Holds(now)) ...
//
// Call Holds() immediately before each use of the lease, and again after any
// wait.
class lease_holder {
 public:
  lease_round StartRound(uint64_t group,
                         size_t majority,
                         uint64_t roster_version,
                         time_point now);

  // Returns true when the grant completes a majority, so that the caller can
  // start the next round of an acquisition at once. `holder_roster_version` is
  // the highest roster version that the witness has seen from a holder.
  bool OnGrant(uint64_t witness,
               uint64_t round,
               bool granted,
               uint64_t epoch,
               uint64_t holder_roster_version,
               time_point now);

  bool Holds(time_point now) const { return epoch_ != 0 && now < expires_at_; }
  // True when the lease was held and has expired; Reset() allows a new
  // acquisition.
  bool Expired(time_point now) const {
    return epoch_ != 0 && now >= expires_at_;
  }
  // Gives up the lease or its acquisition. Later grants of earlier rounds are
  // ignored.
  void Reset();

  // 0 until the lease is acquired; kept after expiry until Reset().
  uint64_t epoch() const { return epoch_; }
  // Time of the last StartRound.
  time_point last_round_at() const { return last_round_at_; }
  uint64_t last_round() const { return next_round_ - 1; }
  // Highest roster version of a round that a majority granted. The next holder
  // learns it, since its majority shares a witness with that one.
  uint64_t committed_roster_version() const {
    return committed_roster_version_;
  }
  // Highest roster version of a previous holder that a witness reported.
  uint64_t previous_holder_roster_version() const {
    return previous_holder_roster_version_;
  }

 private:
  struct pending_round {
    uint64_t round = 0;
    uint64_t epoch = 0;
    uint64_t group = 0;
    size_t majority = 0;
    uint64_t roster_version = 0;
    time_point sent_at;
    std::set<uint64_t> grants;
    uint64_t highest_epoch = 0;
  };

  uint64_t next_round_ = 1;
  // Epoch that the first round chose; a majority has yet to commit it.
  uint64_t proposed_epoch_ = 0;
  uint64_t epoch_ = 0;
  time_point expires_at_;
  time_point last_round_at_;
  uint64_t committed_roster_version_ = 0;
  uint64_t previous_holder_roster_version_ = 0;
  std::deque<pending_round> pending_rounds_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_LEASE_HOLDER_H_
