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

// How a request must be treated, by its fingerprint.
enum class suspect_verdict {
  kNormal,
  // May run once, alone on its target; call BeginTrial first.
  kTrialNeeded,
  // Its trial, or that of another suspect of the service, is in progress: wait.
  kWait,
  // Refuse: reason::kQuarantined, not run.
  kQuarantined,
};

enum class suspect_status { kSuspect, kQuarantined, kCleared };

// News of one suspect, for the other nodes of the service's view. Quarantined
// with one death means that its trial has begun at the sender: nobody else may
// try it until the sender reports the result.
struct suspect_notice {
  std::string service;
  uint64_t fingerprint = 0;
  suspect_status status = suspect_status::kSuspect;
  int deaths = 0;
  duration time_left = duration::zero();
};

enum class trial_end {
  // The target answered, whatever the status: it is alive.
  kSurvived,
  // Cancelled, or refused before hand-over: says nothing about the request.
  kInconclusive,
};

// Finds requests that crash their targets. A request in progress at a target's
// death becomes a suspect. A suspect runs alone, one at a time for each
// service; if the target dies again, the request is quarantined for 5 min, and
// if not, it is cleared. A death among several requests never quarantines, so
// requests that only ran at the same time are cleared by one success.
//
//   switch (tracker.Check(service, fingerprint, now)) { ... }
//   Broadcast(tracker.BeginTrial(service, fingerprint, now));
//   Broadcast(tracker.OnTargetDeath(service, in_progress, now));
//   Broadcast(tracker.OnSurvived(service, fingerprint));
//   tracker.Merge(notice, now);
//
// One trial at a time holds on one node at once and between nodes when the
// notice has arrived; send suspects to the node that SuspectHome names, so
// that all nodes with the same view choose the same one.
class suspect_tracker {
 public:
  // The time that a suspicion or a quarantine lasts, and the bound on
  // fingerprints.
  explicit suspect_tracker(duration keep = std::chrono::minutes(5),
                           size_t max_entries = 10000)
      : keep_(keep), max_entries_(max_entries) {}

  suspect_verdict Check(const std::string& service,
                        uint64_t fingerprint,
                        time_point now);

  // Takes the one further run of a suspect; nothing when Check would not say
  // kTrialNeeded.
  std::optional<suspect_notice> BeginTrial(const std::string& service,
                                           uint64_t fingerprint,
                                           time_point now);

  // Ends a trial of this node without a death. Clears the suspect, or lets it
  // be tried again. Other ends of a run need no call, except OnSurvived.
  std::optional<suspect_notice> EndTrial(const std::string& service,
                                         uint64_t fingerprint,
                                         trial_end end,
                                         time_point now);

  // A run of this fingerprint ended with a response, in a trial or not (it may
  // have begun before the death of another target). Clears a suspect.
  std::optional<suspect_notice> OnSurvived(const std::string& service,
                                           uint64_t fingerprint);

  // A target died while the requests `in_progress` were handed over to it.
  std::vector<suspect_notice> OnTargetDeath(
      const std::string& service,
      const std::vector<uint64_t>& in_progress,
      time_point now);

  // Takes over news from another node. Returns whether it changed anything.
  bool Merge(const suspect_notice& notice, time_point now);

  // All suspects and quarantines, for a node that joins the service's view.
  std::vector<suspect_notice> Snapshot(time_point now);

  size_t size() const { return entries_.size(); }

 private:
  using key = std::pair<std::string, uint64_t>;
  struct entry {
    suspect_status status = suspect_status::kSuspect;
    int deaths = 0;
    time_point until;
    // The trial runs at this node.
    bool local_trial = false;
  };

  void Expire(time_point now);
  entry& Put(const key& name, time_point until);
  void Erase(const key& name);
  static suspect_notice Notice(const key& name,
                               const entry& value,
                               time_point now);

  duration keep_;
  size_t max_entries_;
  std::map<key, entry> entries_;
  // Fingerprint on trial at this node, by service.
  std::map<std::string, uint64_t> trials_;
  // Earliest possible end of an entry; spares a scan for each request.
  time_point next_expiry_ = time_point::max();
};

// Index of the node that runs the trials of `service`, by rendezvous hashing
// over the incarnations of the nodes beside its targets. Nothing when the list
// is empty.
std::optional<size_t> SuspectHome(const std::string& service,
                                  const std::vector<uint64_t>& incarnations);

}  // namespace skylarkhoist

#endif  // DECISIONS_SUSPECT_TRACKER_H_
