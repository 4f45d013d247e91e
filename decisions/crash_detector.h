#ifndef DECISIONS_CRASH_DETECTOR_H_
#define DECISIONS_CRASH_DETECTOR_H_

#include <cstdint>
#include <vector>

#include "kernel/time.h"

namespace skylarkhoist {

// A run of a request that was in progress when its target crashed.
struct run_in_crash {
  uint64_t fingerprint = 0;
  time_point started_at;
  time_point lost_at;
};

// Tells the crash of one target from connections that it only closes. A run
// whose connection was lost counts as in progress at a crash if nothing shows
// that the target was alive afterwards.
//
//   detector.OnRunLost({fingerprint, started_at, now});
//   detector.OnResponse(sent_at);
//   if (connections are refused, or a new process has announced itself)
//     crashed = detector.TakeRunsInCrash(now);
class crash_detector {
 public:
  // The connection of a run was lost before its response.
  void OnRunLost(const run_in_crash& run);

  // A response arrived to a call that was sent at `sent_at`.
  void OnResponse(time_point sent_at);

  // The process of the target has ended without notice. Returns the runs that
  // were in progress.
  std::vector<run_in_crash> TakeRunsInCrash(time_point now);

 private:
  // Runs that were lost longer ago belong to another event.
  static constexpr duration kMaxDowntime = std::chrono::seconds(10);
  static constexpr size_t kMaxRuns = 1000;

  std::vector<run_in_crash> lost_runs_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_CRASH_DETECTOR_H_
