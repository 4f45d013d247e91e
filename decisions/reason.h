#ifndef DECISIONS_REASON_H_
#define DECISIONS_REASON_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace skylarkhoist {

// Why a request ended as it did. Values travel between nodes; add new ones
// before kCount and never change their order.
enum class reason : uint8_t {
  kOk,
  kBadRequest,
  kKeyMissing,
  kKeyUnknown,
  kKeyWithdrawn,
  kCustomerDisabled,
  kContextInvalid,
  kNoRoute,
  kDuplicateUnknown,
  kBodyTooLarge,
  kHeadersTooLarge,
  kRateLimited,
  kOverloaded,
  kQueueTimeout,
  kQueueFull,
  kShedByTarget,
  kNoTarget,
  kZoneOut,
  kDraining,
  kQuarantined,
  kConfigStale,
  kRateUnavailable,
  kDedupUnavailable,
  kRetryCreditExhausted,
  kDeadlineBeforeRun,
  kDeadlineDuringRun,
  kLinkLost,
  kTargetLost,
  kAnswerDamaged,
  kCallerGone,
  kCount,
};

// How a reason is told to callers and counted.
struct reason_info {
  // Value of Skylark-Reason and of the counter label.
  std::string_view label;
  // Status of the response; 0 for the target's own.
  int status;
  // True when the response carries Retry-After.
  bool retry_after;
};

// Values that this version does not know map to kOverloaded.
const reason_info& InfoOf(reason value);
reason ReasonFromWire(uint8_t value);

}  // namespace skylarkhoist

#endif  // DECISIONS_REASON_H_
