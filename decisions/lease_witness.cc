#include "decisions/lease_witness.h"

#include <algorithm>

namespace skylarkhoist {
namespace {

// Longer than a loan can outlive the lease of the owner that granted it.
constexpr duration kNonmemberBorrowerRetention = std::chrono::seconds(10);

}  // namespace

lease_response lease_witness::OnRequest(uint64_t holder,
                                        uint64_t round,
                                        uint64_t epoch,
                                        uint64_t roster_version,
                                        time_point now) {
  const uint64_t current = CurrentHolder(now);
  if ((current != 0 && current != holder) ||
      (epoch != 0 && epoch < highest_epoch_))
    return {false, highest_epoch_, current,
            current != 0 ? expires_at_ - now : duration::zero()};
  // A delayed or duplicated older request must not extend the lease.
  if (holder == holder_ && round < holder_round_)
    return {false, highest_epoch_, current, duration::zero()};
  holder_ = holder;
  holder_round_ = round;
  expires_at_ = now + kLeasePeriod;
  holder_roster_version_ = std::max(holder_roster_version_, roster_version);
  if (epoch != 0) {
    highest_epoch_ = epoch;
    return {true, epoch, holder, duration::zero()};
  }
  return {true,
          std::max(highest_epoch_ + 1, roster_version << kEpochCounterBits),
          holder, duration::zero()};
}

void lease_witness::OnRelease(uint64_t holder, uint64_t round) {
  if (holder == holder_ && round >= holder_round_) {
    holder_round_ = round;
    expires_at_ = time_point();
  }
}

void lease_witness::RecordNonmemberBorrowers(
    const std::map<uint64_t, std::string>& borrowers,
    time_point now) {
  for (const auto& [incarnation, address] : borrowers) {
    nonmember_borrowers_[incarnation] = address;
    listed_at_[incarnation] = now;
  }
}

const std::map<uint64_t, std::string>& lease_witness::NonmemberBorrowers(
    time_point now) {
  for (auto borrower = nonmember_borrowers_.begin();
       borrower != nonmember_borrowers_.end();) {
    if (now - listed_at_[borrower->first] < kNonmemberBorrowerRetention) {
      ++borrower;
      continue;
    }
    listed_at_.erase(borrower->first);
    borrower = nonmember_borrowers_.erase(borrower);
  }
  return nonmember_borrowers_;
}

void lease_witness::OnHolderGone(uint64_t holder) {
  if (holder == holder_)
    expires_at_ = time_point();
}

}  // namespace skylarkhoist
