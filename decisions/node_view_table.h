#ifndef DECISIONS_NODE_VIEW_TABLE_H_
#define DECISIONS_NODE_VIEW_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "kernel/time.h"

namespace skylarkhoist {

enum class node_status : uint8_t {
  // It answers another node of its zone.
  kLive,
  // It does not answer, or its zone is out of reach.
  kLost,
  // Its process has certainly ended.
  kEnded,
};

struct target_view {
  std::string service;
  std::string address;
  bool serving = false;
  uint32_t load_permille = 0;
  uint32_t limit = 0;
  // As in load_level of wire/messages.fbs; 0 when unknown.
  uint32_t speed_milli = 0;
  uint32_t expected_us = 0;
  // Version of the target's program; empty when it names none.
  std::string version;

  bool operator==(const target_view& other) const {
    return service == other.service && address == other.address &&
           serving == other.serving && load_permille == other.load_permille &&
           limit == other.limit && speed_milli == other.speed_milli &&
           expected_us == other.expected_us && version == other.version;
  }
};

// What is known of one node.
struct node_view {
  // Peer address.
  std::string address;
  std::string name;
  std::string zone;
  uint64_t incarnation = 0;
  // Number of the node's description of itself, which rises within one
  // incarnation.
  uint64_t version = 0;
  node_status status = node_status::kLost;
  // Accepts no new calls.
  bool draining = false;
  // Version of the protocol between nodes.
  uint16_t protocol = 0;
  std::vector<target_view> targets;

  bool operator==(const node_view& other) const {
    return address == other.address && name == other.name &&
           zone == other.zone && incarnation == other.incarnation &&
           version == other.version && status == other.status &&
           draining == other.draining && protocol == other.protocol &&
           targets == other.targets;
  }
};

// What one node knows of a part of the fleet, with the order of the changes, so
// that it can pass on each change once:
//
//   table.Update(node, now);
//   for (const node_view* each : table.ChangedSince(sent)) { ... }
//   sent = table.change();
class node_view_table {
 public:
  // Adds the node or replaces what is known of it, unless `node` is an older
  // description by the same incarnation. Returns whether anything changed.
  bool Update(const node_view& node, time_point now);

  // Marks the nodes of `zone`, or of all zones if it is empty, that are not in
  // `addresses` as ended. Returns whether anything changed.
  bool EndMissing(const std::string& zone,
                  const std::set<std::string>& addresses,
                  time_point now);

  // Removes nodes that ended before `oldest`.
  void RemoveEnded(time_point oldest);

  // Number of the last change; 0 before the first.
  uint64_t change() const { return change_; }

  // Counts a change that is not about a node.
  void CountChange() { ++change_; }

  // Nodes that changed after the change with this number.
  std::vector<const node_view*> ChangedSince(uint64_t change) const;

  // Returns null if the address is unknown.
  const node_view* Find(const std::string& address) const;

  // Time at which the target at `target_address` of a node came into service;
  // time_point() while it is not in service.
  time_point ServingSince(const std::string& address,
                          const std::string& target_address) const;

  // All nodes, by address.
  std::vector<const node_view*> Nodes() const;

 private:
  struct row {
    node_view node;
    uint64_t change = 0;
    time_point changed_at;
    // By target address.
    std::map<std::string, time_point> serving_since;
  };

  void Store(row* stored, const node_view& node, time_point now);

  uint64_t change_ = 0;
  std::map<std::string, row> rows_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_NODE_VIEW_TABLE_H_
