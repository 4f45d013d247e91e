#ifndef DECISIONS_REACH_HISTORY_H_
#define DECISIONS_REACH_HISTORY_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "kernel/time.h"

namespace skylarkhoist {

// How a node that uses a customer's rate looks to the owner of the token
// bucket.
enum class node_reach {
  // The owner itself.
  kOwn,
  kLive,
  // Out of reach, and possibly running on the other side of a partition.
  kLost,
  // Its process has ended, or it was never known.
  kEnded,
};

struct reach_counts {
  size_t lost = 0;
  // Lost nodes, and those out of reach for a short time.
  size_t out_of_reach = 0;
  // Nodes that are live or out of reach, including this one.
  size_t known = 1;
};

// Remembers which nodes were live and then got out of reach. A node that has
// not been live so far holds no share of a rate, so a fleet that starts has no
// lost nodes.
class reach_history {
 public:
  // A loss that is shorter than this is a change of the links or of the
  // publishers of views, not a partition.
  static constexpr duration kMinLossTime = std::chrono::milliseconds(500);
  // A node that is back in reach finds the owner within this time.
  static constexpr duration kReturnTime = std::chrono::milliseconds(1500);

  explicit reach_history(std::string own_address)
      : own_address_(std::move(own_address)) {}

  // Sets the nodes in reach, and those that are out of reach but have not
  // ended, by peer address.
  void Update(const std::set<std::string>& live,
              const std::set<std::string>& out_of_reach,
              time_point now);

  node_reach ReachOf(const std::string& address, time_point now) const;

  reach_counts Counts(time_point now) const;

 private:
  struct loss {
    time_point lost_at;
    // time_point::max() while it is out of reach.
    time_point returned_at;
  };

  static bool IsLost(const loss& each, time_point now);

  std::string own_address_;
  std::set<std::string> live_;
  // By peer address.
  std::map<std::string, loss> losses_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_REACH_HISTORY_H_
