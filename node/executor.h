#ifndef NODE_EXECUTOR_H_
#define NODE_EXECUTOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "decisions/answer_cache.h"
#include "decisions/config_view.h"
#include "decisions/context_tokens.h"
#include "decisions/crash_detector.h"
#include "decisions/crash_quarantine.h"
#include "decisions/departure_memory.h"
#include "decisions/suspect_tracker.h"
#include "decisions/target_scheduler.h"
#include "decisions/target_status_tracker.h"
#include "kernel/loop.h"
#include "kernel/random.h"
#include "node/call_types.h"
#include "node/cold_guard.h"
#include "node/entry.h"
#include "node/request_dialect.h"
#include "wire/peer_transport.h"
#include "wire/target_client.h"

namespace skylarkhoist {

// An announcement that a target beside this node sends about itself.
struct target_announcement {
  std::string service;
  std::string address;
  fbs::member_state state = fbs::member_state::kServing;
  // Id of this run of the target's process; empty when it has none.
  std::string id;
  // Identifies the run of the target and increases from run to run, for example
  // its start time; `sequence` numbers the announcements of one run. An
  // announcement of an earlier run, or with a number that is not above the last
  // one, is dropped. Both are 0 when targets don't number their announcements.
  int64_t generation = 0;
  int64_t sequence = 0;
  // Version of the target's program; empty when it names none.
  std::string version;
  // Maximum of concurrent calls at the target; 0 when it does not announce one.
  int slots = 0;
  // How long the target stays cold, that is at reduced capacity after its
  // start.
  duration cold_remaining = duration::zero();
};

// Injected faults. Tests enable them to prove that the checkers of
// testing/checkers.h detect them.
struct executor_test_faults {
  // Reports a call as not run although its target was lost during the run.
  bool refuse_after_run = false;
  // Truncates each response body to its first half.
  bool truncate_answers = false;
};

struct executor_options {
  std::string zone;
  scheduler_plugins plugins;
  // A target is out of service when its last announcement is older than this.
  // The default allows for three missed announcements at one a second.
  duration announcement_timeout = std::chrono::seconds(3);
  // HTTP conventions for targets.
  const request_dialect* dialect = &SkylarkDialect();
  // Holds back requests that were in progress when a target crashed (see
  // suspect_tracker).
  bool track_suspects = true;
  // Refuses requests that crash their targets again and again, without holding
  // others back (see crash_quarantine). Not to be used with `track_suspects`.
  bool quarantine_crashing_requests = false;
  // Share of a target's slots that are used. A target that slows down or hangs
  // when it is full keeps a spare slot for new connections.
  double usable_slot_share = 0.95;
  answer_cache_limits answers;
  executor_test_faults faults;
};

// The role that runs calls: queues them, sends them to the local targets within
// the capacity of each, and keeps track of whether each call was sent. Only
// this role talks to targets.
class executor : public child_call_observer {
 public:
  executor(loop* loop,
           peer_transport* transport,
           target_client* targets,
           random_source* random,
           executor_options options,
           metrics* counters);
  ~executor() override;
  executor(const executor&) = delete;
  executor& operator=(const executor&) = delete;

  void SetConfig(std::shared_ptr<const config_view> config);

  // Handles the announcement of a target; targets announce themselves at least
  // once a second. Returns false when the announcement was dropped as stale.
  bool HandleAnnouncement(const target_announcement& announcement);

  // Handles the departure of the target `id`, which announces nothing after it.
  // `generation` is that of its run, as in its announcements, or any up to that
  // of the next run; 0 when nothing is known. Returns false when there is no
  // such target.
  bool HandleDeparture(const std::string& id, int64_t generation);

  // Targets that this process does not know may have left before it started.
  // Until SetDepartures tells which, such a target is in service only from its
  // second announcement on, since a single one may be late, and not before
  // `report_time` has passed, in which other nodes report what they remember
  // (see AddDepartures). A further call extends this time.
  void AwaitDepartures(duration report_time);
  // Sets the departures that an earlier process of this node has stored.
  void SetDepartures(const std::vector<target_departure>& departures);
  // Adds departures that other nodes remember. Returns whether one was unknown.
  bool AddDepartures(const std::vector<target_departure>& departures);

  // Returns the targets that leave or have left.
  std::vector<target_departure> Departures() {
    return departures_.All(loop_->Now());
  }

  // Sets the metrics of what was learned about the targets, and logs limits
  // that have changed.
  void PublishCapacities();

  // Returns the targets of this node for gossip.
  std::vector<fbs::target_entryT> DescribeTargets() const;

  void HandleCall(const peer_info& from, fbs::call_requestT received);
  void HandleCancel(const fbs::call_cancelT& cancel);
  void HandleQuery(const peer_info& from, const fbs::call_queryT& query);
  void HandleSuspect(const fbs::suspectT& suspect);

  // A target of the service beside another node has crashed.
  void HandleTargetCrash(const fbs::target_crashT& crash);

  // Returns the suspects and quarantined requests of a service, for a node that
  // may not know them.
  std::vector<fbs::suspectT> SuspectsOf(const std::string& service);

  // Returns the requests that quarantine_crashing_requests refuses, for a node
  // that may not know them.
  std::vector<fbs::suspectT> QuarantinedRequests();

  // The targets make calls whose runs are unknown.
  void OnUnknownChildCall();

  void OnChildCallStart(const request_id& parent) override;
  void OnChildCallEnd(const request_id& parent, bool failed) override;

  // Refuses new and waiting calls, so that their entry nodes try other nodes.
  void StopAccepting();

  // Calls `on_drained` once no call is queued or running.
  void Drain(std::function<void()> on_drained);

  context_tokens& contexts() { return contexts_; }

  // `callback` runs when the set or state of the targets changes.
  void OnTargetsChanged(std::function<void()> callback) {
    on_targets_changed_ = std::move(callback);
  }
  // `callback` runs when a target leaves.
  void OnDeparture(std::function<void()> callback) {
    on_departure_ = std::move(callback);
  }
  // `callback` sends a suspect message to the peers that serve the same
  // service.
  void OnSuspect(std::function<void(const fbs::suspectT&)> callback) {
    on_suspect_ = std::move(callback);
  }
  // `callback` sends the message to the peers that serve the same service.
  void OnTargetCrash(std::function<void(const fbs::target_crashT&)> callback) {
    on_target_crash_ = std::move(callback);
  }
  // `loads` returns the load levels of the services behind a call, which are
  // returned with its answer.
  void SetDownstreamLoads(std::function<std::vector<fbs::load_levelT>(
                              const fbs::call_requestT& call)> loads) {
    downstream_loads_ = std::move(loads);
  }
  // `callback` is told the route of each run when it starts and ends.
  void OnRun(
      std::function<void(const std::string& route, bool starts)> callback) {
    on_run_ = std::move(callback);
  }

  // `callback` is told the end of each run whose caller named it.
  void OnRunEnded(std::function<void(const ended_run& run)> callback) {
    on_run_ended_ = std::move(callback);
  }

  // `requires_permission` returns whether calls may go to targets of a version
  // only if their sender says so, because the version is being rolled out.
  void SetVersionCheck(
      std::function<bool(const std::string& service,
                         const std::string& version)> requires_permission) {
    requires_permission_ = std::move(requires_permission);
  }

  // Returns the run of the request that its caller named `caller_id`, or null.
  const fbs::call_requestT* FindRun(const std::string& caller_id) const;

  size_t open_calls() const { return executions_.size(); }

 private:
  struct local_target {
    target_announcement announcement;
    time_point announced_at;
    std::unique_ptr<target_scheduler> gate;
    // Copied from `target_statuses_`.
    target_status status;
    std::unique_ptr<cold_guard> cold;
    // May get calls: in service, in a zone in service, of a configured service.
    bool in_use = false;
    // Set when connections were refused since the last announcement or another
    // target uses the address.
    bool down = false;
    // This run of the target has announced itself more than once.
    bool announced_again = false;
    // Call of a suspect that waits for the target to be idle or runs on it
    // alone.
    std::optional<request_id> reserved_for;
    crash_detector crashes;
    timer_id crash_timer = 0;
    timer_id dispatch_timer = 0;
    // Limit in the last log line about it.
    int logged_limit = 0;
  };
  struct open_execution {
    request_id id;
    peer_info origin;
    fbs::call_requestT call;
    // Set when the call runs; empty when the caller sent none.
    std::string caller_id;
    std::string target_address;
    // Run of the target that the call was sent to.
    target_run run;
    time_point deadline;
    time_point arrived_at;
    time_point started_at;
    bool running = false;
    // Runs alone as the trial of a suspect, outside of the scheduler.
    bool is_trial = false;
    // Child calls: whether there were any, how many are open and since when,
    // and the total time in which at least one was open.
    bool made_child_calls = false;
    bool child_call_failed = false;
    int open_child_calls = 0;
    time_point child_calls_since;
    duration child_call_time = duration::zero();
    target_call_id target_call = 0;
  };
  using target_map = std::map<std::string, local_target>;

  service_config ServiceSettings(const std::string& service) const;
  service_config GateSettings(const target_announcement& target) const;
  bool IsStale(const local_target& target,
               const target_announcement& announcement) const;
  bool IsInService(const local_target& target) const;
  bool IsZoneOut() const;
  uint64_t ZoneReturns() const;
  bool IsOverdue(const local_target& target, time_point now) const;
  // To be called when targets may have come into service or left it.
  void OnServiceChange();
  // Suspects the target to be cold if it comes into use.
  void UpdateUse(local_target* target);
  // The target gets no calls, or may have got none for a while. The next call
  // of UpdateUse that finds it in service suspects it to be cold.
  void EndUse(local_target* target);
  void SuspectCold(local_target* target);
  void RecordDeparture(const target_departure& departure);
  // Records what another node remembers of a local target.
  void HandleTargetReport(const fbs::target_reportT& report);
  // Applies what is known about the target now.
  void UpdateStatus(local_target* target, const char* source);
  std::optional<reason> CheckBeforeRun(const fbs::call_requestT& call,
                                       time_point now) const;
  local_target* ChooseTarget(const fbs::call_requestT& call);
  bool MayRun(const local_target& target, const fbs::call_requestT& call) const;
  void Enqueue(const request_id& id);
  void DispatchQueued(const std::string& address);
  void ScheduleDispatch(const std::string& address);
  void HoldSuspect(const request_id& id);
  void ProcessHeldSuspects();
  bool TryStartTrial(open_execution* execution);
  static call_outcome GateResultOf(const open_execution& ended,
                                   const target_result& result,
                                   bool refused_by_target);
  void LogExecutionEnd(const open_execution& ended,
                       const fbs::call_answerT& answer);
  std::string CallerIdOf(const fbs::call_requestT& call) const;
  void SendToTarget(local_target* target, open_execution* execution);
  void OnTargetResult(const request_id& id, const target_result& result);
  // Records what the target says about itself in the response to `ended`.
  void RecordStatus(local_target* target,
                    const open_execution& ended,
                    const http_response& response);
  void FinishAnswered(open_execution* execution, const target_result& result);
  void FinishRefused(const request_id& id, reason why, bool local);
  void FinishFailed(const request_id& id, reason why);
  void FinishLost(const request_id& id);
  // Takes the id by value, since the caller's copy may be part of the execution
  // that ends here.
  void Finish(request_id id, fbs::call_answerT answer);
  void MarkDown(const std::string& address);
  void RefuseQueued(const std::string& address, reason why);
  void ExpireTargets();
  void SendSuspectNotices(const std::vector<suspect_notice>& notices);
  void UpdateSuspects(const open_execution& ended, const target_result& result);
  // The same for the quarantine without trials.
  void ObserveCrashes(local_target* target,
                      const open_execution& ended,
                      const target_result& result,
                      run_outcome outcome);
  void ScheduleCrashReport(local_target* target);
  void ReportCrash(local_target* target);
  bool IsQuarantined(const fbs::call_requestT& call);

  loop* loop_;
  peer_transport* transport_;
  target_client* target_client_;
  executor_options options_;
  std::shared_ptr<const config_view> config_;
  context_tokens contexts_;
  suspect_tracker suspects_;
  crash_quarantine quarantine_;
  answer_cache<fbs::call_answerT> answers_;
  target_map targets_;
  // Outlives the entries of `targets_`, which end with missing announcements.
  target_status_tracker target_statuses_;
  departure_memory departures_;
  bool knows_departures_ = true;
  // Until then other nodes may report departures.
  time_point departure_reports_until_;
  timer_id departure_reports_timer_ = 0;
  std::unordered_map<request_id, open_execution, request_id_hash> executions_;
  // Running executions by the caller's id.
  std::unordered_map<std::string, request_id> runs_by_caller_id_;
  // Calls with suspect fingerprints that wait for their trial.
  std::vector<request_id> held_suspects_;
  timer_id held_suspects_timer_ = 0;
  bool draining_ = false;
  std::function<void()> on_drained_;
  std::function<void()> on_targets_changed_;
  std::function<void()> on_departure_;
  std::function<void(const fbs::suspectT&)> on_suspect_;
  std::function<void(const fbs::target_crashT&)> on_target_crash_;
  std::function<std::vector<fbs::load_levelT>(const fbs::call_requestT&)>
      downstream_loads_;
  std::function<void(const std::string& route, bool starts)> on_run_;
  std::function<void(const ended_run& run)> on_run_ended_;
  std::function<bool(const std::string&, const std::string&)>
      requires_permission_;
  timer_id target_expiry_timer_ = 0;
  reason_counters ended_executions_;
  prometheus::Counter& sent_to_target_;
  prometheus::Counter& duplicate_calls_;
  prometheus::Counter& damaged_calls_;
  prometheus::Counter& spoiled_responses_;
  prometheus::Counter& stale_announcements_;
  prometheus::Histogram& queue_wait_;
  metrics* counters_;
  rate_limited_log log_;
};

}  // namespace skylarkhoist

#endif  // NODE_EXECUTOR_H_
