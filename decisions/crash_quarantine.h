#ifndef DECISIONS_CRASH_QUARANTINE_H_
#define DECISIONS_CRASH_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "decisions/crash_detector.h"
#include "kernel/time.h"

namespace skylarkhoist {

// A request in quarantine.
struct quarantined_request {
  std::string service;
  uint64_t fingerprint = 0;
  duration time_left = duration::zero();
};

// Quarantines requests that crash each target that runs them. A request is
// quarantined after three crashes in a row at which it was in progress, each in
// a run that began after the crash before, without a completed run in between;
// unless another request has as many: then later crashes tell them apart.
// Targets that crash at the same time, all with a frequent request, count once.
// Unlike suspect_tracker it holds no request back, so that those that only ran
// beside the crash are not delayed.
//
// Load pattern: a target that runs many requests at a time crashes now and
// then, and callers repeat what was lost.
//
// All nodes with targets of a service have to be told of each crash and of each
// completed run of a request that was in progress at one.
class crash_quarantine {
 public:
  explicit crash_quarantine(size_t max_entries = 10000)
      : max_entries_(max_entries) {}

  bool IsQuarantined(const std::string& service,
                     uint64_t fingerprint,
                     time_point now);

  // A target crashed while it ran the requests `in_progress`.
  void OnCrash(const std::string& service,
               const std::vector<run_in_crash>& in_progress,
               time_point now);

  // A run completed, so the request does not crash each target. Returns whether
  // it was in progress at a crash, since then the other nodes have to be told.
  bool OnRunCompleted(const std::string& service, uint64_t fingerprint);

  // Another node has quarantined the request.
  void Merge(const quarantined_request& request, time_point now);

  std::vector<quarantined_request> Quarantined(time_point now);

  // Number of requests that were in progress at crashes.
  size_t size() const { return entries_.size(); }

 private:
  using key = std::pair<std::string, uint64_t>;
  struct entry {
    // Since the last completed run, in the order of their ends.
    std::vector<run_in_crash> runs;
    bool quarantined = false;
    time_point expires_at;
  };

  static int CrashesInARow(const entry& each);
  entry& Upsert(const key& id, time_point expires_at);
  void DropExpired(time_point now);

  size_t max_entries_;
  std::map<key, entry> entries_;
  // Earliest expiry of an entry; avoids a scan for each request.
  time_point next_expiry_ = time_point::max();
};

}  // namespace skylarkhoist

#endif  // DECISIONS_CRASH_QUARANTINE_H_
