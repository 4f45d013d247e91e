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

#include "decisions/admission.h"
#include "decisions/routing_policy.h"
#include "decisions/target_gate.h"
#include "testing/fake_targets.h"
#include "testing/manual_loop.h"
#include "testing/measurement.h"
#include "testing/saturated_target.h"

namespace skylarkhoist {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Callers of the model have one of the three named classes.
size_t IndexOf(priority_class named) {
  return static_cast<size_t>(named) /
         static_cast<size_t>(priority_class::kNormal);
}

constexpr size_t kNoChild = std::numeric_limits<size_t>::max();
constexpr int kZones = 3;
// Shares of the load; the largest customer sends six times the smallest's.
constexpr std::array<double, 8> kCustomers = {0.25, 0.20, 0.15, 0.12,
                                              0.10, 0.08, 0.06, 0.04};
constexpr size_t kGreedyCustomer = 2;
// A customer's rate is its share of the calm load with this headroom.
constexpr double kRateHeadroom = 1.1;
// Shares of browse, normal and critical requests.
constexpr std::array<double, 3> kClassShares = {0.4, 0.3, 0.3};
constexpr int kRetries = 3;
constexpr duration kCallerDeadline = seconds(2);
constexpr duration kBucket = milliseconds(250);
// The learned limits settle in this time before anything is measured.
constexpr duration kWarmUp = seconds(20);
constexpr duration kCalm = seconds(5);
constexpr duration kAfter = seconds(12);
constexpr double kCalmLoad = 0.7;
// Two of three targets can bear this, so that all of it can be answered while
// one of each service is cold.
constexpr double kColdLoad = 0.6;

struct service_shape {
  std::string name;
  int workers;
  int slots;
  int connections;
  duration service_time;
  size_t child = kNoChild;
  bool front = true;
};

struct deployment_shape {
  duration between_zones;
  duration to_clients;
  std::vector<service_shape> services;
};

deployment_shape ShapeOf(const std::string& name) {
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

// The quotient, or 0 when `all` is 0.
double Share(int64_t part, int64_t all) {
  return all == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(all);
}

class overload_model {
 public:
  explicit overload_model(const model_options& options)
      : options_(options),
        shape_(ShapeOf(options.deployment)),
        targets_(loop_, options.seed * 7919 + 1),
        random_(options.seed) {
    targets_.Observe([this](const http_request& request, duration work, bool) {
      OnWork(std::stoull(request.path), work);
    });
    for (size_t service = 0; service < shape_.services.size(); ++service)
      AddNodes(service);
    for (const auto& node : nodes_)
      node->views.resize(nodes_.size());
  }

  json Run();

 private:
  struct outcome {
    bool answered = false;
    // The node could not reach its target; another one may be tried.
    bool no_target = false;
    std::vector<std::pair<size_t, uint32_t>> loads;
  };
  using outcome_callback = std::function<void(const outcome&)>;

  // A request of a caller, over all its attempts.
  struct request {
    size_t service = 0;
    size_t customer = 0;
    priority_class rank = priority_class::kBrowse;
    time_point sent;
    int retries_left = kRetries;
    bool ended = false;
  };

  // One attempt; the target time spent on it is wasted when it fails.
  struct attempt {
    std::shared_ptr<request> of;
    duration work = duration::zero();
  };

  // One call of a node to a target.
  struct hop {
    uint64_t attempt = 0;
    size_t service = 0;
    priority_class rank = priority_class::kBrowse;
    bool admitted = false;
    size_t customer = 0;
    time_point deadline;
    outcome_callback answer;
    duration child_time = duration::zero();
  };

  struct target_view {
    route_candidate candidate;
    time_point avoid_until;
  };

  // Entry and executor beside one target.
  struct model_node {
    size_t service = 0;
    int zone = 0;
    std::string address;
    std::unique_ptr<target_gate> gate;
    admission entry;
    std::unique_ptr<routing_policy> routing;
    std::vector<target_view> views;
    // Calls that wait or run here, by sequence.
    std::unordered_map<uint64_t, hop> hops;
    timer_id timer = 0;
  };

  struct bucket {
    int64_t sent = 0;
    int64_t good = 0;
  };

  struct totals {
    std::array<int64_t, 3> sent_by_class{};
    std::array<int64_t, 3> good_by_class{};
    std::array<int64_t, kCustomers.size()> sent{};
    std::array<int64_t, kCustomers.size()> good{};
    std::vector<double> latencies;
    duration work = duration::zero();
    duration wasted = duration::zero();
    int64_t good_ended = 0;
    std::map<size_t, int64_t> good_by_service;
    // Critical requests refused by a node within 50 ms of one that it let pass
    // for browsing to the same service.
    int64_t critical_after_browse = 0;
  };

  bool full() const { return options_.mode == model_mode::kFull; }

  void AddNodes(size_t service) {
    const service_shape& shape = shape_.services[service];
    for (int worker = 0; worker < shape.workers; ++worker) {
      auto node = std::make_unique<model_node>();
      node->service = service;
      node->zone = worker % kZones;
      node->address = shape.name + "-" + std::to_string(worker);
      service_config settings;
      settings.cold_capacity = ColdCapacity(shape);
      settings.max_limit = options_.mode == model_mode::kNone     ? 1'000'000
                           : options_.mode == model_mode::kStatic ? shape.slots
                                                                  : 1000;
      if (options_.mode == model_mode::kNone)
        settings.queue_bound = seconds(3600);
      node->gate = std::make_unique<target_gate>(
          settings, loop_.Now(),
          full() ? gate_plugins{} : gate_plugins{"static", "fifo"});
      node->routing =
          routing_registry::Create(full() ? "zone_aware" : "least_loaded");
      fake_target_options target;
      target.slots = shape.slots;
      target.connections = shape.connections;
      target.service_time = shape.service_time;
      target.cold_capacity = settings.cold_capacity;
      target.starts_cold = options_.scenario == "cold" && full();
      target.accepts_cancellation = full();
      targets_.Add(
          node->address, target,
          shape.child == kNoChild
              ? fake_targets::child_call()
              : [this, raw = node.get()](const std::string&,
                                         const http_request& parent,
                                         const std::function<void(int)>& done) {
                  CallChild(*raw, parent, done);
                  return [] {};
                });
      nodes_.push_back(std::move(node));
    }
  }

  static int ColdCapacity(const service_shape& shape) {
    return std::max(shape.slots / 8, 3);
  }

  // Whole requests a second that the targets of a front service can answer.
  double CapacityOf(size_t service, double child_factor = 1.0) const {
    const service_shape& shape = shape_.services[service];
    double time = Seconds(shape.service_time);
    double capacity = std::numeric_limits<double>::max();
    if (shape.child != kNoChild) {
      const service_shape& child = shape_.services[shape.child];
      const double child_time = Seconds(child.service_time) * child_factor;
      capacity = child.workers * child.slots / child_time;
      time += child_time;
    }
    return std::min(capacity, shape.workers * shape.slots / time);
  }

  // Requests a second to all services that a customer is entitled to.
  double RateOf(size_t customer) const {
    double rate = 0;
    for (size_t i = 0; i < shape_.services.size(); ++i) {
      if (shape_.services[i].front)
        rate += CapacityOf(i) * kCalmLoad * kRateHeadroom;
    }
    return rate * kCustomers[customer];
  }

  duration Between(const model_node& from, const model_node& to) const {
    return from.zone == to.zone ? duration(microseconds(100))
                                : shape_.between_zones;
  }

  // Callers.
  void Arrive(size_t service);
  double LoadFactor(size_t customer) const;
  void Send(const std::shared_ptr<request>& of);
  void OnReply(uint64_t id, const outcome& result);
  void End(const std::shared_ptr<request>& of, bool good);
  void OnWork(uint64_t id, duration work);
  bool TakeRateToken(size_t customer);

  // Entry role.
  void EntryCall(model_node& entry, const hop& call);
  void Route(model_node& entry, const hop& call, int tries);

  // Executor role.
  void Execute(model_node& node, hop call);
  void Pump(model_node& node);
  void OnTargetDone(model_node& node, uint64_t id, const target_result& result);
  void Answer(model_node& node, uint64_t id, outcome result);
  void CallChild(model_node& node,
                 const http_request& parent,
                 const std::function<void(int)>& done);

  bool Measuring() const {
    return loop_.Now() >= measure_from_ && loop_.Now() < measure_until_;
  }

  json Report() const;
  double RecoverySeconds() const;

  model_options options_;
  deployment_shape shape_;
  manual_loop loop_;
  fake_targets targets_;
  mt_random random_;
  std::vector<std::unique_ptr<model_node>> nodes_;
  std::unordered_map<uint64_t, attempt> attempts_;
  uint64_t next_id_ = 1;
  double load_ = kCalmLoad;
  bool greedy_ = false;
  // Rate tokens of the customers and when they were last filled.
  std::array<double, kCustomers.size()> tokens_{};
  std::array<time_point, kCustomers.size()> filled_;
  time_point start_ = loop_.Now();
  time_point measure_from_;
  time_point measure_until_;
  double slow_share_ = 0;
  std::map<int64_t, bucket> buckets_;
  totals totals_;
  // When a browsing request to each service last passed each entry.
  std::map<std::pair<const model_node*, size_t>, time_point> browse_passed_;
};

double overload_model::LoadFactor(size_t customer) const {
  return greedy_ && customer == kGreedyCustomer ? 5.0 : 1.0;
}

void overload_model::Arrive(size_t service) {
  double share = 0;
  for (size_t i = 0; i < kCustomers.size(); ++i)
    share += kCustomers[i] * LoadFactor(i);
  const double rate = CapacityOf(service) * load_ * share;
  const double wait = -std::log(1.0 - random_.Fraction()) / rate;
  loop_.RunAfter(
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait)),
      [this, service, share] {
        auto made = std::make_shared<request>();
        made->service = service;
        made->sent = loop_.Now();
        double draw = random_.Fraction() * share;
        while (made->customer + 1 < kCustomers.size()) {
          draw -= kCustomers[made->customer] * LoadFactor(made->customer);
          if (draw < 0)
            break;
          ++made->customer;
        }
        const double rank = random_.Fraction();
        made->rank = rank < kClassShares[0] ? priority_class::kBrowse
                     : rank < kClassShares[0] + kClassShares[1]
                         ? priority_class::kNormal
                         : priority_class::kCritical;
        ++buckets_[(made->sent - start_) / kBucket].sent;
        if (Measuring()) {
          ++totals_.sent[made->customer];
          ++totals_.sent_by_class[IndexOf(made->rank)];
        }
        Send(made);
        loop_.RunAfter(kCallerDeadline, [this, made] { End(made, false); });
        Arrive(service);
      });
}

bool overload_model::TakeRateToken(size_t customer) {
  const double rate = RateOf(customer);
  tokens_[customer] = std::min(
      tokens_[customer] + Seconds(loop_.Now() - filled_[customer]) * rate,
      rate * 0.5);
  filled_[customer] = loop_.Now();
  if (tokens_[customer] < 1)
    return false;
  tokens_[customer] -= 1;
  return true;
}

void overload_model::Send(const std::shared_ptr<request>& of) {
  const uint64_t id = next_id_++;
  attempts_[id].of = of;
  model_node& entry = *nodes_[random_.Below(nodes_.size())];
  loop_.RunAfter(shape_.to_clients, [this, id, of, &entry] {
    hop call;
    call.attempt = id;
    call.service = of->service;
    call.rank = of->rank;
    call.customer = of->customer;
    call.deadline = full() ? of->sent + kCallerDeadline - shape_.to_clients
                           : loop_.Now() + seconds(10);
    call.answer = [this, id](const outcome& result) {
      loop_.RunAfter(shape_.to_clients,
                     [this, id, result] { OnReply(id, result); });
    };
    if (options_.rate_limiter && !TakeRateToken(of->customer)) {
      call.answer({});
      return;
    }
    EntryCall(entry, call);
  });
}

void overload_model::OnReply(uint64_t id, const outcome& result) {
  const attempt ended = attempts_.at(id);
  attempts_.erase(id);
  if (Measuring()) {
    totals_.work += ended.work;
    if (!result.answered || ended.of->ended)
      totals_.wasted += ended.work;
  }
  if (ended.of->ended)
    return;
  if (result.answered) {
    End(ended.of, true);
  } else if (ended.of->retries_left-- > 0) {
    Send(ended.of);
  } else {
    End(ended.of, false);
  }
}

void overload_model::OnWork(uint64_t id, duration work) {
  const uint64_t of = id;
  for (const auto& node : nodes_) {
    const auto found = node->hops.find(of);
    if (found == node->hops.end())
      continue;
    const auto owner = attempts_.find(found->second.attempt);
    if (owner != attempts_.end()) {
      owner->second.work += work;
      return;
    }
  }
  if (Measuring()) {
    totals_.work += work;
    totals_.wasted += work;
  }
}

void overload_model::End(const std::shared_ptr<request>& of, bool good) {
  if (of->ended)
    return;
  of->ended = true;
  if (!good)
    return;
  ++buckets_[(of->sent - start_) / kBucket].good;
  if (Measuring()) {
    ++totals_.good_ended;
    ++totals_.good_by_service[of->service];
  }
  if (of->sent < measure_from_ || of->sent >= measure_until_)
    return;
  ++totals_.good[of->customer];
  ++totals_.good_by_class[IndexOf(of->rank)];
  totals_.latencies.push_back(Seconds(loop_.Now() - of->sent));
}

void overload_model::EntryCall(model_node& entry, const hop& call) {
  if (full()) {
    std::vector<std::string> downstream;
    const size_t child = shape_.services[call.service].child;
    if (child != kNoChild)
      downstream.push_back(shape_.services[child].name);
    const auto why =
        entry.entry.Check(shape_.services[call.service].name, downstream,
                          call.rank, call.admitted, loop_.Now(), random_);
    auto& browse = browse_passed_[{&entry, call.service}];
    if (why) {
      if (call.rank == priority_class::kCritical && !call.admitted &&
          loop_.Now() - browse < milliseconds(50) && Measuring())
        ++totals_.critical_after_browse;
      call.answer({});
      return;
    }
    if (call.rank == priority_class::kBrowse && !call.admitted)
      browse = loop_.Now();
  }
  Route(entry, call, 0);
}

void overload_model::Route(model_node& entry, const hop& call, int tries) {
  std::vector<route_candidate> candidates;
  std::vector<size_t> indices;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    target_view& view = entry.views[i];
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
  ++entry.views[index].candidate.open_calls;
  hop sent = call;
  sent.answer = [this, &entry, &node, index, call,
                 tries](const outcome& result) {
    loop_.RunAfter(Between(entry, node), [this, &entry, &node, index, call,
                                          tries, result] {
      target_view& view = entry.views[index];
      --view.candidate.open_calls;
      for (const auto& [service, load] : result.loads)
        entry.entry.OnLoad(shape_.services[service].name, load, loop_.Now());
      view.candidate.load_permille = node.gate->LoadPermille();
      view.candidate.limit = static_cast<uint32_t>(node.gate->limit());
      view.candidate.load_at = loop_.Now();
      view.candidate.open_at_load = view.candidate.open_calls;
      if (result.no_target && options_.mode != model_mode::kNone) {
        view.avoid_until = loop_.Now() + milliseconds(200);
        view.candidate.seen_since = view.avoid_until;
        if (tries < 2) {
          Route(entry, call, tries + 1);
          return;
        }
      }
      call.answer(result);
    });
  };
  loop_.RunAfter(Between(entry, node),
                 [this, &node, sent] { Execute(node, sent); });
}

void overload_model::Execute(model_node& node, hop call) {
  const uint64_t id = next_id_++;
  gate_call waiting;
  waiting.id = {1, id};
  waiting.rank = call.rank;
  waiting.admitted = call.admitted;
  waiting.customer = std::to_string(call.customer);
  waiting.deadline = call.deadline;
  node.hops[id] = std::move(call);
  if (node.gate->Enqueue(std::move(waiting), loop_.Now()))
    Answer(node, id, {});
  Pump(node);
}

void overload_model::Pump(model_node& node) {
  while (const auto next = node.gate->TakeNext(loop_.Now())) {
    const uint64_t id = next->id.sequence;
    http_request call;
    call.path = std::to_string(id);
    if (full()) {
      call.headers.Add(
          "Skylark-Deadline-Ms",
          std::to_string(ToMilliseconds(next->deadline - loop_.Now())));
    }
    targets_.Call(node.address, call, seconds(10),
                  [this, &node, id](const target_result& result) {
                    OnTargetDone(node, id, result);
                  });
  }
  for (const gate_refusal& refusal : node.gate->TakeRefused(loop_.Now()))
    Answer(node, refusal.id.sequence, {});
  loop_.Cancel(node.timer);
  node.timer = 0;
  if (const auto next = node.gate->NextDeadline(loop_.Now())) {
    node.timer = loop_.RunAfter(*next - loop_.Now(), [this, &node] {
      node.timer = 0;
      Pump(node);
    });
  }
}

void overload_model::OnTargetDone(model_node& node,
                                  uint64_t id,
                                  const target_result& result) {
  outcome ended;
  gate_result seen = gate_result::kCancelled;
  if (result.error == target_error::kConnectRefused) {
    ended.no_target = true;
    node.gate->ResetCold(loop_.Now());
  } else if (result.error != target_error::kNone) {
    seen = gate_result::kError;
  } else if (result.response.status == 200) {
    ended.answered = true;
    seen = gate_result::kSuccess;
  } else if (result.response.status == 503) {
    seen = gate_result::kShed;
  }
  node.gate->OnFinished({1, id}, seen, loop_.Now(),
                        node.hops.at(id).child_time);
  Answer(node, id, ended);
  Pump(node);
}

void overload_model::Answer(model_node& node, uint64_t id, outcome result) {
  const auto found = node.hops.find(id);
  const outcome_callback answer = std::move(found->second.answer);
  node.hops.erase(found);
  result.loads.emplace_back(node.service,
                            node.gate->PressurePermille(loop_.Now()));
  const size_t child = shape_.services[node.service].child;
  if (child != kNoChild) {
    if (const auto level =
            node.entry.LevelOf(shape_.services[child].name, loop_.Now()))
      result.loads.emplace_back(child, *level);
  }
  answer(result);
}

void overload_model::CallChild(model_node& node,
                               const http_request& parent,
                               const std::function<void(int)>& done) {
  const uint64_t id = std::stoull(parent.path);
  hop call = node.hops.at(id);
  call.service = shape_.services[node.service].child;
  call.admitted = true;
  const time_point since = loop_.Now();
  call.answer = [this, &node, id, since, done](const outcome& result) {
    const auto found = node.hops.find(id);
    if (found == node.hops.end())
      return;
    found->second.child_time = loop_.Now() - since;
    done(result.answered ? 200 : 503);
  };
  // In the next round, since `done` must not run before this returns.
  loop_.RunAfter(duration::zero(),
                 [this, &node, call] { EntryCall(node, call); });
}

double overload_model::RecoverySeconds() const {
  const auto share = [&](time_point from, time_point until) {
    bucket sum;
    for (const auto& [index, each] : buckets_) {
      const time_point at = start_ + index * kBucket;
      if (at < from || at >= until)
        continue;
      sum.sent += each.sent;
      sum.good += each.good;
    }
    return Share(sum.good, sum.sent);
  };
  const double before = share(measure_from_ - kCalm, measure_from_);
  // The end of the last second that is below 99% of the level before.
  duration recovery = duration::zero();
  for (duration at = duration::zero();
       at + seconds(1) <= kAfter - kCallerDeadline; at += kBucket) {
    const time_point from = measure_until_ + at;
    if (share(from, from + kBucket) < before * 0.99)
      recovery = at + kBucket;
  }
  return Seconds(recovery);
}

json overload_model::Report() const {
  json line;
  line["deployment"] = options_.deployment;
  line["scenario"] = options_.scenario;
  line["mode"] = options_.mode == model_mode::kNone     ? "none"
                 : options_.mode == model_mode::kStatic ? "static"
                                                        : "skylarkhoist";
  if (options_.rate_limiter)
    line["rate_limiter"] = true;
  line["seed"] = options_.seed;
  const double length = Seconds(measure_until_ - measure_from_);
  double possible = 0;
  json by_service;
  for (size_t i = 0; i < shape_.services.size(); ++i) {
    if (!shape_.services[i].front)
      continue;
    const double own = length * ((1 - slow_share_) * CapacityOf(i) +
                                 slow_share_ * CapacityOf(i, 5.0));
    possible += own;
    const auto found = totals_.good_by_service.find(i);
    if (found != totals_.good_by_service.end()) {
      by_service[shape_.services[i].name] =
          Round(static_cast<double>(found->second) / own);
    }
  }
  int64_t sent = 0;
  int64_t good = 0;
  double worst = 1.0;
  int64_t within = 0;
  int64_t unserved = 0;
  for (size_t i = 0; i < kCustomers.size(); ++i) {
    sent += totals_.sent[i];
    good += totals_.good[i];
    // The customer far above its rate is not judged.
    if (options_.scenario == "unfair" && i == kGreedyCustomer)
      continue;
    const auto rate = static_cast<int64_t>(RateOf(i) * length);
    const int64_t allowed = std::min(totals_.sent[i], rate);
    within += allowed;
    unserved += std::max<int64_t>(allowed - totals_.good[i], 0);
    if (allowed > 0)
      worst = std::min(worst, Share(totals_.good[i], allowed));
  }
  const double bound = std::min(possible, static_cast<double>(sent));
  line["goodput"] =
      Round(static_cast<double>(totals_.good_ended) / std::max(bound, 1.0));
  line["share_of_capacity"] = by_service;
  line["served"] = Round(Share(good, sent));
  std::vector<double> sorted = totals_.latencies;
  std::sort(sorted.begin(), sorted.end());
  if (!sorted.empty())
    line["p99_ms"] = Round(sorted[sorted.size() * 99 / 100] * 1000);
  line["recovery_s"] = Round(RecoverySeconds());
  line["worst_customer"] = Round(worst);
  line["wrongful"] = Round(Share(unserved, within));
  line["wasted"] =
      Round(Seconds(totals_.wasted) / std::max(Seconds(totals_.work), 1e-9));
  for (size_t i = 0; i < 3; ++i) {
    constexpr std::array<const char*, 3> kNames = {"browse", "normal",
                                                   "critical"};
    line[kNames[i]] =
        Round(Share(totals_.good_by_class[i], totals_.sent_by_class[i]));
  }
  line["critical_refused_after_browse"] = totals_.critical_after_browse;
  int64_t over = 0;
  int64_t unseen = 0;
  int64_t crashes = 0;
  json limits;
  for (const auto& node : nodes_) {
    const fake_target_counters& counters = targets_.counters(node->address);
    over += counters.cold_over_after_sign;
    unseen += counters.cold_over - counters.cold_over_after_sign;
    crashes += counters.crashes;
    limits.push_back(node->gate->limit());
  }
  line["cold_over"] = over;
  // Calls that reached a target between its silent turn to cold and its first
  // slow answer or error.
  line["cold_over_before_sign"] = unseen;
  line["crashes"] = crashes;
  if (full())
    line["limits"] = limits;
  return line;
}

json overload_model::Run() {
  if (options_.scenario == "cold")
    load_ = kColdLoad;
  for (size_t i = 0; i < shape_.services.size(); ++i) {
    if (shape_.services[i].front)
      Arrive(i);
  }
  const std::string& scenario = options_.scenario;
  const auto scaled = [&](duration value) {
    return std::chrono::duration_cast<duration>(value * options_.scale);
  };
  duration length = scaled(seconds(30));
  measure_from_ = start_ + kWarmUp + kCalm;
  measure_until_ = measure_from_ + length;
  loop_.Advance(kWarmUp + kCalm);
  if (scenario == "surge") {
    load_ = 3.0;
    loop_.Advance(length);
  } else if (scenario == "slow-service") {
    load_ = 3.0;
    const duration slow = length * 2 / 3;
    slow_share_ = 2.0 / 3;
    loop_.Advance(length - slow);
    for (const auto& node : nodes_) {
      if (!shape_.services[node->service].front)
        targets_.SlowDown(node->address, 5.0, slow);
    }
    loop_.Advance(slow);
  } else if (scenario == "cold") {
    // One target of each service in turn: some restart, others lose their warm
    // state without a sign.
    const duration step = length / 3;
    for (int round = 0; round < 3; ++round) {
      for (size_t service = 0; service < shape_.services.size(); ++service) {
        const std::string address =
            shape_.services[service].name + "-" + std::to_string(round);
        if (round == 1) {
          targets_.TurnCold(address);
        } else {
          targets_.Crash(address);
        }
      }
      loop_.Advance(step);
    }
  } else {
    greedy_ = true;
    loop_.Advance(length);
  }
  load_ = scenario == "cold" ? kColdLoad : kCalmLoad;
  greedy_ = false;
  loop_.Advance(kAfter);
  return Report();
}

class overload_measurement : public measurement {
 public:
  explicit overload_measurement(std::string scenario)
      : scenario_(std::move(scenario)) {}

  std::vector<json> Run(const measurement_options& options) override {
    std::vector<json> lines;
    for (const char* deployment : {"nilewand", "okonkwo"}) {
      for (const model_mode mode :
           {model_mode::kNone, model_mode::kStatic, model_mode::kFull}) {
        model_options model;
        model.deployment = deployment;
        model.scenario = scenario_;
        model.mode = mode;
        model.seed = options.seed;
        model.scale = options.scale;
        lines.push_back(RunOverloadModel(model));
        if (scenario_ == "unfair" && mode == model_mode::kFull) {
          model.rate_limiter = true;
          lines.push_back(RunOverloadModel(model));
        }
      }
    }
    return lines;
  }

 private:
  std::string scenario_;
};

// What each limit settles at, with calls always waiting: mean and range over
// 20 s.
class limits_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    std::vector<json> lines;
    for (const int slots : {120, 160, 15, 90, 130, 20}) {
      for (const int service_ms : {20, 100}) {
        fake_target_options target;
        target.slots = slots;
        target.connections = slots * 7;
        target.service_time = milliseconds(service_ms);
        target.cold_capacity = std::max(slots / 8, 2);
        saturated_target run(target, options.seed);
        run.loop.Advance(seconds(20));
        const saturated_target::limit_range found = run.Limits(seconds(20));
        lines.push_back({{"slots", slots},
                         {"service_ms", service_ms},
                         {"limit", Round(found.mean)},
                         {"least", found.least},
                         {"most", found.most}});
      }
    }
    return lines;
  }
};

const measurement_registry::entry kLimits("limits", [] {
  return std::make_unique<limits_measurement>();
});

measurement_registry::entry Register(const char* scenario) {
  return {scenario, [scenario] {
            return std::make_unique<overload_measurement>(scenario);
          }};
}

const measurement_registry::entry kSurge = Register("surge");
const measurement_registry::entry kSlowService = Register("slow-service");
const measurement_registry::entry kCold = Register("cold");
const measurement_registry::entry kUnfair = Register("unfair");

}  // namespace

json RunOverloadModel(const model_options& options) {
  return overload_model(options).Run();
}

}  // namespace skylarkhoist
