#ifndef DECISIONS_TARGET_STATUS_H_
#define DECISIONS_TARGET_STATUS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace skylarkhoist {

// What a target says about itself in its responses.
struct target_status {
  // Calls per second that the target accepts from all nodes together; nothing
  // when it names no limit.
  std::optional<double> max_calls_per_second;
  // The target is about to stop and should get no new calls.
  bool leaving = false;

  bool operator==(const target_status& other) const {
    return max_calls_per_second == other.max_calls_per_second &&
           leaving == other.leaving;
  }
  bool operator!=(const target_status& other) const {
    return !(*this == other);
  }
};

// Identifies one run of a target's process, as in its announcements.
struct target_run {
  std::string id;
  int64_t generation = 0;

  bool operator<(const target_run& other) const {
    return std::tie(id, generation) < std::tie(other.id, other.generation);
  }
};

}  // namespace skylarkhoist

#endif  // DECISIONS_TARGET_STATUS_H_
