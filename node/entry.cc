#include "node/entry.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "decisions/api_key.h"

namespace skylarkhoist {
namespace {

// Load reports of single targets are used for routing this long.
constexpr duration kLoadReportAge = std::chrono::seconds(2);

// A service belongs to the chain of a route for this long after an answer told
// so. Answers of targets that have just started tell a part of the chain.
constexpr duration kChainAge = std::chrono::seconds(5);

// Lines of one node about ended requests, a second.
constexpr double kLoggedRequests = 100;

constexpr int kServerError = 500;

// How far one call moves the record of its target, and the time in which a
// record without new calls fades.
constexpr double kRecordStep = 0.1;
constexpr double kRecordSeconds = 3.0;

// Lost runs are made again only with at least this time left.
constexpr duration kLeastTimeForRetry = std::chrono::milliseconds(50);

uint64_t Fingerprint(const std::string& customer,
                     const std::string& route,
                     const std::string& body) {
  const uint64_t seed = XXH64(customer.data(), customer.size(), 0);
  const uint64_t with_route = XXH64(route.data(), route.size(), seed);
  return XXH64(body.data(), body.size(), with_route);
}

bool HasEnded(link_down_cause cause) {
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
      ended_(counters,
             "skylarkhoist_requests_total",
             "Requests at their entry node by how they ended"),
      retries_(counters,
               "skylarkhoist_retries_total",
               "Retries by the refusal that caused them"),
      late_answers_(
          counters->Counter("skylarkhoist_late_answers_total",
                            "Answers that match no open call; dropped")),
      damaged_answers_(
          counters->Counter("skylarkhoist_damaged_answers_total",
                            "Answers with a wrong length or checksum")),
      latency_(counters->Histogram(
          "skylarkhoist_request_seconds",
          "Time of requests at their entry node",
          {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5})),
      log_(loop, "entry", kLoggedRequests) {}

entry::~entry() {
  for (auto& [number, opened] : calls_) {
    loop_->Cancel(opened->deadline_timer);
    loop_->Cancel(opened->query_timer);
  }
}

void entry::SetConfig(std::shared_ptr<const config_view> config) {
  config_ = std::move(config);
}

entry::call* entry::FindCall(entry_call_id number) {
  const auto found = calls_.find(number);
  return found == calls_.end() ? nullptr : found->second.get();
}

entry_call_id entry::Open(http_request request,
                          reply_callback reply,
                          call** opened) {
  const uint64_t sequence = next_sequence_++;
  auto created = std::make_unique<call>();
  created->number = sequence;
  created->id = {options_.incarnation, sequence};
  created->request = std::move(request);
  created->reply = std::move(reply);
  created->credit = options_.retry_credit;
  created->arrived = loop_->Now();
  created->facts = options_.dialect->Read(created->request);
  *opened = created.get();
  calls_.emplace(sequence, std::move(created));
  return sequence;
}

entry_call_id entry::HandlePublic(http_request request, reply_callback reply) {
  call* opened = nullptr;
  const entry_call_id number =
      Open(std::move(request), std::move(reply), &opened);
  if (!accepting_) {
    FinishError(opened, reason::kDraining, fbs::ran_state::kNo);
    return number;
  }
  if (calls_.size() > options_.max_open_calls) {
    FinishError(opened, reason::kOverloaded, fbs::ran_state::kNo);
    return number;
  }
  if (const auto refused = Authenticate(opened)) {
    FinishError(opened, *refused, fbs::ran_state::kNo);
    return number;
  }
  AcquireRate(number);
  return number;
}

// Finds the route and, unless it is open, the customer behind the key.
std::optional<reason> entry::Authenticate(call* opened) {
  const http_request& request = opened->request;
  const route_config* route =
      config_->FindRoute(opened->facts.host, request.method, request.path);
  if (route == nullptr)
    return config_->offset == 0 ? reason::kConfigStale : reason::kNoRoute;
  const std::string& key = opened->facts.key;
  if (route->access == route_access::kKeyed) {
    if (fresh_ && !fresh_())
      return reason::kConfigStale;
    if (key.empty())
      return reason::kKeyMissing;
    const auto owner = config_->foreign_keys.find(key);
    const auto refused = owner == config_->foreign_keys.end()
                             ? CheckOwnKey(opened)
                             : SetCustomer(opened, owner->second);
    if (refused)
      return refused;
  } else if (!key.empty()) {
    const auto owner = config_->foreign_keys.find(key);
    if (owner != config_->foreign_keys.end())
      SetCustomer(opened, owner->second);
  } else {
    opened->admitted = options_.open_requests_are_calls;
  }
  const auto refused = Prepare(opened, *route);
  if (opened->admitted)
    NoteLocalCall(opened, *route);
  return refused;
}

// A call ranks like the request during which it is made: what was done for that
// one is lost with it.
void entry::NoteLocalCall(call* opened, const route_config& route) {
  const fbs::call_requestT* parent =
      find_run_ && !opened->facts.parent_id.empty()
          ? find_run_(opened->facts.parent_id)
          : nullptr;
  if (parent != nullptr)
    opened->rank = RankFromWire(parent->priority_class);
  if (local_call_)
    local_call_(route.name, parent == nullptr ? std::string() : parent->route);
}

std::optional<reason> entry::CheckOwnKey(call* opened) {
  const auto parsed = ParseKey(opened->facts.key);
  if (!parsed)
    return reason::kKeyUnknown;
  const auto key = config_->keys.find(parsed->id);
  if (key == config_->keys.end() ||
      !SecretMatches(parsed->secret, key->second.secret_sha256))
    return reason::kKeyUnknown;
  if (key->second.withdrawn)
    return reason::kKeyWithdrawn;
  opened->key_id = parsed->id;
  return SetCustomer(opened, key->second.customer);
}

std::optional<reason> entry::SetCustomer(call* opened,
                                         const std::string& name) {
  const auto customer = config_->customers.find(name);
  if (customer == config_->customers.end() || !customer->second.enabled)
    return reason::kCustomerDisabled;
  opened->customer = name;
  opened->weight = customer->second.weight;
  return std::nullopt;
}

// Reads what the request says of itself and strips what must not reach a
// target.
std::optional<reason> entry::Prepare(call* opened, const route_config& route) {
  http_headers& headers = opened->request.headers;
  opened->route = route.name;
  opened->service = route.split.empty() ? route.service
                                        : splits_[route.name].Pick(route.split);
  const auto customer = config_->customers.find(opened->customer);
  opened->rank =
      RankOf(customer == config_->customers.end() ? std::nullopt
                                                  : customer->second.rank,
             route.rank);
  opened->repeatable = route.repeatable;
  opened->max_runs = route.max_attempts;
  opened->regions = route.regions;
  const auto service = config_->services.find(opened->service);
  duration allowed = options_.default_deadline;
  if (service != config_->services.end())
    allowed = std::min(allowed, service->second.call_timeout);
  if (!opened->facts.valid)
    return reason::kBadRequest;
  if (opened->facts.time_left)
    allowed = std::min(allowed, *opened->facts.time_left);
  if (route.timeout > duration::zero())
    allowed = std::min(allowed, route.timeout);
  if (route.target_latency > duration::zero())
    opened->target_at = opened->arrived + route.target_latency;
  const time_point deadline = opened->arrived + allowed;
  opened->deadline = opened->parent_token.empty()
                         ? deadline
                         : std::min(deadline, opened->deadline);
  if (const std::string* key = headers.Find("Idempotency-Key")) {
    if (key->empty() || key->size() > 255)
      return reason::kBadRequest;
    opened->idempotency_key = *key;
  }
  opened->fingerprint =
      Fingerprint(opened->customer, route.name + opened->request.path,
                  opened->request.body);
  options_.dialect->StripRequest(&headers);
  const entry_call_id number = opened->number;
  opened->deadline_timer =
      loop_->RunAfter(opened->deadline + options_.deadline_grace - loop_->Now(),
                      [this, number] { OnDeadline(number); });
  return std::nullopt;
}

entry_call_id entry::HandleChild(http_request request, reply_callback reply) {
  call* opened = nullptr;
  const entry_call_id number =
      Open(std::move(request), std::move(reply), &opened);
  const std::string* token = opened->request.headers.Find("Skylark-Context");
  call_context* parent = token == nullptr ? nullptr : contexts_->Find(*token);
  if (parent == nullptr) {
    FinishError(opened, reason::kContextInvalid, fbs::ran_state::kNo);
    return number;
  }
  opened->parent_token = *token;
  if (options_.faults.copy_credit) {
    opened->credit = parent->credit.available();
  } else {
    opened->lent = parent->credit.LendShare();
    opened->credit = opened->lent;
  }
  if (children_ != nullptr)
    children_->OnChildStart(parent->parent);
  opened->customer = parent->customer;
  opened->key_id = parent->key_id;
  opened->weight = parent->weight;
  opened->deadline = parent->deadline;
  opened->depth = parent->depth + 1;
  opened->admitted = true;
  const priority_class rank = parent->rank;
  const route_config* route = config_->FindRoute(
      opened->facts.host, opened->request.method, opened->request.path);
  std::optional<reason> refused;
  if (route == nullptr)
    refused = reason::kNoRoute;
  else if (opened->depth > options_.max_depth)
    refused = reason::kBadRequest;
  else
    refused = Prepare(opened, *route);
  // The chain counts as its most important part: a child never ranks below its
  // parent.
  opened->rank = std::max(opened->rank, rank);
  if (refused) {
    FinishError(opened, *refused, fbs::ran_state::kNo);
    return number;
  }
  // The rate counts whole requests of a customer; a child call belongs to its
  // parent's token.
  CheckAdmission(number);
  return number;
}

void entry::AcquireRate(entry_call_id number) {
  call* opened = FindCall(number);
  if (opened->customer.empty() || !acquire_ ||
      config_->rates.count(opened->customer) == 0) {
    OnAdmitted(number);
    return;
  }
  acquire_(opened->customer, opened->deadline, [this, number](reason result) {
    call* waiting = FindCall(number);
    if (waiting == nullptr)
      return;
    if (result != reason::kOk) {
      FinishError(waiting, result, fbs::ran_state::kNo);
      return;
    }
    waiting->has_token = true;
    OnAdmitted(number);
  });
}

void entry::OnAdmitted(entry_call_id number) {
  if (options_.on_admitted) {
    const call* opened = FindCall(number);
    options_.on_admitted(opened->request, opened->customer, opened->credit);
  }
  CheckAdmission(number);
}

// Refuses at once what would fail later in its chain.
void entry::CheckAdmission(entry_call_id number) {
  call* opened = FindCall(number);
  const auto service = config_->services.find(opened->service);
  if (service == config_->services.end() || !service->second.in_service) {
    FinishError(opened, reason::kNoTarget, fbs::ran_state::kNo);
    return;
  }
  const auto refused =
      admission_.Check(opened->service, ChainOf(*opened), opened->rank,
                       opened->admitted, loop_->Now(), *random_);
  if (refused) {
    FinishError(opened, *refused, fbs::ran_state::kNo);
    return;
  }
  ClaimKey(number);
}

// "SERVICE=PERMILLE" for each service of the chain whose load is known.
std::string entry::LevelsOf(const call& ended) const {
  std::vector<std::string> services = ChainOf(ended);
  services.insert(services.begin(), ended.service);
  std::string text;
  for (const std::string& service : services) {
    const auto level = admission_.LevelOf(service, loop_->Now());
    if (!level)
      continue;
    text += text.empty() ? "" : " ";
    text += service + "=" + std::to_string(*level);
  }
  return text;
}

// The services behind the first one, by configuration or as learned.
std::vector<std::string> entry::ChainOf(const call& opened) const {
  if (chains_.count(opened.route) > 0)
    return LearnedChain(opened.route);
  const auto service = config_->services.find(opened.service);
  return service == config_->services.end() ? std::vector<std::string>()
                                            : service->second.calls;
}

std::vector<std::string> entry::LearnedChain(const std::string& route) const {
  std::vector<std::string> services;
  const auto learned = chains_.find(route);
  if (learned == chains_.end())
    return services;
  for (const auto& [service, told] : learned->second) {
    if (loop_->Now() - told < kChainAge)
      services.push_back(service);
  }
  return services;
}

// A request that may not be repeated needs its idempotency key before it may
// run.
void entry::ClaimKey(entry_call_id number) {
  call* opened = FindCall(number);
  if (opened->caller_gone) {
    FinishError(opened, reason::kCallerGone, fbs::ran_state::kNo);
    return;
  }
  if (opened->repeatable || opened->idempotency_key.empty() ||
      dedup_ == nullptr) {
    Dispatch(number);
    return;
  }
  dedup_->Claim(
      opened->customer, opened->idempotency_key, opened->id, opened->deadline,
      [this, number](const dedup_decision& made) { OnClaim(number, made); });
}

void entry::OnClaim(entry_call_id number, const dedup_decision& decision) {
  call* opened = FindCall(number);
  if (opened == nullptr)
    return;
  switch (decision.verdict) {
    case dedup_verdict::kRun:
      opened->claimed = true;
      opened->claim_until = decision.valid_until;
      Dispatch(number);
      return;
    case dedup_verdict::kAnswered:
      if (IsIntact(*decision.answer))
        FinishAnswered(opened, *decision.answer);
      else
        FinishError(opened, reason::kDuplicateUnknown,
                    fbs::ran_state::kUnknown);
      return;
    case dedup_verdict::kUnknown:
      FinishError(opened, reason::kDuplicateUnknown, fbs::ran_state::kUnknown);
      return;
    case dedup_verdict::kUnavailable:
      FinishError(opened, reason::kDedupUnavailable, fbs::ran_state::kNo);
      return;
  }
}

void entry::Dispatch(entry_call_id number) {
  call* opened = FindCall(number);
  if (opened->caller_gone) {
    FinishError(opened, reason::kCallerGone, fbs::ran_state::kNo);
    return;
  }
  if (opened->deadline <= loop_->Now()) {
    FinishError(opened, reason::kDeadlineBeforeRun, fbs::ran_state::kNo);
    return;
  }
  // The process may have been paused since the claim was granted.
  if (opened->claim_until <= loop_->Now()) {
    FinishError(opened, reason::kDedupUnavailable, fbs::ran_state::kNo);
    return;
  }
  const std::vector<route_candidate> candidates = Candidates(*opened);
  const auto chosen = routing_->Pick(candidates, loop_->Now(), *random_);
  if (!chosen) {
    FinishError(opened, opened->last_refusal, fbs::ran_state::kNo);
    return;
  }
  SendAttempt(opened, candidates[*chosen]);
}

std::vector<route_candidate> entry::Candidates(const call& opened) {
  std::vector<route_candidate> candidates;
  const time_point now = loop_->Now();
  for (const member_target& target : targets_->TargetsOf(opened.service)) {
    if (!target.reachable || config_->zones_out.count(target.zone) > 0 ||
        opened.tried.count(target.peer_address) > 0 ||
        !IsAllowedZone(opened, target.zone))
      continue;
    route_candidate candidate;
    candidate.node_address = target.peer_address;
    candidate.node_incarnation = target.incarnation;
    candidate.same_zone = target.zone == options_.zone;
    candidate.load_permille = target.load_permille;
    candidate.load_at = target.load_at;
    candidate.limit = target.limit;
    candidate.seen_since = target.seen_since;
    const auto key = std::make_pair(target.peer_address, opened.service);
    const auto report = loads_.find(key);
    if (report != loads_.end() && report->second.at + kLoadReportAge > now) {
      candidate.load_permille = report->second.permille;
      candidate.load_at = report->second.at;
      candidate.open_at_load = report->second.open_calls;
    }
    const auto open = open_by_target_.find(key);
    candidate.open_calls = open == open_by_target_.end() ? 0 : open->second;
    candidate.failed_share = FailedShare(target.peer_address, opened.service);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

bool entry::IsAllowedZone(const call& opened, const std::string& zone) const {
  if (opened.regions.empty())
    return true;
  const auto region = options_.regions.find(zone);
  return region != options_.regions.end() &&
         opened.regions.count(region->second) > 0;
}

retry_budget& entry::BudgetOf(const std::string& service) {
  return budgets_.try_emplace(service, options_.retry_share).first->second;
}

uint64_t entry::NextAttemptSequence() {
  const uint64_t sequence = next_sequence_++;
  return options_.faults.reuse_sequence ? sequence / 4 : sequence;
}

void entry::SendAttempt(call* opened, const route_candidate& target) {
  const time_point now = loop_->Now();
  if (opened->tried.empty())
    BudgetOf(opened->service).OnFirstAttempt(now);
  attempt current;
  current.id = {options_.incarnation, NextAttemptSequence()};
  current.address = target.node_address;
  current.service = opened->service;
  const auto link = links_.find(target.node_address);
  current.incarnation = link == links_.end() ? 0 : link->second;

  fbs::call_requestT message;
  message.id = ToWire(current.id);
  message.service = opened->service;
  message.customer = opened->customer;
  message.key_id = opened->key_id;
  message.priority_class = static_cast<uint8_t>(opened->rank);
  message.admitted = opened->admitted;
  message.repeatable = opened->repeatable;
  message.weight_permille = static_cast<uint32_t>(opened->weight * 1000);
  message.deadline_left_ms =
      static_cast<uint32_t>(ToMilliseconds(opened->deadline - now));
  message.credit = static_cast<uint8_t>(opened->credit);
  message.depth = static_cast<uint8_t>(opened->depth);
  message.fingerprint = opened->fingerprint;
  message.method = opened->request.method;
  message.path = opened->request.path;
  message.headers = ToWire(opened->request.headers);
  message.body.assign(opened->request.body.begin(), opened->request.body.end());
  message.body_checksum = BodyChecksum(message.body);
  message.caller_service = options_.local_service;
  message.route = opened->route;
  if (opened->target_at != time_point::max())
    message.target_left_ms = static_cast<uint32_t>(
        std::max<int64_t>(0, ToMilliseconds(opened->target_at - now)));

  opened->tried.insert(target.node_address);
  attempts_.emplace(current.id, opened->number);
  ++open_by_target_[{current.address, current.service}];
  opened->last_target = current.address;
  opened->current = std::move(current);
  transport_->Send(target.node_address, Envelope(std::move(message)));
}

void entry::EndAttempt(call* opened) {
  if (!opened->current)
    return;
  attempts_.erase(opened->current->id);
  const auto open = open_by_target_.find(
      {opened->current->address, opened->current->service});
  if (open != open_by_target_.end() && --open->second == 0)
    open_by_target_.erase(open);
  opened->current.reset();
  loop_->Cancel(opened->query_timer);
  opened->query_timer = 0;
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
      admission_.OnLoad(level->service, level->pressure, now);
  }
  const auto found = attempts_.find(FromWire(answer.id));
  call* opened = found == attempts_.end() ? nullptr : FindCall(found->second);
  if (opened == nullptr || opened->current->address != from.address) {
    late_answers_.Increment();
    return;
  }
  if (!answer.loads.empty() && answer.loads.front() != nullptr)
    NoteLoad(from.address, opened->service, answer.loads.front()->permille);
  opened->credit = std::min<int>(opened->credit, answer.credit_left);
  NoteChain(*opened, answer);
  if (answer.outcome != fbs::outcome::kRefused)
    NoteEnd(*opened->current, answer.outcome != fbs::outcome::kAnswered ||
                                  answer.status >= kServerError);
  EndAttempt(opened);
  if (!IsIntact(answer)) {
    damaged_answers_.Increment();
    OnLost(opened, reason::kAnswerDamaged, fbs::ran_state::kUnknown);
    return;
  }
  switch (answer.outcome) {
    case fbs::outcome::kAnswered:
      FinishAnswered(opened, answer);
      return;
    case fbs::outcome::kRefused:
      OnRefused(opened, ReasonFromWire(answer.reason), answer.local);
      return;
    case fbs::outcome::kNone:
    case fbs::outcome::kFailed:
      if (options_.faults.retry_after_hand_over) {
        OnRefused(opened, ReasonFromWire(answer.reason), true);
        return;
      }
      OnLost(opened, ReasonFromWire(answer.reason), answer.ran);
      return;
  }
}

void entry::NoteLoad(const std::string& address,
                     const std::string& service,
                     uint32_t permille) {
  const auto key = std::make_pair(address, service);
  const auto open = open_by_target_.find(key);
  // The call that brought the report is about to end.
  const int still_open = open == open_by_target_.end() ? 0 : open->second - 1;
  loads_[key] = {permille, loop_->Now(), still_open};
}

// The node beside the target tells which services the runs of this route lead
// to.
void entry::NoteChain(const call& opened, const fbs::call_answerT& answer) {
  if (answer.outcome != fbs::outcome::kAnswered || opened.route.empty())
    return;
  std::map<std::string, time_point>& chain = chains_[opened.route];
  for (size_t i = 1; i < answer.loads.size(); ++i) {
    if (answer.loads[i] != nullptr &&
        answer.loads[i]->service != opened.service)
      chain[answer.loads[i]->service] = loop_->Now();
  }
}

void entry::NoteEnd(const attempt& ended, bool failed) {
  target_record& record = records_[{ended.address, ended.service}];
  const double before = FailedShare(ended.address, ended.service);
  record.failed = before + kRecordStep * ((failed ? 1.0 : 0.0) - before);
  record.changed = loop_->Now();
}

// Fades with time, so that a target that was avoided is tried again.
double entry::FailedShare(const std::string& address,
                          const std::string& service) const {
  const auto found = records_.find({address, service});
  if (found == records_.end())
    return 0;
  const double age =
      std::chrono::duration<double>(loop_->Now() - found->second.changed)
          .count();
  return found->second.failed * std::exp(-age / kRecordSeconds);
}

void entry::OnRefused(call* opened, reason why, bool local) {
  opened->last_refusal = why;
  if (why == reason::kShedByTarget)
    ++opened->sheds;
  if (!local || opened->caller_gone || !MayRetry(opened, why)) {
    FinishError(opened, opened->last_refusal, fbs::ran_state::kNo);
    return;
  }
  retries_.Increment(why);
  Dispatch(opened->number);
}

// A run has ended without its answer, or its node is silent.
void entry::OnLost(call* opened, reason why, fbs::ran_state ran) {
  EndAttempt(opened);
  ++opened->runs;
  const bool again = options_.retry_lost_runs && opened->repeatable &&
                     !opened->caller_gone &&
                     why != reason::kDeadlineDuringRun &&
                     opened->deadline - loop_->Now() >= kLeastTimeForRetry &&
                     MayRetry(opened, why);
  if (!again) {
    FinishError(opened, why, ran);
    return;
  }
  retries_.Increment(why);
  opened->last_lost = why;
  Dispatch(opened->number);
}

// Spends one credit of the chain and one of the service's budget. Retries after
// a target or node that takes no calls at all do not add load, so they need no
// budget.
bool entry::MayRetry(call* opened, reason why) {
  if (opened->credit <= 0 || (opened->max_runs > 0 &&
                              opened->runs + opened->sheds >= opened->max_runs))
    return false;
  const bool target_absent = why == reason::kNoTarget ||
                             why == reason::kDraining ||
                             why == reason::kZoneOut;
  if (!target_absent) {
    const time_point now = loop_->Now();
    const auto level = admission_.LevelOf(opened->service, now);
    retry_budget& budget = BudgetOf(opened->service);
    budget.SetOverloaded(level && *level >= admission::kTargetLoad);
    if (!budget.TakeRetry(now))
      return false;
  }
  --opened->credit;
  return true;
}

void entry::FinishAnswered(call* opened, const fbs::call_answerT& answer) {
  http_response response;
  response.status = answer.status;
  response.headers = FromWire(answer.headers);
  options_.dialect->FinishAnswer(opened->id, &response);
  response.body.assign(answer.body.begin(), answer.body.end());
  if (opened->claimed)
    ReportToDedup(*opened, fbs::outcome::kAnswered,
                  std::make_shared<const fbs::call_answerT>(answer));
  ended_.Increment(reason::kOk);
  LogEnd(*opened, reason::kOk, "yes", response.status);
  Finish(opened, response);
}

void entry::FinishError(call* opened, reason why, fbs::ran_state ran) {
  if (ran == fbs::ran_state::kNo && opened->runs > 0) {
    // An earlier run was lost, so "not run" would be false.
    ran = fbs::ran_state::kUnknown;
    why = opened->last_lost;
  }
  if (ran == fbs::ran_state::kNo && opened->has_token && return_token_)
    return_token_(opened->customer);
  ReportToDedup(*opened,
                ran == fbs::ran_state::kNo ? fbs::outcome::kRefused
                                           : fbs::outcome::kFailed,
                nullptr);
  ended_.Increment(why);
  const http_response response = options_.dialect->MakeRefusal(
      opened->id, opened->facts, why, ran, RetryAfter(*opened, why));
  LogEnd(*opened, why, ToText(ran), response.status);
  Finish(opened, response);
}

// When a caller should come back. A request that finds no room is worth most
// when it returns in time for its target latency, and more important ones
// return first; the spread keeps returns from coming all at once.
duration entry::RetryAfter(const call& opened, reason why) {
  if (opened.target_at == time_point::max() || why == reason::kRateLimited)
    return options_.retry_after;
  const double share = IsCriticalRoute(opened.rank) ? 0.15 : 0.35;
  const double spread = 0.75 + 0.5 * random_->Fraction();
  return std::chrono::duration_cast<duration>(
      (opened.target_at - opened.arrived) * (share * spread));
}

// One line a request, with what decided its end.
void entry::LogEnd(const call& ended,
                   reason why,
                   std::string_view ran,
                   int status) {
  const time_point now = loop_->Now();
  latency_.Observe(std::chrono::duration<double>(now - ended.arrived).count());
  log_.Write("request_ended", [&](bounded_log::line& line) {
    line.Add("request", ended.facts.caller_id.empty() ? ToText(ended.id)
                                                      : ended.facts.caller_id);
    line.Add("reason", InfoOf(why).label);
    line.Add("ran", ran);
    line.Add("status", status);
    line.Add("route", ended.route);
    line.Add("service", ended.service);
    line.Add("customer", ended.customer);
    line.Add("target_node", ended.last_target);
    line.Add("attempts", static_cast<int64_t>(ended.tried.size()));
    line.Add("lost_runs", ended.runs);
    line.Add("took_ms", ToMilliseconds(now - ended.arrived));
    line.Add("config", static_cast<int64_t>(config_->offset));
    line.Add("load_permille", LevelsOf(ended));
  });
}

void entry::ReportToDedup(const call& opened,
                          fbs::outcome outcome,
                          std::shared_ptr<const fbs::call_answerT> answer) {
  if (opened.claimed)
    dedup_->Finish(opened.customer, opened.idempotency_key, opened.id, outcome,
                   std::move(answer));
}

// The only place where a request ends.
void entry::Finish(call* opened, const http_response& response) {
  EndAttempt(opened);
  loop_->Cancel(opened->deadline_timer);
  if (call_context* parent = contexts_->Find(opened->parent_token)) {
    parent->credit.Return(opened->lent, opened->credit);
    if (children_ != nullptr)
      children_->OnChildEnd(parent->parent, response.status >= 500);
  }
  const auto found = calls_.find(opened->number);
  const std::unique_ptr<call> ended = std::move(found->second);
  calls_.erase(found);
  if (!ended->caller_gone)
    ended->reply(response);
  if (calls_.empty() && drained_)
    std::exchange(drained_, nullptr)();
}

void entry::HandleGone(entry_call_id id) {
  call* opened = FindCall(id);
  if (opened == nullptr || opened->caller_gone)
    return;
  opened->caller_gone = true;
  if (!opened->current)
    return;  // Ends when its rate token or claim arrives.
  fbs::call_cancelT cancel;
  cancel.id = ToWire(opened->current->id);
  transport_->Send(opened->current->address, Envelope(std::move(cancel)));
  // The result of a claimed request is still wanted: the caller may ask for it
  // again.
  if (!opened->claimed)
    FinishError(opened, reason::kCallerGone, fbs::ran_state::kUnknown);
}

void entry::OnDeadline(entry_call_id number) {
  call* opened = FindCall(number);
  if (opened == nullptr)
    return;
  opened->deadline_timer = 0;
  if (!opened->current) {
    FinishError(opened, reason::kDeadlineBeforeRun, fbs::ran_state::kNo);
    return;
  }
  fbs::call_cancelT cancel;
  cancel.id = ToWire(opened->current->id);
  transport_->Send(opened->current->address, Envelope(std::move(cancel)));
  FinishError(opened, reason::kDeadlineDuringRun, fbs::ran_state::kUnknown);
}

void entry::OnLinkUp(const peer_info& peer) {
  links_[peer.address] = peer.incarnation;
  std::vector<entry_call_id> lost;
  for (const auto& [id, number] : attempts_) {
    call* opened = FindCall(number);
    if (opened->current->address != peer.address)
      continue;
    if (opened->current->incarnation == 0)
      opened->current->incarnation = peer.incarnation;
    else if (opened->current->incarnation != peer.incarnation)
      lost.push_back(number);
  }
  for (const entry_call_id number : lost) {
    if (call* opened = FindCall(number))
      OnLost(opened, reason::kLinkLost, fbs::ran_state::kUnknown);
  }
}

void entry::OnLinkDown(const peer_info& peer, link_down_cause cause) {
  links_.erase(peer.address);
  std::vector<entry_call_id> affected;
  for (const auto& [id, number] : attempts_) {
    if (FindCall(number)->current->address == peer.address)
      affected.push_back(number);
  }
  for (const entry_call_id number : affected) {
    call* opened = FindCall(number);
    // An earlier reply of this round may have ended the call.
    if (opened == nullptr || !opened->current ||
        opened->current->address != peer.address)
      continue;
    if (opened->current->incarnation == 0 && peer.incarnation == 0) {
      // No link came up since the call was sent, so it never left this node.
      EndAttempt(opened);
      OnRefused(opened, reason::kNoTarget, true);
    } else if (HasEnded(cause) ||
               (options_.retry_lost_runs && opened->repeatable)) {
      OnLost(opened, reason::kLinkLost, fbs::ran_state::kUnknown);
    } else if (opened->query_timer == 0) {
      AskAgain(number);
    }
  }
}

// Asks the executor what became of an open call, until it answers or the
// deadline passes.
void entry::AskAgain(entry_call_id number) {
  call* opened = FindCall(number);
  if (opened == nullptr || !opened->current)
    return;
  fbs::call_queryT query;
  query.id = ToWire(opened->current->id);
  opened->query_timer =
      loop_->RunAfter(options_.query_interval, [this, number] {
        if (call* waiting = FindCall(number)) {
          waiting->query_timer = 0;
          AskAgain(number);
        }
      });
  transport_->Send(opened->current->address, Envelope(std::move(query)));
}

void entry::HandleState(const peer_info& from, const fbs::call_stateT& state) {
  const auto found = attempts_.find(FromWire(state.id));
  call* opened = found == attempts_.end() ? nullptr : FindCall(found->second);
  if (opened == nullptr || opened->current->address != from.address)
    return;
  if (opened->current->incarnation != 0 &&
      opened->current->incarnation != from.incarnation) {
    // Another run of the process knows nothing of the call; that proves
    // nothing.
    OnLost(opened, reason::kLinkLost, fbs::ran_state::kUnknown);
    return;
  }
  switch (state.stage) {
    case fbs::call_stage::kNeverSeen:
      // The executor refuses this id from now on, so the call has not run.
      EndAttempt(opened);
      OnRefused(opened, reason::kNoTarget, true);
      return;
    case fbs::call_stage::kQueued:
    case fbs::call_stage::kRunning:
      loop_->Cancel(opened->query_timer);
      opened->query_timer = 0;
      return;
    case fbs::call_stage::kFinished:
      if (state.answer != nullptr)
        HandleAnswer(from, *state.answer);
      else
        OnLost(opened, reason::kLinkLost, fbs::ran_state::kUnknown);
      return;
  }
}

bool entry::IsServiceFull(const std::string& route) const {
  constexpr uint32_t kFull = 1000;
  const auto found = config_->routes.find(route);
  return found != config_->routes.end() &&
         admission_.LevelOf(found->second.service, loop_->Now()).value_or(0) >=
             kFull;
}

std::vector<fbs::load_levelT> entry::LoadsOfCalls(
    const std::vector<std::string>& call_routes) {
  std::set<std::string> services;
  for (const std::string& name : call_routes) {
    const auto route = config_->routes.find(name);
    if (route == config_->routes.end())
      continue;
    services.insert(route->second.service);
    for (const std::string& behind : LearnedChain(name))
      services.insert(behind);
  }
  std::vector<fbs::load_levelT> levels;
  for (const std::string& service : services) {
    fbs::load_levelT level;
    level.service = service;
    level.pressure = admission_.LevelOf(service, loop_->Now()).value_or(0);
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
    const auto pressure = admission_.LevelOf(next, loop_->Now());
    if (!pressure)
      continue;
    fbs::load_levelT level;
    level.service = next;
    level.pressure = *pressure;
    levels.push_back(std::move(level));
  }
  return levels;
}

void entry::Drain(std::function<void()> drained) {
  if (calls_.empty()) {
    drained();
    return;
  }
  drained_ = std::move(drained);
}

}  // namespace skylarkhoist
