#ifndef NODE_ENTRY_H_
#define NODE_ENTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "decisions/admission_controller.h"
#include "decisions/chain_retry_budget.h"
#include "decisions/config_view.h"
#include "decisions/context_tokens.h"
#include "decisions/retry_budget.h"
#include "decisions/returning_callers.h"
#include "decisions/routing_policy.h"
#include "decisions/run_progress.h"
#include "decisions/weighted_round_robin.h"
#include "kernel/loop.h"
#include "kernel/random.h"
#include "kernel/rate_limited_log.h"
#include "node/call_types.h"
#include "node/dedup_service.h"
#include "node/request_dialect.h"
#include "node/target_directory.h"
#include "node/version_policy.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// Acquires one rate token of `customer` before the deadline and calls `done`
// with reason::kOk or the reason why there is none. May call `done` before it
// returns.
using rate_token_acquirer =
    std::function<void(const std::string& customer,
                       time_point deadline,
                       std::function<void(reason)> done)>;

// Injected faults. Tests enable them to prove that the checkers of
// testing/checkers.h detect them.
struct entry_test_faults {
  // Sends a call again after its run ended without an answer.
  bool retry_after_run = false;
  // Gives the same id to consecutive calls.
  bool reuse_sequence = false;
  // Gives each child call the whole retry credit of its parent instead of a
  // share.
  bool copy_credit = false;
};

struct entry_options {
  uint64_t incarnation = 0;
  std::string zone;
  std::string routing = "zone_aware";
  // Maximum number of retries of one request, including those of its child
  // calls.
  int retry_credit = 3;
  duration default_deadline = std::chrono::seconds(10);
  duration retry_after = std::chrono::seconds(1);
  // How long after its deadline a request still waits for the executor's
  // answer.
  duration deadline_grace = std::chrono::milliseconds(100);
  // Interval between queries for the state of an open call whose link failed.
  duration query_interval = std::chrono::milliseconds(250);
  int max_depth = 16;
  // HTTP conventions for callers.
  const request_dialect* dialect = &SkylarkDialect();
  // Service of the target beside this node, which is told to the targets that
  // run its requests.
  std::string local_service;
  // Region of each zone, for routes that are restricted to regions.
  std::map<std::string, std::string> regions;
  // Treats requests on open routes without a key as child calls of targets, so
  // that they count as part of an admitted request.
  bool keyless_requests_are_child_calls = false;
  // Sends a repeatable request to another target when its result was lost.
  bool retry_lost_runs = false;
  admission_options admission;
  // Maximum retries to a service as a share of its first attempts.
  double retry_share = 0.1;
  // The same for services whose runs make no calls (see chain_retry_budget). A
  // repeat of such a run repeats nothing else. 0: `retry_share` holds for them
  // too.
  double leaf_retry_share = 0;
  // Requests from callers are refused while more calls than this are open; this
  // bounds the memory that slow services can take here. Child calls are never
  // refused for it, since they belong to admitted requests.
  size_t max_open_calls = 10000;
  // Called when a request from a caller has its rate token (or needs none),
  // with the retry credit for its whole chain.
  std::function<void(const http_request& request,
                     const std::string& customer,
                     int credit)>
      on_rate_admitted;
  entry_test_faults faults;
};

// Observes the child calls of the runs at local targets.
class child_call_observer {
 public:
  virtual ~child_call_observer() = default;
  virtual void OnChildCallStart(const request_id& parent) = 0;
  // `failed`: the child call was refused or its result is unknown.
  virtual void OnChildCallEnd(const request_id& parent, bool failed) = 0;
};

// The end of a run at a local target.
struct ended_run {
  // Id that the caller gave the request.
  std::string caller_id;
  std::string route;
  // The target has answered, and without a server error.
  bool answered = false;
  bool succeeded = false;
};

// Identifies an open request at its entry node.
using entry_call_id = uint64_t;

// The role that serves callers: authenticates and admits a request, chooses a
// target, tracks the call until its one outcome and responds. Child calls of
// local targets enter here too, with a context token in place of a key.
class entry {
 public:
  entry(loop* loop,
        peer_transport* transport,
        const target_directory* targets,
        context_tokens* contexts,
        random_source* random,
        entry_options options,
        metrics* counters);
  ~entry();
  entry(const entry&) = delete;
  entry& operator=(const entry&) = delete;

  void SetConfig(std::shared_ptr<const config_view> config);
  void SetDedupService(dedup_service* dedup) { dedup_ = dedup; }
  void SetRateTokenAcquirer(rate_token_acquirer acquire_token) {
    acquire_rate_token_ = std::move(acquire_token);
  }
  // `return_token` takes back the rate token of a request that did not run.
  void SetRateTokenReturner(
      std::function<void(const std::string& customer)> return_token) {
    return_rate_token_ = std::move(return_token);
  }
  // `is_fresh` returns whether the configuration is recent enough to serve
  // requests that need a key.
  void SetConfigFreshnessCheck(std::function<bool()> is_fresh) {
    is_config_fresh_ = std::move(is_fresh);
  }

  // `versions` chooses the versions of targets. Without it, all get calls.
  void SetVersionPolicy(version_policy* versions) { versions_ = versions; }

  // `observer` is notified of each child call of a local target.
  void SetChildCallObserver(child_call_observer* observer) {
    child_call_observer_ = observer;
  }

  // Handles a request from a caller. `reply` runs exactly once, unless the
  // caller disconnects first.
  entry_call_id HandlePublic(http_request request, reply_callback reply);

  // Handles a child call from a local target, which carries a context token.
  entry_call_id HandleChildCall(http_request request, reply_callback reply);

  // Handles the disconnect of a caller; its reply callback does not run any
  // more.
  void HandleCallerGone(entry_call_id id);

  // A run at the local target has ended. If there is no answer of the target,
  // cancels the calls that the run has open, without waiting for the target to
  // close their connections: the target may be slow to notice, and a call that
  // starts meanwhile is wasted work.
  void OnLocalRunEnded(const ended_run& run);

  void HandleAnswer(const peer_info& from, const fbs::call_answerT& answer);
  void HandleState(const peer_info& from, const fbs::call_stateT& state);
  void OnLinkUp(const peer_info& peer);
  void OnLinkDown(const peer_info& peer, link_down_cause cause);

  // Returns the last known load levels of the services that `service` calls.
  std::vector<fbs::load_levelT> DownstreamLoads(const std::string& service);

  // Returns the load levels of the services that requests on these routes lead
  // to.
  std::vector<fbs::load_levelT> LoadsOfRoutes(
      const std::vector<std::string>& route_names);

  // Returns whether calls wait in the queues of the targets of this route's
  // service.
  bool IsServiceFull(const std::string& route) const;

  // `callback` is told the route of each call of the local target and the route
  // of the run that makes it; the latter is empty when the run is unknown.
  void OnLocalCall(
      std::function<void(const std::string& route,
                         const std::string& parent_route)> callback) {
    on_local_call_ = std::move(callback);
  }

  // `find` returns the run at the local target whose caller named it
  // `caller_id`, or null.
  void SetRunLookup(
      std::function<const fbs::call_requestT*(const std::string& caller_id)>
          find) {
    find_run_ = std::move(find);
  }

  // Refuses new requests from callers from now on. Child calls are still
  // served, since they belong to requests in progress.
  void StopAccepting() { accepting_ = false; }

  // The process ends at `stop_at`. Refuses from now on new requests that may
  // take longer, except calls that a run at the local target makes: their
  // deadlines are moved forward, since a refusal would fail that run.
  void RefuseLongerThan(time_point stop_at) { stop_at_ = stop_at; }

  // Ends all open calls, because the process stops.
  void FinishOpenRequests();

  // Calls `on_drained` once no call is open.
  void Drain(std::function<void()> on_drained);

  size_t open_calls() const { return calls_.size(); }

 private:
  struct attempt {
    request_id id;
    // Peer address of the node beside the target.
    std::string address;
    std::string service;
    std::string version;
    // Incarnation of the executor that has the call; 0 while no link was up.
    uint64_t incarnation = 0;
    time_point sent_at;
  };
  // What the target beside a node has said about itself. Answers that this node
  // passed on to callers bind it, also after the target's node has restarted
  // and forgotten it, so each call to that node carries it.
  struct remembered_target {
    fbs::target_reportT report;
    time_point updated_at;
  };
  struct open_call {
    entry_call_id call_id = 0;
    // Id in logs and responses; each attempt has an id of its own.
    request_id id;
    http_request request;
    reply_callback reply;
    request_metadata metadata;
    std::string service;
    std::string route;
    std::string customer;
    std::string key_id;
    std::string idempotency_key;
    std::string parent_context_token;
    priority_class priority = priority_class::kNormal;
    // Weight of the customer in the queues of targets.
    double weight = 1.0;
    // Set for calls that belong to a request that was admitted already, such as
    // child calls.
    bool admitted = false;
    // Set for calls that a run in progress at the local target makes. Other
    // calls of a target cannot be told from requests on open routes.
    bool has_local_parent = false;
    // Route of that run.
    std::string parent_route;
    // The run that makes the call is a repeat itself.
    bool parent_is_repeat = false;
    // Execution of that run; {0, 0} when there is none.
    request_id local_run;
    bool has_rate_token = false;
    bool repeatable = true;
    // Set while this request holds the claim on its idempotency key, which is
    // valid until `claim_valid_until`.
    bool key_claimed = false;
    time_point claim_valid_until = time_point::max();
    bool caller_gone = false;
    int depth = 0;
    // Retries left for this request and its child calls.
    int credit = 0;
    // Part of the parent's retry credit that this child call borrowed.
    int borrowed_credit = 0;
    // Hash of customer, route, path and body, by which requests that crash
    // targets are recognized.
    uint64_t fingerprint = 0;
    time_point arrived_at;
    time_point deadline;
    // Arrival plus the target latency of the route. A later response is worth
    // less to the caller.
    time_point soft_deadline = time_point::max();
    // Regions whose targets may run the request; empty means all.
    std::set<std::string> allowed_regions;
    // Attempts whose result was lost, and the bound on attempts; 0 means none.
    int lost_runs = 0;
    int max_attempts = 0;
    // Attempts that a target refused because of load; they count towards
    // `max_attempts`.
    int shed_attempts = 0;
    reason last_loss_reason = reason::kLinkLost;
    std::string last_target_node;
    std::optional<attempt> current_attempt;
    // Peer addresses of the nodes that the call was sent to.
    std::set<std::string> tried_nodes;
    reason last_refusal_reason = reason::kNoTarget;
    timer_id deadline_timer = 0;
    timer_id query_timer = 0;
  };
  // Failure rate of this node's calls to one target: an exponentially weighted
  // moving average that decays over time.
  struct target_failure_rate {
    // Share of calls that failed or were answered with a server error.
    double rate = 0;
    time_point updated_at;
  };
  // What answers show about the calls that the runs of a service make.
  struct leaf_evidence {
    // Answers without a downstream service since the last one with one.
    int answers = 0;
    // When an answer last named a downstream service.
    time_point called_at;
  };
  struct load_report {
    uint32_t permille = 0;
    // As in route_candidate; 0 when unknown.
    uint32_t limit = 0;
    duration run_time = duration::zero();
    duration expected_time = duration::zero();
    time_point received_at;
    // Open calls of this node to the target when the report arrived.
    int open_calls = 0;
  };

  entry_call_id CreateCall(http_request request,
                           reply_callback reply,
                           open_call** call);
  open_call* FindCall(entry_call_id call_id);
  bool CanEndBeforeStop(open_call* call);
  void StartDeadlineTimer(open_call* call);
  std::optional<reason> Authenticate(open_call* call);
  std::optional<reason> CheckIssuedKey(open_call* call);
  std::optional<reason> SetCustomer(open_call* call, const std::string& name);
  std::optional<reason> ApplyRoute(open_call* call, const route_config& route);
  void AcquireRateToken(entry_call_id call_id);
  void OnRateAdmitted(entry_call_id call_id);
  void CheckAdmission(entry_call_id call_id);
  uint64_t NextAttemptSequence();
  void ClaimIdempotencyKey(entry_call_id call_id);
  void OnClaimDecided(entry_call_id call_id, const dedup_decision& decision);
  void Dispatch(entry_call_id call_id);
  // Returns the targets of all versions that the call may go to.
  std::vector<route_candidate> CollectAllVersions(const open_call& call);
  std::vector<route_candidate> CollectCandidates(const open_call& call);
  bool TryNewVersion(open_call* call);
  bool IsZoneAllowed(const open_call& call, const std::string& zone) const;
  void SendAttempt(open_call* call,
                   const route_candidate& target,
                   const version_rule& versions);
  void ReportToVersions(const open_call& call,
                        attempt_result result,
                        duration run_time);
  void ReportAnswerToVersions(const open_call& call,
                              const fbs::call_answerT& answer);
  void EndAttempt(open_call* call);
  // Tells the node that has the call that its result is no longer needed.
  void SendCancel(const open_call& call);
  void ForgetParent(const open_call& call);
  void RecordLoadReport(const std::string& address,
                        const std::string& service,
                        const fbs::load_levelT& level);
  void RememberTarget(const attempt& ended, const fbs::call_answerT& answer);
  void LearnDownstreamServices(const open_call& call,
                               const fbs::call_answerT& answer);
  void HandleLocalTargetCall(open_call* call, const route_config& route);
  void OnAttemptRefused(open_call* call, reason why, bool local);
  void OnAttemptLost(open_call* call, reason why, fbs::ran_state ran);
  bool ConsumeRetry(open_call* call, reason why);
  bool NeedsNoBudget(const open_call& call, reason why);
  std::vector<std::string> DownstreamServicesOf(const open_call& call) const;
  std::vector<std::string> LearnedDownstreamServices(
      const std::string& route) const;
  std::string LoadLevelsText(const open_call& ended) const;
  void UpdateFailureRate(const attempt& ended, bool failed);
  double FailureRate(const std::string& address,
                     const std::string& service) const;
  retry_budget& RetryBudgetOf(const std::string& service);
  chain_retry_budget& LeafRetryBudgetOf(const std::string& service);
  // Whether the runs of the service make no calls, as far as answers show.
  bool IsLeaf(const std::string& service) const;
  void LearnLeaf(const std::string& service, const fbs::call_answerT& answer);
  void RecordFirstAttempt(const open_call& call);
  bool TakeRetryFromBudget(const open_call& call);
  void CancelCallsOf(const std::string& parent_id);
  duration ComputeRetryAfter(const open_call& call, reason why);
  void LogRequestEnd(const open_call& ended,
                     reason why,
                     std::string_view ran,
                     int status);
  void QueryCallState(entry_call_id call_id);
  void OnDeadline(entry_call_id call_id);
  bool IsIntact(const fbs::call_answerT& answer) const;
  void OnDamagedAnswer(open_call* call);
  // `head` is that of the response in `answer`.
  void FinishAnswered(open_call* call,
                      const fbs::call_answerT& answer,
                      http_response head);
  void FinishError(open_call* call, reason why, fbs::ran_state ran);
  void Finish(open_call* call, const http_response& response);
  void ReportToDedup(const open_call& call,
                     fbs::outcome outcome,
                     std::shared_ptr<const fbs::call_answerT> answer);

  loop* loop_;
  peer_transport* transport_;
  const target_directory* targets_;
  context_tokens* contexts_;
  random_source* random_;
  entry_options options_;
  std::shared_ptr<const config_view> config_;
  rate_token_acquirer acquire_rate_token_;
  std::function<void(const std::string& customer)> return_rate_token_;
  dedup_service* dedup_ = nullptr;
  std::function<bool()> is_config_fresh_;
  version_policy* versions_ = nullptr;
  child_call_observer* child_call_observer_ = nullptr;
  admission_controller admission_;
  std::unique_ptr<routing_policy> routing_;
  std::map<std::string, retry_budget> retry_budgets_;
  std::map<std::string, chain_retry_budget> leaf_retry_budgets_;
  std::map<std::string, leaf_evidence> leaf_evidence_;
  run_progress run_progress_;
  returning_callers returning_callers_;
  // By route.
  std::map<std::string, weighted_round_robin> traffic_splits_;
  uint64_t next_sequence_ = 1;
  std::unordered_map<entry_call_id, std::unique_ptr<open_call>> calls_;
  // Calls of runs at the local target, by the caller's id of the run.
  std::unordered_multimap<std::string, entry_call_id> calls_by_parent_;
  std::unordered_map<request_id, entry_call_id, request_id_hash>
      calls_by_attempt_;
  // Incarnation of the peer on each link that is up, by address.
  std::map<std::string, uint64_t> link_incarnations_;
  // By peer address.
  std::map<std::string, remembered_target> remembered_targets_;
  std::map<std::pair<std::string, std::string>, load_report> load_reports_;
  std::map<std::pair<std::string, std::string>, int> open_calls_by_target_;
  std::map<std::pair<std::string, std::string>, target_failure_rate>
      failure_rates_;
  // Downstream services that requests of a route lead to, by route, and the
  // time when an answer last reported them.
  std::map<std::string, std::map<std::string, time_point>> learned_downstream_;
  std::function<void(const std::string& route, const std::string& parent_route)>
      on_local_call_;
  std::function<const fbs::call_requestT*(const std::string& caller_id)>
      find_run_;
  bool accepting_ = true;
  time_point stop_at_ = time_point::max();
  std::function<void()> on_drained_;
  reason_counters ended_requests_;
  reason_counters retries_by_reason_;
  prometheus::Counter& returning_requests_;
  prometheus::Counter& late_answers_;
  prometheus::Counter& damaged_answers_;
  prometheus::Histogram& request_latency_;
  rate_limited_log log_;
};

}  // namespace skylarkhoist

#endif  // NODE_ENTRY_H_
