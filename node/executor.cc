#include "node/executor.h"

#include <algorithm>
#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

constexpr duration kParkedInterval = std::chrono::milliseconds(10);

// Bytes that an answer takes in the cache beside its body, as a rough bound.
constexpr size_t kAnswerOverhead = 512;

suspect_notice FromWire(const fbs::suspectT& message) {
  suspect_notice notice;
  notice.service = message.service;
  notice.fingerprint = message.fingerprint;
  notice.status = static_cast<suspect_status>(message.state);
  notice.deaths = message.deaths;
  notice.time_left = std::chrono::milliseconds(message.time_left_ms);
  return notice;
}

fbs::suspectT ToWire(const suspect_notice& notice) {
  fbs::suspectT message;
  message.service = notice.service;
  message.fingerprint = notice.fingerprint;
  message.state = static_cast<fbs::suspect_state>(notice.status);
  message.deaths = static_cast<uint8_t>(notice.deaths);
  message.time_left_ms =
      static_cast<uint32_t>(ToMilliseconds(notice.time_left));
  return message;
}

// How long an admitted call waits at least, whatever its target latency.
constexpr duration kLeastCallWait = std::chrono::milliseconds(100);

// Lines of one node about ended executions, a second.
constexpr double kLoggedExecutions = 50;

}  // namespace

executor::executor(loop* loop,
                   peer_transport* transport,
                   target_client* targets,
                   random_source* random,
                   executor_options options,
                   metrics* counters)
    : loop_(loop),
      transport_(transport),
      target_client_(targets),
      options_(std::move(options)),
      config_(std::make_shared<config_view>()),
      contexts_(random),
      answers_(options_.answers),
      ended_(counters,
             "skylarkhoist_executions_total",
             "Calls at the node beside their target by how they ended"),
      handed_over_(counters->Counter("skylarkhoist_handed_over_total",
                                     "Calls handed over to a target")),
      duplicates_(counters->Counter("skylarkhoist_duplicate_calls_total",
                                    "Calls that arrived a second time")),
      damaged_(counters->Counter("skylarkhoist_damaged_calls_total",
                                 "Calls with a wrong checksum")),
      old_announcements_(counters->Counter(
          "skylarkhoist_old_announcements_total",
          "Announcements of targets that were dropped as old")),
      queue_time_(counters->Histogram(
          "skylarkhoist_queue_seconds",
          "Time between arrival and hand-over of a call",
          {0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1})),
      log_(loop, "executor", kLoggedExecutions) {
  announcement_timer_ = loop_->RunAfter(std::chrono::seconds(1),
                                        [this] { CheckAnnouncements(); });
}

executor::~executor() {
  loop_->Cancel(announcement_timer_);
  loop_->Cancel(parked_timer_);
  for (auto& [address, target] : targets_)
    loop_->Cancel(target.pump_timer);
  for (auto& [id, entry] : executions_) {
    if (entry.running)
      target_client_->Cancel(entry.target_call);
  }
}

service_config executor::SettingsOf(const std::string& service) const {
  const auto found = config_->services.find(service);
  if (found != config_->services.end())
    return found->second;
  service_config fallback;
  fallback.name = service;
  return fallback;
}

service_config executor::GateSettings(const target_announcement& target) const {
  service_config settings = SettingsOf(target.service);
  if (target.slots > 0) {
    settings.max_limit =
        std::max(1, static_cast<int>(target.slots * options_.slot_share));
  }
  return settings;
}

bool executor::IsOld(const local_target& target,
                     const target_announcement& announcement) const {
  if (announcement.lifetime == 0)
    return false;
  if (announcement.lifetime != target.announced.lifetime)
    return announcement.lifetime < target.announced.lifetime;
  return announcement.id == target.announced.id &&
         announcement.sequence <= target.announced.sequence;
}

void executor::SetConfig(std::shared_ptr<const config_view> config) {
  config_ = std::move(config);
  for (auto& [address, target] : targets_)
    target.gate->UpdateSettings(GateSettings(target.announced));
  std::vector<std::string> addresses;
  for (const auto& [address, target] : targets_)
    addresses.push_back(address);
  for (const std::string& address : addresses) {
    if (!InService(targets_.at(address)))
      EmptyQueue(address, reason::kNoTarget);
  }
  if (targets_changed_)
    targets_changed_();
}

bool executor::Announce(const target_announcement& announcement) {
  const time_point now = loop_->Now();
  auto [found, inserted] = targets_.try_emplace(announcement.address);
  local_target& target = found->second;
  const bool same_run = target.announced.id == announcement.id &&
                        target.announced.lifetime == announcement.lifetime;
  if (!inserted &&
      (IsOld(target, announcement) || (target.departed && same_run))) {
    old_announcements_.Increment();
    return false;
  }
  const bool restarted =
      inserted || target.down || target.announced.id != announcement.id ||
      target.announced.lifetime != announcement.lifetime ||
      target.announced.service != announcement.service ||
      (target.announced.state != fbs::member_state::kServing &&
       announcement.state == fbs::member_state::kServing);
  const bool changed =
      restarted || target.announced.state != announcement.state;
  target.announced = announcement;
  target.announced_at = now;
  target.down = false;
  target.departed = false;
  const service_config settings = GateSettings(announcement);
  if (inserted)
    target.gate =
        std::make_unique<target_gate>(settings, now, options_.plugins);
  else if (restarted)
    target.gate->ResetCold(now);
  target.gate->UpdateSettings(settings);
  target.gate->SetCold(now + announcement.cold_left, now);
  if (!changed)
    return true;
  LogStateChange(
      "executor", "target_announced",
      {{"service", announcement.service},
       {"address", announcement.address},
       {"id", announcement.id},
       {"lifetime", std::to_string(announcement.lifetime)},
       {"sequence", std::to_string(announcement.sequence)},
       {"cold_ms", std::to_string(ToMilliseconds(announcement.cold_left))},
       {"state", std::string(ToText(announcement.state))}});
  if (!InService(target))
    EmptyQueue(announcement.address, reason::kNoTarget);
  if (targets_changed_)
    targets_changed_();
  return true;
}

bool executor::Depart(const std::string& id, int64_t lifetime) {
  for (auto& [address, target] : targets_) {
    if (target.announced.id != id ||
        (lifetime != 0 && lifetime != target.announced.lifetime))
      continue;
    target.departed = true;
    target.announced.state = fbs::member_state::kGone;
    LogStateChange("executor", "target_departed",
                   {{"service", target.announced.service},
                    {"address", address},
                    {"id", id}});
    EmptyQueue(address, reason::kNoTarget);
    if (targets_changed_)
      targets_changed_();
    return true;
  }
  return false;
}

bool executor::InService(const local_target& target) const {
  // The age counts at each use: after a pause of the process, calls arrive
  // before the timer that looks for silent targets, and what the target last
  // said may be out of date.
  if (target.down || target.announced.state != fbs::member_state::kServing ||
      target.announced_at + options_.announcement_limit < loop_->Now())
    return false;
  const auto service = config_->services.find(target.announced.service);
  return service == config_->services.end() ||
         (service->second.in_service &&
          service->second.targets_out.count(target.announced.address) == 0);
}

std::vector<fbs::target_entryT> executor::DescribeTargets() const {
  std::vector<fbs::target_entryT> entries;
  for (const auto& [address, target] : targets_) {
    fbs::target_entryT entry;
    entry.service = target.announced.service;
    entry.address = address;
    entry.state = InService(target) ? fbs::member_state::kServing
                                    : std::max(target.announced.state,
                                               fbs::member_state::kDraining);
    entry.load_permille = target.gate->LoadPermille();
    entry.limit = static_cast<uint32_t>(target.gate->limit());
    entries.push_back(std::move(entry));
  }
  return entries;
}

// Drops targets that no longer announce themselves.
void executor::CheckAnnouncements() {
  const time_point oldest = loop_->Now() - options_.announcement_limit;
  std::vector<std::string> silent;
  for (const auto& [address, target] : targets_) {
    if (target.announced_at < oldest)
      silent.push_back(address);
  }
  for (const std::string& address : silent) {
    MarkDown(address);
    local_target& target = targets_.at(address);
    if (target.gate->running() == 0 && !target.exclusive) {
      loop_->Cancel(target.pump_timer);
      targets_.erase(address);
    }
  }
  if (!silent.empty() && targets_changed_)
    targets_changed_();
  announcement_timer_ = loop_->RunAfter(std::chrono::seconds(1),
                                        [this] { CheckAnnouncements(); });
}

void executor::MarkDown(const std::string& address) {
  local_target& target = targets_.at(address);
  if (target.down)
    return;
  target.down = true;
  LogStateChange("executor", "target_down",
                 {{"service", target.announced.service}, {"address", address}});
  EmptyQueue(address, reason::kNoTarget);
  if (targets_changed_)
    targets_changed_();
}

void executor::EmptyQueue(const std::string& address, reason why) {
  for (const request_id& id : targets_.at(address).gate->RemoveAll())
    FinishRefused(id, why, true);
}

// What can forbid a run at any time: checked at arrival and again before
// hand-over.
std::optional<reason> executor::CheckBeforeRun(const fbs::call_requestT& call,
                                               time_point /*now*/) const {
  if (config_->zones_out.count(options_.zone) > 0)
    return reason::kZoneOut;
  if (call.key_id.empty())
    return std::nullopt;
  const auto key = config_->keys.find(call.key_id);
  // A node that has not seen the key yet trusts the entry; one that saw its
  // withdrawal does not.
  if (key != config_->keys.end() && key->second.withdrawn)
    return reason::kKeyWithdrawn;
  const auto customer = config_->customers.find(call.customer);
  if (customer != config_->customers.end() && !customer->second.enabled)
    return reason::kCustomerDisabled;
  return std::nullopt;
}

executor::local_target* executor::ChooseTarget(const std::string& service) {
  local_target* best = nullptr;
  for (auto& [address, target] : targets_) {
    if (target.announced.service != service || !InService(target))
      continue;
    if (best == nullptr ||
        target.gate->LoadPermille() < best->gate->LoadPermille())
      best = &target;
  }
  return best;
}

void executor::HandleCall(const peer_info& from,
                          const fbs::call_requestT& call) {
  const time_point now = loop_->Now();
  const request_id id = skylarkhoist::FromWire(call.id);
  switch (answers_.Arrive(id, now)) {
    case call_arrival::kNew:
      break;
    case call_arrival::kDuplicate:
      duplicates_.Increment();
      return;
    case call_arrival::kFenced:
      transport_->Send(from.address,
                       Envelope(MakeRefusal(id, reason::kLinkLost, true)));
      return;
    case call_arrival::kForgotten:
      transport_->Send(from.address,
                       Envelope(MakeRefusal(id, reason::kLinkLost, false,
                                            fbs::ran_state::kUnknown)));
      return;
  }
  execution entry;
  entry.id = id;
  entry.origin = from;
  entry.call = call;
  entry.arrived = now;
  entry.deadline = now + std::chrono::milliseconds(call.deadline_left_ms);
  executions_.emplace(id, std::move(entry));
  if (call.body_checksum != BodyChecksum(call.body)) {
    damaged_.Increment();
    FinishRefused(id, reason::kAnswerDamaged, true);
    return;
  }
  if (draining_) {
    FinishRefused(id, reason::kDraining, true);
    return;
  }
  if (const auto why = CheckBeforeRun(call, now)) {
    FinishRefused(id, *why, *why == reason::kZoneOut);
    return;
  }
  const auto verdict =
      options_.track_suspects
          ? suspects_.Check(call.service, call.fingerprint, now)
          : suspect_verdict::kNormal;
  if (verdict == suspect_verdict::kQuarantined)
    FinishRefused(id, reason::kQuarantined, false);
  else if (verdict == suspect_verdict::kNormal)
    Enqueue(id);
  else
    Park(id);
}

void executor::Enqueue(const request_id& id) {
  const time_point now = loop_->Now();
  execution& entry = executions_.at(id);
  local_target* target = ChooseTarget(entry.call.service);
  if (target == nullptr) {
    FinishRefused(id, reason::kNoTarget, true);
    return;
  }
  gate_call waiting;
  waiting.id = id;
  waiting.rank = RankFromWire(entry.call.priority_class);
  waiting.admitted = entry.call.admitted;
  waiting.customer = entry.call.customer;
  waiting.weight = entry.call.weight_permille / 1000.0;
  waiting.deadline = entry.deadline;
  // A call that waits for longer makes its parent late in any case, and holds
  // the slot of its parent meanwhile.
  waiting.wait_until =
      now +
      std::max(kLeastCallWait,
               duration(std::chrono::milliseconds(entry.call.target_left_ms)));
  entry.target = target->announced.address;
  const std::string address = entry.target;
  if (const auto why = target->gate->Enqueue(waiting, loop_->Now())) {
    FinishRefused(id, *why, *why != reason::kDeadlineBeforeRun);
    return;
  }
  Pump(address);
}

// Hands over what the gate lets through and refuses what it dropped.
void executor::Pump(const std::string& address) {
  const time_point now = loop_->Now();
  const auto found = targets_.find(address);
  if (found == targets_.end())
    return;
  local_target& target = found->second;
  while (!target.exclusive && InService(target)) {
    const auto next = target.gate->TakeNext(now);
    if (!next)
      break;
    HandOver(&target, &executions_.at(next->id));
  }
  for (const gate_refusal& refusal : target.gate->TakeRefused(now))
    FinishRefused(refusal.id, refusal.why,
                  refusal.why != reason::kDeadlineBeforeRun);
  SchedulePump(address);
}

void executor::SchedulePump(const std::string& address) {
  local_target& target = targets_.at(address);
  loop_->Cancel(target.pump_timer);
  target.pump_timer = 0;
  const auto next = target.gate->NextDeadline(loop_->Now());
  if (!next)
    return;
  target.pump_timer = loop_->RunAfter(*next - loop_->Now(), [this, address] {
    const auto found = targets_.find(address);
    if (found == targets_.end())
      return;
    found->second.pump_timer = 0;
    Pump(address);
  });
}

void executor::HandOver(local_target* target, execution* entry) {
  const time_point now = loop_->Now();
  const request_id id = entry->id;
  auto refused = CheckBeforeRun(entry->call, now);
  if (!refused && entry->deadline <= now)
    refused = reason::kDeadlineBeforeRun;
  if (refused) {
    if (!entry->trial)
      target->gate->OnFinished(id, gate_result::kCancelled, now);
    FinishRefused(id, *refused, *refused == reason::kZoneOut);
    return;
  }
  if (!entry->trial && options_.track_suspects &&
      suspects_.Check(entry->call.service, entry->call.fingerprint, now) !=
          suspect_verdict::kNormal) {
    target->gate->OnFinished(id, gate_result::kCancelled, now);
    Park(id);
    return;
  }
  call_context context;
  context.parent = id;
  context.customer = entry->call.customer;
  context.key_id = entry->call.key_id;
  context.deadline = entry->deadline;
  context.credit = retry_credit(entry->call.credit);
  context.rank = RankFromWire(entry->call.priority_class);
  context.depth = entry->call.depth;
  context.weight = entry->call.weight_permille / 1000.0;

  http_request request;
  request.method = entry->call.method;
  request.path = entry->call.path;
  request.headers = skylarkhoist::FromWire(entry->call.headers);
  handover_facts facts;
  facts.customer = entry->call.customer;
  facts.caller_service = entry->call.caller_service;
  facts.target_id = target->announced.id;
  facts.context_token = contexts_.Issue(std::move(context));
  facts.time_left = entry->deadline - now;
  entry->caller_id = options_.dialect->Read(request).caller_id;
  if (!entry->caller_id.empty())
    runs_[entry->caller_id] = id;
  options_.dialect->AddForTarget(facts, &request.headers);
  request.body.assign(entry->call.body.begin(), entry->call.body.end());

  entry->running = true;
  entry->started = now;
  if (run_callback_)
    run_callback_(entry->call.route, true);
  queue_time_.Observe(
      std::chrono::duration<double>(now - entry->arrived).count());
  answers_.Start(id);
  handed_over_.Increment();
  entry->target_call = target_client_->Call(
      target->announced.address, request, entry->deadline - now,
      [this, id](const target_result& result) { OnResult(id, result); });
}

// What the end of a run says about the target itself. Failures of the services
// behind it say nothing.
gate_result executor::GateResultOf(const execution& ended,
                                   const target_result& result,
                                   bool shed) {
  if (shed)
    return gate_result::kShed;
  if (result.error == target_error::kNone && result.response.status < 500)
    return gate_result::kSuccess;
  const bool waited_for_child = ended.open_children > 0 || ended.child_failed;
  if (result.error == target_error::kConnectRefused || waited_for_child)
    return gate_result::kCancelled;
  return gate_result::kError;
}

void executor::OnResult(const request_id& id, const target_result& result) {
  const auto found = executions_.find(id);
  if (found == executions_.end())
    return;
  execution& entry = found->second;
  const std::string address = entry.target;
  const run_verdict verdict =
      result.error == target_error::kNone
          ? options_.dialect->Judge(result.response, entry.made_child_calls)
          : run_verdict::kRan;
  const bool shed = verdict != run_verdict::kRan;
  const bool not_run = shed || !result.may_have_run;
  if (options_.track_suspects)
    NoteEndOfRun(entry, result);
  const auto target = targets_.find(address);
  if (target != targets_.end()) {
    if (!entry.trial)
      target->second.gate->OnFinished(id, GateResultOf(entry, result, shed),
                                      loop_->Now(), entry.child_time);
    else
      target->second.exclusive.reset();
    if (result.error == target_error::kConnectionLost ||
        result.error == target_error::kConnectRefused)
      target->second.gate->ResetCold(loop_->Now());
    if (result.error == target_error::kConnectRefused ||
        verdict == run_verdict::kOtherTarget)
      MarkDown(address);
  }
  if (verdict == run_verdict::kNotRun)
    FinishRefused(id, reason::kShedByTarget, true);
  else if (not_run)
    FinishRefused(id, reason::kNoTarget, true);
  else if (result.error == target_error::kNone)
    FinishAnswered(&entry, result);
  else if (result.error == target_error::kTimeout)
    FinishFailed(id, reason::kDeadlineDuringRun);
  else if (result.error == target_error::kConnectionLost)
    FinishLost(id);
  else
    FinishFailed(id, reason::kAnswerDamaged);
  Pump(address);
}

// Tells the suspect tracker what the end of a run says about its request.
void executor::NoteEndOfRun(const execution& ended,
                            const target_result& result) {
  const time_point now = loop_->Now();
  const std::string& service = ended.call.service;
  const uint64_t fingerprint = ended.call.fingerprint;
  const bool died =
      result.error == target_error::kConnectionLost && result.may_have_run;
  if (died) {
    TellSuspects(suspects_.OnTargetDeath(service, {fingerprint}, now));
    return;
  }
  const bool survived = result.error == target_error::kNone;
  std::optional<suspect_notice> notice;
  if (ended.trial)
    notice = suspects_.EndTrial(
        service, fingerprint,
        survived ? trial_end::kSurvived : trial_end::kInconclusive, now);
  else if (survived)
    notice = suspects_.OnSurvived(service, fingerprint);
  if (notice)
    TellSuspects({*notice});
}

void executor::TellSuspects(const std::vector<suspect_notice>& notices) {
  for (const suspect_notice& notice : notices) {
    if (suspect_callback_)
      suspect_callback_(ToWire(notice));
  }
}

void executor::HandleSuspect(const fbs::suspectT& suspect) {
  if (suspects_.Merge(FromWire(suspect), loop_->Now()))
    TryParked();
}

std::vector<fbs::suspectT> executor::SuspectsOf(const std::string& service) {
  std::vector<fbs::suspectT> suspects;
  for (const suspect_notice& notice : suspects_.Snapshot(loop_->Now())) {
    if (notice.service == service)
      suspects.push_back(ToWire(notice));
  }
  return suspects;
}

void executor::Park(const request_id& id) {
  parked_.push_back(id);
  if (parked_timer_ == 0)
    parked_timer_ = loop_->RunAfter(duration::zero(), [this] {
      parked_timer_ = 0;
      TryParked();
    });
}

// Goes through the suspects that wait: each is refused, queued like any other
// or tried alone.
void executor::TryParked() {
  const time_point now = loop_->Now();
  const std::vector<request_id> waiting = std::exchange(parked_, {});
  for (const request_id& id : waiting) {
    const auto found = executions_.find(id);
    if (found == executions_.end())
      continue;
    execution& entry = found->second;
    if (entry.deadline <= now) {
      FinishRefused(id, reason::kDeadlineBeforeRun, false);
      continue;
    }
    switch (suspects_.Check(entry.call.service, entry.call.fingerprint, now)) {
      case suspect_verdict::kNormal:
        Enqueue(id);
        continue;
      case suspect_verdict::kQuarantined:
        FinishRefused(id, reason::kQuarantined, false);
        continue;
      case suspect_verdict::kWait:
        break;
      case suspect_verdict::kTrialNeeded:
        if (TryTrial(&entry))
          continue;
        break;
    }
    const duration bound = SettingsOf(entry.call.service).queue_bound;
    if (entry.arrived + bound <= now)
      FinishRefused(id, reason::kQueueTimeout, false);
    else
      parked_.push_back(id);
  }
  // Targets that were kept free for a call that is not parked any more.
  for (auto& [address, target] : targets_) {
    if (!target.exclusive)
      continue;
    const auto holder = executions_.find(*target.exclusive);
    if (holder == executions_.end() ||
        (!holder->second.trial &&
         std::find(parked_.begin(), parked_.end(), *target.exclusive) ==
             parked_.end())) {
      target.exclusive.reset();
      const std::string name = address;
      loop_->RunAfter(duration::zero(), [this, name] { Pump(name); });
    }
  }
  if (!parked_.empty() && parked_timer_ == 0)
    parked_timer_ = loop_->RunAfter(kParkedInterval, [this] {
      parked_timer_ = 0;
      TryParked();
    });
}

// Keeps a target free of other calls and runs the suspect once it is idle.
// Returns whether it was handed over or refused.
bool executor::TryTrial(execution* entry) {
  local_target* target = nullptr;
  for (auto& [address, candidate] : targets_) {
    if (candidate.exclusive == entry->id)
      target = &candidate;
  }
  if (target == nullptr) {
    target = ChooseTarget(entry->call.service);
    if (target == nullptr) {
      FinishRefused(entry->id, reason::kNoTarget, true);
      return true;
    }
    if (target->exclusive)
      return false;
    target->exclusive = entry->id;
  }
  if (target->gate->running() > 0)
    return false;
  const auto notice = suspects_.BeginTrial(
      entry->call.service, entry->call.fingerprint, loop_->Now());
  if (!notice)
    return false;
  TellSuspects({*notice});
  entry->trial = true;
  entry->target = target->announced.address;
  const request_id id = entry->id;
  HandOver(target, entry);
  const auto still_open = executions_.find(id);
  if (still_open == executions_.end()) {
    target->exclusive.reset();
    if (const auto ended =
            suspects_.EndTrial(notice->service, notice->fingerprint,
                               trial_end::kInconclusive, loop_->Now()))
      TellSuspects({*ended});
  }
  return true;
}

void executor::FinishAnswered(execution* entry, const target_result& result) {
  fbs::call_answerT answer;
  answer.id = skylarkhoist::ToWire(entry->id);
  answer.outcome = fbs::outcome::kAnswered;
  answer.ran = fbs::ran_state::kYes;
  answer.reason = static_cast<uint8_t>(reason::kOk);
  answer.status = static_cast<uint16_t>(result.response.status);
  answer.headers = skylarkhoist::ToWire(result.response.headers);
  answer.body.assign(result.response.body.begin(), result.response.body.end());
  if (options_.faults.cut_answers)
    answer.body.resize(answer.body.size() / 2);
  answer.total_length = answer.body.size();
  answer.body_checksum = BodyChecksum(answer.body);
  Finish(entry->id, std::move(answer));
}

void executor::FinishLost(const request_id& id) {
  if (options_.faults.refuse_after_run)
    FinishRefused(id, reason::kTargetLost, false);
  else
    FinishFailed(id, reason::kTargetLost);
}

void executor::FinishRefused(const request_id& id, reason why, bool local) {
  Finish(id, MakeRefusal(id, why, local));
}

void executor::FinishFailed(const request_id& id, reason why) {
  Finish(id, MakeRefusal(id, why, false, fbs::ran_state::kUnknown));
}

// The only place where an execution ends.
void executor::Finish(request_id id, fbs::call_answerT answer) {
  const auto found = executions_.find(id);
  if (found == executions_.end())
    return;
  execution& entry = found->second;
  answer.credit_left = entry.call.credit;
  if (entry.running && run_callback_)
    run_callback_(entry.call.route, false);
  const auto run = runs_.find(entry.caller_id);
  if (run != runs_.end() && run->second == id)
    runs_.erase(run);
  if (entry.running)
    answer.credit_left =
        static_cast<uint8_t>(contexts_.Revoke(id).credit.available());
  fbs::load_levelT own;
  own.service = entry.call.service;
  const auto target = targets_.find(entry.target);
  if (target != targets_.end()) {
    const target_gate& gate = *target->second.gate;
    own.permille = gate.LoadPermille();
    own.pressure = gate.PressurePermille(loop_->Now());
    own.run_us = static_cast<uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(gate.UsualRun())
            .count());
    own.cold = gate.IsCold(loop_->Now());
    answer.loads.push_back(std::make_unique<fbs::load_levelT>(own));
  }
  if (downstream_loads_) {
    for (const fbs::load_levelT& level : downstream_loads_(entry.call))
      answer.loads.push_back(std::make_unique<fbs::load_levelT>(level));
  }
  ended_.Increment(ReasonFromWire(answer.reason));
  LogEnd(entry, answer);
  const std::string origin = entry.origin.address;
  executions_.erase(found);
  const size_t bytes = answer.body.size() + kAnswerOverhead;
  auto stored = std::make_shared<const fbs::call_answerT>(std::move(answer));
  answers_.Finish(id, stored, bytes, loop_->Now());
  transport_->Send(origin, Envelope(fbs::call_answerT(*stored)));
  if (draining_ && executions_.empty() && drained_)
    std::exchange(drained_, nullptr)();
}

// One line for each call that was not answered by its target, with what
// decided that.
void executor::LogEnd(const execution& ended, const fbs::call_answerT& answer) {
  if (answer.outcome == fbs::outcome::kAnswered && answer.status < 500)
    return;
  const time_point now = loop_->Now();
  log_.Write("execution_ended", [&](bounded_log::line& line) {
    line.Add("request", CallerIdOf(ended.call));
    line.Add("reason", InfoOf(ReasonFromWire(answer.reason)).label);
    line.Add("ran", ToText(answer.ran));
    line.Add("status", static_cast<int64_t>(answer.status));
    line.Add("route", ended.call.route);
    line.Add("origin", ended.origin.address);
    line.Add("target", ended.target);
    line.Add("waited_ms", ToMilliseconds((ended.running ? ended.started : now) -
                                         ended.arrived));
    line.Add("ran_ms", ended.running ? ToMilliseconds(now - ended.started) : 0);
    line.Add("time_left_ms", ToMilliseconds(ended.deadline - now));
    const auto target = targets_.find(ended.target);
    if (target == targets_.end())
      return;
    line.Add("running", static_cast<int64_t>(target->second.gate->running()));
    line.Add("waiting", static_cast<int64_t>(target->second.gate->waiting()));
    line.Add("limit", target->second.gate->limit());
    line.Add("announced_ms_ago",
             ToMilliseconds(now - target->second.announced_at));
  });
}

const fbs::call_requestT* executor::FindRun(
    const std::string& caller_id) const {
  const auto run = runs_.find(caller_id);
  return run == runs_.end() ? nullptr : &executions_.at(run->second).call;
}

std::string executor::CallerIdOf(const fbs::call_requestT& call) const {
  http_request request;
  request.headers = skylarkhoist::FromWire(call.headers);
  const std::string id = options_.dialect->Read(request).caller_id;
  return id.empty() ? ToText(skylarkhoist::FromWire(call.id)) : id;
}

void executor::HandleCancel(const fbs::call_cancelT& cancel) {
  const request_id id = skylarkhoist::FromWire(cancel.id);
  const auto found = executions_.find(id);
  if (found == executions_.end())
    return;
  execution& entry = found->second;
  const auto target = targets_.find(entry.target);
  if (!entry.running) {
    if (target != targets_.end())
      target->second.gate->Remove(id);
    FinishRefused(id, reason::kCallerGone, false);
    return;
  }
  // A run that may not be repeated goes on, so that its result is known when
  // the caller asks again.
  if (!entry.call.repeatable)
    return;
  target_client_->Cancel(entry.target_call);
  const std::string address = entry.target;
  target_result cancelled;
  cancelled.error = target_error::kTimeout;
  NoteEndOfRun(entry, cancelled);
  if (target != targets_.end()) {
    if (entry.trial)
      target->second.exclusive.reset();
    else
      target->second.gate->OnFinished(id, gate_result::kCancelled,
                                      loop_->Now());
  }
  FinishFailed(id, reason::kCallerGone);
  Pump(address);
}

void executor::HandleQuery(const peer_info& from,
                           const fbs::call_queryT& query) {
  const request_id id = skylarkhoist::FromWire(query.id);
  const auto known = answers_.Query(id, loop_->Now());
  fbs::call_stateT state;
  state.id = skylarkhoist::ToWire(id);
  switch (known.progress) {
    case call_progress::kNeverSeen:
      state.stage = fbs::call_stage::kNeverSeen;
      break;
    case call_progress::kQueued:
      state.stage = fbs::call_stage::kQueued;
      break;
    case call_progress::kRunning:
      state.stage = fbs::call_stage::kRunning;
      break;
    case call_progress::kFinished:
    case call_progress::kForgotten:
      // Finished without an answer tells the entry that the result is lost.
      state.stage = fbs::call_stage::kFinished;
      if (known.stored != nullptr)
        state.answer = std::make_unique<fbs::call_answerT>(*known.stored);
      break;
  }
  transport_->Send(from.address, Envelope(std::move(state)));
}

void executor::OnChildStart(const request_id& parent) {
  const auto found = executions_.find(parent);
  if (found == executions_.end())
    return;
  execution& entry = found->second;
  entry.made_child_calls = true;
  if (entry.open_children++ == 0)
    entry.children_since = loop_->Now();
}

void executor::OnChildEnd(const request_id& parent, bool failed) {
  const auto found = executions_.find(parent);
  if (found == executions_.end())
    return;
  execution& entry = found->second;
  entry.child_failed = entry.child_failed || failed;
  if (--entry.open_children == 0)
    entry.child_time += loop_->Now() - entry.children_since;
}

void executor::StopAccepting() {
  draining_ = true;
  std::vector<std::string> addresses;
  for (const auto& [address, target] : targets_)
    addresses.push_back(address);
  for (const std::string& address : addresses)
    EmptyQueue(address, reason::kDraining);
  for (const request_id& id : std::exchange(parked_, {}))
    FinishRefused(id, reason::kDraining, true);
}

void executor::Drain(std::function<void()> drained) {
  if (executions_.empty())
    drained();
  else
    drained_ = std::move(drained);
}

}  // namespace skylarkhoist
