#ifndef TESTING_SOAK_H_
#define TESTING_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/time.h"

namespace skylarkhoist {

struct soak_options {
  // The program under test; it is started as `PROGRAM hosted SETTINGS`.
  std::string program;
  // Where settings and logs of the nodes go; must exist.
  std::string directory;
  uint64_t seed = 1;
  int nodes = 6;
  // Faults come for this time; the fleet then has some seconds to recover.
  duration length = std::chrono::seconds(10);
  int requests_per_second = 120;
  // A deliberate fault of the workers, which shows that the checks report it:
  // half of them run requests and say that they have not.
  bool deny_runs = false;
};

struct soak_result {
  int sent = 0;
  int served = 0;
  int refused = 0;
  int unknown = 0;
  int faults = 0;
  // Broken promises, with what was seen; empty when all were kept.
  std::vector<std::string> violations;
};

// Runs real nodes as processes on loopback, with workers, callers and a store
// in this process, and harms them from outside: processes are stopped, killed,
// paused and restarted, and connections to the store and to workers are
// delayed, cut one way, silenced and reset. The faults follow from the seed;
// the times at which processes act do not, so a seed repeats a run only nearly.
//
// Checked, from what callers and workers see:
//
// - a request that may not be repeated runs at most once
// - one that was refused as not run has not run, and does not run later
// - an answer is the whole answer to its own request
// - a run has the customer of the key that the request had, and not the key
// - a withdrawn key is not served by a node that was left in peace
// - a planned stop cuts no request of a fleet that was left in peace
// - requests are served again once the faults are over
soak_result RunSoak(const soak_options& options);

}  // namespace skylarkhoist

#endif  // TESTING_SOAK_H_
