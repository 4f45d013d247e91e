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
  // Time from the formed fleet to the last new request. Faults begin in its
  // first half.
  duration length = std::chrono::seconds(5);
  // New requests a second, without copies that callers send again.
  double requests_per_second = 40;
  // Child calls of each booking.
  int child_calls = 2;
  // Faults to inject; one or two are drawn when empty.
  std::vector<fault_kind> faults;
  // Options of all nodes, such as deliberate faults.
  node_options common;
};

struct fault_run_result {
  event_history history;
  std::vector<fault_kind> faults;
  // What the checkers found, by invariant; "response" for a request without its
  // response or with two. Empty when all hold.
  std::map<std::string, findings> violations;
  // Requests as their callers see them, without copies, by how they ended:
  // "answered", "refused", "unknown".
  std::map<std::string, int64_t> requests;
  // Single copies by their reason; "connection" when there was no response.
  std::map<std::string, int64_t> reasons;

  std::string ToText() const;
};

// One run of a small fleet under load and faults, all drawn from the seed. The
// load consists of open, keyed and non-repeatable requests; callers of the last
// send the same idempotency key to other nodes, at once or after a lost
// connection, until they have an answer. At the end all checkers run.
//
//   const fault_run_result result = RunFaults({.seed = 7});
//   CHECK_TRUE(result.violations.empty());
fault_run_result RunFaults(const fault_run_options& options);

}  // namespace skylarkhoist

#endif  // TESTING_FAULT_RUN_H_
