#include "decisions/zone_roles.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace skylarkhoist {
namespace {

std::vector<zone_node> Nodes(size_t count) {
  std::vector<zone_node> nodes;
  for (size_t i = 0; i < count; ++i)
    nodes.push_back(
        {"10.0.0." + std::to_string(i) + ":7", "n" + std::to_string(i), false});
  return nodes;
}

zone_node* NodeAt(std::vector<zone_node>* nodes, const std::string& address) {
  return &*std::find_if(
      nodes->begin(), nodes->end(),
      [&](const zone_node& each) { return each.address == address; });
}

TEST_GROUP(zone_roles){};

// Guards against nodes of one zone that choose different relays, and against
// two reads of the store for each node after a change.
TEST(zone_roles, AllNodesChooseTheSameFew) {
  std::vector<zone_node> nodes = Nodes(40);
  const zone_roles roles = AssignZoneRoles(nodes, 5);
  CHECK_EQUAL(2, roles.relays.size());
  CHECK_EQUAL(2, roles.readers.size());
  std::reverse(nodes.begin(), nodes.end());
  CHECK_TRUE(AssignZoneRoles(nodes, 5).relays == roles.relays);
  CHECK_TRUE(AssignZoneRoles(nodes, 5).readers == roles.readers);
}

// The loss of a node that has no role changes nothing, and that of a relay only
// its own place.
TEST(zone_roles, ALossChangesOneRoleAtMost) {
  std::vector<zone_node> nodes = Nodes(10);
  const zone_roles before = AssignZoneRoles(nodes, 3);
  nodes.erase(std::find_if(nodes.begin(), nodes.end(), [&](const auto& each) {
    return each.address == before.relays[0];
  }));
  const zone_roles after = AssignZoneRoles(nodes, 3);
  CHECK_EQUAL(before.relays[1], after.relays[0]);
}

TEST(zone_roles, AFleetOfOneZoneHasMoreReaders) {
  CHECK_EQUAL(6, AssignZoneRoles(Nodes(14), 1).readers.size());
  CHECK_EQUAL(3, AssignZoneRoles(Nodes(14), 2).readers.size());
  CHECK_EQUAL(1, AssignZoneRoles(Nodes(1), 3).readers.size());
  CHECK_TRUE(AssignZoneRoles({}, 3).readers.empty());
}

// Load pattern: the store turns away some of the nodes, the readers of a zone
// among them, or answers nobody. Guards against a zone that nobody reads for,
// and against all nodes reading at once.
TEST(zone_roles, OthersReadWhileTheStoreDoesNotAnswerReaders) {
  std::vector<zone_node> nodes = Nodes(40);
  const zone_roles before = AssignZoneRoles(nodes, 3);
  for (const std::string& reader : before.readers)
    NodeAt(&nodes, reader)->store_lost = true;
  const zone_roles after = AssignZoneRoles(nodes, 3);
  CHECK_EQUAL(4, after.readers.size());
  CHECK_TRUE(std::equal(before.readers.begin(), before.readers.end(),
                        after.readers.begin()));
  for (zone_node& each : nodes)
    each.store_lost = true;
  CHECK_EQUAL(6, AssignZoneRoles(nodes, 3).readers.size());
}

}  // namespace
}  // namespace skylarkhoist
