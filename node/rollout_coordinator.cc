#include "node/rollout_coordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

constexpr duration kTickInterval = std::chrono::milliseconds(200);
constexpr duration kStoreRetryInterval = std::chrono::milliseconds(200);
constexpr duration kCompletionCheckInterval = std::chrono::milliseconds(100);

// Reports older than this do not show that a node is in reach. Nodes report
// each 200 ms, or each 500 ms without requests.
constexpr duration kMaxReportAge = std::chrono::milliseconds(1200);

// Part of a node's requests since its last report for which it gets calls to
// the new version at most. Bounds the load on the targets when the share rises.
constexpr double kMaxGrantShare = 0.25;

// The calls go to a few targets at a time, so that these have as much load as
// the others. They change after this time.
constexpr duration kFocusTime = std::chrono::seconds(2);

// The new targets can take the traffic from this part of the others' slots on.
constexpr double kMinSlotShare = 0.5;
// From this part of the time on, any slots do: a good version has to be
// complete at the end of the time, also if some of its targets are missing.
constexpr double kAnySlotsFrom = 0.85;

// Adds the counts of one report.
void AddReport(const fbs::rollout_reportT& report, rollout_totals* totals) {
  for (const auto& each : report.routes) {
    if (each == nullptr)
      continue;
    rollout_route_totals& route = totals->routes[each->route];
    route.other_calls += each->calls;
    route.other_failed += each->failed;
    const size_t buckets =
        std::min(each->run_times.size(), route.other_run_times.size());
    for (size_t i = 0; i < buckets; ++i)
      route.other_run_times[i] += each->run_times[i];
  }
  for (const auto& each : report.targets) {
    if (each == nullptr)
      continue;
    rollout_target_totals& target =
        totals->routes[each->route].targets[each->target];
    target.calls += each->calls;
    target.failed += each->failed;
    target.slow += each->slow;
    target.lost += each->lost;
  }
}

}  // namespace

rollout_coordinator::rollout_coordinator(const rollout_parts& parts,
                                         const rollout_bounds& bounds,
                                         rollout_record order)
    : parts_(parts),
      order_(std::move(order)),
      bounds_(bounds),
      controller_(bounds, order_.length),
      ordered_at_(parts.run_loop->Now()) {}

rollout_coordinator::~rollout_coordinator() {
  parts_.run_loop->Cancel(tick_timer_);
  parts_.run_loop->Cancel(store_timer_);
  parts_.run_loop->Cancel(completion_timer_);
}

void rollout_coordinator::Start() {
  LogStateChange(
      "rollout", "coordinator",
      {{"service", order_.service}, {"version", order_.target_version}});
  ReadStatus();
  Tick();
}

void rollout_coordinator::ScheduleStoreCall(std::function<void()> call) {
  store_timer_ = parts_.run_loop->RunAfter(kStoreRetryInterval,
                                           [this, call = std::move(call)] {
                                             store_timer_ = 0;
                                             call();
                                           });
}

void rollout_coordinator::ReadStatus() {
  parts_.store->ReadNewest(
      store_topic::kStatus,
      [this, alive = std::weak_ptr<bool>(alive_)](const auto& result) {
        if (!alive.expired())
          OnStatusRead(result);
      });
}

void rollout_coordinator::OnStatusRead(
    const tl::expected<keyed_batch, store_failure>& result) {
  if (!result) {
    ScheduleStoreCall([this] { ReadStatus(); });
    return;
  }
  has_read_status_ = true;
  if (const auto stored = StoredPhase(result)) {
    running_is_stored_ = true;
    if (IsFinal(*stored)) {
      SetPhase(*stored, "stored");
      return;
    }
  }
  if (phase_ == fbs::rollout_phase::kStopped)
    Write(fbs::rollout_phase::kRolledBack);
  else if (!IsFinal(phase_) && !running_is_stored_)
    WriteRunning();
}

// Another coordinator may have written meanwhile, so a failed write reads the
// state again, and a node without a majority does not write.
void rollout_coordinator::WriteRunning() {
  if (members_.has_majority)
    Write(fbs::rollout_phase::kRunning);
  else
    ScheduleStoreCall([this] { ReadStatus(); });
}

void rollout_coordinator::RestoreStatus() {
  if (phase_ == fbs::rollout_phase::kStopped)
    Write(fbs::rollout_phase::kRolledBack);
  else if (IsFinal(phase_) || running_is_stored_)
    Write(phase_);
}

void rollout_coordinator::Write(fbs::rollout_phase phase) {
  if (write_pending_)
    return;
  write_pending_ = true;
  if (phase == fbs::rollout_phase::kCompleted) {
    completing_ = true;
    CheckCompletion();
  }
  parts_.store->Put(
      store_topic::kStatus, RolloutStatusKey(order_.service),
      EncodeRolloutStatus({order_.target_version, phase}),
      [this, phase, alive = std::weak_ptr<bool>(alive_)](const auto& result) {
        if (alive.expired())
          return;
        write_pending_ = false;
        OnWritten(phase, result);
      });
}

void rollout_coordinator::OnWritten(
    fbs::rollout_phase phase,
    const tl::expected<written_record, store_failure>& result) {
  if (result) {
    running_is_stored_ = true;
    if (IsFinal(phase))
      SetPhase(phase, "written");
    else if (phase_ == fbs::rollout_phase::kStopped)
      Write(fbs::rollout_phase::kRolledBack);
    return;
  }
  if (phase == fbs::rollout_phase::kCompleted &&
      result.error().error == store_error::kRefused) {
    // The write had no effect; the next step decides again.
    completing_ = false;
    return;
  }
  if (phase == fbs::rollout_phase::kRunning)
    ScheduleStoreCall([this] { ReadStatus(); });
  else
    ScheduleStoreCall([this, phase] { Write(phase); });
}

// Reads whether the state "completed" is stored. The other targets stop as soon
// as it is, also when the answer to the write is late or lost.
void rollout_coordinator::CheckCompletion() {
  parts_.run_loop->Cancel(completion_timer_);
  completion_timer_ =
      parts_.run_loop->RunAfter(kCompletionCheckInterval, [this] {
        completion_timer_ = 0;
        if (!completing_ || IsFinal(phase_))
          return;
        parts_.store->ReadNewest(
            store_topic::kStatus,
            [this, alive = std::weak_ptr<bool>(alive_)](const auto& result) {
              if (alive.expired())
                return;
              if (const auto stored = StoredPhase(result);
                  stored && IsFinal(*stored))
                SetPhase(*stored, "stored");
            });
        CheckCompletion();
      });
}

// Returns the phase of this rollout in the store.
std::optional<fbs::rollout_phase> rollout_coordinator::StoredPhase(
    const tl::expected<keyed_batch, store_failure>& result) const {
  if (!result)
    return std::nullopt;
  for (const keyed_record& record : result->records) {
    if (record.key != RolloutStatusKey(order_.service) || !record.value)
      continue;
    const auto status = DecodeRolloutStatus(*record.value);
    if (status && status->target_version == order_.target_version)
      return status->phase;
  }
  return std::nullopt;
}

bool rollout_coordinator::KnowsFleet() const {
  if (!members_.has_majority)
    return false;
  const time_point oldest = parts_.run_loop->Now() - kMaxReportAge;
  const auto recent = std::count_if(
      rows_.begin(), rows_.end(),
      [&](const auto& row) { return row.second.reported_at >= oldest; });
  return static_cast<size_t>(recent) * 2 > members_.names.size();
}

bool rollout_coordinator::MayGrant() const {
  return phase_ == fbs::rollout_phase::kRunning && running_is_stored_ &&
         !completing_ && knows_fleet_ && KnowsFleet();
}

uint64_t rollout_coordinator::Exposed() const {
  uint64_t exposed = exposed_before_;
  for (const auto& [address, row] : rows_)
    exposed += row.limit;
  for (const fbs::rollout_reportT& report : ended_)
    exposed += report.limit;
  return exposed;
}

uint64_t rollout_coordinator::Requests() const {
  uint64_t requests = 0;
  for (const auto& [address, row] : rows_)
    requests += row.report.requests;
  for (const fbs::rollout_reportT& report : ended_)
    requests += report.requests;
  return requests;
}

rollout_totals rollout_coordinator::Totals() const {
  rollout_totals totals;
  for (const auto& [address, row] : rows_)
    AddReport(row.report, &totals);
  for (const fbs::rollout_reportT& report : ended_)
    AddReport(report, &totals);
  return totals;
}

bool rollout_coordinator::TargetsReady() const {
  double new_slots = 0;
  double other_slots = 0;
  for (const target_info& target : parts_.targets->TargetsOf(order_.service)) {
    const double slots = std::max<uint32_t>(1, target.limit);
    if (target.version == order_.target_version)
      new_slots += slots;
    else
      other_slots += slots;
  }
  const bool is_late =
      parts_.run_loop->Now() - ordered_at_ >=
      std::chrono::duration_cast<duration>(order_.length * kAnySlotsFrom);
  return new_slots > 0 && (is_late || new_slots >= other_slots * kMinSlotShare);
}

void rollout_coordinator::Tick() {
  if (!knows_fleet_ && KnowsFleet()) {
    knows_fleet_ = true;
    const uint64_t exposed = Exposed();
    exposed_before_ =
        highest_known_exposed_ - std::min(highest_known_exposed_, exposed);
  }
  if (phase_ == fbs::rollout_phase::kRunning && knows_fleet_ && KnowsFleet() &&
      !completing_) {
    const duration age = parts_.run_loop->Now() - ordered_at_;
    switch (controller_.Update(Totals(), TargetsReady(), age)) {
      case rollout_verdict::kContinue:
        break;
      case rollout_verdict::kRollBack:
        Stop(controller_.cause());
        break;
      case rollout_verdict::kComplete:
        if (running_is_stored_)
          Complete();
        break;
    }
  }
  if (IsFinal(phase_))
    return;
  tick_timer_ = parts_.run_loop->RunAfter(kTickInterval, [this] {
    tick_timer_ = 0;
    Tick();
  });
}

// Reads the state before it is overwritten: a successor may have ended the
// rollout while this process was paused.
void rollout_coordinator::Complete() {
  completing_ = true;
  parts_.store->ReadNewest(
      store_topic::kStatus,
      [this, alive = std::weak_ptr<bool>(alive_)](const auto& result) {
        if (alive.expired() || IsFinal(phase_))
          return;
        const auto stored = StoredPhase(result);
        if (stored && IsFinal(*stored))
          SetPhase(*stored, "stored");
        else if (stored && !write_pending_)
          Write(fbs::rollout_phase::kCompleted);
        else
          completing_ = false;
        if (result && !stored && !write_pending_) {
          // The store has lost the state since it was written.
          running_is_stored_ = false;
          WriteRunning();
        }
      });
}

void rollout_coordinator::Stop(const std::string& cause) {
  SetPhase(fbs::rollout_phase::kStopped, cause);
  if (has_read_status_ && store_timer_ == 0)
    Write(fbs::rollout_phase::kRolledBack);
}

void rollout_coordinator::SetPhase(fbs::rollout_phase phase,
                                   const std::string& cause) {
  if (phase_ == phase || IsFinal(phase_))
    return;
  phase_ = phase;
  LogStateChange(
      "rollout", PhaseName(phase),
      {{"service", order_.service},
       {"version", order_.target_version},
       {"cause", cause},
       {"exposed", std::to_string(Exposed())},
       {"requests", std::to_string(Requests())},
       {"age_ms",
        std::to_string(ToMilliseconds(parts_.run_loop->Now() - ordered_at_))}});
  Broadcast();
}

fbs::rollout_grantT rollout_coordinator::MakeGrant() const {
  fbs::rollout_grantT grant;
  grant.service = order_.service;
  grant.target_version = order_.target_version;
  grant.phase = phase_;
  grant.exposed = Exposed();
  grant.requests = Requests();
  return grant;
}

void rollout_coordinator::Broadcast() {
  for (const auto& [address, name] : members_.names)
    parts_.transport->Send(address, MakeEnvelope(MakeGrant()));
}

// Returns how many calls the node may send from now on.
uint64_t rollout_coordinator::Grant(const fbs::rollout_reportT& report,
                                    uint64_t new_requests) {
  const uint64_t held = report.limit - std::min(report.limit, report.sent);
  const uint64_t exposed = Exposed();
  const uint64_t allowed = controller_.AllowedExposure(Requests());
  const auto wanted = static_cast<uint64_t>(
      std::ceil(kMaxGrantShare * static_cast<double>(new_requests)));
  const uint64_t missing = wanted - std::min(wanted, held);
  return std::min(missing, allowed - std::min(allowed, exposed));
}

void rollout_coordinator::HandleReport(const peer_info& from,
                                       const fbs::rollout_reportT& report) {
  const time_point now = parts_.run_loop->Now();
  ordered_at_ =
      std::min(ordered_at_, now - std::chrono::milliseconds(report.age_ms));
  highest_known_exposed_ =
      std::max<uint64_t>(highest_known_exposed_, report.known_exposed);
  node_row& row = rows_[from.address];
  if (row.incarnation != 0 && row.incarnation != from.incarnation) {
    row.report.limit = row.limit;
    ended_.push_back(std::move(row.report));
    row = node_row();
  }
  const uint64_t requests_before =
      row.incarnation == 0 ? report.requests : row.report.requests;
  row.incarnation = from.incarnation;
  row.reported_at = now;
  row.report = report;
  row.limit = std::max(report.limit, report.sent);
  if (IsFinal(report.phase))
    SetPhase(report.phase, "reported");
  else if (report.phase == fbs::rollout_phase::kStopped &&
           phase_ == fbs::rollout_phase::kRunning && !completing_)
    Stop("reported");
  fbs::rollout_grantT grant = MakeGrant();
  if (MayGrant()) {
    row.limit += Grant(
        report, report.requests - std::min(report.requests, requests_before));
    grant.round = report.round;
    grant.limit = row.limit;
    grant.exposed = Exposed();
    grant.focus = static_cast<uint32_t>((now - ordered_at_) / kFocusTime);
    for (const auto& [route, time] : controller_.slow_times()) {
      auto slow = std::make_unique<fbs::rollout_slow_timeT>();
      slow->route = route;
      slow->slow_us = static_cast<uint32_t>(
          std::chrono::duration_cast<std::chrono::microseconds>(time).count());
      grant.slow_times.push_back(std::move(slow));
    }
  }
  parts_.transport->Send(from.address, MakeEnvelope(std::move(grant)));
}

}  // namespace skylarkhoist
