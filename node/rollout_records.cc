#include "node/rollout_records.h"

#include "kernel/json.h"
#include "kernel/json_schema.h"

namespace skylarkhoist {

std::string RolloutStatusKey(const std::string& service) {
  return "rollout/" + service;
}

const char* PhaseName(fbs::rollout_phase phase) {
  switch (phase) {
    case fbs::rollout_phase::kRunning:
      return "running";
    case fbs::rollout_phase::kStopped:
      return "stopped";
    case fbs::rollout_phase::kCompleted:
      return "completed";
    case fbs::rollout_phase::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

std::string EncodeRolloutStatus(const rollout_status& status) {
  return JsonText({{"state", PhaseName(status.phase)},
                   {"targetVersion", status.target_version}});
}

std::optional<rollout_status> DecodeRolloutStatus(const std::string& value) {
  const auto document = ParseJson(value);
  if (!document || !document->is_object() || !document->contains("state") ||
      !document->contains("targetVersion") ||
      !(*document)["state"].is_string() ||
      !(*document)["targetVersion"].is_string())
    return std::nullopt;
  const std::string state = (*document)["state"];
  for (const fbs::rollout_phase phase :
       {fbs::rollout_phase::kRunning, fbs::rollout_phase::kCompleted,
        fbs::rollout_phase::kRolledBack}) {
    if (state == PhaseName(phase))
      return rollout_status{(*document)["targetVersion"], phase};
  }
  return std::nullopt;
}

}  // namespace skylarkhoist
