#ifndef DECISIONS_LEASE_WITNESS_H_
#define DECISIONS_LEASE_WITNESS_H_

#include <cstdint>
#include <map>
#include <string>

#include "decisions/shard_group.h"
#include "kernel/time.h"

namespace skylarkhoist {

// Low bits of an epoch that count up within one roster version. The version in
// the high bits keeps epochs rising when all witnesses of a group are replaced.
constexpr int kEpochCounterBits = 20;

struct lease_answer {
  bool granted = false;
  // To be used by a holder that asks with epoch 0; otherwise the highest epoch
  // seen.
  uint64_t epoch = 0;
  // Holder in force when the request is refused; 0 when there is none.
  uint64_t holder = 0;
  // Time until its lease ends.
  duration wait = duration::zero();
};

// Grants one lease to one holder at a time, for kLeasePeriod from the receipt
// of the request. The caller asks shard_group whether this node counts before
// it passes a request on.
class lease_witness {
 public:
  // Rounds rise with each request of a holder. `epoch` 0 asks for a new epoch.
  lease_answer OnRequest(uint64_t holder,
                         uint64_t round,
                         uint64_t epoch,
                         uint64_t roster_version,
                         time_point now);
  // Ends the lease unless the holder has asked again since `round`.
  void OnRelease(uint64_t holder, uint64_t round);
  // The process of `holder` is certainly gone.
  void OnGone(uint64_t holder);

  // Borrowers outside the roster, by incarnation, that the present holder
  // lends to. A successor must know them; each is kept for some time after it
  // was listed last.
  void OnGuests(const std::map<uint64_t, std::string>& guests, time_point now);
  const std::map<uint64_t, std::string>& Guests(time_point now);

  // Holder in force, or 0.
  uint64_t HolderAt(time_point now) const { return now < until_ ? holder_ : 0; }
  // When the holder in force asked last.
  time_point renewed_at() const { return until_ - kLeasePeriod; }
  // Highest roster version that a holder has used.
  uint64_t roster_version() const { return roster_version_; }

 private:
  uint64_t holder_ = 0;
  uint64_t round_ = 0;
  time_point until_;
  uint64_t highest_epoch_ = 0;
  uint64_t roster_version_ = 0;
  std::map<uint64_t, std::string> guests_;
  std::map<uint64_t, time_point> listed_at_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_LEASE_WITNESS_H_
