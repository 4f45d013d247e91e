#include "testing/overload_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decisions/admission_controller.h"
#include "decisions/routing_policy.h"
#include "decisions/target_scheduler.h"
#include "testing/fake_targets.h"
#include "testing/manual_loop.h"
#include "testing/measurement.h"
#include "testing/saturated_target.h"

namespace skylarkhoist {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Index of one of the three named classes in kClassShares. The model uses no
// priorities between them.
size_t ClassIndex(priority_class priority) {
  return static_cast<size_t>(priority) /
         static_cast<size_t>(priority_class::kNormal);
}

constexpr size_t kNoChild = std::numeric_limits<size_t>::max();
constexpr int kZoneCount = 3;
// Shares of the load. The largest customer sends about six times as much as the
// smallest.
constexpr std::array<double, 8> kCustomerShares = {0.25, 0.20, 0.15, 0.12,
                                                   0.10, 0.08, 0.06, 0.04};
// Sends five times its share in the scenario "unfair".
constexpr size_t kUnfairCustomer = 2;
// Ratio of a customer's rate limit to its share of the baseline load.
constexpr double kRateHeadroom = 1.1;
// Shares of browse, normal and critical requests.
constexpr std::array<double, 3> kClassShares = {0.4, 0.3, 0.3};
constexpr int kMaxRetries = 3;
constexpr duration kCallerTimeout = seconds(2);
// Length of the intervals in which RecoverySeconds compares success ratios.
constexpr duration kCountInterval = milliseconds(250);
// Time in which the concurrency limits adapt before anything is measured.
constexpr duration kWarmUpTime = seconds(20);
constexpr duration kBaselineTime = seconds(5);
constexpr duration kRecoveryTime = seconds(12);
// Loads are shares of the capacity.
constexpr double kBaselineLoad = 0.7;
// Two of three targets can handle this, so that all requests can be answered
// while one target of each service is cold.
constexpr double kColdScenarioLoad = 0.6;

struct service_spec {
  std::string name;
  int target_count;
  // As in fake_target_options.
  int slots;
  int max_calls;
  duration service_time;
  // Index of the service that each call to this one calls in turn.
  size_t child = kNoChild;
  bool client_facing = true;
};

struct deployment_spec {
  duration inter_zone_delay;
  duration client_delay;
  std::vector<service_spec> services;
};

deployment_spec SpecOf(const std::string& name) {
  const duration fast = milliseconds(50);
  const duration slow = milliseconds(200);
  if (name == "okonkwo") {
    return {microseconds(1500),
            milliseconds(8),
            {{"stockdesk", 4, 90, 650, slow},
             {"drawvault", 4, 90, 650, slow},
             {"orderbook", 3, 130, 850, slow, 3},
             {"pricebook", 3, 20, 230, fast, kNoChild, false}}};
  }
  return {microseconds(500),
          milliseconds(3),
          {{"showcase", 4, 120, 850, slow},
           {"reels", 4, 120, 850, slow},
           {"bookings", 3, 160, 1100, slow, 3},
           {"calendar", 3, 15, 200, fast, kNoChild, false}}};
}

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

double Round(double value) {
  return std::round(value * 10000) / 10000;
}

// Returns 0 when `whole` is 0.
double Ratio(int64_t part, int64_t whole) {
  return whole == 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

class overload_model {
 public:
  explicit overload_model(const overload_model_options& options)
      : options_(options),
        deployment_(SpecOf(options.deployment)),
        targets_(loop_, options.seed * 7919 + 1),
        random_(options.seed) {
    targets_.ObserveRunTime(
        [this](const http_request& request, duration run_time, bool) {
          AddRunTime(std::stoull(request.path), run_time);
        });
    for (size_t service = 0; service < deployment_.services.size(); ++service)
      AddNodes(service);
    for (const auto& node : nodes_)
      node->target_views.resize(nodes_.size());
  }

  json Run();

 private:
  struct outcome {
    bool answered = false;
    // The node could not reach its target. The call may be sent to another one.
    bool target_unreachable = false;
    // Load in permille of services, by index.
    std::vector<std::pair<size_t, uint32_t>> load_reports;
  };
  using outcome_callback = std::function<void(const outcome&)>;

  // A request of a caller, with all its attempts.
  struct caller_request {
    size_t service = 0;
    size_t customer = 0;
    priority_class priority = priority_class::kBrowse;
    time_point sent;
    int retries_left = kMaxRetries;
    bool ended = false;
  };

  // One attempt of a request. `run_time` is the time that targets spent on it,
  // which is wasted when the attempt fails.
  struct attempt {
    std::shared_ptr<caller_request> request;
    duration run_time = duration::zero();
  };

  // A call to a service, made for an attempt or as a child call.
  struct service_call {
    uint64_t attempt_id = 0;
    size_t service = 0;
    priority_class priority = priority_class::kBrowse;
    // A child call of a request that an entry has admitted.
    bool admitted = false;
    size_t customer = 0;
    time_point deadline;
    outcome_callback answer;
    duration child_time = duration::zero();
  };

  // What an entry node knows about one target.
  struct target_view {
    route_candidate candidate;
    // Gets no calls until then, since it could not be reached.
    time_point avoid_until;
  };

  // A node with its target. It acts as entry and as executor.
  struct model_node {
    size_t service = 0;
    int zone = 0;
    std::string address;
    std::unique_ptr<target_scheduler> scheduler;
    admission_controller admission_control;
    std::unique_ptr<routing_policy> routing;
    std::vector<target_view> target_views;
    // Calls that wait or run on this node, by the sequence number of their id.
    std::unordered_map<uint64_t, service_call> calls;
    timer_id queue_timer = 0;
  };

  struct interval_counts {
    int64_t sent = 0;
    int64_t succeeded = 0;
  };

  // Counts of the measured time. Requests count by the time when they were sent
  // unless the comment says otherwise.
  struct totals {
    std::array<int64_t, 3> sent_by_class{};
    std::array<int64_t, 3> succeeded_by_class{};
    std::array<int64_t, kCustomerShares.size()> sent{};
    std::array<int64_t, kCustomerShares.size()> succeeded{};
    std::vector<double> latencies_seconds;
    // Time that targets spent on calls, and the part of it that failed attempts
    // wasted; by the time when the attempt ended.
    duration run_time = duration::zero();
    duration wasted_run_time = duration::zero();
    // By the time when the request ended.
    int64_t succeeded_while_measuring = 0;
    std::map<size_t, int64_t> succeeded_by_service;
    // Critical requests that an entry refused within 50 ms after it admitted a
    // browse request to the same service.
    int64_t critical_refused_after_browse = 0;
  };

  bool full_control() const { return options_.mode == control_mode::kFull; }

  void AddNodes(size_t service) {
    const service_spec& spec = deployment_.services[service];
    for (int index = 0; index < spec.target_count; ++index) {
      auto node = std::make_unique<model_node>();
      node->service = service;
      node->zone = index % kZoneCount;
      node->address = spec.name + "-" + std::to_string(index);
      service_config settings;
      settings.cold_capacity = ColdCapacity(spec);
      settings.max_limit = options_.mode == control_mode::kNone     ? 1'000'000
                           : options_.mode == control_mode::kStatic ? spec.slots
                                                                    : 1000;
      if (options_.mode == control_mode::kNone)
        settings.queue_bound = seconds(3600);
      node->scheduler = std::make_unique<target_scheduler>(
          settings, loop_.Now(),
          full_control() ? scheduler_plugins{}
                         : scheduler_plugins{"static", "fifo"});
      node->routing = routing_registry::Create(full_control() ? "zone_aware"
                                                              : "least_loaded");
      fake_target_options target;
      target.slots = spec.slots;
      target.max_calls = spec.max_calls;
      target.service_time = spec.service_time;
      target.cold_capacity = settings.cold_capacity;
      target.starts_cold = options_.scenario == "cold" && full_control();
      target.accepts_cancellation = full_control();
      targets_.Add(
          node->address, target,
          spec.child == kNoChild
              ? fake_targets::child_call_function()
              : [this, raw = node.get()](const std::string&,
                                         const http_request& parent,
                                         const std::function<void(int)>& done) {
                  CallChild(*raw, parent, done);
                  return [] {};
                });
      nodes_.push_back(std::move(node));
    }
  }

  static int ColdCapacity(const service_spec& spec) {
    return std::max(spec.slots / 8, 3);
  }

  // Requests per second, with their child calls, that the targets of a
  // client-facing service can answer. `child_factor` multiplies the service
  // time of the child.
  double CapacityPerSecond(size_t service, double child_factor = 1.0) const {
    const service_spec& spec = deployment_.services[service];
    double total_seconds = Seconds(spec.service_time);
    double capacity = std::numeric_limits<double>::max();
    if (spec.child != kNoChild) {
      const service_spec& child = deployment_.services[spec.child];
      const double child_seconds = Seconds(child.service_time) * child_factor;
      capacity = child.target_count * child.slots / child_seconds;
      total_seconds += child_seconds;
    }
    return std::min(capacity, spec.target_count * spec.slots / total_seconds);
  }

  // Rate limit of a customer in requests per second to all services.
  double RateLimitOf(size_t customer) const {
    double rate = 0;
    for (size_t i = 0; i < deployment_.services.size(); ++i) {
      if (deployment_.services[i].client_facing)
        rate += CapacityPerSecond(i) * kBaselineLoad * kRateHeadroom;
    }
    return rate * kCustomerShares[customer];
  }

  duration DelayBetween(const model_node& from, const model_node& to) const {
    return from.zone == to.zone ? duration(microseconds(100))
                                : deployment_.inter_zone_delay;
  }

  // The callers.
  void ScheduleArrival(size_t service);
  double LoadFactor(size_t customer) const;
  void SendAttempt(const std::shared_ptr<caller_request>& request);
  void OnAttemptDone(uint64_t attempt_id, const outcome& result);
  void EndRequest(const std::shared_ptr<caller_request>& request,
                  bool succeeded);
  void AddRunTime(uint64_t id, duration run_time);
  bool TakeRateToken(size_t customer);

  // The node as entry.
  void AdmitAndRoute(model_node& entry, const service_call& call);
  void Route(model_node& entry, const service_call& call, int try_count);

  // The node as executor.
  void Execute(model_node& node, service_call call);
  void DispatchQueued(model_node& node);
  void OnTargetDone(model_node& node,
                    uint64_t call_id,
                    const target_result& result);
  void AnswerCall(model_node& node, uint64_t call_id, outcome result);
  void CallChild(model_node& node,
                 const http_request& parent,
                 const std::function<void(int)>& done);

  bool IsMeasuring() const {
    return loop_.Now() >= measure_from_ && loop_.Now() < measure_until_;
  }

  json Report() const;
  double RecoverySeconds() const;

  overload_model_options options_;
  deployment_spec deployment_;
  manual_loop loop_;
  fake_targets targets_;
  mt_random random_;
  std::vector<std::unique_ptr<model_node>> nodes_;
  std::unordered_map<uint64_t, attempt> attempts_;
  uint64_t next_id_ = 1;
  // Offered load as a share of the capacity, without the extra load of the
  // unfair customer.
  double load_ = kBaselineLoad;
  bool unfair_load_ = false;
  // Token buckets of the customers' rate limits, and their last refill.
  std::array<double, kCustomerShares.size()> rate_tokens_{};
  std::array<time_point, kCustomerShares.size()> refilled_at_;
  time_point start_ = loop_.Now();
  time_point measure_from_;
  time_point measure_until_;
  // Share of the measured time in which a service is slow.
  double slow_fraction_ = 0;
  std::map<int64_t, interval_counts> counts_by_interval_;
  totals totals_;
  // Time when each entry last admitted a browse request to each service.
  std::map<std::pair<const model_node*, size_t>, time_point> browse_passed_at_;
};

double overload_model::LoadFactor(size_t customer) const {
  return unfair_load_ && customer == kUnfairCustomer ? 5.0 : 1.0;
}

void overload_model::ScheduleArrival(size_t service) {
  double total_share = 0;
  for (size_t i = 0; i < kCustomerShares.size(); ++i)
    total_share += kCustomerShares[i] * LoadFactor(i);
  const double rate = CapacityPerSecond(service) * load_ * total_share;
  const double delay = -std::log(1.0 - random_.Fraction()) / rate;
  loop_.RunAfter(
      std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(delay)),
      [this, service, total_share] {
        auto created = std::make_shared<caller_request>();
        created->service = service;
        created->sent = loop_.Now();
        double customer_draw = random_.Fraction() * total_share;
        while (created->customer + 1 < kCustomerShares.size()) {
          customer_draw -= kCustomerShares[created->customer] *
                           LoadFactor(created->customer);
          if (customer_draw < 0)
            break;
          ++created->customer;
        }
        const double class_draw = random_.Fraction();
        created->priority = class_draw < kClassShares[0]
                                ? priority_class::kBrowse
                            : class_draw < kClassShares[0] + kClassShares[1]
                                ? priority_class::kNormal
                                : priority_class::kCritical;
        ++counts_by_interval_[(created->sent - start_) / kCountInterval].sent;
        if (IsMeasuring()) {
          ++totals_.sent[created->customer];
          ++totals_.sent_by_class[ClassIndex(created->priority)];
        }
        SendAttempt(created);
        loop_.RunAfter(kCallerTimeout,
                       [this, created] { EndRequest(created, false); });
        ScheduleArrival(service);
      });
}

bool overload_model::TakeRateToken(size_t customer) {
  const double rate = RateLimitOf(customer);
  rate_tokens_[customer] =
      std::min(rate_tokens_[customer] +
                   Seconds(loop_.Now() - refilled_at_[customer]) * rate,
               rate * 0.5);
  refilled_at_[customer] = loop_.Now();
  if (rate_tokens_[customer] < 1)
    return false;
  rate_tokens_[customer] -= 1;
  return true;
}

void overload_model::SendAttempt(
    const std::shared_ptr<caller_request>& request) {
  const uint64_t attempt_id = next_id_++;
  attempts_[attempt_id].request = request;
  model_node& entry = *nodes_[random_.Below(nodes_.size())];
  loop_.RunAfter(deployment_.client_delay, [this, attempt_id, request, &entry] {
    service_call call;
    call.attempt_id = attempt_id;
    call.service = request->service;
    call.priority = request->priority;
    call.customer = request->customer;
    call.deadline = full_control() ? request->sent + kCallerTimeout -
                                         deployment_.client_delay
                                   : loop_.Now() + seconds(10);
    call.answer = [this, attempt_id](const outcome& result) {
      loop_.RunAfter(deployment_.client_delay, [this, attempt_id, result] {
        OnAttemptDone(attempt_id, result);
      });
    };
    if (options_.rate_limiter && !TakeRateToken(request->customer)) {
      call.answer({});
      return;
    }
    AdmitAndRoute(entry, call);
  });
}

void overload_model::OnAttemptDone(uint64_t attempt_id, const outcome& result) {
  const attempt finished_attempt = attempts_.at(attempt_id);
  attempts_.erase(attempt_id);
  if (IsMeasuring()) {
    totals_.run_time += finished_attempt.run_time;
    if (!result.answered || finished_attempt.request->ended)
      totals_.wasted_run_time += finished_attempt.run_time;
  }
  if (finished_attempt.request->ended)
    return;
  if (result.answered) {
    EndRequest(finished_attempt.request, true);
  } else if (finished_attempt.request->retries_left-- > 0) {
    SendAttempt(finished_attempt.request);
  } else {
    EndRequest(finished_attempt.request, false);
  }
}

void overload_model::AddRunTime(uint64_t id, duration run_time) {
  const uint64_t call_id = id;
  for (const auto& node : nodes_) {
    const auto found = node->calls.find(call_id);
    if (found == node->calls.end())
      continue;
    const auto owner = attempts_.find(found->second.attempt_id);
    if (owner != attempts_.end()) {
      owner->second.run_time += run_time;
      return;
    }
  }
  if (IsMeasuring()) {
    totals_.run_time += run_time;
    totals_.wasted_run_time += run_time;
  }
}

void overload_model::EndRequest(const std::shared_ptr<caller_request>& request,
                                bool succeeded) {
  if (request->ended)
    return;
  request->ended = true;
  if (!succeeded)
    return;
  ++counts_by_interval_[(request->sent - start_) / kCountInterval].succeeded;
  if (IsMeasuring()) {
    ++totals_.succeeded_while_measuring;
    ++totals_.succeeded_by_service[request->service];
  }
  if (request->sent < measure_from_ || request->sent >= measure_until_)
    return;
  ++totals_.succeeded[request->customer];
  ++totals_.succeeded_by_class[ClassIndex(request->priority)];
  totals_.latencies_seconds.push_back(Seconds(loop_.Now() - request->sent));
}

void overload_model::AdmitAndRoute(model_node& entry,
                                   const service_call& call) {
  if (full_control()) {
    std::vector<std::string> downstream;
    const size_t child = deployment_.services[call.service].child;
    if (child != kNoChild)
      downstream.push_back(deployment_.services[child].name);
    const auto refusal = entry.admission_control.Check(
        deployment_.services[call.service].name, downstream, call.priority,
        call.admitted, loop_.Now(), random_);
    auto& last_browse_passed = browse_passed_at_[{&entry, call.service}];
    if (refusal) {
      if (call.priority == priority_class::kCritical && !call.admitted &&
          loop_.Now() - last_browse_passed < milliseconds(50) && IsMeasuring())
        ++totals_.critical_refused_after_browse;
      call.answer({});
      return;
    }
    if (call.priority == priority_class::kBrowse && !call.admitted)
      last_browse_passed = loop_.Now();
  }
  Route(entry, call, 0);
}

void overload_model::Route(model_node& entry,
                           const service_call& call,
                           int try_count) {
  std::vector<route_candidate> candidates;
  std::vector<size_t> indices;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    target_view& view = entry.target_views[i];
    if (nodes_[i]->service != call.service || loop_.Now() < view.avoid_until)
      continue;
    view.candidate.same_zone = nodes_[i]->zone == entry.zone;
    candidates.push_back(view.candidate);
    indices.push_back(i);
  }
  const auto chosen = entry.routing->Pick(candidates, loop_.Now(), random_);
  if (!chosen) {
    call.answer({});
    return;
  }
  const size_t index = indices[*chosen];
  model_node& node = *nodes_[index];
  ++entry.target_views[index].candidate.open_calls;
  service_call routed = call;
  routed.answer = [this, &entry, &node, index, call,
                   try_count](const outcome& result) {
    loop_.RunAfter(DelayBetween(entry, node), [this, &entry, &node, index, call,
                                               try_count, result] {
      target_view& view = entry.target_views[index];
      --view.candidate.open_calls;
      for (const auto& [service, load] : result.load_reports)
        entry.admission_control.OnLoadReport(deployment_.services[service].name,
                                             load, loop_.Now());
      view.candidate.load_permille = node.scheduler->LoadPermille(loop_.Now());
      view.candidate.limit = static_cast<uint32_t>(node.scheduler->limit());
      view.candidate.reported_at = loop_.Now();
      view.candidate.open_calls_at_report = view.candidate.open_calls;
      if (result.target_unreachable && options_.mode != control_mode::kNone) {
        view.avoid_until = loop_.Now() + milliseconds(200);
        view.candidate.first_seen = view.avoid_until;
        if (try_count < 2) {
          Route(entry, call, try_count + 1);
          return;
        }
      }
      call.answer(result);
    });
  };
  loop_.RunAfter(DelayBetween(entry, node),
                 [this, &node, routed] { Execute(node, routed); });
}

void overload_model::Execute(model_node& node, service_call call) {
  const uint64_t call_id = next_id_++;
  queued_call queued;
  queued.id = {1, call_id};
  queued.priority = call.priority;
  queued.admitted = call.admitted;
  queued.customer = std::to_string(call.customer);
  queued.deadline = call.deadline;
  node.calls[call_id] = std::move(call);
  if (node.scheduler->Enqueue(std::move(queued), loop_.Now()))
    AnswerCall(node, call_id, {});
  DispatchQueued(node);
}

void overload_model::DispatchQueued(model_node& node) {
  while (const auto next = node.scheduler->TakeNext(loop_.Now())) {
    const uint64_t call_id = next->id.sequence;
    http_request call;
    call.path = std::to_string(call_id);
    if (full_control()) {
      call.headers.Add(
          "Skylark-Deadline-Ms",
          std::to_string(ToMilliseconds(next->deadline - loop_.Now())));
    }
    targets_.Call(node.address, call, seconds(10),
                  [this, &node, call_id](const target_result& result) {
                    OnTargetDone(node, call_id, result);
                  });
  }
  for (const refused_call& refusal : node.scheduler->TakeRefused(loop_.Now()))
    AnswerCall(node, refusal.id.sequence, {});
  loop_.Cancel(node.queue_timer);
  node.queue_timer = 0;
  if (const auto next = node.scheduler->NextWakeup(loop_.Now())) {
    node.queue_timer = loop_.RunAfter(*next - loop_.Now(), [this, &node] {
      node.queue_timer = 0;
      DispatchQueued(node);
    });
  }
}

void overload_model::OnTargetDone(model_node& node,
                                  uint64_t call_id,
                                  const target_result& result) {
  outcome result_outcome;
  call_outcome target_outcome = call_outcome::kCancelled;
  if (result.error == target_error::kConnectRefused) {
    result_outcome.target_unreachable = true;
    node.scheduler->ResetCold(loop_.Now());
  } else if (result.error != target_error::kNone) {
    target_outcome = call_outcome::kError;
  } else if (result.response.status == 200) {
    result_outcome.answered = true;
    target_outcome = call_outcome::kSuccess;
  } else if (result.response.status == 503) {
    target_outcome = call_outcome::kShed;
  }
  node.scheduler->OnFinished({1, call_id}, target_outcome, loop_.Now(),
                             node.calls.at(call_id).child_time);
  AnswerCall(node, call_id, result_outcome);
  DispatchQueued(node);
}

void overload_model::AnswerCall(model_node& node,
                                uint64_t call_id,
                                outcome result) {
  const auto found = node.calls.find(call_id);
  const outcome_callback answer = std::move(found->second.answer);
  node.calls.erase(found);
  result.load_reports.emplace_back(
      node.service, node.scheduler->PressurePermille(loop_.Now()));
  const size_t child = deployment_.services[node.service].child;
  if (child != kNoChild) {
    if (const auto load_permille = node.admission_control.LoadPermilleOf(
            deployment_.services[child].name, loop_.Now()))
      result.load_reports.emplace_back(child, *load_permille);
  }
  answer(result);
}

void overload_model::CallChild(model_node& node,
                               const http_request& parent,
                               const std::function<void(int)>& done) {
  const uint64_t call_id = std::stoull(parent.path);
  service_call call = node.calls.at(call_id);
  call.service = deployment_.services[node.service].child;
  call.admitted = true;
  const time_point started_at = loop_.Now();
  call.answer = [this, &node, call_id, started_at,
                 done](const outcome& result) {
    const auto found = node.calls.find(call_id);
    if (found == node.calls.end())
      return;
    found->second.child_time = loop_.Now() - started_at;
    done(result.answered ? 200 : 503);
  };
  // Runs in the next round of the loop, since `done` must not run before this
  // function returns.
  loop_.RunAfter(duration::zero(),
                 [this, &node, call] { AdmitAndRoute(node, call); });
}

double overload_model::RecoverySeconds() const {
  const auto success_ratio = [&](time_point from, time_point until) {
    interval_counts total;
    for (const auto& [index, counts] : counts_by_interval_) {
      const time_point interval_start = start_ + index * kCountInterval;
      if (interval_start < from || interval_start >= until)
        continue;
      total.sent += counts.sent;
      total.succeeded += counts.succeeded;
    }
    return Ratio(total.succeeded, total.sent);
  };
  const double baseline_ratio =
      success_ratio(measure_from_ - kBaselineTime, measure_from_);
  // End of the last interval whose success ratio is below 99% of the baseline.
  duration recovery = duration::zero();
  for (duration offset = duration::zero();
       offset + seconds(1) <= kRecoveryTime - kCallerTimeout;
       offset += kCountInterval) {
    const time_point from = measure_until_ + offset;
    if (success_ratio(from, from + kCountInterval) < baseline_ratio * 0.99)
      recovery = offset + kCountInterval;
  }
  return Seconds(recovery);
}

json overload_model::Report() const {
  json line;
  line["deployment"] = options_.deployment;
  line["scenario"] = options_.scenario;
  line["mode"] = options_.mode == control_mode::kNone     ? "none"
                 : options_.mode == control_mode::kStatic ? "static"
                                                          : "skylarkhoist";
  if (options_.rate_limiter)
    line["rate_limiter"] = true;
  line["seed"] = options_.seed;
  const double length_seconds = Seconds(measure_until_ - measure_from_);
  double max_requests = 0;
  json by_service;
  for (size_t i = 0; i < deployment_.services.size(); ++i) {
    if (!deployment_.services[i].client_facing)
      continue;
    const double service_max_requests =
        length_seconds * ((1 - slow_fraction_) * CapacityPerSecond(i) +
                          slow_fraction_ * CapacityPerSecond(i, 5.0));
    max_requests += service_max_requests;
    const auto found = totals_.succeeded_by_service.find(i);
    if (found != totals_.succeeded_by_service.end()) {
      by_service[deployment_.services[i].name] =
          Round(static_cast<double>(found->second) / service_max_requests);
    }
  }
  int64_t sent = 0;
  int64_t succeeded = 0;
  double worst_customer_ratio = 1.0;
  int64_t within_rate = 0;
  int64_t unserved_within_rate = 0;
  for (size_t i = 0; i < kCustomerShares.size(); ++i) {
    sent += totals_.sent[i];
    succeeded += totals_.succeeded[i];
    // Leaves out the customer that is far above its rate limit.
    if (options_.scenario == "unfair" && i == kUnfairCustomer)
      continue;
    const auto rate_limit_requests =
        static_cast<int64_t>(RateLimitOf(i) * length_seconds);
    const int64_t allowed = std::min(totals_.sent[i], rate_limit_requests);
    within_rate += allowed;
    unserved_within_rate +=
        std::max<int64_t>(allowed - totals_.succeeded[i], 0);
    if (allowed > 0)
      worst_customer_ratio =
          std::min(worst_customer_ratio, Ratio(totals_.succeeded[i], allowed));
  }
  const double max_goodput = std::min(max_requests, static_cast<double>(sent));
  line["goodput"] =
      Round(static_cast<double>(totals_.succeeded_while_measuring) /
            std::max(max_goodput, 1.0));
  line["share_of_capacity"] = by_service;
  line["served"] = Round(Ratio(succeeded, sent));
  std::vector<double> sorted_latencies = totals_.latencies_seconds;
  std::sort(sorted_latencies.begin(), sorted_latencies.end());
  if (!sorted_latencies.empty())
    line["p99_ms"] =
        Round(sorted_latencies[sorted_latencies.size() * 99 / 100] * 1000);
  line["recovery_s"] = Round(RecoverySeconds());
  line["worst_customer"] = Round(worst_customer_ratio);
  line["wrongful"] = Round(Ratio(unserved_within_rate, within_rate));
  line["wasted"] = Round(Seconds(totals_.wasted_run_time) /
                         std::max(Seconds(totals_.run_time), 1e-9));
  for (size_t i = 0; i < 3; ++i) {
    constexpr std::array<const char*, 3> kNames = {"browse", "normal",
                                                   "critical"};
    line[kNames[i]] =
        Round(Ratio(totals_.succeeded_by_class[i], totals_.sent_by_class[i]));
  }
  line["critical_refused_after_browse"] = totals_.critical_refused_after_browse;
  int64_t detectable_cold_overloads = 0;
  int64_t undetectable_cold_overloads = 0;
  int64_t crashes = 0;
  json limits;
  for (const auto& node : nodes_) {
    const fake_target_counters& counters = targets_.counters(node->address);
    detectable_cold_overloads += counters.detectable_cold_overloads;
    undetectable_cold_overloads +=
        counters.cold_overloads - counters.detectable_cold_overloads;
    crashes += counters.crashes;
    limits.push_back(node->scheduler->limit());
  }
  line["cold_over"] = detectable_cold_overloads;
  // Calls above the cold capacity that a target got after it had become cold
  // and before its first slow response or error, which shows that to the node.
  line["cold_over_before_sign"] = undetectable_cold_overloads;
  line["crashes"] = crashes;
  if (full_control())
    line["limits"] = limits;
  return line;
}

json overload_model::Run() {
  if (options_.scenario == "cold")
    load_ = kColdScenarioLoad;
  for (size_t i = 0; i < deployment_.services.size(); ++i) {
    if (deployment_.services[i].client_facing)
      ScheduleArrival(i);
  }
  const std::string& scenario = options_.scenario;
  const auto scaled = [&](duration value) {
    return std::chrono::duration_cast<duration>(value * options_.scale);
  };
  duration length = scaled(seconds(30));
  measure_from_ = start_ + kWarmUpTime + kBaselineTime;
  measure_until_ = measure_from_ + length;
  loop_.Advance(kWarmUpTime + kBaselineTime);
  if (scenario == "surge") {
    load_ = 3.0;
    loop_.Advance(length);
  } else if (scenario == "slow-service") {
    load_ = 3.0;
    const duration slow_length = length * 2 / 3;
    slow_fraction_ = 2.0 / 3;
    loop_.Advance(length - slow_length);
    for (const auto& node : nodes_) {
      if (!deployment_.services[node->service].client_facing)
        targets_.SlowDown(node->address, 5.0, slow_length);
    }
    loop_.Advance(slow_length);
  } else if (scenario == "cold") {
    // Makes one target of each service cold at a time: by a restart in the
    // first and third step, without a restart in the second.
    const duration step_length = length / 3;
    for (int round = 0; round < 3; ++round) {
      for (size_t service = 0; service < deployment_.services.size();
           ++service) {
        const std::string address =
            deployment_.services[service].name + "-" + std::to_string(round);
        if (round == 1) {
          targets_.TurnCold(address);
        } else {
          targets_.Crash(address);
        }
      }
      loop_.Advance(step_length);
    }
  } else {
    unfair_load_ = true;
    loop_.Advance(length);
  }
  load_ = scenario == "cold" ? kColdScenarioLoad : kBaselineLoad;
  unfair_load_ = false;
  loop_.Advance(kRecoveryTime);
  return Report();
}

// Runs one scenario for all deployments and control modes.
class overload_measurement : public measurement {
 public:
  explicit overload_measurement(std::string scenario)
      : scenario_(std::move(scenario)) {}

  std::vector<json> Run(const measurement_options& options) override {
    std::vector<json> lines;
    for (const char* deployment : {"nilewand", "okonkwo"}) {
      for (const control_mode mode :
           {control_mode::kNone, control_mode::kStatic, control_mode::kFull}) {
        overload_model_options run_options;
        run_options.deployment = deployment;
        run_options.scenario = scenario_;
        run_options.mode = mode;
        run_options.seed = options.seed;
        run_options.scale = options.scale;
        lines.push_back(RunOverloadModel(run_options));
        if (scenario_ == "unfair" && mode == control_mode::kFull) {
          run_options.rate_limiter = true;
          lines.push_back(RunOverloadModel(run_options));
        }
      }
    }
    return lines;
  }

 private:
  std::string scenario_;
};

// Measures the concurrency limit that targets of several sizes reach while
// calls always wait: mean and range over 20 s.
class limits_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    std::vector<json> lines;
    for (const int slots : {120, 160, 15, 90, 130, 20}) {
      for (const int service_ms : {20, 100}) {
        fake_target_options target;
        target.slots = slots;
        target.max_calls = slots * 7;
        target.service_time = milliseconds(service_ms);
        target.cold_capacity = std::max(slots / 8, 2);
        saturated_target run(target, options.seed);
        run.loop.Advance(seconds(20));
        const saturated_target::limit_range settled = run.Limits(seconds(20));
        lines.push_back({{"slots", slots},
                         {"service_ms", service_ms},
                         {"limit", Round(settled.mean)},
                         {"least", settled.min},
                         {"most", settled.max}});
      }
    }
    return lines;
  }
};

const measurement_registry::registration kLimits("limits", [] {
  return std::make_unique<limits_measurement>();
});

measurement_registry::registration RegisterScenario(const char* scenario) {
  return {scenario, [scenario] {
            return std::make_unique<overload_measurement>(scenario);
          }};
}

const measurement_registry::registration kSurge = RegisterScenario("surge");
const measurement_registry::registration kSlowService =
    RegisterScenario("slow-service");
const measurement_registry::registration kCold = RegisterScenario("cold");
const measurement_registry::registration kUnfair = RegisterScenario("unfair");

}  // namespace

json RunOverloadModel(const overload_model_options& options) {
  return overload_model(options).Run();
}

}  // namespace skylarkhoist
