#ifndef DECISIONS_ROUTING_POLICY_H_
#define DECISIONS_ROUTING_POLICY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "kernel/plugin_registry.h"
#include "kernel/random.h"
#include "kernel/time.h"

namespace skylarkhoist {

// A target that may get a call, as the entry node sees it.
struct route_candidate {
  // Peer address of the node that runs beside the target.
  std::string node_address;
  uint64_t node_incarnation = 0;
  // Version of the target's program; empty when it names none.
  std::string version;
  bool same_zone = false;
  // Number of calls that this node has open at the target.
  int open_calls = 0;
  // Number of these calls when the last load report arrived; negative when
  // unknown.
  int open_calls_at_report = -1;
  // Last load that the executing node reported, and when. 1000 means that all
  // slots are busy.
  uint32_t load_permille = 0;
  time_point reported_at;
  // Concurrency limit that the executing node reported; 0 when unknown.
  uint32_t limit = 0;
  // Expected time of an average run, and of a new call with its wait for a
  // slot, as the executing node learned them; zero when unknown.
  duration run_time = duration::zero();
  duration expected_time = duration::zero();
  // Share of this node's recent calls to the target that failed.
  double failure_rate = 0;
  // When this node first saw the target in its current incarnation.
  time_point first_seen;
};

// Chooses one of several candidate targets. Plug-ins register under a name that
// the settings select.
class routing_policy {
 public:
  virtual ~routing_policy() = default;

  // Returns the index of the chosen candidate, or nothing when the call should
  // be refused because no candidate has capacity.
  virtual std::optional<size_t> Pick(
      const std::vector<route_candidate>& candidates,
      time_point now,
      random_source& random) = 0;

  // Returns whether one of the candidates has capacity, as far as is known.
  virtual bool HasCapacity(const std::vector<route_candidate>& candidates,
                           time_point now) const = 0;
};

using routing_registry = plugin_registry<routing_policy>;

}  // namespace skylarkhoist

#endif  // DECISIONS_ROUTING_POLICY_H_
