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

#include "decisions/admission.h"
#include "decisions/config_view.h"
#include "decisions/context_tokens.h"
#include "decisions/retry_budget.h"
#include "decisions/routing_policy.h"
#include "decisions/weighted_split.h"
#include "kernel/bounded_log.h"
#include "kernel/loop.h"
#include "kernel/random.h"
#include "node/call_types.h"
#include "node/dedup_service.h"
#include "node/request_dialect.h"
#include "node/target_directory.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// Takes one token of `customer`, within the deadline, and reports reason::kOk
// or why there is none. May call back at once.
using rate_acquire = std::function<void(const std::string& customer,
                                        time_point deadline,
                                        std::function<void(reason)> done)>;

// Deliberate faults, which show that the checkers of testing/checkers.h report
// them. Only tests switch them on.
struct entry_test_faults {
  // Sends a call again whose run ended without an answer.
  bool retry_after_hand_over = false;
  // Gives the same id to calls that follow each other.
  bool reuse_sequence = false;
  // Gives each child call the whole credit of its parent.
  bool copy_credit = false;
};

struct entry_options {
  uint64_t incarnation = 0;
  std::string zone;
  std::string routing = "zone_aware";
  // Extra executions that one request may cause in its whole chain.
  int retry_credit = 3;
  duration default_deadline = std::chrono::seconds(10);
  duration retry_after = std::chrono::seconds(1);
  // Time after a deadline in which the executor's word is still waited for.
  duration deadline_grace = std::chrono::milliseconds(100);
  // Between two questions about an open call whose link failed.
  duration query_interval = std::chrono::milliseconds(250);
  int max_depth = 16;
  // How callers are spoken to.
  const request_dialect* dialect = &OwnDialect();
  // Service beside this node, told to the targets that run its requests.
  std::string local_service;
  // Region of each zone, for routes that are bound to regions.
  std::map<std::string, std::string> regions;
  // Requests on open routes without a key come from targets that run admitted
  // requests.
  bool open_requests_are_calls = false;
  // Sends a repeatable request to another target when its run was lost.
  bool retry_lost_runs = false;
  admission_options admission;
  // Share of first attempts that may be made again.
  double retry_share = 0.1;
  // Requests of callers that may be open at the same time; bounds the memory
  // that slow services can take here. Child calls belong to admitted requests
  // and are not counted against it.
  size_t max_open_calls = 10000;
  // Called when a request from a caller has its rate token (or needs none),
  // with the retry credit of its chain.
  std::function<void(const http_request& request,
                     const std::string& customer,
                     int credit)>
      on_admitted;
  entry_test_faults faults;
};

// Learns when the calls beside their targets make child calls.
class child_observer {
 public:
  virtual ~child_observer() = default;
  virtual void OnChildStart(const request_id& parent) = 0;
  // `failed`: the child was refused or its result is unknown.
  virtual void OnChildEnd(const request_id& parent, bool failed) = 0;
};

// Identifies a request at its entry, for HandleGone.
using entry_call_id = uint64_t;

// The role that faces callers: authenticates, admits, chooses a target, follows
// the call to its one outcome and answers. Child calls of local targets enter
// here as well, with a context token in place of a key.
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
  void SetRateAcquire(rate_acquire acquire) { acquire_ = std::move(acquire); }
  // Gives a token back whose request did not run.
  void SetRateReturn(std::function<void(const std::string& customer)> give) {
    return_token_ = std::move(give);
  }
  // Tells whether the configuration is fresh enough for keyed work.
  void SetFreshness(std::function<bool()> fresh) { fresh_ = std::move(fresh); }

  // Told about each child call of a local target.
  void SetChildObserver(child_observer* observer) { children_ = observer; }

  // A request from a caller. `reply` runs exactly once, unless HandleGone comes
  // first.
  entry_call_id HandlePublic(http_request request, reply_callback reply);

  // A child call from a local target, with its context token.
  entry_call_id HandleChild(http_request request, reply_callback reply);

  // The caller has gone; its reply does not run any more.
  void HandleGone(entry_call_id id);

  void HandleAnswer(const peer_info& from, const fbs::call_answerT& answer);
  void HandleState(const peer_info& from, const fbs::call_stateT& state);
  void OnLinkUp(const peer_info& peer);
  void OnLinkDown(const peer_info& peer, link_down_cause cause);

  // Load levels of the services behind `service`, as this node saw them last.
  std::vector<fbs::load_levelT> DownstreamLoads(const std::string& service);

  // Load levels of the services that calls on these routes lead to.
  std::vector<fbs::load_levelT> LoadsOfCalls(
      const std::vector<std::string>& call_routes);

  // Calls wait at the targets of this route's service.
  bool IsServiceFull(const std::string& route) const;

  // Told the route of each call of the local target, and that of the run which
  // makes it; empty when the run is not known.
  void OnLocalCall(
      std::function<void(const std::string& route,
                         const std::string& parent_route)> callback) {
    local_call_ = std::move(callback);
  }

  // Gives the run of the local target whose caller named it so, or null.
  void SetRuns(
      std::function<const fbs::call_requestT*(const std::string& caller_id)>
          find) {
    find_run_ = std::move(find);
  }

  // Refuses new requests from callers from now on. Child calls go on, since
  // they belong to requests in progress.
  void StopAccepting() { accepting_ = false; }

  // Calls `drained` once no call is open.
  void Drain(std::function<void()> drained);

  size_t open_calls() const { return calls_.size(); }

 private:
  struct attempt {
    request_id id;
    std::string address;
    std::string service;
    // Incarnation of the executor that has the call; 0 while no link was up.
    uint64_t incarnation = 0;
  };
  struct call {
    entry_call_id number = 0;
    request_id id;
    http_request request;
    reply_callback reply;
    request_facts facts;
    std::string service;
    std::string route;
    std::string customer;
    std::string key_id;
    std::string idempotency_key;
    std::string parent_token;
    priority_class rank = priority_class::kNormal;
    double weight = 1.0;
    bool admitted = false;
    bool has_token = false;
    bool repeatable = true;
    // Holds the claim on its idempotency key, usable until `claim_until`.
    bool claimed = false;
    time_point claim_until = time_point::max();
    bool caller_gone = false;
    int depth = 0;
    int credit = 0;
    // Part of the parent's credit that a child call took.
    int lent = 0;
    uint64_t fingerprint = 0;
    time_point arrived;
    time_point deadline;
    // Until when an answer is worth most to the caller.
    time_point target_at = time_point::max();
    // Empty means all.
    std::set<std::string> regions;
    // Runs that may have begun, and their bound; 0 means none.
    int runs = 0;
    int max_runs = 0;
    // Targets that refused it themselves; these count as runs in `max_runs`.
    int sheds = 0;
    reason last_lost = reason::kLinkLost;
    std::string last_target;
    std::optional<attempt> current;
    std::set<std::string> tried;
    reason last_refusal = reason::kNoTarget;
    timer_id deadline_timer = 0;
    timer_id query_timer = 0;
  };
  // How a target treated the calls of this node lately.
  struct target_record {
    // Share of calls without a good answer.
    double failed = 0;
    time_point changed;
  };
  struct load_report {
    uint32_t permille = 0;
    time_point at;
    // Own calls that were open there when the report arrived.
    int open_calls = 0;
  };

  entry_call_id Open(http_request request, reply_callback reply, call** opened);
  call* FindCall(entry_call_id number);
  std::optional<reason> Authenticate(call* opened);
  std::optional<reason> CheckOwnKey(call* opened);
  std::optional<reason> SetCustomer(call* opened, const std::string& name);
  std::optional<reason> Prepare(call* opened, const route_config& route);
  void AcquireRate(entry_call_id number);
  void OnAdmitted(entry_call_id number);
  void CheckAdmission(entry_call_id number);
  uint64_t NextAttemptSequence();
  void ClaimKey(entry_call_id number);
  void OnClaim(entry_call_id number, const dedup_decision& decision);
  void Dispatch(entry_call_id number);
  std::vector<route_candidate> Candidates(const call& opened);
  bool IsAllowedZone(const call& opened, const std::string& zone) const;
  void SendAttempt(call* opened, const route_candidate& target);
  void EndAttempt(call* opened);
  void NoteLoad(const std::string& address,
                const std::string& service,
                uint32_t permille);
  void NoteChain(const call& opened, const fbs::call_answerT& answer);
  void NoteLocalCall(call* opened, const route_config& route);
  void OnRefused(call* opened, reason why, bool local);
  void OnLost(call* opened, reason why, fbs::ran_state ran);
  bool MayRetry(call* opened, reason why);
  std::vector<std::string> ChainOf(const call& opened) const;
  std::vector<std::string> LearnedChain(const std::string& route) const;
  std::string LevelsOf(const call& ended) const;
  void NoteEnd(const attempt& ended, bool failed);
  double FailedShare(const std::string& address,
                     const std::string& service) const;
  retry_budget& BudgetOf(const std::string& service);
  duration RetryAfter(const call& opened, reason why);
  void LogEnd(const call& ended, reason why, std::string_view ran, int status);
  void AskAgain(entry_call_id number);
  void OnDeadline(entry_call_id number);
  bool IsIntact(const fbs::call_answerT& answer) const;
  void FinishAnswered(call* opened, const fbs::call_answerT& answer);
  void FinishError(call* opened, reason why, fbs::ran_state ran);
  void Finish(call* opened, const http_response& response);
  void ReportToDedup(const call& opened,
                     fbs::outcome outcome,
                     std::shared_ptr<const fbs::call_answerT> answer);

  loop* loop_;
  peer_transport* transport_;
  const target_directory* targets_;
  context_tokens* contexts_;
  random_source* random_;
  entry_options options_;
  std::shared_ptr<const config_view> config_;
  rate_acquire acquire_;
  std::function<void(const std::string& customer)> return_token_;
  dedup_service* dedup_ = nullptr;
  std::function<bool()> fresh_;
  child_observer* children_ = nullptr;
  admission admission_;
  std::unique_ptr<routing_policy> routing_;
  std::map<std::string, retry_budget> budgets_;
  // By route.
  std::map<std::string, weighted_split> splits_;
  uint64_t next_sequence_ = 1;
  std::unordered_map<entry_call_id, std::unique_ptr<call>> calls_;
  std::unordered_map<request_id, entry_call_id, request_id_hash> attempts_;
  // Incarnation behind each link that is up, by address.
  std::map<std::string, uint64_t> links_;
  std::map<std::pair<std::string, std::string>, load_report> loads_;
  std::map<std::pair<std::string, std::string>, int> open_by_target_;
  std::map<std::pair<std::string, std::string>, target_record> records_;
  // Services behind the first one that requests of a route lead to, and when an
  // answer last told so.
  std::map<std::string, std::map<std::string, time_point>> chains_;
  std::function<void(const std::string& route, const std::string& parent_route)>
      local_call_;
  std::function<const fbs::call_requestT*(const std::string& caller_id)>
      find_run_;
  bool accepting_ = true;
  std::function<void()> drained_;
  reason_counters ended_;
  reason_counters retries_;
  prometheus::Counter& late_answers_;
  prometheus::Counter& damaged_answers_;
  prometheus::Histogram& latency_;
  bounded_log log_;
};

}  // namespace skylarkhoist

#endif  // NODE_ENTRY_H_
