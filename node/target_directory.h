#ifndef NODE_TARGET_DIRECTORY_H_
#define NODE_TARGET_DIRECTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/time.h"

namespace skylarkhoist {

// A target as the node beside it last described it.
struct target_info {
  // Peer address of the node beside the target.
  std::string peer_address;
  std::string zone;
  uint64_t incarnation = 0;
  // Load in permille of `limit`; 1000 means full.
  uint32_t load_permille = 0;
  // Concurrency limit of the target.
  uint32_t limit = 0;
  // As in route_candidate; zero when unknown.
  duration run_time = duration::zero();
  duration expected_time = duration::zero();
  // Version of the target's program; empty when it names none.
  std::string version;
  // When this node first saw the target in service.
  time_point first_seen;
  // When this node received `load_permille`.
  time_point reported_at;
  // False while this node cannot reach the target's node.
  bool reachable = true;
};

// Looks up the targets of a service.
class target_directory {
 public:
  virtual ~target_directory() = default;

  // Returns the targets of `service` that their nodes announce as in service.
  virtual std::vector<target_info> TargetsOf(
      const std::string& service) const = 0;
};

}  // namespace skylarkhoist

#endif  // NODE_TARGET_DIRECTORY_H_
