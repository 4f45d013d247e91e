#include "decisions/zone_roles.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

namespace skylarkhoist {
namespace {

// Two, so that the loss of one goes unnoticed.
constexpr size_t kRelaysPerZone = 2;

// Readers of the whole fleet, and the minimum in each zone.
constexpr size_t kFleetReaders = 6;
constexpr size_t kMinReadersPerZone = 2;

// Nodes of one zone that may read while the store does not answer readers of
// higher rank.
constexpr size_t kMaxReadersPerZone = 6;

}  // namespace

size_t ReadersPerZone(size_t zone_count) {
  const size_t zones = std::max<size_t>(zone_count, 1);
  return std::max(kMinReadersPerZone, (kFleetReaders + zones - 1) / zones);
}

zone_roles AssignZoneRoles(const std::vector<zone_node>& nodes,
                           size_t zone_count) {
  std::vector<std::pair<uint64_t, const zone_node*>> ranked;
  ranked.reserve(nodes.size());
  for (const zone_node& each : nodes)
    ranked.emplace_back(XXH64(each.name.data(), each.name.size(), 0), &each);
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& left, const auto& right) {
              return std::tie(left.first, left.second->address) <
                     std::tie(right.first, right.second->address);
            });
  zone_roles roles;
  const size_t readers = ReadersPerZone(zone_count);
  size_t answered_readers = 0;
  for (const auto& [hash, node] : ranked) {
    if (roles.relays.size() < kRelaysPerZone)
      roles.relays.push_back(node->address);
    const bool by_rank = roles.readers.size() < readers;
    const bool as_substitute =
        answered_readers < readers && roles.readers.size() < kMaxReadersPerZone;
    if (by_rank || as_substitute)
      roles.readers.push_back(node->address);
    answered_readers += node->store_lost ? 0 : 1;
  }
  return roles;
}

}  // namespace skylarkhoist
