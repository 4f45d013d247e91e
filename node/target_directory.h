#ifndef NODE_TARGET_DIRECTORY_H_
#define NODE_TARGET_DIRECTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/time.h"

namespace skylarkhoist {

// A target as its node last described it.
struct member_target {
  std::string peer_address;
  std::string zone;
  uint64_t incarnation = 0;
  uint32_t load_permille = 0;
  uint32_t limit = 0;
  // When this node first saw the target in service.
  time_point seen_since;
  time_point load_at;
  bool reachable = true;
};

// Where the targets of a service are.
class target_directory {
 public:
  virtual ~target_directory() = default;

  // Targets of `service` that are in service by their own word.
  virtual std::vector<member_target> TargetsOf(
      const std::string& service) const = 0;
};

}  // namespace skylarkhoist

#endif  // NODE_TARGET_DIRECTORY_H_
