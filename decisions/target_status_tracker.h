#ifndef DECISIONS_TARGET_STATUS_TRACKER_H_
#define DECISIONS_TARGET_STATUS_TRACKER_H_

#include <map>

#include "decisions/target_status.h"
#include "kernel/time.h"

namespace skylarkhoist {

// Keeps the last known status of each target beside one node:
//
//   tracker.OnResponse(run, status, sent_at, now);
//   if (tracker.StatusOf(run).leaving) { send nothing }
//
// A node that restarts has lost what its target said. Other nodes report what
// they remember, see OnReport, until the target itself has answered again.
class target_status_tracker {
 public:
  // Records the status in a response to a call that was sent at `sent_at`. A
  // limit ends only with responses to calls that were sent after the last
  // response that named it, since responses may overtake each other.
  void OnResponse(const target_run& run,
                  const target_status& status,
                  time_point sent_at,
                  time_point now);

  // Records the status that another node remembers. A reported limit counts
  // only until the first response, a reported departure always. Of several
  // reported limits the lowest one counts.
  void OnReport(const target_run& run,
                const target_status& status,
                time_point now);

  target_status StatusOf(const target_run& run) const;

 private:
  struct entry {
    target_status status;
    bool has_responded = false;
    // When the limit was last named, and the responses since then that did not
    // name it.
    time_point limit_named_at;
    int responses_without_limit = 0;
    time_point updated_at;
  };

  entry& EntryOf(const target_run& run, time_point now);

  std::map<target_run, entry> entries_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_TARGET_STATUS_TRACKER_H_
