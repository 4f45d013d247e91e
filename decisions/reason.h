#ifndef DECISIONS_REASON_H_
#define DECISIONS_REASON_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace skylarkhoist {

// Why a request ended as it did. Nodes exchange the values, so add new ones
// right before kCount and never change their order.
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
  kTargetLimited,
  kParentEnded,
  kCount,
};

// How a reason is reported to callers and in metrics.
struct reason_info {
  // Value of the Skylark-Reason header and of the metric label.
  std::string_view label;
  // Status code of the response; 0 means the status that the target returned.
  int status;
  // Whether the response carries a Retry-After header.
  bool retry_after;
};

// ReasonFromWire maps values that this version does not know to kOverloaded.
const reason_info& InfoOf(reason value);
reason ReasonFromWire(uint8_t value);

}  // namespace skylarkhoist

#endif  // DECISIONS_REASON_H_
