#ifndef DECISIONS_LEASE_WITNESS_H_
#define DECISIONS_LEASE_WITNESS_H_

#include <cstdint>
#include <map>
#include <string>

#include "decisions/shard_group.h"
#include "kernel/time.h"

namespace skylarkhoist {

// An epoch is a roster version, shifted left by this many bits, plus a counter
// in the low bits. The version keeps epochs rising when all witnesses of a
// group are replaced.
constexpr int kEpochCounterBits = 20;

struct lease_response {
  bool granted = false;
  // When granted: the epoch to use, which is a new one for a request with epoch
  // 0. When refused: the highest epoch seen.
  uint64_t epoch = 0;
  // Current holder; 0 when there is none.
  uint64_t holder = 0;
  // Time until the lease of the current holder expires; zero when granted.
  duration remaining = duration::zero();
};

// A voter of a shard's group. Grants the lease of the shard to one holder at a
// time, for kLeasePeriod from the receipt of the request. The caller must check
// with shard_group that the vote of this node counts before it calls
// OnRequest.
class lease_witness {
 public:
  // `round` rises with each request of a holder. `epoch` 0 asks for a new
  // epoch.
  lease_response OnRequest(uint64_t holder,
                           uint64_t round,
                           uint64_t epoch,
                           uint64_t roster_version,
                           time_point now);
  // Ends the lease, unless a request of a later round has renewed it.
  void OnRelease(uint64_t holder, uint64_t round);
  // The process of `holder` has certainly exited; its lease ends.
  void OnHolderGone(uint64_t holder);

  // Records the borrowers outside the roster that the current holder lends to,
  // as addresses by incarnation. The next holder must know them. Each is kept
  // for some time after the last request that listed it.
  void RecordNonmemberBorrowers(
      const std::map<uint64_t, std::string>& borrowers,
      time_point now);
  const std::map<uint64_t, std::string>& NonmemberBorrowers(time_point now);

  // Returns 0 when the lease is free.
  uint64_t CurrentHolder(time_point now) const {
    return now < expires_at_ ? holder_ : 0;
  }
  // Time of the last granted request of the current holder.
  time_point renewed_at() const { return expires_at_ - kLeasePeriod; }
  // Highest roster version in a granted request.
  uint64_t holder_roster_version() const { return holder_roster_version_; }

 private:
  uint64_t holder_ = 0;
  uint64_t holder_round_ = 0;
  time_point expires_at_;
  uint64_t highest_epoch_ = 0;
  uint64_t holder_roster_version_ = 0;
  std::map<uint64_t, std::string> nonmember_borrowers_;
  std::map<uint64_t, time_point> listed_at_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_LEASE_WITNESS_H_
