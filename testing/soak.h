#ifndef TESTING_SOAK_H_
#define TESTING_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/time.h"

namespace skylarkhoist {

struct soak_options {
  // Path of the program under test; it is started as `PROGRAM hosted SETTINGS`.
  std::string program;
  // Existing directory for the settings and logs of the nodes.
  std::string directory;
  uint64_t seed = 1;
  int nodes = 6;
  // Time in which faults are injected. The fleet then has some seconds to
  // recover.
  duration fault_duration = std::chrono::seconds(10);
  int requests_per_second = 120;
  // Makes half of the workers run requests and respond that they have not run
  // them, to test that the checks report it.
  bool claim_not_executed = false;
};

struct soak_result {
  // Requests sent, and how many of them had each outcome. Those counted as
  // `unknown` got an error or another response; they may have run.
  int sent = 0;
  int served = 0;
  int refused = 0;
  int unknown = 0;
  // Faults injected.
  int faults = 0;
  // Violations of the guarantees of RunSoak; empty when all hold.
  std::vector<std::string> violations;
};

// Runs nodes as processes on loopback, with workers, callers and a store in
// this process, and injects faults. Node processes are stopped, killed, paused
// and restarted. Connections to the store and to workers are reset, or their
// bytes are delayed or discarded in one or both directions. Reports of workers
// that have left arrive late, and some are not readable. The seed determines
// the faults but not the timing of the processes, so a run with the same seed
// can differ.
//
// Checks these guarantees, as callers and workers see them:
//
// - A request that may not be repeated runs at most once.
// - A request that was refused as not run has not run, and does not run later.
// - A response is complete and belongs to its request.
// - A worker gets the customer of the request's key, but not the key.
// - A withdrawn key is not served by a node without recent faults.
// - A planned stop cuts off no request when no node had recent faults.
// - A worker that names a limit or its departure in its responses gets no more
//   requests than that from the nodes that passed such a response on.
// - A worker that deregisters gets no more requests 2 s after its node has
//   confirmed it, also while the store does not answer the node.
// - Requests are served again after the faults.
soak_result RunSoak(const soak_options& options);

}  // namespace skylarkhoist

#endif  // TESTING_SOAK_H_
