#include "node/entry.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "decisions/api_key.h"

namespace skylarkhoist {
namespace {

// Older load reports of single targets are not used for routing.
constexpr duration kMaxLoadReportAge = std::chrono::seconds(2);

// A downstream service of a route is dropped when no answer has reported it for
// this long. A single answer does not tell all of them: a target that has just
// started reports only some.
constexpr duration kMaxDownstreamServiceAge = std::chrono::seconds(5);

// Rate limit on one node's log lines about ended requests.
constexpr double kLoggedRequestsPerSecond = 100;

constexpr int kMinServerErrorStatus = 500;

// A service counts as one whose runs make no calls after this many answers
// without a downstream service, and not within this time of one with one.
constexpr int kMinLeafAnswers = 100;
constexpr duration kMinLeafTime = std::chrono::minutes(1);

// Weight of one call in the moving average of its target's failure rate, and
// the time constant with which the rate decays without new calls.
constexpr double kFailureRateWeight = 0.1;
constexpr double kFailureRateDecaySeconds = 3.0;

// A call whose result was lost is retried only with at least this much time
// left.
constexpr duration kMinTimeForRetry = std::chrono::milliseconds(50);

// A quarantine lasts for minutes.
constexpr duration kQuarantineRetryAfter = std::chrono::minutes(1);

// What a target said about itself is forgotten after this time without an
// answer that repeats it. By then, its node has long heard from it again.
constexpr duration kTargetReportRetention = std::chrono::minutes(10);

uint64_t Fingerprint(const std::string& customer,
                     const std::string& route,
                     const std::string& body) {
  const uint64_t seed = XXH64(customer.data(), customer.size(), 0);
  const uint64_t with_route = XXH64(route.data(), route.size(), seed);
  return XXH64(body.data(), body.size(), with_route);
}

// Returns the response in an answer without its body.
http_response ResponseHead(const fbs::call_answerT& answer) {
  http_response head;
  head.status = answer.status;
  head.headers = FromWire(answer.headers);
  return head;
}

bool ProcessEnded(link_down_cause cause) {
  return cause == link_down_cause::kRefused ||
         cause == link_down_cause::kReplaced;
}

}  // namespace

entry::entry(loop* loop,
             peer_transport* transport,
             const target_directory* targets,
             context_tokens* contexts,
             random_source* random,
             entry_options options,
             metrics* counters)
    : loop_(loop),
      transport_(transport),
      targets_(targets),
      contexts_(contexts),
      random_(random),
      options_(std::move(options)),
      config_(std::make_shared<config_view>()),
      admission_(options_.admission),
      routing_(routing_registry::Create(options_.routing)),
      ended_requests_(counters,
                      "skylarkhoist_requests_total",
                      "Requests at their entry node by how they ended"),
      retries_by_reason_(counters,
                         "skylarkhoist_retries_total",
                         "Retries by the refusal that caused them"),
      returning_requests_(counters->Counter(
          "skylarkhoist_returning_requests_total",
          "Requests that were admitted after an earlier refusal")),
      late_answers_(
          counters->Counter("skylarkhoist_late_answers_total",
                            "Answers that match no open call; dropped")),
      damaged_answers_(
          counters->Counter("skylarkhoist_damaged_answers_total",
                            "Answers with a wrong length or checksum")),
      request_latency_(counters->Histogram(
          "skylarkhoist_request_seconds",
          "Time of requests at their entry node",
          {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5})),
      log_(loop, "entry", kLoggedRequestsPerSecond) {}

entry::~entry() {
  for (auto& [call_id, call] : calls_) {
    loop_->Cancel(call->deadline_timer);
    loop_->Cancel(call->query_timer);
  }
}

void entry::SetConfig(std::shared_ptr<const config_view> config) {
  config_ = std::move(config);
}

entry::open_call* entry::FindCall(entry_call_id call_id) {
  const auto found = calls_.find(call_id);
  return found == calls_.end() ? nullptr : found->second.get();
}

entry_call_id entry::CreateCall(http_request request,
                                reply_callback reply,
                                open_call** call) {
  const uint64_t sequence = next_sequence_++;
  auto created = std::make_unique<open_call>();
  created->call_id = sequence;
  created->id = {options_.incarnation, sequence};
  created->request = std::move(request);
  created->reply = std::move(reply);
  created->credit = options_.retry_credit;
  created->arrived_at = loop_->Now();
  created->metadata = options_.dialect->ReadMetadata(created->request);
  *call = created.get();
  calls_.emplace(sequence, std::move(created));
  return sequence;
}

entry_call_id entry::HandlePublic(http_request request, reply_callback reply) {
  open_call* call = nullptr;
  const entry_call_id call_id =
      CreateCall(std::move(request), std::move(reply), &call);
  if (!accepting_) {
    FinishError(call, reason::kDraining, fbs::ran_state::kNo);
    return call_id;
  }
  if (calls_.size() > options_.max_open_calls) {
    FinishError(call, reason::kOverloaded, fbs::ran_state::kNo);
    return call_id;
  }
  if (const auto refused = Authenticate(call)) {
    FinishError(call, *refused, fbs::ran_state::kNo);
    return call_id;
  }
  if (!CanEndBeforeStop(call)) {
    FinishError(call, reason::kDraining, fbs::ran_state::kNo);
    return call_id;
  }
  AcquireRateToken(call_id);
  return call_id;
}

// Returns whether the process will still be there at the deadline of the call.
// A call of a run in progress gets an earlier deadline instead of a refusal,
// which would fail the run.
bool entry::CanEndBeforeStop(open_call* call) {
  if (stop_at_ == time_point::max())
    return true;
  const time_point latest = stop_at_ - options_.deadline_grace;
  if (call->deadline <= latest)
    return true;
  if (!call->has_local_parent || latest <= loop_->Now())
    return false;
  call->deadline = latest;
  StartDeadlineTimer(call);
  return true;
}

// Finds the route and, unless the route is open, the customer that owns the
// key.
std::optional<reason> entry::Authenticate(open_call* call) {
  const http_request& request = call->request;
  const route_config* route =
      config_->FindRoute(call->metadata.host, request.method, request.path);
  if (route == nullptr)
    return config_->offset == 0 ? reason::kConfigStale : reason::kNoRoute;
  const std::string& key = call->metadata.key;
  if (route->access == route_access::kKeyed) {
    if (is_config_fresh_ && !is_config_fresh_())
      return reason::kConfigStale;
    if (key.empty())
      return reason::kKeyMissing;
    const auto owner = config_->external_keys.find(key);
    const auto refused = owner == config_->external_keys.end()
                             ? CheckIssuedKey(call)
                             : SetCustomer(call, owner->second);
    if (refused)
      return refused;
  } else if (!key.empty()) {
    const auto owner = config_->external_keys.find(key);
    if (owner != config_->external_keys.end())
      SetCustomer(call, owner->second);
  } else {
    call->admitted = options_.keyless_requests_are_child_calls;
  }
  const auto refused = ApplyRoute(call, *route);
  if (call->admitted)
    HandleLocalTargetCall(call, *route);
  return refused;
}

// A call of the local target takes the priority of the run that makes it, since
// the work of that run is lost if the call is refused.
void entry::HandleLocalTargetCall(open_call* call, const route_config& route) {
  const fbs::call_requestT* parent =
      find_run_ && !call->metadata.parent_id.empty()
          ? find_run_(call->metadata.parent_id)
          : nullptr;
  call->has_local_parent = parent != nullptr;
  if (parent != nullptr) {
    call->priority = PriorityFromWire(parent->priority_class);
    call->parent_route = parent->route;
    call->parent_is_repeat = parent->repeat;
    calls_by_parent_.emplace(call->metadata.parent_id, call->call_id);
    call->local_run = FromWire(parent->id);
    if (child_call_observer_ != nullptr)
      child_call_observer_->OnChildCallStart(call->local_run);
  }
  if (on_local_call_)
    on_local_call_(route.name,
                   parent == nullptr ? std::string() : parent->route);
}

std::optional<reason> entry::CheckIssuedKey(open_call* call) {
  const auto parsed = ParseKey(call->metadata.key);
  if (!parsed)
    return reason::kKeyUnknown;
  const auto key = config_->keys.find(parsed->id);
  if (key == config_->keys.end() ||
      !SecretMatches(parsed->secret, key->second.secret_sha256))
    return reason::kKeyUnknown;
  if (key->second.withdrawn)
    return reason::kKeyWithdrawn;
  call->key_id = parsed->id;
  return SetCustomer(call, key->second.customer);
}

std::optional<reason> entry::SetCustomer(open_call* call,
                                         const std::string& name) {
  const auto customer = config_->customers.find(name);
  if (customer == config_->customers.end() || !customer->second.enabled)
    return reason::kCustomerDisabled;
  call->customer = name;
  call->weight = customer->second.weight;
  return std::nullopt;
}

// Applies the settings of the route and the request's own header fields, and
// strips fields that a target must not see.
std::optional<reason> entry::ApplyRoute(open_call* call,
                                        const route_config& route) {
  http_headers& headers = call->request.headers;
  call->route = route.name;
  call->service = route.traffic_split.empty()
                      ? route.service
                      : traffic_splits_[route.name].Pick(route.traffic_split);
  const auto customer = config_->customers.find(call->customer);
  call->priority = EffectivePriority(customer == config_->customers.end()
                                         ? std::nullopt
                                         : customer->second.priority,
                                     route.priority);
  call->repeatable = route.repeatable;
  call->max_attempts = route.max_attempts;
  call->allowed_regions = route.regions;
  const auto service = config_->services.find(call->service);
  duration time_limit = options_.default_deadline;
  if (service != config_->services.end())
    time_limit = std::min(time_limit, service->second.call_timeout);
  if (!call->metadata.valid)
    return reason::kBadRequest;
  if (call->metadata.time_left)
    time_limit = std::min(time_limit, *call->metadata.time_left);
  if (route.timeout > duration::zero())
    time_limit = std::min(time_limit, route.timeout);
  if (route.latency_objective > duration::zero())
    call->soft_deadline = call->arrived_at + route.latency_objective;
  const time_point deadline = call->arrived_at + time_limit;
  call->deadline = call->parent_context_token.empty()
                       ? deadline
                       : std::min(deadline, call->deadline);
  if (const std::string* key = headers.Find("Idempotency-Key")) {
    if (key->empty() || key->size() > 255)
      return reason::kBadRequest;
    call->idempotency_key = *key;
  }
  call->fingerprint = Fingerprint(
      call->customer, route.name + call->request.path, call->request.body);
  options_.dialect->StripRequest(&headers);
  StartDeadlineTimer(call);
  return std::nullopt;
}

void entry::StartDeadlineTimer(open_call* call) {
  loop_->Cancel(call->deadline_timer);
  call->deadline_timer =
      loop_->RunAfter(call->deadline + options_.deadline_grace - loop_->Now(),
                      [this, call_id = call->call_id] { OnDeadline(call_id); });
}

entry_call_id entry::HandleChildCall(http_request request,
                                     reply_callback reply) {
  open_call* call = nullptr;
  const entry_call_id call_id =
      CreateCall(std::move(request), std::move(reply), &call);
  const std::string* token = call->request.headers.Find("Skylark-Context");
  call_context* parent = token == nullptr ? nullptr : contexts_->Find(*token);
  if (parent == nullptr) {
    FinishError(call, reason::kContextInvalid, fbs::ran_state::kNo);
    return call_id;
  }
  call->parent_context_token = *token;
  if (options_.faults.copy_credit) {
    call->credit = parent->credit.available();
  } else {
    call->borrowed_credit = parent->credit.LendShare();
    call->credit = call->borrowed_credit;
  }
  if (child_call_observer_ != nullptr)
    child_call_observer_->OnChildCallStart(parent->parent);
  call->customer = parent->customer;
  call->key_id = parent->key_id;
  call->weight = parent->weight;
  call->deadline = parent->deadline;
  call->depth = parent->depth + 1;
  call->admitted = true;
  const priority_class parent_priority = parent->priority;
  const route_config* route = config_->FindRoute(
      call->metadata.host, call->request.method, call->request.path);
  std::optional<reason> refused;
  if (route == nullptr)
    refused = reason::kNoRoute;
  else if (call->depth > options_.max_depth)
    refused = reason::kBadRequest;
  else
    refused = ApplyRoute(call, *route);
  // A child call never has a lower priority than its parent, since the whole
  // chain is as important as its most important part.
  call->priority = std::max(call->priority, parent_priority);
  if (refused) {
    FinishError(call, *refused, fbs::ran_state::kNo);
    return call_id;
  }
  // The rate limit counts whole requests of a customer; a child call is covered
  // by its parent's token.
  CheckAdmission(call_id);
  return call_id;
}

void entry::AcquireRateToken(entry_call_id call_id) {
  open_call* call = FindCall(call_id);
  if (call->customer.empty() || !acquire_rate_token_ ||
      config_->rates.count(call->customer) == 0) {
    OnRateAdmitted(call_id);
    return;
  }
  acquire_rate_token_(call->customer, call->deadline,
                      [this, call_id](reason result) {
                        open_call* waiting = FindCall(call_id);
                        if (waiting == nullptr)
                          return;
                        if (result != reason::kOk) {
                          FinishError(waiting, result, fbs::ran_state::kNo);
                          return;
                        }
                        waiting->has_rate_token = true;
                        OnRateAdmitted(call_id);
                      });
}

void entry::OnRateAdmitted(entry_call_id call_id) {
  if (options_.on_rate_admitted) {
    const open_call* call = FindCall(call_id);
    options_.on_rate_admitted(call->request, call->customer, call->credit);
  }
  CheckAdmission(call_id);
}

// Refuses at once a request that would be refused later in its chain.
void entry::CheckAdmission(entry_call_id call_id) {
  open_call* call = FindCall(call_id);
  const auto service = config_->services.find(call->service);
  if (service == config_->services.end() || !service->second.in_service) {
    FinishError(call, reason::kNoTarget, fbs::ran_state::kNo);
    return;
  }
  const time_point now = loop_->Now();
  const bool returning =
      !call->admitted && returning_callers_.IsReturning(call->fingerprint, now);
  const auto refused = admission_.Check(
      call->service, DownstreamServicesOf(*call), call->priority,
      call->admitted, now, *random_, returning);
  if (refused) {
    FinishError(call, *refused, fbs::ran_state::kNo);
    return;
  }
  if (returning) {
    returning_callers_.OnAdmitted(call->fingerprint);
    returning_requests_.Increment();
  }
  ClaimIdempotencyKey(call_id);
}

// Formats "SERVICE=PERMILLE" for each service of the request's chain whose load
// is known.
std::string entry::LoadLevelsText(const open_call& ended) const {
  std::vector<std::string> services = DownstreamServicesOf(ended);
  services.insert(services.begin(), ended.service);
  std::string text;
  for (const std::string& service : services) {
    const auto level = admission_.LoadPermilleOf(service, loop_->Now());
    if (!level)
      continue;
    text += text.empty() ? "" : " ";
    text += service + "=" + std::to_string(*level);
  }
  return text;
}

// Returns the downstream services of the route: those learned from answers or,
// before any answer, those in the configuration.
std::vector<std::string> entry::DownstreamServicesOf(
    const open_call& call) const {
  if (learned_downstream_.count(call.route) > 0)
    return LearnedDownstreamServices(call.route);
  const auto service = config_->services.find(call.service);
  return service == config_->services.end() ? std::vector<std::string>()
                                            : service->second.calls;
}

std::vector<std::string> entry::LearnedDownstreamServices(
    const std::string& route) const {
  std::vector<std::string> services;
  const auto learned = learned_downstream_.find(route);
  if (learned == learned_downstream_.end())
    return services;
  for (const auto& [service, reported_at] : learned->second) {
    if (loop_->Now() - reported_at < kMaxDownstreamServiceAge)
      services.push_back(service);
  }
  return services;
}

// Claims the idempotency key of a non-repeatable request before the request may
// run.
void entry::ClaimIdempotencyKey(entry_call_id call_id) {
  open_call* call = FindCall(call_id);
  if (call->caller_gone) {
    FinishError(call, reason::kCallerGone, fbs::ran_state::kNo);
    return;
  }
  if (call->repeatable || call->idempotency_key.empty() || dedup_ == nullptr) {
    Dispatch(call_id);
    return;
  }
  dedup_->Claim(call->customer, call->idempotency_key, call->id, call->deadline,
                [this, call_id](const dedup_decision& decision) {
                  OnClaimDecided(call_id, decision);
                });
}

void entry::OnClaimDecided(entry_call_id call_id,
                           const dedup_decision& decision) {
  open_call* call = FindCall(call_id);
  if (call == nullptr)
    return;
  switch (decision.verdict) {
    case dedup_verdict::kRun:
      call->key_claimed = true;
      call->claim_valid_until = decision.valid_until;
      Dispatch(call_id);
      return;
    case dedup_verdict::kAnswered:
      if (IsIntact(*decision.answer))
        FinishAnswered(call, *decision.answer, ResponseHead(*decision.answer));
      else
        FinishError(call, reason::kDuplicateUnknown, fbs::ran_state::kUnknown);
      return;
    case dedup_verdict::kUnknown:
      FinishError(call, reason::kDuplicateUnknown, fbs::ran_state::kUnknown);
      return;
    case dedup_verdict::kUnavailable:
      FinishError(call, reason::kDedupUnavailable, fbs::ran_state::kNo);
      return;
  }
}

void entry::Dispatch(entry_call_id call_id) {
  open_call* call = FindCall(call_id);
  if (call->caller_gone) {
    FinishError(call, reason::kCallerGone, fbs::ran_state::kNo);
    return;
  }
  if (call->deadline <= loop_->Now()) {
    FinishError(call, reason::kDeadlineBeforeRun, fbs::ran_state::kNo);
    return;
  }
  // The process may have been paused since the claim was granted.
  if (call->claim_valid_until <= loop_->Now()) {
    FinishError(call, reason::kDedupUnavailable, fbs::ran_state::kNo);
    return;
  }
  if (TryNewVersion(call))
    return;
  const std::vector<route_candidate> candidates = CollectCandidates(*call);
  const auto chosen = routing_->Pick(candidates, loop_->Now(), *random_);
  if (!chosen) {
    FinishError(call, call->last_refusal_reason, fbs::ran_state::kNo);
    return;
  }
  SendAttempt(
      call, candidates[*chosen],
      versions_ == nullptr ? version_rule() : versions_->RuleOf(call->service));
}

// Sends the first attempt of a request to a version that gets only some calls,
// if it may go there. A request that is refused there uses other versions.
bool entry::TryNewVersion(open_call* call) {
  if (versions_ == nullptr || !call->tried_nodes.empty() ||
      versions_->RuleOf(call->service).excluded.empty())
    return false;
  const std::vector<route_candidate> candidates =
      versions_->TrialCandidates(call->service, CollectAllVersions(*call));
  if (candidates.empty())
    return false;
  const auto chosen = routing_->Pick(candidates, loop_->Now(), *random_);
  if (!chosen)
    return false;
  const route_candidate& target = candidates[*chosen];
  SendAttempt(call, target, {target.version, ""});
  return true;
}

std::vector<route_candidate> entry::CollectCandidates(const open_call& call) {
  std::vector<route_candidate> candidates = CollectAllVersions(call);
  if (versions_ == nullptr)
    return candidates;
  const version_rule rule = versions_->RuleOf(call.service);
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                  [&](const route_candidate& each) {
                                    return !rule.Allows(each.version);
                                  }),
                   candidates.end());
  return candidates;
}

std::vector<route_candidate> entry::CollectAllVersions(const open_call& call) {
  std::vector<route_candidate> candidates;
  const time_point now = loop_->Now();
  for (const target_info& target : targets_->TargetsOf(call.service)) {
    if (!target.reachable ||
        config_->out_of_service_zones.count(target.zone) > 0 ||
        call.tried_nodes.count(target.peer_address) > 0 ||
        !IsZoneAllowed(call, target.zone))
      continue;
    route_candidate candidate;
    candidate.node_address = target.peer_address;
    candidate.node_incarnation = target.incarnation;
    candidate.version = target.version;
    candidate.same_zone = target.zone == options_.zone;
    candidate.load_permille = target.load_permille;
    candidate.reported_at = target.reported_at;
    candidate.limit = target.limit;
    candidate.first_seen = target.first_seen;
    candidate.run_time = target.run_time;
    candidate.expected_time = target.expected_time;
    const auto key = std::make_pair(target.peer_address, call.service);
    const auto report = load_reports_.find(key);
    if (report != load_reports_.end() &&
        report->second.received_at + kMaxLoadReportAge > now) {
      candidate.load_permille = report->second.permille;
      candidate.reported_at = report->second.received_at;
      candidate.open_calls_at_report = report->second.open_calls;
      if (report->second.limit > 0) {
        candidate.limit = report->second.limit;
        candidate.run_time = report->second.run_time;
        candidate.expected_time = report->second.expected_time;
      }
    }
    const auto open = open_calls_by_target_.find(key);
    candidate.open_calls =
        open == open_calls_by_target_.end() ? 0 : open->second;
    candidate.failure_rate = FailureRate(target.peer_address, call.service);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

bool entry::IsZoneAllowed(const open_call& call,
                          const std::string& zone) const {
  if (call.allowed_regions.empty())
    return true;
  const auto region = options_.regions.find(zone);
  return region != options_.regions.end() &&
         call.allowed_regions.count(region->second) > 0;
}

retry_budget& entry::RetryBudgetOf(const std::string& service) {
  return retry_budgets_.try_emplace(service, options_.retry_share)
      .first->second;
}

chain_retry_budget& entry::LeafRetryBudgetOf(const std::string& service) {
  return leaf_retry_budgets_.try_emplace(service, options_.leaf_retry_share)
      .first->second;
}

void entry::RecordFirstAttempt(const open_call& call) {
  const time_point now = loop_->Now();
  RetryBudgetOf(call.service).OnFirstAttempt(now);
  if (options_.leaf_retry_share <= 0)
    return;
  if (call.parent_is_repeat)
    LeafRetryBudgetOf(call.service).OnInheritedRepeat(now);
  else
    LeafRetryBudgetOf(call.service).OnFirstAttempt(now);
}

bool entry::IsLeaf(const std::string& service) const {
  const auto found = leaf_evidence_.find(service);
  return found != leaf_evidence_.end() &&
         found->second.answers >= kMinLeafAnswers &&
         (found->second.called_at == time_point() ||
          loop_->Now() - found->second.called_at >= kMinLeafTime);
}

void entry::LearnLeaf(const std::string& service,
                      const fbs::call_answerT& answer) {
  leaf_evidence& evidence = leaf_evidence_[service];
  const bool names_downstream = std::any_of(
      answer.loads.begin(), answer.loads.end(), [&](const auto& level) {
        return level != nullptr && level->service != service;
      });
  if (names_downstream) {
    evidence.answers = 0;
    evidence.called_at = loop_->Now();
  } else if (answer.outcome == fbs::outcome::kAnswered) {
    evidence.answers = std::min(evidence.answers + 1, kMinLeafAnswers);
  }
}

uint64_t entry::NextAttemptSequence() {
  const uint64_t sequence = next_sequence_++;
  return options_.faults.reuse_sequence ? sequence / 4 : sequence;
}

void entry::ReportToVersions(const open_call& call,
                             attempt_result result,
                             duration run_time) {
  if (versions_ == nullptr || !call.current_attempt)
    return;
  const attempt& ended = *call.current_attempt;
  versions_->OnEnded({ended.service, call.route, ended.version, ended.address},
                     result, run_time);
}

// A lost link is no fault of the target's version.
void entry::ReportAnswerToVersions(const open_call& call,
                                   const fbs::call_answerT& answer) {
  const duration run_time = std::chrono::microseconds(answer.run_us);
  if (answer.outcome == fbs::outcome::kAnswered) {
    ReportToVersions(call,
                     answer.status >= kMinServerErrorStatus
                         ? attempt_result::kFailed
                         : attempt_result::kAnswered,
                     run_time);
  } else if (answer.outcome == fbs::outcome::kFailed) {
    const reason why = ReasonFromWire(answer.reason);
    if (why == reason::kTargetLost)
      ReportToVersions(call, attempt_result::kLost, run_time);
    else if (why == reason::kDeadlineDuringRun)
      ReportToVersions(call, attempt_result::kTimedOut, run_time);
  }
}

void entry::SendAttempt(open_call* call,
                        const route_candidate& target,
                        const version_rule& versions) {
  const time_point now = loop_->Now();
  if (versions_ != nullptr)
    versions_->OnSent(
        {call->service, call->route, target.version, target.node_address},
        call->tried_nodes.empty());
  if (call->tried_nodes.empty())
    RecordFirstAttempt(*call);
  attempt current_attempt;
  current_attempt.id = {options_.incarnation, NextAttemptSequence()};
  current_attempt.address = target.node_address;
  current_attempt.service = call->service;
  current_attempt.version = target.version;
  const auto link = link_incarnations_.find(target.node_address);
  current_attempt.incarnation =
      link == link_incarnations_.end() ? 0 : link->second;
  current_attempt.sent_at = now;

  fbs::call_requestT message;
  message.id = ToWire(current_attempt.id);
  message.service = call->service;
  message.customer = call->customer;
  message.key_id = call->key_id;
  message.priority_class = static_cast<uint8_t>(call->priority);
  message.admitted = call->admitted;
  message.repeatable = call->repeatable;
  message.weight_permille = static_cast<uint32_t>(call->weight * 1000);
  message.deadline_left_ms =
      static_cast<uint32_t>(ToMilliseconds(call->deadline - now));
  message.credit = static_cast<uint8_t>(call->credit);
  message.depth = static_cast<uint8_t>(call->depth);
  message.fingerprint = call->fingerprint;
  message.method = call->request.method;
  message.path = call->request.path;
  message.headers = ToWire(call->request.headers);
  message.body.assign(call->request.body.begin(), call->request.body.end());
  message.body_checksum = BodyChecksum(message.body);
  message.caller_service = options_.local_service;
  message.route = call->route;
  message.required_version = versions.required;
  message.excluded_version = versions.excluded;
  // The target in `target_left_ms` is the target latency.
  if (call->soft_deadline != time_point::max())
    message.target_left_ms = static_cast<uint32_t>(
        std::max<int64_t>(0, ToMilliseconds(call->soft_deadline - now)));

  message.repeat =
      call->parent_is_repeat || call->lost_runs > 0 || call->shed_attempts > 0;

  const auto remembered = remembered_targets_.find(target.node_address);
  if (remembered != remembered_targets_.end())
    message.target =
        std::make_unique<fbs::target_reportT>(remembered->second.report);

  call->tried_nodes.insert(target.node_address);
  calls_by_attempt_.emplace(current_attempt.id, call->call_id);
  ++open_calls_by_target_[{current_attempt.address, current_attempt.service}];
  call->last_target_node = current_attempt.address;
  call->current_attempt = std::move(current_attempt);
  transport_->SendOwned(target.node_address, MakeEnvelope(std::move(message)));
}

void entry::EndAttempt(open_call* call) {
  if (!call->current_attempt)
    return;
  calls_by_attempt_.erase(call->current_attempt->id);
  const auto open = open_calls_by_target_.find(
      {call->current_attempt->address, call->current_attempt->service});
  if (open != open_calls_by_target_.end() && --open->second == 0)
    open_calls_by_target_.erase(open);
  call->current_attempt.reset();
  loop_->Cancel(call->query_timer);
  call->query_timer = 0;
}

bool entry::IsIntact(const fbs::call_answerT& answer) const {
  return answer.total_length == answer.body.size() &&
         answer.body_checksum == BodyChecksum(answer.body);
}

void entry::HandleAnswer(const peer_info& from,
                         const fbs::call_answerT& answer) {
  const time_point now = loop_->Now();
  for (const auto& level : answer.loads) {
    if (level != nullptr)
      admission_.OnLoadReport(level->service, level->pressure, now);
  }
  const auto found = calls_by_attempt_.find(FromWire(answer.id));
  open_call* call =
      found == calls_by_attempt_.end() ? nullptr : FindCall(found->second);
  if (call == nullptr || call->current_attempt->address != from.address) {
    late_answers_.Increment();
    return;
  }
  if (!answer.loads.empty() && answer.loads.front() != nullptr)
    RecordLoadReport(from.address, call->service, *answer.loads.front());
  call->credit = std::min<int>(call->credit, answer.credit_left);
  RememberTarget(*call->current_attempt, answer);
  LearnDownstreamServices(*call, answer);
  if (options_.leaf_retry_share > 0)
    LearnLeaf(call->service, answer);
  if (answer.outcome != fbs::outcome::kRefused)
    UpdateFailureRate(*call->current_attempt,
                      answer.outcome != fbs::outcome::kAnswered ||
                          answer.status >= kMinServerErrorStatus);
  ReportAnswerToVersions(*call, answer);
  EndAttempt(call);
  if (!IsIntact(answer)) {
    OnDamagedAnswer(call);
    return;
  }
  switch (answer.outcome) {
    case fbs::outcome::kAnswered: {
      http_response head = ResponseHead(answer);
      // The executor checks this too, unless its process has an earlier
      // version.
      if (options_.dialect->IsAnswerTo(call->metadata.caller_id, head))
        FinishAnswered(call, answer, std::move(head));
      else
        OnDamagedAnswer(call);
      return;
    }
    case fbs::outcome::kRefused:
      OnAttemptRefused(call, ReasonFromWire(answer.reason), answer.local);
      return;
    case fbs::outcome::kNone:
    case fbs::outcome::kFailed:
      if (options_.faults.retry_after_run) {
        OnAttemptRefused(call, ReasonFromWire(answer.reason), true);
        return;
      }
      OnAttemptLost(call, ReasonFromWire(answer.reason), answer.ran);
      return;
  }
}

void entry::OnDamagedAnswer(open_call* call) {
  damaged_answers_.Increment();
  OnAttemptLost(call, reason::kAnswerDamaged, fbs::ran_state::kUnknown);
}

void entry::RememberTarget(const attempt& ended,
                           const fbs::call_answerT& answer) {
  const time_point now = loop_->Now();
  const auto known = remembered_targets_.find(ended.address);
  if (answer.target != nullptr) {
    if (known == remembered_targets_.end()) {
      for (auto each = remembered_targets_.begin();
           each != remembered_targets_.end();)
        each = each->second.updated_at + kTargetReportRetention <= now
                   ? remembered_targets_.erase(each)
                   : std::next(each);
    }
    remembered_targets_[ended.address] = {*answer.target, now};
  } else if (answer.outcome == fbs::outcome::kAnswered &&
             known != remembered_targets_.end() &&
             ended.sent_at >= known->second.updated_at) {
    remembered_targets_.erase(known);
  }
}

void entry::RecordLoadReport(const std::string& address,
                             const std::string& service,
                             const fbs::load_levelT& level) {
  const auto key = std::make_pair(address, service);
  const auto open = open_calls_by_target_.find(key);
  // The call that carried the report still counts as open here but is about to
  // end.
  const int still_open =
      open == open_calls_by_target_.end() ? 0 : open->second - 1;
  load_report& report = load_reports_[key];
  report.permille = level.permille;
  report.limit = level.speed_milli > 0 ? level.limit : 0;
  report.run_time = RunTimeAt(report.limit, level.speed_milli);
  report.expected_time = std::chrono::microseconds(level.expected_us);
  report.received_at = loop_->Now();
  report.open_calls = still_open;
}

// Records the services that the target's node reports behind the runs of this
// route.
void entry::LearnDownstreamServices(const open_call& call,
                                    const fbs::call_answerT& answer) {
  if (answer.outcome != fbs::outcome::kAnswered || call.route.empty())
    return;
  std::map<std::string, time_point>& services = learned_downstream_[call.route];
  for (size_t i = 1; i < answer.loads.size(); ++i) {
    if (answer.loads[i] != nullptr && answer.loads[i]->service != call.service)
      services[answer.loads[i]->service] = loop_->Now();
  }
}

void entry::UpdateFailureRate(const attempt& ended, bool failed) {
  target_failure_rate& record = failure_rates_[{ended.address, ended.service}];
  const double previous = FailureRate(ended.address, ended.service);
  record.rate =
      previous + kFailureRateWeight * ((failed ? 1.0 : 0.0) - previous);
  record.updated_at = loop_->Now();
}

// Returns the failure rate of a target. It decays with time, so that a target
// that was avoided is tried again.
double entry::FailureRate(const std::string& address,
                          const std::string& service) const {
  const auto found = failure_rates_.find({address, service});
  if (found == failure_rates_.end())
    return 0;
  const double age =
      std::chrono::duration<double>(loop_->Now() - found->second.updated_at)
          .count();
  return found->second.rate * std::exp(-age / kFailureRateDecaySeconds);
}

void entry::OnAttemptRefused(open_call* call, reason why, bool local) {
  call->last_refusal_reason = why;
  if (why == reason::kShedByTarget)
    ++call->shed_attempts;
  if (!local || call->caller_gone || !ConsumeRetry(call, why)) {
    FinishError(call, call->last_refusal_reason, fbs::ran_state::kNo);
    return;
  }
  retries_by_reason_.Increment(why);
  Dispatch(call->call_id);
}

// Handles an attempt that may have run but whose result is lost: the run ended
// without an answer, or its node does not respond.
void entry::OnAttemptLost(open_call* call, reason why, fbs::ran_state ran) {
  EndAttempt(call);
  ++call->lost_runs;
  const bool retry = options_.retry_lost_runs && call->repeatable &&
                     !call->caller_gone && why != reason::kDeadlineDuringRun &&
                     call->deadline - loop_->Now() >= kMinTimeForRetry &&
                     ConsumeRetry(call, why);
  if (!retry) {
    FinishError(call, why, ran);
    return;
  }
  retries_by_reason_.Increment(why);
  call->last_loss_reason = why;
  Dispatch(call->call_id);
}

// Takes one retry from the request's credit and one from the service's budget.
// Returns false when one of them or the route's maximum of attempts is used up.
// A retry of a call that no target has received adds no load to the service
// while another target has capacity, and needs no budget then.
bool entry::ConsumeRetry(open_call* call, reason why) {
  if (call->credit <= 0 ||
      (call->max_attempts > 0 &&
       call->lost_runs + call->shed_attempts >= call->max_attempts))
    return false;
  if (!NeedsNoBudget(*call, why) && !TakeRetryFromBudget(*call))
    return false;
  --call->credit;
  return true;
}

bool entry::TakeRetryFromBudget(const open_call& call) {
  const time_point now = loop_->Now();
  const auto level = admission_.LoadPermilleOf(call.service, now);
  const bool overloaded =
      level && *level >= admission_controller::kTargetLoadPermille;
  if (options_.leaf_retry_share > 0 && IsLeaf(call.service)) {
    retry_value value;
    value.priority = call.priority;
    if (call.has_local_parent)
      value.calls_left = run_progress_.CallsLeft(call.metadata.parent_id,
                                                 call.parent_route, call.route);
    return !overloaded && LeafRetryBudgetOf(call.service).TakeRetry(value, now);
  }
  retry_budget& budget = RetryBudgetOf(call.service);
  budget.SetOverloaded(overloaded);
  return budget.TakeRetry(now);
}

bool entry::NeedsNoBudget(const open_call& call, reason why) {
  switch (why) {
    case reason::kNoTarget:
    case reason::kDraining:
    case reason::kZoneOut:
      return true;
    case reason::kTargetLimited:
    case reason::kQueueFull:
    case reason::kQueueTimeout:
      return routing_->HasCapacity(CollectCandidates(call), loop_->Now());
    default:
      return false;
  }
}

void entry::FinishAnswered(open_call* call,
                           const fbs::call_answerT& answer,
                           http_response head) {
  http_response response = std::move(head);
  options_.dialect->FinishResponse(call->id, &response);
  response.body.assign(answer.body.begin(), answer.body.end());
  if (call->key_claimed)
    ReportToDedup(*call, fbs::outcome::kAnswered,
                  std::make_shared<const fbs::call_answerT>(answer));
  ended_requests_.Increment(reason::kOk);
  LogRequestEnd(*call, reason::kOk, "yes", response.status);
  Finish(call, response);
}

void entry::FinishError(open_call* call, reason why, fbs::ran_state ran) {
  if (ran == fbs::ran_state::kNo && call->lost_runs > 0) {
    // The result of an earlier attempt was lost, so "not run" would be false.
    ran = fbs::ran_state::kUnknown;
    why = call->last_loss_reason;
  }
  if (ran == fbs::ran_state::kNo && call->has_rate_token && return_rate_token_)
    return_rate_token_(call->customer);
  ReportToDedup(*call,
                ran == fbs::ran_state::kNo ? fbs::outcome::kRefused
                                           : fbs::outcome::kFailed,
                nullptr);
  ended_requests_.Increment(why);
  const duration retry_after = ComputeRetryAfter(*call, why);
  if (ran == fbs::ran_state::kNo && InfoOf(why).retry_after && !call->admitted)
    returning_callers_.OnRefused(call->fingerprint, loop_->Now() + retry_after,
                                 loop_->Now());
  const http_response response = options_.dialect->BuildErrorResponse(
      call->id, call->metadata, why, ran, retry_after);
  LogRequestEnd(*call, why, ToText(ran), response.status);
  Finish(call, response);
}

// Chooses when the caller should retry a refused request. The delay is a share
// of the target latency, shorter on critical routes, so that a retry can still
// succeed in time. Jitter spreads the retries.
duration entry::ComputeRetryAfter(const open_call& call, reason why) {
  if (why == reason::kQuarantined)
    return kQuarantineRetryAfter;
  if (call.soft_deadline == time_point::max() || why == reason::kRateLimited)
    return options_.retry_after;
  const double latency_share = IsCriticalRoute(call.priority) ? 0.15 : 0.35;
  const double jitter = 0.75 + 0.5 * random_->Fraction();
  return std::chrono::duration_cast<duration>(
      (call.soft_deadline - call.arrived_at) * (latency_share * jitter));
}

// Logs one line for each request, with the facts that determined its outcome.
void entry::LogRequestEnd(const open_call& ended,
                          reason why,
                          std::string_view ran,
                          int status) {
  const time_point now = loop_->Now();
  request_latency_.Observe(
      std::chrono::duration<double>(now - ended.arrived_at).count());
  log_.Write("request_ended", [&](rate_limited_log::line& line) {
    line.Add("request", ended.metadata.caller_id.empty()
                            ? ToText(ended.id)
                            : ended.metadata.caller_id);
    line.Add("reason", InfoOf(why).label);
    line.Add("ran", ran);
    line.Add("status", status);
    line.Add("route", ended.route);
    line.Add("service", ended.service);
    line.Add("customer", ended.customer);
    line.Add("target_node", ended.last_target_node);
    line.Add("attempts", static_cast<int64_t>(ended.tried_nodes.size()));
    line.Add("lost_runs", ended.lost_runs);
    line.Add("took_ms", ToMilliseconds(now - ended.arrived_at));
    line.Add("config", static_cast<int64_t>(config_->offset));
    line.Add("load_permille", LoadLevelsText(ended));
  });
}

void entry::ReportToDedup(const open_call& call,
                          fbs::outcome outcome,
                          std::shared_ptr<const fbs::call_answerT> answer) {
  if (call.key_claimed)
    dedup_->Finish(call.customer, call.idempotency_key, call.id, outcome,
                   std::move(answer));
}

// Ends a request; no other function does.
void entry::Finish(open_call* call, const http_response& response) {
  EndAttempt(call);
  loop_->Cancel(call->deadline_timer);
  if (call_context* parent = contexts_->Find(call->parent_context_token)) {
    parent->credit.Return(call->borrowed_credit, call->credit);
    if (child_call_observer_ != nullptr)
      child_call_observer_->OnChildCallEnd(parent->parent,
                                           response.status >= 500);
  }
  if (call->has_local_parent) {
    ForgetParent(*call);
    if (response.status < kMinServerErrorStatus &&
        find_run_(call->metadata.parent_id) != nullptr)
      run_progress_.OnCallSucceeded(call->metadata.parent_id, call->route);
    if (child_call_observer_ != nullptr)
      child_call_observer_->OnChildCallEnd(call->local_run,
                                           response.status >= 500);
  }
  const auto found = calls_.find(call->call_id);
  const std::unique_ptr<open_call> ended = std::move(found->second);
  calls_.erase(found);
  if (!ended->caller_gone)
    ended->reply(response);
  if (calls_.empty() && on_drained_)
    std::exchange(on_drained_, nullptr)();
}

void entry::ForgetParent(const open_call& call) {
  const auto [first, last] =
      calls_by_parent_.equal_range(call.metadata.parent_id);
  const auto found = std::find_if(first, last, [&](const auto& each) {
    return each.second == call.call_id;
  });
  if (found != last)
    calls_by_parent_.erase(found);
}

void entry::OnLocalRunEnded(const ended_run& run) {
  run_progress_.OnRunEnded(run.caller_id, run.route, run.succeeded);
  if (!run.answered)
    CancelCallsOf(run.caller_id);
}

void entry::CancelCallsOf(const std::string& parent_id) {
  const auto [first, last] = calls_by_parent_.equal_range(parent_id);
  std::vector<entry_call_id> calls;
  for (auto each = first; each != last; ++each)
    calls.push_back(each->second);
  for (const entry_call_id call_id : calls) {
    open_call* call = FindCall(call_id);
    if (call == nullptr || call->caller_gone)
      continue;
    if (call->current_attempt)
      SendCancel(*call);
    FinishError(call, reason::kParentEnded, fbs::ran_state::kUnknown);
  }
}

void entry::SendCancel(const open_call& call) {
  fbs::call_cancelT cancel;
  cancel.id = ToWire(call.current_attempt->id);
  transport_->Send(call.current_attempt->address,
                   MakeEnvelope(std::move(cancel)));
}

void entry::HandleCallerGone(entry_call_id id) {
  open_call* call = FindCall(id);
  if (call == nullptr || call->caller_gone)
    return;
  call->caller_gone = true;
  if (!call->current_attempt)
    return;  // Ends when its rate token or claim arrives.
  SendCancel(*call);
  // The result of a request that holds its idempotency key is still needed: the
  // caller may send the request again.
  if (!call->key_claimed)
    FinishError(call, reason::kCallerGone, fbs::ran_state::kUnknown);
}

void entry::OnDeadline(entry_call_id call_id) {
  open_call* call = FindCall(call_id);
  if (call == nullptr)
    return;
  call->deadline_timer = 0;
  if (!call->current_attempt) {
    FinishError(call, reason::kDeadlineBeforeRun, fbs::ran_state::kNo);
    return;
  }
  SendCancel(*call);
  ReportToVersions(*call, attempt_result::kTimedOut, duration::zero());
  FinishError(call, reason::kDeadlineDuringRun, fbs::ran_state::kUnknown);
}

void entry::OnLinkUp(const peer_info& peer) {
  link_incarnations_[peer.address] = peer.incarnation;
  std::vector<entry_call_id> lost;
  for (const auto& [id, call_id] : calls_by_attempt_) {
    open_call* call = FindCall(call_id);
    if (call->current_attempt->address != peer.address)
      continue;
    if (call->current_attempt->incarnation == 0)
      call->current_attempt->incarnation = peer.incarnation;
    else if (call->current_attempt->incarnation != peer.incarnation)
      lost.push_back(call_id);
  }
  for (const entry_call_id call_id : lost) {
    if (open_call* call = FindCall(call_id))
      OnAttemptLost(call, reason::kLinkLost, fbs::ran_state::kUnknown);
  }
}

void entry::OnLinkDown(const peer_info& peer, link_down_cause cause) {
  link_incarnations_.erase(peer.address);
  std::vector<entry_call_id> affected;
  for (const auto& [id, call_id] : calls_by_attempt_) {
    if (FindCall(call_id)->current_attempt->address == peer.address)
      affected.push_back(call_id);
  }
  for (const entry_call_id call_id : affected) {
    open_call* call = FindCall(call_id);
    // The reply to an earlier call of this loop may have ended this call.
    if (call == nullptr || !call->current_attempt ||
        call->current_attempt->address != peer.address)
      continue;
    if (call->current_attempt->incarnation == 0 && peer.incarnation == 0) {
      // No link has come up since the call was sent, so it never left this
      // node.
      EndAttempt(call);
      OnAttemptRefused(call, reason::kNoTarget, true);
    } else if (ProcessEnded(cause) ||
               (options_.retry_lost_runs && call->repeatable)) {
      OnAttemptLost(call, reason::kLinkLost, fbs::ran_state::kUnknown);
    } else if (call->query_timer == 0) {
      QueryCallState(call_id);
    }
  }
}

// Queries the executor for the state of an open call, until it answers or the
// deadline passes.
void entry::QueryCallState(entry_call_id call_id) {
  open_call* call = FindCall(call_id);
  if (call == nullptr || !call->current_attempt)
    return;
  fbs::call_queryT query;
  query.id = ToWire(call->current_attempt->id);
  call->query_timer = loop_->RunAfter(options_.query_interval, [this, call_id] {
    if (open_call* waiting = FindCall(call_id)) {
      waiting->query_timer = 0;
      QueryCallState(call_id);
    }
  });
  transport_->Send(call->current_attempt->address,
                   MakeEnvelope(std::move(query)));
}

void entry::HandleState(const peer_info& from, const fbs::call_stateT& state) {
  const auto found = calls_by_attempt_.find(FromWire(state.id));
  open_call* call =
      found == calls_by_attempt_.end() ? nullptr : FindCall(found->second);
  if (call == nullptr || call->current_attempt->address != from.address)
    return;
  if (call->current_attempt->incarnation != 0 &&
      call->current_attempt->incarnation != from.incarnation) {
    // A restarted process knows nothing of the call, so its answer does not
    // prove that the call did not run.
    OnAttemptLost(call, reason::kLinkLost, fbs::ran_state::kUnknown);
    return;
  }
  switch (state.stage) {
    case fbs::call_stage::kNeverSeen:
      // The executor refuses this id from now on, so the call has not run and
      // cannot run.
      EndAttempt(call);
      OnAttemptRefused(call, reason::kNoTarget, true);
      return;
    case fbs::call_stage::kQueued:
    case fbs::call_stage::kRunning:
      loop_->Cancel(call->query_timer);
      call->query_timer = 0;
      return;
    case fbs::call_stage::kFinished:
      if (state.answer != nullptr)
        HandleAnswer(from, *state.answer);
      else
        OnAttemptLost(call, reason::kLinkLost, fbs::ran_state::kUnknown);
      return;
  }
}

bool entry::IsServiceFull(const std::string& route) const {
  constexpr uint32_t kFullPermille = 1000;
  const auto found = config_->routes.find(route);
  return found != config_->routes.end() &&
         admission_.LoadPermilleOf(found->second.service, loop_->Now())
                 .value_or(0) >= kFullPermille;
}

std::vector<fbs::load_levelT> entry::LoadsOfRoutes(
    const std::vector<std::string>& route_names) {
  std::set<std::string> services;
  for (const std::string& name : route_names) {
    const auto route = config_->routes.find(name);
    if (route == config_->routes.end())
      continue;
    services.insert(route->second.service);
    for (const std::string& downstream : LearnedDownstreamServices(name))
      services.insert(downstream);
  }
  std::vector<fbs::load_levelT> levels;
  for (const std::string& service : services) {
    fbs::load_levelT level;
    level.service = service;
    level.pressure =
        admission_.LoadPermilleOf(service, loop_->Now()).value_or(0);
    levels.push_back(std::move(level));
  }
  return levels;
}

std::vector<fbs::load_levelT> entry::DownstreamLoads(
    const std::string& service) {
  std::vector<fbs::load_levelT> levels;
  const auto found = config_->services.find(service);
  if (found == config_->services.end())
    return levels;
  for (const std::string& next : found->second.calls) {
    const auto pressure = admission_.LoadPermilleOf(next, loop_->Now());
    if (!pressure)
      continue;
    fbs::load_levelT level;
    level.service = next;
    level.pressure = *pressure;
    levels.push_back(std::move(level));
  }
  return levels;
}

void entry::FinishOpenRequests() {
  std::vector<entry_call_id> open;
  for (const auto& [call_id, call] : calls_)
    open.push_back(call_id);
  for (const entry_call_id call_id : open) {
    open_call* call = FindCall(call_id);
    if (call == nullptr)
      continue;
    if (call->current_attempt)
      FinishError(call, reason::kLinkLost, fbs::ran_state::kUnknown);
    else
      FinishError(call, reason::kDraining, fbs::ran_state::kNo);
  }
}

void entry::Drain(std::function<void()> on_drained) {
  if (calls_.empty()) {
    on_drained();
    return;
  }
  on_drained_ = std::move(on_drained);
}

}  // namespace skylarkhoist
