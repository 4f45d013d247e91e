#ifndef DECISIONS_ROSTER_H_
#define DECISIONS_ROSTER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhoist {

// One incarnation (run of the process) of a node, as recorded in the log.
struct roster_member {
  std::string node;
  std::string zone;
  std::string peer_address;
  uint64_t incarnation = 0;
};

// The members of the fleet at a log offset.
struct roster_view {
  // Offset of the last join, leave or evict record.
  uint64_t version = 0;
  std::vector<roster_member> members;

  const roster_member* Find(uint64_t incarnation) const;
};

constexpr size_t kGroupSize = 3;
constexpr size_t kGroupMajority = 2;

// Returns the members that are responsible for `shard`, by descending score of
// rendezvous hashing. Takes one member of each zone before a second one of any
// zone. Returns fewer than kGroupSize members when the roster is smaller.
std::vector<roster_member> GroupOf(const roster_view& roster,
                                   std::string_view shard);

}  // namespace skylarkhoist

#endif  // DECISIONS_ROSTER_H_
