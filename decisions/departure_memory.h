#ifndef DECISIONS_DEPARTURE_MEMORY_H_
#define DECISIONS_DEPARTURE_MEMORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decisions/target_status.h"
#include "kernel/time.h"

namespace skylarkhoist {

// The last that is known of a target that leaves.
struct target_departure {
  // The run that leaves. When the target did not tell its generation, this is
  // one between those of the run and of the next one.
  target_run run;
  // Number of the announcement that told it.
  int64_t sequence = 0;
  // It has left, so that no announcement of this run counts any more. Otherwise
  // it is draining, and those up to `sequence` don't count.
  bool gone = false;
};

// Remembers which targets beside a node leave. Announcements that were sent
// before may arrive much later.
//
//   memory.Record(departure, now);
//   if (memory.IsOutdated(run, sequence, now)) { ignore the announcement }
class departure_memory {
 public:
  // Returns whether this was new.
  bool Record(const target_departure& departure, time_point now);

  // Returns whether an announcement was sent before a departure that is
  // remembered.
  bool IsOutdated(const target_run& run, int64_t sequence, time_point now);

  // Returns what is remembered.
  std::vector<target_departure> All(time_point now);

 private:
  // A target that leaves is gone after this time.
  static constexpr duration kRetention = std::chrono::minutes(2);
  static constexpr size_t kMaxDepartures = 32;

  struct row {
    target_departure departure;
    time_point recorded_at;
  };

  void RemoveOld(time_point now);

  // By id of the target.
  std::map<std::string, row> rows_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_DEPARTURE_MEMORY_H_
