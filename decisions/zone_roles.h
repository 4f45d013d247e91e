#ifndef DECISIONS_ZONE_ROLES_H_
#define DECISIONS_ZONE_ROLES_H_

#include <cstddef>
#include <string>
#include <vector>

namespace skylarkhoist {

// A live node of a zone.
struct zone_node {
  std::string address;
  std::string name;
  // The store does not answer it.
  bool store_lost = false;
};

// Addresses of the nodes that have a role for their whole zone, in order of
// their rank.
struct zone_roles {
  // They exchange views with other zones and pass them on within their zone.
  std::vector<std::string> relays;
  // They read the operators' records from the store and notify the others.
  std::vector<std::string> readers;
};

// Chooses the relays and readers of one zone out of `zone_count`. All nodes
// that know the same live nodes choose the same ones. A node that the store
// does not answer stays a reader, but others read in addition, up to a bound
// for the time in which the store answers nobody.
zone_roles AssignZoneRoles(const std::vector<zone_node>& nodes,
                           size_t zone_count);

// Number of readers in one zone out of `zone_count` while the store answers
// them.
size_t ReadersPerZone(size_t zone_count);

}  // namespace skylarkhoist

#endif  // DECISIONS_ZONE_ROLES_H_
