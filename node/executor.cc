#include "node/executor.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

constexpr duration kHeldSuspectCheckInterval = std::chrono::milliseconds(10);

// Estimated bytes that an answer takes in the cache in addition to its body.
constexpr size_t kAnswerOverheadBytes = 512;

suspect_notice FromWire(const fbs::suspectT& message) {
  suspect_notice notice;
  notice.service = message.service;
  notice.fingerprint = message.fingerprint;
  notice.status = static_cast<suspect_status>(message.state);
  notice.crashes = message.deaths;
  notice.time_left = std::chrono::milliseconds(message.time_left_ms);
  return notice;
}

fbs::suspectT ToWire(const suspect_notice& notice) {
  fbs::suspectT message;
  message.service = notice.service;
  message.fingerprint = notice.fingerprint;
  message.state = static_cast<fbs::suspect_state>(notice.status);
  message.deaths = static_cast<uint8_t>(notice.crashes);
  message.time_left_ms =
      static_cast<uint32_t>(ToMilliseconds(notice.time_left));
  return message;
}

target_run RunOf(const target_announcement& announcement) {
  return {announcement.id, announcement.generation};
}

// Returns null when the target has said nothing special.
std::unique_ptr<fbs::target_reportT> ToWire(const target_run& run,
                                            const target_status& status) {
  if (status == target_status())
    return nullptr;
  auto report = std::make_unique<fbs::target_reportT>();
  report->id = run.id;
  report->generation = run.generation;
  report->max_calls_per_second = status.max_calls_per_second.value_or(-1);
  report->leaving = status.leaving;
  return report;
}

uint32_t ToWireMicros(duration value) {
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(value).count();
  return static_cast<uint32_t>(
      std::clamp<int64_t>(micros, 0, std::numeric_limits<uint32_t>::max()));
}

uint32_t SpeedMilli(const target_scheduler& gate, time_point now) {
  return static_cast<uint32_t>(
      std::min(gate.Speed(now) * 1000, double{1U << 31U}));
}

std::string ToText(const std::optional<double>& rate) {
  return rate ? std::to_string(*rate) : "none";
}

// Minimum time that an admitted call may wait, whatever its target latency.
constexpr duration kMinCallWait = std::chrono::milliseconds(100);

// The losses of a crash are noticed within this time.
constexpr duration kCrashReportDelay = std::chrono::milliseconds(100);

constexpr int kMinServerErrorStatus = 500;

// Rate limit on one node's log lines about ended executions.
constexpr double kLoggedExecutionsPerSecond = 50;

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
      ended_executions_(
          counters,
          "skylarkhoist_executions_total",
          "Calls at the node beside their target by how they ended"),
      sent_to_target_(counters->Counter("skylarkhoist_handed_over_total",
                                        "Calls handed over to a target")),
      duplicate_calls_(counters->Counter("skylarkhoist_duplicate_calls_total",
                                         "Calls that arrived a second time")),
      damaged_calls_(counters->Counter("skylarkhoist_damaged_calls_total",
                                       "Calls with a wrong checksum")),
      spoiled_responses_(counters->Counter(
          "skylarkhoist_spoiled_responses_total",
          "Responses in place of which a target sent other bytes")),
      stale_announcements_(counters->Counter(
          "skylarkhoist_old_announcements_total",
          "Announcements of targets that were dropped as old")),
      queue_wait_(counters->Histogram(
          "skylarkhoist_queue_seconds",
          "Time between arrival and hand-over of a call",
          {0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1})),
      counters_(counters),
      log_(loop, "executor", kLoggedExecutionsPerSecond) {
  target_expiry_timer_ =
      loop_->RunAfter(std::chrono::seconds(1), [this] { ExpireTargets(); });
}

executor::~executor() {
  loop_->Cancel(target_expiry_timer_);
  loop_->Cancel(held_suspects_timer_);
  loop_->Cancel(departure_reports_timer_);
  for (auto& [address, target] : targets_) {
    loop_->Cancel(target.dispatch_timer);
    loop_->Cancel(target.crash_timer);
  }
  for (auto& [id, execution] : executions_) {
    if (execution.running)
      target_client_->Cancel(execution.target_call);
  }
}

service_config executor::ServiceSettings(const std::string& service) const {
  const auto found = config_->services.find(service);
  if (found != config_->services.end())
    return found->second;
  service_config fallback;
  fallback.name = service;
  return fallback;
}

service_config executor::GateSettings(const target_announcement& target) const {
  service_config settings = ServiceSettings(target.service);
  if (target.slots > 0) {
    settings.max_limit = std::max(
        1, static_cast<int>(target.slots * options_.usable_slot_share));
  }
  return settings;
}

bool executor::IsStale(const local_target& target,
                       const target_announcement& announcement) const {
  if (announcement.generation == 0)
    return false;
  if (announcement.generation != target.announcement.generation)
    return announcement.generation < target.announcement.generation;
  return announcement.id == target.announcement.id &&
         announcement.sequence <= target.announcement.sequence;
}

void executor::SetConfig(std::shared_ptr<const config_view> config) {
  const uint64_t previous_returns = ZoneReturns();
  config_ = std::move(config);
  for (auto& [address, target] : targets_)
    target.gate->UpdateSettings(GateSettings(target.announcement));
  std::vector<std::string> addresses;
  for (const auto& [address, target] : targets_)
    addresses.push_back(address);
  for (const std::string& address : addresses) {
    if (!IsInService(targets_.at(address)))
      RefuseQueued(address, reason::kNoTarget);
    // The zone may have been out of service for a time of which this node has
    // not heard.
    if (ZoneReturns() != previous_returns)
      EndUse(&targets_.at(address));
  }
  OnServiceChange();
}

bool executor::HandleAnnouncement(const target_announcement& announcement) {
  const time_point now = loop_->Now();
  if (departures_.IsOutdated(RunOf(announcement), announcement.sequence, now)) {
    stale_announcements_.Increment();
    return false;
  }
  auto [found, inserted] = targets_.try_emplace(announcement.address);
  local_target& target = found->second;
  const bool same_run =
      target.announcement.id == announcement.id &&
      target.announcement.generation == announcement.generation;
  if (!inserted && IsStale(target, announcement)) {
    stale_announcements_.Increment();
    return false;
  }
  const bool restarted =
      inserted || target.down || target.announcement.id != announcement.id ||
      target.announcement.generation != announcement.generation ||
      target.announcement.service != announcement.service ||
      (target.announcement.state != fbs::member_state::kServing &&
       announcement.state == fbs::member_state::kServing);
  const bool changed = restarted ||
                       target.announcement.state != announcement.state ||
                       target.announcement.version != announcement.version ||
                       (!knows_departures_ && !target.announced_again);
  if (!inserted && !same_run)
    ReportCrash(&target);
  // An announcement after missing ones may be late like them.
  if (!inserted && (restarted || IsOverdue(target, now)))
    EndUse(&target);
  target.announcement = announcement;
  target.announced_at = now;
  target.down = false;
  target.announced_again = !inserted && same_run;
  const service_config settings = GateSettings(announcement);
  if (inserted) {
    target.gate =
        std::make_unique<target_scheduler>(settings, now, options_.plugins);
    target.cold = std::make_unique<cold_guard>(
        loop_, target_client_, options_.dialect, counters_,
        announcement.address, target.gate.get(),
        [this, address = announcement.address] { DispatchQueued(address); });
  } else if (restarted) {
    target.gate->ResetCold(now);
  }
  target.gate->UpdateSettings(settings);
  if (!same_run)
    target.cold->OnNewRun(announcement.id);
  target.cold->OnAnnouncement(announcement.cold_remaining);
  UpdateStatus(&target, "announcement");
  if (!changed) {
    UpdateUse(&target);
    return true;
  }
  if (announcement.state == fbs::member_state::kDraining)
    RecordDeparture({RunOf(announcement), announcement.sequence, false});
  LogStateChange(
      "executor", "target_announced",
      {{"service", announcement.service},
       {"address", announcement.address},
       {"id", announcement.id},
       {"lifetime", std::to_string(announcement.generation)},
       {"sequence", std::to_string(announcement.sequence)},
       {"cold_ms", std::to_string(ToMilliseconds(announcement.cold_remaining))},
       {"state", std::string(ToText(announcement.state))}});
  if (!IsInService(target))
    RefuseQueued(announcement.address, reason::kNoTarget);
  OnServiceChange();
  return true;
}

bool executor::HandleDeparture(const std::string& id, int64_t generation) {
  for (auto& [address, target] : targets_) {
    if (target.announcement.id != id ||
        (generation != 0 && generation < target.announcement.generation))
      continue;
    target.announcement.state = fbs::member_state::kGone;
    RecordDeparture(
        {RunOf(target.announcement), target.announcement.sequence, true});
    LogStateChange("executor", "target_departed",
                   {{"service", target.announcement.service},
                    {"address", address},
                    {"id", id}});
    RefuseQueued(address, reason::kNoTarget);
    OnServiceChange();
    return true;
  }
  // Its announcements may still arrive at this process, which may be new.
  if (generation != 0)
    RecordDeparture({{id, generation}, 0, true});
  return false;
}

void executor::RecordDeparture(const target_departure& departure) {
  // Without these, a later run of the target could not be told apart.
  if (departure.run.id.empty() || departure.run.generation == 0)
    return;
  if (departures_.Record(departure, loop_->Now()) && on_departure_)
    on_departure_();
}

void executor::AwaitDepartures(duration report_time) {
  const time_point now = loop_->Now();
  knows_departures_ = false;
  departure_reports_until_ =
      std::max(departure_reports_until_, now + report_time);
  loop_->Cancel(departure_reports_timer_);
  departure_reports_timer_ =
      loop_->RunAfter(departure_reports_until_ - now, [this] {
        departure_reports_timer_ = 0;
        OnServiceChange();
      });
}

void executor::SetDepartures(const std::vector<target_departure>& departures) {
  knows_departures_ = true;
  AddDepartures(departures);
  OnServiceChange();
}

bool executor::AddDepartures(const std::vector<target_departure>& departures) {
  const time_point now = loop_->Now();
  bool added = false;
  for (const target_departure& departure : departures)
    added = departures_.Record(departure, now) || added;
  if (!added)
    return false;
  for (auto& [address, target] : targets_) {
    target_announcement& last = target.announcement;
    if (last.state != fbs::member_state::kServing ||
        !departures_.IsOutdated(RunOf(last), last.sequence, now))
      continue;
    last.state = fbs::member_state::kDraining;
    LogStateChange(
        "executor", "target_departed",
        {{"service", last.service}, {"address", address}, {"id", last.id}});
    RefuseQueued(address, reason::kNoTarget);
  }
  OnServiceChange();
  return true;
}

bool executor::IsInService(const local_target& target) const {
  // Checks the age at each use: after a pause of the process, calls arrive
  // before the timer that expires targets, and the last announcement may be out
  // of date.
  const time_point now = loop_->Now();
  const bool may_have_left =
      !knows_departures_ &&
      (!target.announced_again || now < departure_reports_until_);
  if (target.down || target.status.leaving || may_have_left ||
      target.announcement.state != fbs::member_state::kServing ||
      target.announced_at + options_.announcement_timeout < now)
    return false;
  const auto service = config_->services.find(target.announcement.service);
  return service == config_->services.end() ||
         (service->second.in_service &&
          service->second.out_of_service_targets.count(
              target.announcement.address) == 0);
}

bool executor::IsZoneOut() const {
  return config_->out_of_service_zones.count(options_.zone) > 0;
}

uint64_t executor::ZoneReturns() const {
  const auto found = config_->zone_returns.find(options_.zone);
  return found == config_->zone_returns.end() ? 0 : found->second;
}

// Whether announcements are missing: the target may have restarted, or this
// process may have been paused.
bool executor::IsOverdue(const local_target& target, time_point now) const {
  return target.cold->known_at() + options_.announcement_timeout / 2 < now;
}

void executor::OnServiceChange() {
  for (auto& [address, target] : targets_)
    UpdateUse(&target);
  if (on_targets_changed_)
    on_targets_changed_();
}

// A target that got no calls may have turned cold since its last announcement.
void executor::UpdateUse(local_target* target) {
  const bool in_use = IsInService(*target) && !IsZoneOut() &&
                      config_->services.count(target->announcement.service) > 0;
  if (in_use == target->in_use)
    return;
  if (in_use) {
    target->in_use = true;
    SuspectCold(target);
  } else {
    EndUse(target);
  }
}

void executor::EndUse(local_target* target) {
  target->in_use = false;
  target->cold->StopAsking();
}

// Limits the target to its cold rate until it has told whether it is cold, if
// it can be asked.
void executor::SuspectCold(local_target* target) {
  const auto service = config_->services.find(target->announcement.service);
  if (service != config_->services.end() &&
      service->second.cold_per_second > 0 &&
      !service->second.health_path.empty())
    target->cold->Suspect(service->second.health_path);
}

void executor::HandleTargetReport(const fbs::target_reportT& report) {
  target_status status;
  if (std::isfinite(report.max_calls_per_second) &&
      report.max_calls_per_second >= 0)
    status.max_calls_per_second = report.max_calls_per_second;
  status.leaving = report.leaving;
  target_statuses_.OnReport({report.id, report.generation}, status,
                            loop_->Now());
  for (auto& [address, target] : targets_) {
    if (target.announcement.id == report.id)
      UpdateStatus(&target, "peer");
  }
}

void executor::UpdateStatus(local_target* target, const char* source) {
  const target_status status =
      target_statuses_.StatusOf(RunOf(target->announcement));
  if (status == target->status)
    return;
  const target_status previous = std::exchange(target->status, status);
  LogStateChange("executor", "target_status",
                 {{"address", target->announcement.address},
                  {"id", target->announcement.id},
                  {"source", source},
                  {"calls_per_second", ToText(status.max_calls_per_second)},
                  {"previous", ToText(previous.max_calls_per_second)},
                  {"leaving", status.leaving ? "yes" : "no"}});
  target->gate->SetNamedLimit(status.max_calls_per_second, loop_->Now());
  if (status.leaving != previous.leaving) {
    RefuseQueued(target->announcement.address, reason::kNoTarget);
    OnServiceChange();
  }
}

std::vector<fbs::target_entryT> executor::DescribeTargets() const {
  std::vector<fbs::target_entryT> entries;
  for (const auto& [address, target] : targets_) {
    fbs::target_entryT entry;
    entry.service = target.announcement.service;
    entry.address = address;
    entry.state = IsInService(target) ? fbs::member_state::kServing
                                      : std::max(target.announcement.state,
                                                 fbs::member_state::kDraining);
    entry.load_permille = target.gate->LoadPermille(loop_->Now());
    entry.limit = static_cast<uint32_t>(target.gate->limit());
    entry.speed_milli = SpeedMilli(*target.gate, loop_->Now());
    entry.expected_us = ToWireMicros(target.gate->ExpectedTime(loop_->Now()));
    entry.version = target.announcement.version;
    entries.push_back(std::move(entry));
  }
  return entries;
}

void executor::PublishCapacities() {
  const time_point now = loop_->Now();
  for (auto& [address, target] : targets_) {
    const target_scheduler& gate = *target.gate;
    const metric_labels labels = {{"service", target.announcement.service}};
    counters_
        ->Gauge("skylarkhoist_target_limit",
                "Concurrent calls that the local target may get", labels)
        .Set(gate.limit());
    counters_
        ->Gauge("skylarkhoist_target_calls_per_second",
                "Calls per second that the local target completes at its limit",
                labels)
        .Set(gate.Speed(now));
    counters_
        ->Gauge("skylarkhoist_target_work_seconds",
                "Time of the local target's own work for an average call",
                labels)
        .Set(std::chrono::duration<double>(gate.WorkTime(now)).count());
    // Limits under trial last only for some calls.
    if (gate.limit() == target.logged_limit || gate.LimitState() == "trial")
      continue;
    const int previous = std::exchange(target.logged_limit, gate.limit());
    if (previous == 0)
      continue;
    counters_
        ->Counter("skylarkhoist_target_limit_changes_total",
                  "Changes of the local target's limit", labels)
        .Increment();
    LogStateChange(
        "executor", "target_limit",
        {{"service", target.announcement.service},
         {"address", address},
         {"limit", std::to_string(gate.limit())},
         {"previous", std::to_string(previous)},
         {"state", std::string(gate.LimitState())},
         {"work_ms", std::to_string(ToMilliseconds(gate.WorkTime(now)))}});
  }
}

// Marks targets that no longer announce themselves as down and drops those
// without running calls.
void executor::ExpireTargets() {
  const time_point min_announced_at =
      loop_->Now() - options_.announcement_timeout;
  std::vector<std::string> expired;
  for (const auto& [address, target] : targets_) {
    if (target.announced_at < min_announced_at)
      expired.push_back(address);
  }
  for (const std::string& address : expired) {
    MarkDown(address);
    local_target& target = targets_.at(address);
    if (target.gate->running() == 0 && !target.reserved_for) {
      ReportCrash(&target);
      loop_->Cancel(target.dispatch_timer);
      targets_.erase(address);
    }
  }
  if (!expired.empty())
    OnServiceChange();
  target_expiry_timer_ =
      loop_->RunAfter(std::chrono::seconds(1), [this] { ExpireTargets(); });
}

void executor::MarkDown(const std::string& address) {
  local_target& target = targets_.at(address);
  if (target.down)
    return;
  target.down = true;
  LogStateChange(
      "executor", "target_down",
      {{"service", target.announcement.service}, {"address", address}});
  RefuseQueued(address, reason::kNoTarget);
  OnServiceChange();
}

void executor::RefuseQueued(const std::string& address, reason why) {
  for (const request_id& id : targets_.at(address).gate->RemoveAll())
    FinishRefused(id, why, true);
}

// Checks the conditions that can forbid a run at any time, at arrival and again
// before the call is sent to the target.
std::optional<reason> executor::CheckBeforeRun(const fbs::call_requestT& call,
                                               time_point /*now*/) const {
  if (IsZoneOut())
    return reason::kZoneOut;
  if (call.key_id.empty())
    return std::nullopt;
  const auto key = config_->keys.find(call.key_id);
  // A node that has not seen the key yet trusts the entry node; one that has
  // seen its withdrawal refuses.
  if (key != config_->keys.end() && key->second.withdrawn)
    return reason::kKeyWithdrawn;
  const auto customer = config_->customers.find(call.customer);
  if (customer != config_->customers.end() && !customer->second.enabled)
    return reason::kCustomerDisabled;
  return std::nullopt;
}

// The sender names the version that it has chosen, since a target of another
// version may have started beside this node meanwhile.
bool executor::MayRun(const local_target& target,
                      const fbs::call_requestT& call) const {
  const std::string& version = target.announcement.version;
  if (!call.required_version.empty())
    return version == call.required_version;
  if (version.empty())
    return true;
  return version != call.excluded_version &&
         (!requires_permission_ ||
          !requires_permission_(target.announcement.service, version));
}

executor::local_target* executor::ChooseTarget(const fbs::call_requestT& call) {
  const time_point now = loop_->Now();
  local_target* best = nullptr;
  for (auto& [address, target] : targets_) {
    if (target.announcement.service != call.service || !IsInService(target) ||
        !MayRun(target, call))
      continue;
    if (best == nullptr ||
        target.gate->LoadPermille(now) < best->gate->LoadPermille(now))
      best = &target;
  }
  return best;
}

void executor::HandleCall(const peer_info& from, fbs::call_requestT received) {
  const time_point now = loop_->Now();
  const request_id id = skylarkhoist::FromWire(received.id);
  if (received.target != nullptr)
    HandleTargetReport(*received.target);
  switch (answers_.RecordArrival(id, now)) {
    case call_arrival::kNew:
      break;
    case call_arrival::kDuplicate:
      duplicate_calls_.Increment();
      return;
    case call_arrival::kFenced:
      transport_->Send(from.address, MakeEnvelope(MakeErrorAnswer(
                                         id, reason::kLinkLost, true)));
      return;
    case call_arrival::kForgotten:
      transport_->Send(from.address, MakeEnvelope(MakeErrorAnswer(
                                         id, reason::kLinkLost, false,
                                         fbs::ran_state::kUnknown)));
      return;
  }
  open_execution execution;
  execution.id = id;
  execution.origin = from;
  execution.call = std::move(received);
  execution.arrived_at = now;
  execution.deadline =
      now + std::chrono::milliseconds(execution.call.deadline_left_ms);
  const fbs::call_requestT& call =
      executions_.emplace(id, std::move(execution)).first->second.call;
  if (call.body_checksum != BodyChecksum(call.body)) {
    damaged_calls_.Increment();
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
  if (verdict == suspect_verdict::kQuarantined || IsQuarantined(call))
    FinishRefused(id, reason::kQuarantined, false);
  else if (verdict == suspect_verdict::kNormal)
    Enqueue(id);
  else
    HoldSuspect(id);
}

void executor::Enqueue(const request_id& id) {
  const time_point now = loop_->Now();
  open_execution& execution = executions_.at(id);
  local_target* target = ChooseTarget(execution.call);
  if (target == nullptr) {
    FinishRefused(id, reason::kNoTarget, true);
    return;
  }
  queued_call queued_call;
  queued_call.id = id;
  queued_call.priority = PriorityFromWire(execution.call.priority_class);
  queued_call.admitted = execution.call.admitted;
  queued_call.customer = execution.call.customer;
  queued_call.weight = execution.call.weight_permille / 1000.0;
  queued_call.deadline = execution.deadline;
  // A call that waits longer makes its parent miss its target latency in any
  // case, and occupies its parent's slot meanwhile.
  queued_call.wait_until =
      now + std::max(kMinCallWait, duration(std::chrono::milliseconds(
                                       execution.call.target_left_ms)));
  queued_call.kind = std::hash<std::string>()(execution.call.route);
  execution.target_address = target->announcement.address;
  const std::string address = execution.target_address;
  if (const auto why = target->gate->Enqueue(queued_call, loop_->Now())) {
    FinishRefused(id, *why, *why != reason::kDeadlineBeforeRun);
    return;
  }
  DispatchQueued(address);
}

// Sends the calls that the scheduler admits and refuses those that it dropped.
void executor::DispatchQueued(const std::string& address) {
  const time_point now = loop_->Now();
  const auto found = targets_.find(address);
  if (found == targets_.end())
    return;
  local_target& target = found->second;
  if (target.in_use && IsOverdue(target, now))
    SuspectCold(&target);
  while (!target.reserved_for && IsInService(target)) {
    const auto next = target.gate->TakeNext(now);
    if (!next)
      break;
    SendToTarget(&target, &executions_.at(next->id));
  }
  for (const refused_call& refusal : target.gate->TakeRefused(now))
    FinishRefused(refusal.id, refusal.why,
                  refusal.why != reason::kDeadlineBeforeRun);
  ScheduleDispatch(address);
}

void executor::ScheduleDispatch(const std::string& address) {
  local_target& target = targets_.at(address);
  loop_->Cancel(target.dispatch_timer);
  target.dispatch_timer = 0;
  const auto next = target.gate->NextWakeup(loop_->Now());
  if (!next)
    return;
  target.dispatch_timer =
      loop_->RunAfter(*next - loop_->Now(), [this, address] {
        const auto found = targets_.find(address);
        if (found == targets_.end())
          return;
        found->second.dispatch_timer = 0;
        DispatchQueued(address);
      });
}

void executor::SendToTarget(local_target* target, open_execution* execution) {
  const time_point now = loop_->Now();
  const request_id id = execution->id;
  auto refused = CheckBeforeRun(execution->call, now);
  if (!refused && execution->deadline <= now)
    refused = reason::kDeadlineBeforeRun;
  if (!refused && IsQuarantined(execution->call))
    refused = reason::kQuarantined;
  // The target may have restarted with another version while the call waited.
  if (!refused && !MayRun(*target, execution->call))
    refused = reason::kNoTarget;
  if (refused) {
    if (!execution->is_trial)
      target->gate->OnFinished(id, call_outcome::kCancelled, now);
    FinishRefused(
        id, *refused,
        *refused == reason::kZoneOut || *refused == reason::kNoTarget);
    return;
  }
  if (!execution->is_trial && options_.track_suspects &&
      suspects_.Check(execution->call.service, execution->call.fingerprint,
                      now) != suspect_verdict::kNormal) {
    target->gate->OnFinished(id, call_outcome::kCancelled, now);
    HoldSuspect(id);
    return;
  }
  call_context context;
  context.parent = id;
  context.customer = execution->call.customer;
  context.key_id = execution->call.key_id;
  context.deadline = execution->deadline;
  context.credit = retry_credit(execution->call.credit);
  context.priority = PriorityFromWire(execution->call.priority_class);
  context.depth = execution->call.depth;
  context.weight = execution->call.weight_permille / 1000.0;

  http_request request;
  request.method = execution->call.method;
  request.path = execution->call.path;
  request.headers = skylarkhoist::FromWire(execution->call.headers);
  target_request_metadata metadata;
  metadata.customer = execution->call.customer;
  metadata.caller_service = execution->call.caller_service;
  metadata.target_id = target->announcement.id;
  metadata.context_token = contexts_.Issue(std::move(context));
  metadata.time_left = execution->deadline - now;
  execution->caller_id = options_.dialect->ReadMetadata(request).caller_id;
  if (!execution->caller_id.empty())
    runs_by_caller_id_[execution->caller_id] = id;
  options_.dialect->AddTargetHeaders(metadata, &request.headers);
  execution->running = true;
  execution->started_at = now;
  execution->run = RunOf(target->announcement);
  if (on_run_)
    on_run_(execution->call.route, true);
  queue_wait_.Observe(
      std::chrono::duration<double>(now - execution->arrived_at).count());
  answers_.MarkRunning(id);
  sent_to_target_.Increment();
  // Nothing uses the body once the request is sent.
  execution->target_call = target_client_->CallWithBody(
      target->announcement.address, std::move(request),
      std::move(execution->call.body), execution->deadline - now,
      [this, id](const target_result& result) { OnTargetResult(id, result); });
}

// Classifies the end of a run by what it says about the target itself. Failures
// of downstream services say nothing about it.
call_outcome executor::GateResultOf(const open_execution& ended,
                                    const target_result& result,
                                    bool refused_by_target) {
  if (refused_by_target)
    return call_outcome::kShed;
  if (result.error == target_error::kNone && result.response.status < 500)
    return call_outcome::kSuccess;
  const bool waited_for_child =
      ended.open_child_calls > 0 || ended.child_call_failed;
  if (result.error == target_error::kConnectRefused || waited_for_child)
    return call_outcome::kCancelled;
  return call_outcome::kError;
}

void executor::OnTargetResult(const request_id& id,
                              const target_result& result) {
  const auto found = executions_.find(id);
  if (found == executions_.end())
    return;
  open_execution& execution = found->second;
  if (result.error == target_error::kNone &&
      !options_.dialect->IsAnswerTo(execution.caller_id, result.response)) {
    spoiled_responses_.Increment();
    target_result spoiled;
    spoiled.error = target_error::kMalformed;
    OnTargetResult(id, spoiled);
    return;
  }
  const std::string address = execution.target_address;
  const run_outcome outcome =
      result.error == target_error::kNone
          ? options_.dialect->ClassifyResponse(result.response,
                                               execution.made_child_calls)
          : run_outcome::kRan;
  const bool refused_by_target = outcome != run_outcome::kRan;
  const bool not_run = refused_by_target || !result.may_have_run;
  if (options_.track_suspects)
    UpdateSuspects(execution, result);
  const auto target = targets_.find(address);
  if (options_.quarantine_crashing_requests)
    ObserveCrashes(target == targets_.end() ? nullptr : &target->second,
                   execution, result, outcome);
  if (target != targets_.end()) {
    if (!execution.is_trial)
      target->second.gate->OnFinished(
          id, GateResultOf(execution, result, refused_by_target), loop_->Now(),
          execution.child_call_time);
    else
      target->second.reserved_for.reset();
    if (result.error == target_error::kConnectionLost ||
        result.error == target_error::kConnectRefused)
      target->second.gate->OnConnectionLost(loop_->Now());
    if (result.error == target_error::kConnectRefused ||
        outcome == run_outcome::kWrongTarget)
      MarkDown(address);
    // All connections end with the process, so it may have restarted.
    else if (result.error == target_error::kConnectionLost &&
             target->second.in_use && target->second.gate->running() == 0)
      SuspectCold(&target->second);
    if (result.error == target_error::kNone &&
        outcome != run_outcome::kWrongTarget)
      RecordStatus(&target->second, execution, result.response);
  }
  if (outcome == run_outcome::kShed)
    FinishRefused(id, reason::kShedByTarget, true);
  else if (not_run)
    FinishRefused(id, reason::kNoTarget, true);
  else if (result.error == target_error::kNone)
    FinishAnswered(&execution, result);
  else if (result.error == target_error::kTimeout)
    FinishFailed(id, reason::kDeadlineDuringRun);
  else if (result.error == target_error::kConnectionLost)
    FinishLost(id);
  else
    FinishFailed(id, reason::kAnswerDamaged);
  DispatchQueued(address);
}

void executor::RecordStatus(local_target* target,
                            const open_execution& ended,
                            const http_response& response) {
  // The target may have restarted since; this says nothing of its new run.
  target_statuses_.OnResponse(ended.run,
                              options_.dialect->ReadTargetStatus(response),
                              ended.started_at, loop_->Now());
  UpdateStatus(target, "response");
}

// Reports the end of a run to the suspect tracker.
void executor::UpdateSuspects(const open_execution& ended,
                              const target_result& result) {
  const time_point now = loop_->Now();
  const std::string& service = ended.call.service;
  const uint64_t fingerprint = ended.call.fingerprint;
  const bool target_died =
      result.error == target_error::kConnectionLost && result.may_have_run;
  if (target_died) {
    SendSuspectNotices(suspects_.OnTargetCrash(service, {fingerprint}, now));
    return;
  }
  const bool survived = result.error == target_error::kNone;
  std::optional<suspect_notice> notice;
  if (ended.is_trial)
    notice = suspects_.EndTrial(
        service, fingerprint,
        survived ? trial_result::kPassed : trial_result::kInconclusive, now);
  else if (survived)
    notice = suspects_.OnRunCompleted(service, fingerprint);
  if (notice)
    SendSuspectNotices({*notice});
}

bool executor::IsQuarantined(const fbs::call_requestT& call) {
  return options_.quarantine_crashing_requests &&
         quarantine_.IsQuarantined(call.service, call.fingerprint,
                                   loop_->Now());
}

void executor::ObserveCrashes(local_target* target,
                              const open_execution& ended,
                              const target_result& result,
                              run_outcome outcome) {
  const std::string& service = ended.call.service;
  const uint64_t fingerprint = ended.call.fingerprint;
  const bool same_run = target != nullptr &&
                        ended.run.id == target->announcement.id &&
                        ended.run.generation == target->announcement.generation;
  if (result.error == target_error::kNone) {
    if (same_run)
      target->crashes.OnResponse(ended.started_at);
    if (outcome == run_outcome::kRan &&
        quarantine_.OnRunCompleted(service, fingerprint) && on_suspect_) {
      suspect_notice cleared;
      cleared.service = service;
      cleared.fingerprint = fingerprint;
      cleared.status = suspect_status::kCleared;
      on_suspect_(ToWire(cleared));
    }
  } else if (!same_run) {
    return;
  } else if (result.error == target_error::kConnectionLost &&
             result.may_have_run) {
    target->crashes.OnRunLost({fingerprint, ended.started_at, loop_->Now()});
  } else if (result.error == target_error::kConnectRefused) {
    ScheduleCrashReport(target);
  }
}

void executor::ScheduleCrashReport(local_target* target) {
  if (target->crash_timer != 0)
    return;
  target->crash_timer = loop_->RunAfter(
      kCrashReportDelay, [this, address = target->announcement.address] {
        local_target& crashed = targets_.at(address);
        crashed.crash_timer = 0;
        ReportCrash(&crashed);
      });
}

// Counts the requests that the target was running when its process ended,
// unless it ended as planned.
void executor::ReportCrash(local_target* target) {
  loop_->Cancel(std::exchange(target->crash_timer, 0));
  const time_point now = loop_->Now();
  const std::string& service = target->announcement.service;
  const std::vector<run_in_crash> runs = target->crashes.TakeRunsInCrash(now);
  if (runs.empty() || target->status.leaving ||
      target->announcement.state != fbs::member_state::kServing)
    return;
  LogStateChange("executor", "target_crashed",
                 {{"service", service},
                  {"address", target->announcement.address},
                  {"runs", std::to_string(runs.size())}});
  quarantine_.OnCrash(service, runs, now);
  if (!on_target_crash_)
    return;
  fbs::target_crashT crash;
  crash.service = service;
  for (const run_in_crash& run : runs) {
    auto item = std::make_unique<fbs::crashed_runT>();
    item->fingerprint = run.fingerprint;
    item->started_ms_ago =
        static_cast<uint32_t>(ToMilliseconds(now - run.started_at));
    item->lost_ms_ago =
        static_cast<uint32_t>(ToMilliseconds(now - run.lost_at));
    crash.runs.push_back(std::move(item));
  }
  on_target_crash_(crash);
}

void executor::HandleTargetCrash(const fbs::target_crashT& crash) {
  const time_point now = loop_->Now();
  std::vector<run_in_crash> runs;
  for (const auto& item : crash.runs) {
    if (item != nullptr)
      runs.push_back({item->fingerprint,
                      now - std::chrono::milliseconds(item->started_ms_ago),
                      now - std::chrono::milliseconds(item->lost_ms_ago)});
  }
  quarantine_.OnCrash(crash.service, runs, now);
}

std::vector<fbs::suspectT> executor::QuarantinedRequests() {
  std::vector<fbs::suspectT> requests;
  for (const quarantined_request& request :
       quarantine_.Quarantined(loop_->Now())) {
    suspect_notice notice;
    notice.service = request.service;
    notice.fingerprint = request.fingerprint;
    notice.status = suspect_status::kQuarantined;
    notice.time_left = request.time_left;
    requests.push_back(ToWire(notice));
  }
  return requests;
}

void executor::SendSuspectNotices(const std::vector<suspect_notice>& notices) {
  for (const suspect_notice& notice : notices) {
    if (on_suspect_)
      on_suspect_(ToWire(notice));
  }
}

void executor::HandleSuspect(const fbs::suspectT& suspect) {
  if (options_.quarantine_crashing_requests) {
    if (suspect.state == fbs::suspect_state::kCleared)
      quarantine_.OnRunCompleted(suspect.service, suspect.fingerprint);
    else if (suspect.state == fbs::suspect_state::kQuarantined)
      quarantine_.Merge({suspect.service, suspect.fingerprint,
                         std::chrono::milliseconds(suspect.time_left_ms)},
                        loop_->Now());
    return;
  }
  if (suspects_.Merge(FromWire(suspect), loop_->Now()))
    ProcessHeldSuspects();
}

std::vector<fbs::suspectT> executor::SuspectsOf(const std::string& service) {
  std::vector<fbs::suspectT> suspects;
  for (const suspect_notice& notice : suspects_.Snapshot(loop_->Now())) {
    if (notice.service == service)
      suspects.push_back(ToWire(notice));
  }
  return suspects;
}

void executor::HoldSuspect(const request_id& id) {
  held_suspects_.push_back(id);
  if (held_suspects_timer_ == 0)
    held_suspects_timer_ = loop_->RunAfter(duration::zero(), [this] {
      held_suspects_timer_ = 0;
      ProcessHeldSuspects();
    });
}

// Handles the held suspects: each is refused, queued like any other call, run
// alone or held further.
void executor::ProcessHeldSuspects() {
  const time_point now = loop_->Now();
  const std::vector<request_id> held = std::exchange(held_suspects_, {});
  for (const request_id& id : held) {
    const auto found = executions_.find(id);
    if (found == executions_.end())
      continue;
    open_execution& execution = found->second;
    if (execution.deadline <= now) {
      FinishRefused(id, reason::kDeadlineBeforeRun, false);
      continue;
    }
    switch (suspects_.Check(execution.call.service, execution.call.fingerprint,
                            now)) {
      case suspect_verdict::kNormal:
        Enqueue(id);
        continue;
      case suspect_verdict::kQuarantined:
        FinishRefused(id, reason::kQuarantined, false);
        continue;
      case suspect_verdict::kWait:
        break;
      case suspect_verdict::kTrialNeeded:
        if (TryStartTrial(&execution))
          continue;
        break;
    }
    const duration max_wait =
        ServiceSettings(execution.call.service).queue_bound;
    if (execution.arrived_at + max_wait <= now)
      FinishRefused(id, reason::kQueueTimeout, false);
    else
      held_suspects_.push_back(id);
  }
  // Releases targets that were reserved for a call that is no longer held.
  for (auto& [address, target] : targets_) {
    if (!target.reserved_for)
      continue;
    const auto reserved_execution = executions_.find(*target.reserved_for);
    if (reserved_execution == executions_.end() ||
        (!reserved_execution->second.is_trial &&
         std::find(held_suspects_.begin(), held_suspects_.end(),
                   *target.reserved_for) == held_suspects_.end())) {
      target.reserved_for.reset();
      const std::string target_address = address;
      loop_->RunAfter(duration::zero(), [this, target_address] {
        DispatchQueued(target_address);
      });
    }
  }
  if (!held_suspects_.empty() && held_suspects_timer_ == 0)
    held_suspects_timer_ = loop_->RunAfter(kHeldSuspectCheckInterval, [this] {
      held_suspects_timer_ = 0;
      ProcessHeldSuspects();
    });
}

// Reserves a target and runs the suspect alone on it once it is idle. Returns
// whether the call was sent or refused.
bool executor::TryStartTrial(open_execution* execution) {
  local_target* target = nullptr;
  for (auto& [address, candidate] : targets_) {
    if (candidate.reserved_for == execution->id)
      target = &candidate;
  }
  if (target == nullptr) {
    target = ChooseTarget(execution->call);
    if (target == nullptr) {
      FinishRefused(execution->id, reason::kNoTarget, true);
      return true;
    }
    if (target->reserved_for)
      return false;
    target->reserved_for = execution->id;
  }
  if (target->gate->running() > 0)
    return false;
  const auto notice = suspects_.BeginTrial(
      execution->call.service, execution->call.fingerprint, loop_->Now());
  if (!notice)
    return false;
  SendSuspectNotices({*notice});
  execution->is_trial = true;
  execution->target_address = target->announcement.address;
  const request_id id = execution->id;
  SendToTarget(target, execution);
  const auto still_open = executions_.find(id);
  if (still_open == executions_.end()) {
    target->reserved_for.reset();
    if (const auto ended =
            suspects_.EndTrial(notice->service, notice->fingerprint,
                               trial_result::kInconclusive, loop_->Now()))
      SendSuspectNotices({*ended});
  }
  return true;
}

void executor::FinishAnswered(open_execution* execution,
                              const target_result& result) {
  fbs::call_answerT answer;
  answer.id = skylarkhoist::ToWire(execution->id);
  answer.outcome = fbs::outcome::kAnswered;
  answer.ran = fbs::ran_state::kYes;
  answer.reason = static_cast<uint8_t>(reason::kOk);
  answer.status = static_cast<uint16_t>(result.response.status);
  answer.headers = skylarkhoist::ToWire(result.response.headers);
  answer.body.assign(result.response.body.begin(), result.response.body.end());
  if (options_.faults.truncate_answers)
    answer.body.resize(answer.body.size() / 2);
  answer.total_length = answer.body.size();
  answer.body_checksum = BodyChecksum(answer.body);
  Finish(execution->id, std::move(answer));
}

void executor::FinishLost(const request_id& id) {
  if (options_.faults.refuse_after_run)
    FinishRefused(id, reason::kTargetLost, false);
  else
    FinishFailed(id, reason::kTargetLost);
}

void executor::FinishRefused(const request_id& id, reason why, bool local) {
  Finish(id, MakeErrorAnswer(id, why, local));
}

void executor::FinishFailed(const request_id& id, reason why) {
  Finish(id, MakeErrorAnswer(id, why, false, fbs::ran_state::kUnknown));
}

// Ends an execution; no other function does.
void executor::Finish(request_id id, fbs::call_answerT answer) {
  const auto found = executions_.find(id);
  if (found == executions_.end())
    return;
  open_execution& execution = found->second;
  answer.credit_left = execution.call.credit;
  if (execution.running)
    answer.run_us = static_cast<uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            loop_->Now() - execution.started_at)
            .count());
  if (execution.running && on_run_)
    on_run_(execution.call.route, false);
  const auto run = runs_by_caller_id_.find(execution.caller_id);
  if (run != runs_by_caller_id_.end() && run->second == id)
    runs_by_caller_id_.erase(run);
  if (execution.running)
    answer.credit_left =
        static_cast<uint8_t>(contexts_.Revoke(id).credit.available());
  fbs::load_levelT own_load;
  own_load.service = execution.call.service;
  const auto target = targets_.find(execution.target_address);
  if (target != targets_.end()) {
    const target_scheduler& gate = *target->second.gate;
    own_load.permille = gate.LoadPermille(loop_->Now());
    own_load.pressure = gate.PressurePermille(loop_->Now());
    own_load.run_us = ToWireMicros(gate.AverageRunTime());
    own_load.cold = gate.IsCold(loop_->Now());
    own_load.limit = static_cast<uint32_t>(gate.limit());
    own_load.speed_milli = SpeedMilli(gate, loop_->Now());
    own_load.expected_us = ToWireMicros(gate.ExpectedTime(loop_->Now()));
    answer.loads.push_back(std::make_unique<fbs::load_levelT>(own_load));
    answer.target =
        ToWire(RunOf(target->second.announcement), target->second.status);
  }
  if (downstream_loads_) {
    for (const fbs::load_levelT& level : downstream_loads_(execution.call))
      answer.loads.push_back(std::make_unique<fbs::load_levelT>(level));
  }
  ended_executions_.Increment(ReasonFromWire(answer.reason));
  LogExecutionEnd(execution, answer);
  const std::string origin = execution.origin.address;
  ended_run run_end;
  if (execution.running)
    run_end.caller_id = execution.caller_id;
  run_end.route = execution.call.route;
  run_end.answered = answer.outcome == fbs::outcome::kAnswered;
  run_end.succeeded = run_end.answered && answer.status < kMinServerErrorStatus;
  executions_.erase(found);
  const size_t bytes = answer.body.size() + kAnswerOverheadBytes;
  auto stored = std::make_shared<const fbs::call_answerT>(std::move(answer));
  answers_.Finish(id, stored, bytes, loop_->Now());
  transport_->Send(origin, MakeEnvelope(fbs::call_answerT(*stored)));
  if (!run_end.caller_id.empty() && on_run_ended_)
    on_run_ended_(run_end);
  if (draining_ && executions_.empty() && on_drained_)
    std::exchange(on_drained_, nullptr)();
}

// Logs one line for each call that its target did not answer, or answered with
// a server error, with the facts that determined that.
void executor::LogExecutionEnd(const open_execution& ended,
                               const fbs::call_answerT& answer) {
  if (answer.outcome == fbs::outcome::kAnswered && answer.status < 500)
    return;
  const time_point now = loop_->Now();
  log_.Write("execution_ended", [&](rate_limited_log::line& line) {
    line.Add("request", CallerIdOf(ended.call));
    line.Add("reason", InfoOf(ReasonFromWire(answer.reason)).label);
    line.Add("ran", ToText(answer.ran));
    line.Add("status", static_cast<int64_t>(answer.status));
    line.Add("route", ended.call.route);
    line.Add("origin", ended.origin.address);
    line.Add("target", ended.target_address);
    line.Add("waited_ms",
             ToMilliseconds((ended.running ? ended.started_at : now) -
                            ended.arrived_at));
    line.Add("ran_ms",
             ended.running ? ToMilliseconds(now - ended.started_at) : 0);
    line.Add("time_left_ms", ToMilliseconds(ended.deadline - now));
    const auto target = targets_.find(ended.target_address);
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
  const auto run = runs_by_caller_id_.find(caller_id);
  return run == runs_by_caller_id_.end() ? nullptr
                                         : &executions_.at(run->second).call;
}

std::string executor::CallerIdOf(const fbs::call_requestT& call) const {
  http_request request;
  request.headers = skylarkhoist::FromWire(call.headers);
  const std::string id = options_.dialect->ReadMetadata(request).caller_id;
  return id.empty() ? ToText(skylarkhoist::FromWire(call.id)) : id;
}

void executor::HandleCancel(const fbs::call_cancelT& cancel) {
  const request_id id = skylarkhoist::FromWire(cancel.id);
  const auto found = executions_.find(id);
  if (found == executions_.end())
    return;
  open_execution& execution = found->second;
  const auto target = targets_.find(execution.target_address);
  if (!execution.running) {
    if (target != targets_.end())
      target->second.gate->Remove(id);
    FinishRefused(id, reason::kCallerGone, false);
    return;
  }
  // A run that may not be repeated continues, so that its result is known when
  // the caller asks again.
  if (!execution.call.repeatable)
    return;
  target_client_->Cancel(execution.target_call);
  const std::string address = execution.target_address;
  target_result cancelled;
  cancelled.error = target_error::kTimeout;
  UpdateSuspects(execution, cancelled);
  if (target != targets_.end()) {
    if (execution.is_trial)
      target->second.reserved_for.reset();
    else
      target->second.gate->OnFinished(id, call_outcome::kCancelled,
                                      loop_->Now());
  }
  FinishFailed(id, reason::kCallerGone);
  DispatchQueued(address);
}

void executor::HandleQuery(const peer_info& from,
                           const fbs::call_queryT& query) {
  const request_id id = skylarkhoist::FromWire(query.id);
  const auto cached = answers_.Query(id, loop_->Now());
  fbs::call_stateT state;
  state.id = skylarkhoist::ToWire(id);
  switch (cached.progress) {
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
      // kFinished without an answer tells the entry that the result is lost.
      state.stage = fbs::call_stage::kFinished;
      if (cached.answer != nullptr)
        state.answer = std::make_unique<fbs::call_answerT>(*cached.answer);
      break;
  }
  transport_->Send(from.address, MakeEnvelope(std::move(state)));
}

void executor::OnChildCallStart(const request_id& parent) {
  const auto found = executions_.find(parent);
  if (found == executions_.end())
    return;
  open_execution& execution = found->second;
  execution.made_child_calls = true;
  if (execution.open_child_calls++ > 0)
    return;
  execution.child_calls_since = loop_->Now();
  const auto target = targets_.find(execution.target_address);
  if (target != targets_.end())
    target->second.gate->OnChildCalls(parent, true, loop_->Now());
}

void executor::OnChildCallEnd(const request_id& parent, bool failed) {
  const auto found = executions_.find(parent);
  if (found == executions_.end())
    return;
  open_execution& execution = found->second;
  execution.child_call_failed = execution.child_call_failed || failed;
  if (--execution.open_child_calls > 0)
    return;
  execution.child_call_time += loop_->Now() - execution.child_calls_since;
  const auto target = targets_.find(execution.target_address);
  if (target != targets_.end())
    target->second.gate->OnChildCalls(parent, false, loop_->Now());
}

void executor::OnUnknownChildCall() {
  for (auto& [address, target] : targets_)
    target.gate->OnUnknownChildCall(loop_->Now());
}

void executor::StopAccepting() {
  draining_ = true;
  std::vector<std::string> addresses;
  for (const auto& [address, target] : targets_)
    addresses.push_back(address);
  for (const std::string& address : addresses)
    RefuseQueued(address, reason::kDraining);
  for (const request_id& id : std::exchange(held_suspects_, {}))
    FinishRefused(id, reason::kDraining, true);
}

void executor::Drain(std::function<void()> on_drained) {
  if (executions_.empty())
    on_drained();
  else
    on_drained_ = std::move(on_drained);
}

}  // namespace skylarkhoist
