#include "node/rollout_service.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

// Time between two reports to the coordinator, with and without new requests.
// Bounds how long a change of the share takes; 88 nodes send 440 reports a
// second to a coordinator.
constexpr duration kReportInterval = std::chrono::milliseconds(200);
constexpr duration kIdleReportInterval = std::chrono::milliseconds(500);

// A grant is valid for this time after the report that it answers was sent, so
// that a node which is cut off soon stops sending calls to the new version.
// Also bounded by half of the time that a bad version may still get calls.
constexpr duration kGrantValidity = std::chrono::milliseconds(800);

// A node that has had no calls for its grants for this time gives them up.
constexpr duration kMaxUnusedTime = std::chrono::seconds(1);

// Versions whose targets a node sees within this time of the first are equal
// without an order. Nodes find each other well within it after a start.
constexpr duration kEstablishingTime = std::chrono::seconds(3);
// A version has ended when none of its targets was in service for this time.
// Longer than a restart of a target, and than the loss of a link.
constexpr duration kMaxVersionAbsence = std::chrono::seconds(5);
constexpr duration kVersionCheckInterval = std::chrono::milliseconds(50);

// Time between two reads of the state while the coordinator does not answer.
constexpr duration kStatusReadInterval = std::chrono::seconds(1);

// Part of the other targets that get as much load as the new ones with calls.
// The coordinator grants up to a quarter of the requests.
constexpr size_t kOthersPerFocusTarget = 4;

}  // namespace

rollout_service::rollout_service(const rollout_parts& parts,
                                 const rollout_bounds& bounds,
                                 std::string own_address,
                                 metrics* counters)
    : parts_(parts),
      bounds_(bounds),
      own_address_(std::move(own_address)),
      counters_(counters) {}

rollout_service::~rollout_service() {
  parts_.run_loop->Cancel(tick_timer_);
}

void rollout_service::SetOrder(const rollout_record& order) {
  if (!IsEnabled())
    return;
  const auto known = rollouts_.find(order.service);
  if (known != rollouts_.end() &&
      known->second.order.target_version == order.target_version)
    return;
  rollout& started = rollouts_[order.service];
  started = rollout();
  started.order = order;
  started.ordered_at = parts_.run_loop->Now();
  started.phase_gauge = &counters_->Gauge(
      "skylarkhoist_rollout_phase",
      "Phase of the rollout: 0 running, 1 stopped, 2 completed, 3 rolled back",
      {{"service", order.service}});
  started.share_gauge = &counters_->Gauge(
      "skylarkhoist_rollout_share",
      "Share of the requests that the coordinator grants to the new version; 0 "
      "at other nodes",
      {{"service", order.service}});
  started.phase_gauge->Set(0);
  // An earlier rollout of this version was given up; the new order repeats it.
  rolled_back_[order.service].erase(order.target_version);
  LogStateChange("rollout", "ordered",
                 {{"service", order.service},
                  {"version", order.target_version},
                  {"length_ms", std::to_string(ToMilliseconds(order.length))}});
  AssignCoordinator(&started);
  ReadStatus(&started);
  if (tick_timer_ == 0)
    Tick();
}

void rollout_service::SetMembers(const rollout_members& members) {
  members_ = members;
  for (auto& [service, each] : rollouts_)
    AssignCoordinator(&each);
}

std::string rollout_service::ChooseCoordinator(
    const std::string& service) const {
  const std::string subject = "rollout/" + service;
  const uint64_t seed = XXH64(subject.data(), subject.size(), 0);
  std::string best;
  uint64_t best_weight = 0;
  for (const auto& [address, name] : members_.names) {
    const uint64_t weight = XXH64(name.data(), name.size(), seed);
    if (best.empty() || weight > best_weight) {
      best = address;
      best_weight = weight;
    }
  }
  return best;
}

void rollout_service::AssignCoordinator(rollout* assigned) {
  assigned->coordinator_address = ChooseCoordinator(assigned->order.service);
  if (assigned->coordinator_address != own_address_) {
    assigned->coordinator.reset();
    return;
  }
  if (assigned->coordinator == nullptr) {
    assigned->coordinator =
        std::make_unique<rollout_coordinator>(parts_, bounds_, assigned->order);
    assigned->coordinator->SetMembers(members_);
    assigned->coordinator->Start();
    return;
  }
  assigned->coordinator->SetMembers(members_);
}

rollout_service::rollout* rollout_service::Find(const std::string& service,
                                                const std::string& version) {
  const auto found = rollouts_.find(service);
  return found != rollouts_.end() &&
                 found->second.order.target_version == version
             ? &found->second
             : nullptr;
}

void rollout_service::Tick() {
  const time_point now = parts_.run_loop->Now();
  for (auto& [service, each] : rollouts_) {
    if (each.coordinator != nullptr)
      each.share_gauge->Set(each.coordinator->share());
    else
      each.share_gauge->Set(0);
    if (IsFinal(each.phase))
      continue;
    if (each.requests != each.reported_requests ||
        now - each.reported_at >= kIdleReportInterval)
      Report(&each);
    if (now >= each.granted_until &&
        now - each.status_read_at >= kStatusReadInterval)
      ReadStatus(&each);
  }
  tick_timer_ = parts_.run_loop->RunAfter(kReportInterval, [this] { Tick(); });
}

void rollout_service::Report(rollout* reported) {
  const time_point now = parts_.run_loop->Now();
  // Gives up grants that have expired or that no request uses.
  if (now >= reported->granted_until ||
      now - reported->last_sent_at >= kMaxUnusedTime)
    reported->limit = reported->sent;
  reported->reported_at = now;
  reported->reported_requests = reported->requests;
  if (reported->coordinator_address.empty())
    return;
  fbs::rollout_reportT report;
  report.service = reported->order.service;
  report.target_version = reported->order.target_version;
  report.round = ++reported->round;
  report.age_ms =
      static_cast<uint32_t>(ToMilliseconds(now - reported->ordered_at));
  report.requests = reported->requests;
  report.sent = reported->sent;
  report.limit = reported->limit;
  report.phase = reported->phase;
  report.known_exposed = reported->known_exposed;
  report.known_requests = reported->known_requests;
  for (const auto& [route, counts] : reported->other) {
    auto item = std::make_unique<fbs::rollout_route_countsT>();
    item->route = route;
    item->calls = counts.calls;
    item->failed = counts.failed;
    for (const uint64_t count : counts.run_times)
      item->run_times.push_back(static_cast<uint32_t>(count));
    report.routes.push_back(std::move(item));
  }
  for (const auto& [key, counts] : reported->calls) {
    auto item = std::make_unique<fbs::rollout_target_countsT>();
    item->route = key.first;
    item->target = key.second;
    item->calls = static_cast<uint32_t>(counts.calls);
    item->failed = static_cast<uint32_t>(counts.failed);
    item->slow = static_cast<uint32_t>(counts.slow);
    item->lost = static_cast<uint32_t>(counts.lost);
    report.targets.push_back(std::move(item));
  }
  parts_.transport->Send(reported->coordinator_address,
                         MakeEnvelope(std::move(report)));
}

void rollout_service::HandleReport(const peer_info& from,
                                   const fbs::rollout_reportT& report) {
  rollout* found = Find(report.service, report.target_version);
  if (found != nullptr && found->coordinator != nullptr)
    found->coordinator->HandleReport(from, report);
}

void rollout_service::HandleGrant(const fbs::rollout_grantT& grant) {
  rollout* found = Find(grant.service, grant.target_version);
  if (found == nullptr)
    return;
  found->known_exposed =
      std::max<uint64_t>(found->known_exposed, grant.exposed);
  found->known_requests =
      std::max<uint64_t>(found->known_requests, grant.requests);
  if (grant.phase != fbs::rollout_phase::kRunning) {
    SetPhase(found, grant.phase, "coordinator");
    return;
  }
  // Grants without a round only tell the phase. The coordinator does not count
  // those for earlier rounds any more.
  if (grant.round == 0 || grant.round != found->round)
    return;
  if (grant.limit > found->limit)
    found->last_sent_at = parts_.run_loop->Now();
  found->limit = std::max<uint64_t>(grant.limit, found->sent);
  found->granted_until =
      found->reported_at + std::min(kGrantValidity, bounds_.rollback_time / 2);
  found->focus = grant.focus;
  for (const auto& slow : grant.slow_times) {
    if (slow != nullptr)
      found->slow_times[slow->route] = std::chrono::microseconds(slow->slow_us);
  }
}

void rollout_service::SetPhase(rollout* changed,
                               fbs::rollout_phase phase,
                               const char* source) {
  // A stopped rollout can only become rolled back, and a final one stays.
  if (changed->phase == phase || IsFinal(changed->phase) ||
      phase == fbs::rollout_phase::kRunning)
    return;
  changed->phase = phase;
  changed->limit = changed->sent;
  changed->phase_gauge->Set(static_cast<double>(phase));
  if (phase == fbs::rollout_phase::kRolledBack)
    rolled_back_[changed->order.service].insert(changed->order.target_version);
  LogStateChange("rollout", "phase",
                 {{"service", changed->order.service},
                  {"version", changed->order.target_version},
                  {"phase", PhaseName(phase)},
                  {"source", source}});
}

// The state is read at the start, and while the coordinator does not answer: it
// may be out of reach, or a rollout may have ended while all nodes were down.
void rollout_service::ReadStatus(rollout* asked) {
  asked->status_read_at = parts_.run_loop->Now();
  parts_.store->ReadNewest(
      store_topic::kStatus,
      [this, service = asked->order.service,
       alive = std::weak_ptr<bool>(alive_)](const auto& result) {
        if (alive.expired() || !result)
          return;
        for (const keyed_record& record : result->records) {
          if (record.key != RolloutStatusKey(service) || !record.value)
            continue;
          const auto status = DecodeRolloutStatus(*record.value);
          rollout* found =
              status ? Find(service, status->target_version) : nullptr;
          if (found != nullptr)
            SetPhase(found, status->phase, "store");
        }
      });
}

bool rollout_service::RequiresPermission(const std::string& service,
                                         const std::string& version) const {
  const auto found = rollouts_.find(service);
  if (found != rollouts_.end() && found->second.order.target_version == version)
    return found->second.phase != fbs::rollout_phase::kCompleted;
  const auto banned = rolled_back_.find(service);
  return banned != rolled_back_.end() && banned->second.count(version) > 0;
}

version_rule rollout_service::RuleWithoutOrder(
    const std::string& service) const {
  const time_point now = parts_.run_loop->Now();
  const auto [found, inserted] = established_.try_emplace(service);
  established_versions& known = found->second;
  if (inserted || now - known.checked_at >= kVersionCheckInterval) {
    known.checked_at = now;
    if (known.seen_at.empty())
      known.established_at = now;
    for (const target_info& target : parts_.targets->TargetsOf(service)) {
      if (known.seen_at.count(target.version) > 0 ||
          now - known.established_at < kEstablishingTime)
        known.seen_at[target.version] = now;
    }
    for (auto each = known.seen_at.begin(); each != known.seen_at.end();)
      each = now - each->second >= kMaxVersionAbsence
                 ? known.seen_at.erase(each)
                 : std::next(each);
  }
  return known.seen_at.size() == 1
             ? version_rule{known.seen_at.begin()->first, ""}
             : version_rule();
}

version_rule rollout_service::RuleOf(const std::string& service) const {
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end())
    return IsEnabled() ? RuleWithoutOrder(service) : version_rule();
  const std::string& version = found->second.order.target_version;
  if (found->second.phase == fbs::rollout_phase::kCompleted)
    return {version, ""};
  return {"", version};
}

std::vector<route_candidate> rollout_service::TrialCandidates(
    const std::string& service,
    const std::vector<route_candidate>& candidates) const {
  std::vector<route_candidate> chosen;
  const auto found = rollouts_.find(service);
  if (found == rollouts_.end())
    return chosen;
  const rollout& each = found->second;
  if (each.phase != fbs::rollout_phase::kRunning || each.sent >= each.limit ||
      parts_.run_loop->Now() >= each.granted_until)
    return chosen;
  std::vector<const route_candidate*> trial;
  for (const route_candidate& candidate : candidates) {
    if (candidate.version == each.order.target_version)
      trial.push_back(&candidate);
  }
  if (trial.empty())
    return chosen;
  std::sort(trial.begin(), trial.end(),
            [](const auto* left, const auto* right) {
              return left->node_address < right->node_address;
            });
  const size_t others = candidates.size() - trial.size();
  const size_t count =
      std::min(trial.size(),
               (others + kOthersPerFocusTarget - 1) / kOthersPerFocusTarget);
  for (size_t i = 0; i < count; ++i)
    chosen.push_back(*trial[(each.focus * count + i) % trial.size()]);
  return chosen;
}

void rollout_service::CountResult(rollout* counted,
                                  bool is_new,
                                  const char* result) {
  const std::string version = is_new ? counted->order.target_version : "other";
  prometheus::Counter*& counter = counted->result_counters[version + result];
  if (counter == nullptr)
    counter = &counters_->Counter("skylarkhoist_rollout_calls_total",
                                  "Calls of services with a rollout",
                                  {{"service", counted->order.service},
                                   {"version", version},
                                   {"result", result}});
  counter->Increment();
}

void rollout_service::OnSent(const versioned_attempt& sent, bool is_first) {
  const auto found = rollouts_.find(sent.service);
  if (found == rollouts_.end() || IsFinal(found->second.phase))
    return;
  rollout& counted = found->second;
  if (is_first)
    ++counted.requests;
  if (sent.version != counted.order.target_version)
    return;
  ++counted.sent;
  counted.last_sent_at = parts_.run_loop->Now();
  CountResult(&counted, true, "sent");
}

void rollout_service::OnEnded(const versioned_attempt& ended,
                              attempt_result result,
                              duration run_time) {
  const auto found = rollouts_.find(ended.service);
  if (found == rollouts_.end() || IsFinal(found->second.phase))
    return;
  rollout& counted = found->second;
  const bool is_new = ended.version == counted.order.target_version;
  if (!is_new) {
    other_counts& counts = counted.other[ended.route];
    ++counts.calls;
    if (result == attempt_result::kAnswered)
      ++counts.run_times[RunTimeBucket(run_time)];
    else if (result == attempt_result::kTimedOut)
      ++counts.run_times.back();
    else
      ++counts.failed;
    CountResult(&counted, false,
                result == attempt_result::kAnswered ? "good" : "bad");
    return;
  }
  rollout_target_totals& counts = counted.calls[{ended.route, ended.address}];
  ++counts.calls;
  const auto slow_time = counted.slow_times.find(ended.route);
  const bool slow =
      result == attempt_result::kTimedOut ||
      (result == attempt_result::kAnswered &&
       slow_time != counted.slow_times.end() && run_time >= slow_time->second);
  if (slow)
    ++counts.slow;
  else if (result == attempt_result::kFailed)
    ++counts.failed;
  else if (result == attempt_result::kLost)
    ++counts.lost;
  CountResult(&counted, true,
              slow                                  ? "slow"
              : result == attempt_result::kAnswered ? "good"
                                                    : "bad");
}

void rollout_service::RestoreStatuses() {
  for (auto& [service, each] : rollouts_) {
    if (each.coordinator != nullptr)
      each.coordinator->RestoreStatus();
  }
}

json rollout_service::Status() const {
  json status = json::array();
  for (const auto& [service, each] : rollouts_) {
    status.push_back({{"service", service},
                      {"version", each.order.target_version},
                      {"phase", PhaseName(each.phase)},
                      {"coordinator", each.coordinator_address},
                      {"requests", each.requests},
                      {"sent", each.sent},
                      {"known_exposed", each.known_exposed},
                      {"known_requests", each.known_requests}});
  }
  return status;
}

}  // namespace skylarkhoist
