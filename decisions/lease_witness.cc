#include "decisions/lease_witness.h"

#include <algorithm>

namespace skylarkhoist {
namespace {

// Above the time for which a loan can outlive the lease of its owner.
constexpr duration kGuestMemory = std::chrono::seconds(10);

}  // namespace

lease_answer lease_witness::OnRequest(uint64_t holder,
                                      uint64_t round,
                                      uint64_t epoch,
                                      uint64_t roster_version,
                                      time_point now) {
  const uint64_t present = HolderAt(now);
  if ((present != 0 && present != holder) ||
      (epoch != 0 && epoch < highest_epoch_))
    return {false, highest_epoch_, present,
            present != 0 ? until_ - now : duration::zero()};
  // A late copy of an older request extends nothing.
  if (holder == holder_ && round < round_)
    return {false, highest_epoch_, present, duration::zero()};
  holder_ = holder;
  round_ = round;
  until_ = now + kLeasePeriod;
  roster_version_ = std::max(roster_version_, roster_version);
  if (epoch != 0) {
    highest_epoch_ = epoch;
    return {true, epoch, holder, duration::zero()};
  }
  return {true,
          std::max(highest_epoch_ + 1, roster_version << kEpochCounterBits),
          holder, duration::zero()};
}

void lease_witness::OnRelease(uint64_t holder, uint64_t round) {
  if (holder == holder_ && round >= round_) {
    round_ = round;
    until_ = time_point();
  }
}

void lease_witness::OnGuests(const std::map<uint64_t, std::string>& guests,
                             time_point now) {
  for (const auto& [incarnation, address] : guests) {
    guests_[incarnation] = address;
    listed_at_[incarnation] = now;
  }
}

const std::map<uint64_t, std::string>& lease_witness::Guests(time_point now) {
  for (auto guest = guests_.begin(); guest != guests_.end();) {
    if (now - listed_at_[guest->first] < kGuestMemory) {
      ++guest;
      continue;
    }
    listed_at_.erase(guest->first);
    guest = guests_.erase(guest);
  }
  return guests_;
}

void lease_witness::OnGone(uint64_t holder) {
  if (holder == holder_)
    until_ = time_point();
}

}  // namespace skylarkhoist
