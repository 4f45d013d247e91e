#ifndef DECISIONS_SUSPECT_TRACKER_H_
#define DECISIONS_SUSPECT_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kernel/time.h"

namespace skylarkhoist {

// How to treat a request with a given fingerprint.
enum class suspect_verdict {
  kNormal,
  // A suspect that may run once, alone on its target; call BeginTrial first.
  kTrialNeeded,
  // Its trial or that of another suspect of the service is in progress: wait.
  kWait,
  // Refuse without running it, with reason::kQuarantined.
  kQuarantined,
};

enum class suspect_status { kSuspect, kQuarantined, kCleared };

// State of one suspect, for the other nodes that serve the same service.
// kQuarantined with one crash means that the trial has begun at the sender: no
// other node may run the request until the sender reports the result.
struct suspect_notice {
  std::string service;
  uint64_t fingerprint = 0;
  suspect_status status = suspect_status::kSuspect;
  int crashes = 0;
  duration time_left = duration::zero();
};

enum class trial_result {
  // The target answered with any status, so it did not crash.
  kPassed,
  // The run was cancelled, or refused before the target got the request.
  kInconclusive,
};

// Finds requests that crash their targets. Each request in progress when a
// target crashes becomes a suspect. A suspect runs in a trial: alone on its
// target, one at a time for each service. If the target crashes again, the
// request is quarantined for 5 min, otherwise it is cleared. A crash with
// several requests in progress never quarantines, so requests that only ran at
// the same time are cleared by one success.
//
//   switch (tracker.Check(service, fingerprint, now)) { ... }
//   Broadcast(tracker.BeginTrial(service, fingerprint, now));
//   Broadcast(tracker.OnTargetCrash(service, in_progress, now));
//   Broadcast(tracker.OnRunCompleted(service, fingerprint));
//   tracker.Merge(notice, now);
//
// "One trial at a time" holds on one node at once, and between nodes from the
// arrival of the notice on. To avoid parallel trials, send suspects to the node
// that SuspectTrialNode returns; all nodes with the same view get the same one.
class suspect_tracker {
 public:
  // `retention` is the time that a suspicion or a quarantine lasts;
  // `max_entries` bounds the number of fingerprints.
  explicit suspect_tracker(duration retention = std::chrono::minutes(5),
                           size_t max_entries = 10000)
      : retention_(retention), max_entries_(max_entries) {}

  suspect_verdict Check(const std::string& service,
                        uint64_t fingerprint,
                        time_point now);

  // Begins the trial of a suspect. Returns nothing, and does nothing, when
  // Check would not return kTrialNeeded.
  std::optional<suspect_notice> BeginTrial(const std::string& service,
                                           uint64_t fingerprint,
                                           time_point now);

  // Ends a trial of this node in which the target did not crash. Clears the
  // suspect, or allows another trial if the result is inconclusive. For a run
  // outside a trial, call OnRunCompleted when it ends with a response.
  std::optional<suspect_notice> EndTrial(const std::string& service,
                                         uint64_t fingerprint,
                                         trial_result end,
                                         time_point now);

  // A run of this fingerprint ended with a response. Clears the suspect, also
  // when the run was not a trial: it may have begun before another target
  // crashed.
  std::optional<suspect_notice> OnRunCompleted(const std::string& service,
                                               uint64_t fingerprint);

  // A target crashed while it was running the requests `in_progress`.
  std::vector<suspect_notice> OnTargetCrash(
      const std::string& service,
      const std::vector<uint64_t>& in_progress,
      time_point now);

  // Applies a notice from another node. Returns whether it changed anything.
  bool Merge(const suspect_notice& notice, time_point now);

  // Returns all suspected and quarantined requests, for a node that may not
  // know them yet.
  std::vector<suspect_notice> Snapshot(time_point now);

  size_t size() const { return entries_.size(); }

 private:
  using key = std::pair<std::string, uint64_t>;
  struct entry {
    suspect_status status = suspect_status::kSuspect;
    int crashes = 0;
    time_point expires_at;
    // True while this node runs the trial.
    bool local_trial = false;
  };

  void DropExpired(time_point now);
  entry& Upsert(const key& id, time_point expires_at);
  void Erase(const key& id);
  static suspect_notice MakeNotice(const key& id,
                                   const entry& suspect,
                                   time_point now);

  duration retention_;
  size_t max_entries_;
  std::map<key, entry> entries_;
  // Fingerprint that is on trial at this node, by service.
  std::map<std::string, uint64_t> local_trials_;
  // Earliest expiry of an entry; avoids a scan for each request.
  time_point next_expiry_ = time_point::max();
};

// Returns the index of the node that runs the trials of `service`, by
// rendezvous hashing over the incarnations of the nodes beside its targets, or
// nothing when the list is empty.
std::optional<size_t> SuspectTrialNode(
    const std::string& service,
    const std::vector<uint64_t>& incarnations);

}  // namespace skylarkhoist

#endif  // DECISIONS_SUSPECT_TRACKER_H_
