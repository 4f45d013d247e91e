#ifndef TESTING_FAULT_RUN_H_
#define TESTING_FAULT_RUN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/findings.h"
#include "node/node.h"
#include "testing/event_history.h"

namespace skylarkhoist {

enum class fault_kind {
  kNodeKilled,
  kNodeRestarted,
  kNodePaused,
  kNodeDrained,
  kLinkSilent,
  kPartition,
  kMessageLoss,
  kMessageDuplication,
  kMessageReordering,
  kLogDown,
  kLogSlow,
  kLogAnswersLost,
  kTargetCrash,
  kTargetCold,
  kTargetSlow,
  kTargetSheds,
  kTargetLeaving,
  kCrashingRequest,
  kKeyWithdrawn,
  kZoneOut,
};

const std::vector<fault_kind>& AllFaultKinds();
const char* NameOf(fault_kind kind);

struct fault_run_options {
  uint64_t seed = 1;
  size_t machines = 5;
  // Time in which new requests are sent, after the fleet has formed. Faults
  // begin in its first half.
  duration load_duration = std::chrono::seconds(5);
  // New requests per second. Copies, which callers send to retry a request, are
  // not counted.
  double requests_per_second = 40;
  // Child calls that the target makes for each booking.
  int child_calls = 2;
  // Faults to inject; when empty, one or two are chosen at random.
  std::vector<fault_kind> faults;
  // Options of all nodes, for example bugs that a test injects on purpose.
  node_options common_node_options;
};

struct fault_run_result {
  event_history history;
  std::vector<fault_kind> faults;
  // Violations found by the checkers, by invariant. The key "response" holds
  // copies that got no response or more than one. Empty when all invariants
  // hold.
  std::map<std::string, findings> violations;
  // Number of requests by outcome: "answered", "refused" or "unknown". All
  // copies of a request count as one.
  std::map<std::string, int64_t> requests_by_outcome;
  // Number of copies by Skylark-Reason of their response; "connection" when
  // there was no response.
  std::map<std::string, int64_t> copies_by_reason;

  std::string ToText() const;
};

// Simulates a small fleet under load and faults, which all follow from the
// seed. The load consists of open, keyed and non-repeatable requests. For a
// non-repeatable request, callers send copies with the same idempotency key to
// any node until one is answered. Some send two copies at once, and some close
// the connection of a copy. At the end all checkers run.
//
//   const fault_run_result result = RunWithFaults({.seed = 7});
//   CHECK_TRUE(result.violations.empty());
fault_run_result RunWithFaults(const fault_run_options& options);

}  // namespace skylarkhoist

#endif  // TESTING_FAULT_RUN_H_
