#include "testing/event_history.h"

#include <algorithm>

namespace skylarkhoist {

const char* NameOf(event_kind kind) {
  switch (kind) {
    case event_kind::kSent:
      return "sent";
    case event_kind::kAdmitted:
      return "admitted";
    case event_kind::kHandedOver:
      return "handed_over";
    case event_kind::kRunStarted:
      return "run_started";
    case event_kind::kRunEnded:
      return "run_ended";
    case event_kind::kAnswered:
      return "answered";
    case event_kind::kRefused:
      return "refused";
    case event_kind::kFailed:
      return "failed";
    case event_kind::kKeyIssued:
      return "key_issued";
    case event_kind::kKeyWithdrawn:
      return "key_withdrawn";
    case event_kind::kRateSet:
      return "rate_set";
    case event_kind::kZoneOut:
      return "zone_out";
    case event_kind::kZoneIn:
      return "zone_in";
    case event_kind::kTargetCold:
      return "target_cold";
    case event_kind::kTargetWarm:
      return "target_warm";
    case event_kind::kTargetLeaving:
      return "target_leaving";
    case event_kind::kTargetServing:
      return "target_serving";
    case event_kind::kNodeStarted:
      return "node_started";
    case event_kind::kNodeStopping:
      return "node_stopping";
    case event_kind::kNodeStopped:
      return "node_stopped";
    case event_kind::kConfigAccepted:
      return "config_accepted";
    case event_kind::kConfigApplied:
      return "config_applied";
    case event_kind::kLogDown:
      return "log_down";
    case event_kind::kLogUp:
      return "log_up";
  }
  return "unknown";
}

void event_history::Add(event added) {
  const auto position = std::upper_bound(
      events_.begin(), events_.end(), added,
      [](const event& a, const event& b) { return a.at < b.at; });
  events_.insert(position, std::move(added));
}

std::string event_history::DescribeEvent(const char* invariant,
                                         size_t index) const {
  const event& found = events_.at(index);
  return std::string(invariant) + ", event " + std::to_string(index) + " at " +
         std::to_string(ToMilliseconds(found.at.time_since_epoch())) + " ms (" +
         NameOf(found.kind) + " " + std::to_string(found.id.incarnation) + "/" +
         std::to_string(found.id.sequence) + ")";
}

}  // namespace skylarkhoist
