#ifndef NODE_ROLLOUT_RECORDS_H_
#define NODE_ROLLOUT_RECORDS_H_

#include <optional>
#include <string>

#include "wire/messages_generated.h"

namespace skylarkhoist {

// What the store holds about the rollout of a service.
struct rollout_status {
  std::string target_version;
  fbs::rollout_phase phase = fbs::rollout_phase::kRunning;
};

// Key of the status of a service in store_topic::kStatus.
std::string RolloutStatusKey(const std::string& service);

std::string EncodeRolloutStatus(const rollout_status& status);
// Returns nothing if the value is malformed.
std::optional<rollout_status> DecodeRolloutStatus(const std::string& value);

// Name of the phase in the store, in logs and in /status.
const char* PhaseName(fbs::rollout_phase phase);

// Whether the phase ends the rollout for good.
inline bool IsFinal(fbs::rollout_phase phase) {
  return phase == fbs::rollout_phase::kCompleted ||
         phase == fbs::rollout_phase::kRolledBack;
}

}  // namespace skylarkhoist

#endif  // NODE_ROLLOUT_RECORDS_H_
