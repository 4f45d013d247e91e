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
#include "decisions/suspect_tracker.h"
#include "decisions/target_gate.h"
#include "kernel/loop.h"
#include "kernel/random.h"
#include "node/call_types.h"
#include "node/entry.h"
#include "node/request_dialect.h"
#include "wire/peer_transport.h"
#include "wire/target_client.h"

namespace skylarkhoist {

// A target beside this node, as it announces itself.
struct target_announcement {
  std::string service;
  std::string address;
  fbs::member_state state = fbs::member_state::kServing;
  // Identity of this run of the target; empty when it has none.
  std::string id;
  // Start of this run, in any unit that rises from run to run, and the number
  // of the announcement in the run. An announcement of an earlier run, or with
  // a number that is not above the last one, is dropped. 0 when targets don't
  // number their announcements.
  int64_t lifetime = 0;
  int64_t sequence = 0;
  // Calls that the target runs at the same time; 0 when it does not tell.
  int slots = 0;
  // How long the target stays cold.
  duration cold_left = duration::zero();
};

// Deliberate faults, which show that the checkers of testing/checkers.h report
// them. Only tests switch them on.
struct executor_test_faults {
  // Reports a call as not run although its target was lost while it ran.
  bool refuse_after_run = false;
  // Passes on only the first half of each response.
  bool cut_answers = false;
};

struct executor_options {
  std::string zone;
  gate_plugins plugins;
  // A target is out of service when its last announcement is older than this:
  // three missed announcements at one a second.
  duration announcement_limit = std::chrono::seconds(3);
  // How targets are spoken to.
  const request_dialect* dialect = &OwnDialect();
  // Holds requests back that were in progress when a target died.
  bool track_suspects = true;
  // Share of a target's slots that are used. A target that slows down or hangs
  // when it is full keeps a spare slot for connections that are just made.
  double slot_share = 0.95;
  answer_cache_limits answers;
  executor_test_faults faults;
};

// The role beside the targets: queues calls, hands them to the local targets
// within what each bears, and knows for each call whether it was handed over.
// Only this role talks to targets.
class executor : public child_observer {
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

  // Targets announce themselves at least once a second.
  // Returns false when the announcement was dropped as old.
  bool Announce(const target_announcement& announcement);

  // The target `id` leaves and says no more. `lifetime` is that of its run; 0
  // when it is not known. Returns false when there is no such target.
  bool Depart(const std::string& id, int64_t lifetime);

  // The targets of this node for gossip.
  std::vector<fbs::target_entryT> DescribeTargets() const;

  void HandleCall(const peer_info& from, const fbs::call_requestT& call);
  void HandleCancel(const fbs::call_cancelT& cancel);
  void HandleQuery(const peer_info& from, const fbs::call_queryT& query);
  void HandleSuspect(const fbs::suspectT& suspect);

  // Suspects and quarantines of a service, for a node that may not know them.
  std::vector<fbs::suspectT> SuspectsOf(const std::string& service);

  void OnChildStart(const request_id& parent) override;
  void OnChildEnd(const request_id& parent, bool failed) override;

  // Refuses new and waiting calls, so that their entries try other nodes.
  void StopAccepting();

  // Calls `drained` once no call is running.
  void Drain(std::function<void()> drained);

  context_tokens& contexts() { return contexts_; }

  // Called when the set or state of the targets changes.
  void OnTargetsChanged(std::function<void()> callback) {
    targets_changed_ = std::move(callback);
  }
  // Sends a suspect message to the peers that serve the same service.
  void OnSuspect(std::function<void(const fbs::suspectT&)> callback) {
    suspect_callback_ = std::move(callback);
  }
  // Load levels of the services behind a call, to be carried back with its
  // answer.
  void SetDownstreamLoads(std::function<std::vector<fbs::load_levelT>(
                              const fbs::call_requestT& call)> loads) {
    downstream_loads_ = std::move(loads);
  }
  // Told the route of each run when it starts and ends.
  void OnRun(
      std::function<void(const std::string& route, bool starts)> callback) {
    run_callback_ = std::move(callback);
  }

  // The run of the request that its caller names `caller_id`, or null.
  const fbs::call_requestT* FindRun(const std::string& caller_id) const;

  size_t open_calls() const { return executions_.size(); }

 private:
  struct local_target {
    target_announcement announced;
    time_point announced_at;
    std::unique_ptr<target_gate> gate;
    // Connections were refused since the last announcement, or another target
    // has the address.
    bool down = false;
    // This run has left; only another run comes back.
    bool departed = false;
    // Set while a suspect waits for the target to be idle or runs on it.
    std::optional<request_id> exclusive;
    timer_id pump_timer = 0;
  };
  struct execution {
    request_id id;
    peer_info origin;
    fbs::call_requestT call;
    // Set when it runs; empty when the caller gave none.
    std::string caller_id;
    std::string target;
    time_point deadline;
    time_point arrived;
    time_point started;
    bool running = false;
    // Runs alone as the trial of a suspect, outside of the gate.
    bool trial = false;
    // Child calls: whether there were any, how many are open and since when,
    // and the time in which at least one was.
    bool made_child_calls = false;
    bool child_failed = false;
    int open_children = 0;
    time_point children_since;
    duration child_time = duration::zero();
    target_call_id target_call = 0;
  };
  using target_map = std::map<std::string, local_target>;

  service_config SettingsOf(const std::string& service) const;
  service_config GateSettings(const target_announcement& target) const;
  bool IsOld(const local_target& target,
             const target_announcement& announcement) const;
  bool InService(const local_target& target) const;
  std::optional<reason> CheckBeforeRun(const fbs::call_requestT& call,
                                       time_point now) const;
  local_target* ChooseTarget(const std::string& service);
  void Enqueue(const request_id& id);
  void Pump(const std::string& address);
  void SchedulePump(const std::string& address);
  void Park(const request_id& id);
  void TryParked();
  bool TryTrial(execution* entry);
  static gate_result GateResultOf(const execution& ended,
                                  const target_result& result,
                                  bool shed);
  void LogEnd(const execution& ended, const fbs::call_answerT& answer);
  std::string CallerIdOf(const fbs::call_requestT& call) const;
  void HandOver(local_target* target, execution* entry);
  void OnResult(const request_id& id, const target_result& result);
  void FinishAnswered(execution* entry, const target_result& result);
  void FinishRefused(const request_id& id, reason why, bool local);
  void FinishFailed(const request_id& id, reason why);
  void FinishLost(const request_id& id);
  // Takes the id by value, since the callers' copy may be part of the execution
  // that ends here.
  void Finish(request_id id, fbs::call_answerT answer);
  void MarkDown(const std::string& address);
  void EmptyQueue(const std::string& address, reason why);
  void CheckAnnouncements();
  void TellSuspects(const std::vector<suspect_notice>& notices);
  void NoteEndOfRun(const execution& ended, const target_result& result);

  loop* loop_;
  peer_transport* transport_;
  target_client* target_client_;
  executor_options options_;
  std::shared_ptr<const config_view> config_;
  context_tokens contexts_;
  suspect_tracker suspects_;
  answer_cache<fbs::call_answerT> answers_;
  target_map targets_;
  std::unordered_map<request_id, execution, request_id_hash> executions_;
  // Those that run, by the caller's id.
  std::unordered_map<std::string, request_id> runs_;
  // Calls with suspect fingerprints that wait for their trial.
  std::vector<request_id> parked_;
  timer_id parked_timer_ = 0;
  bool draining_ = false;
  std::function<void()> drained_;
  std::function<void()> targets_changed_;
  std::function<void(const fbs::suspectT&)> suspect_callback_;
  std::function<std::vector<fbs::load_levelT>(const fbs::call_requestT&)>
      downstream_loads_;
  std::function<void(const std::string& route, bool starts)> run_callback_;
  timer_id announcement_timer_ = 0;
  reason_counters ended_;
  prometheus::Counter& handed_over_;
  prometheus::Counter& duplicates_;
  prometheus::Counter& damaged_;
  prometheus::Counter& old_announcements_;
  prometheus::Histogram& queue_time_;
  bounded_log log_;
};

}  // namespace skylarkhoist

#endif  // NODE_EXECUTOR_H_
