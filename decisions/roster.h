#ifndef DECISIONS_ROSTER_H_
#define DECISIONS_ROSTER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhoist {

// One run of a node process, as recorded in the log.
struct roster_member {
  std::string node;
  std::string zone;
  std::string peer_address;
  uint64_t incarnation = 0;
};

// The node incarnations of the fleet at a log offset.
struct roster_view {
  // Offset of the last join, leave or evict record.
  uint64_t version = 0;
  std::vector<roster_member> members;

  const roster_member* Find(uint64_t incarnation) const;
};

constexpr size_t kGroupSize = 3;
constexpr size_t kGroupMajority = 2;

// The members that hold `shard`, best first: rendezvous hashing over the
// roster, with one member per zone as long as there are zones left. Returns
// fewer than kGroupSize members when the roster is smaller.
std::vector<roster_member> GroupOf(const roster_view& roster,
                                   std::string_view shard);

}  // namespace skylarkhoist

#endif  // DECISIONS_ROSTER_H_
