#include "decisions/routing_policy.h"

namespace skylarkhoist {
namespace {

// Chooses the one with fewer open calls of two random candidates.
class least_loaded_routing : public routing_policy {
 public:
  std::optional<size_t> Pick(const std::vector<route_candidate>& candidates,
                             time_point /*now*/,
                             random_source& random) override {
    if (candidates.empty())
      return std::nullopt;
    const size_t first = random.Below(candidates.size());
    const size_t second = random.Below(candidates.size());
    return candidates[second].open_calls < candidates[first].open_calls ? second
                                                                        : first;
  }

  // It knows no capacities.
  bool HasCapacity(const std::vector<route_candidate>& /*candidates*/,
                   time_point /*now*/) const override {
    return false;
  }
};

const routing_registry::registration kLeastLoaded("least_loaded", [] {
  return std::make_unique<least_loaded_routing>();
});

}  // namespace
}  // namespace skylarkhoist
