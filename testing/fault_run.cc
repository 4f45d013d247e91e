#include "testing/fault_run.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <set>
#include <utility>

#include "decisions/api_key.h"
#include "testing/checkers.h"
#include "testing/deployments.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time until the roster is recorded, shard owners have waited until any loan of
// rate tokens by an earlier owner has expired, and idempotency keys can be
// claimed.
constexpr duration kFormationTime = seconds(8);
constexpr int kCustomerCount = 3;
// The rate of customer 1 is low enough for the rate limit to take effect.
constexpr int kRateLimitedCustomer = 1;
constexpr double kLimitedRatePerSecond = 12;
constexpr double kLimitedBurst = 10;
// The customer whose key fault_kind::kKeyWithdrawn withdraws.
constexpr int kWithdrawnKeyCustomer = 2;
constexpr duration kRequestDeadline = seconds(1);
constexpr int kMaxCopiesPerRequest = 8;
// Added to the load time of runs with faults that stop work, see StopsWork.
constexpr duration kExtraLoadTime = seconds(3);
constexpr duration kPollInterval = milliseconds(50);

uint64_t Checksum(const std::string& body) {
  return XXH64(body.data(), body.size(), 0);
}

std::string KeyIdOf(int customer) {
  return ApiKeyOf(customer).substr(4, 16);
}

std::string CustomerName(int customer) {
  return "customer-" + std::to_string(customer);
}

class fault_run : private fake_targets::run_observer {
 public:
  explicit fault_run(const fault_run_options& options)
      : options_(options),
        random_(options.seed),
        fleet_(MakeMachines(options), options.seed, {}, CommonOptions(options)),
        applied_offsets_(options.machines, 0) {}

  fault_run_result Run() {
    SetUpFleet();
    fleet_.Advance(kFormationTime);
    ChooseFaults();
    load_end_ = Now() + load_duration_;
    ScheduleFaults();
    ScheduleNextRequest();
    fleet_.Advance(load_duration_);
    EndFaults();
    // The last copies are sent at most one request deadline after the end of
    // the load, and end within one more.
    fleet_.Advance(2 * kRequestDeadline + seconds(1));
    CheckInvariants();
    return std::move(result_);
  }

 private:
  enum class request_route { kBrowse, kCalendar, kBooking };

  // A request of a caller. Each time that the caller sends it is one copy.
  struct caller_request {
    request_route route = request_route::kBrowse;
    int customer = -1;
    std::string idempotency_key;
    std::string body;
    int copies = 0;
    int open_copies = 0;
    bool crashes_target = false;
    // "answered" once a copy was answered; until then, the outcome of the last
    // copy, "refused" or "unknown".
    std::string outcome;
  };
  struct request_copy {
    caller_request* request = nullptr;
    size_t machine = 0;
    bool ended = false;
    std::string admitted_customer;
    // Returned by fleet::Send.
    uint64_t fleet_request = 0;
  };

  static std::vector<fleet_machine> MakeMachines(
      const fault_run_options& options) {
    std::vector<fleet_machine> machines = SmallDeployment(options.machines);
    for (fleet_machine& machine : machines)
      machine.targets[0].child_calls = options.child_calls;
    return machines;
  }

  node_options CommonOptions(const fault_run_options& options) {
    node_options common = options.common_node_options;
    common.new_fleet = true;
    common.on_rate_admitted = [this](const http_request& request,
                                     const std::string& customer, int credit) {
      OnAdmitted(request, customer, credit);
    };
    return common;
  }

  time_point Now() { return fleet_.clock().Now(); }
  void RunAfter(duration delay, std::function<void()> action) {
    fleet_.clock().RunAfter(delay, std::move(action));
  }
  duration RandomDuration(duration low, duration high) {
    return low +
           duration(static_cast<duration::rep>(
               random_.Fraction() * static_cast<double>((high - low).count())));
  }

  event MakeEvent(event_kind kind) {
    event new_event;
    new_event.at = Now();
    new_event.kind = kind;
    return new_event;
  }
  event& SetNode(event* new_event, size_t machine) {
    new_event->node = fleet_.spec(machine).name;
    new_event->zone = fleet_.spec(machine).zone;
    return *new_event;
  }
  void RecordEvent(event added) { result_.history.Add(std::move(added)); }
  void RecordNodeEvent(event_kind kind, size_t machine, bool planned = false) {
    event new_event = MakeEvent(kind);
    new_event.planned = planned;
    RecordEvent(SetNode(&new_event, machine));
  }

  void Publish(const std::string& path, const json& value) {
    fleet_.Publish(path, value);
    event new_event = MakeEvent(event_kind::kConfigAccepted);
    new_event.offset = fleet_.log().end_offset() - 1;
    RecordEvent(new_event);
  }

  void SetUpFleet() {
    PublishSmallDeployment(&fleet_, kCustomerCount);
    Publish("/rates/" + CustomerName(kRateLimitedCustomer),
            {{"per_second", kLimitedRatePerSecond}, {"burst", kLimitedBurst}});
    for (int i = 0; i < kCustomerCount; ++i) {
      event key = MakeEvent(event_kind::kKeyIssued);
      key.key_id = KeyIdOf(i);
      key.customer = CustomerName(i);
      RecordEvent(key);
      event rate = MakeEvent(event_kind::kRateSet);
      rate.customer = CustomerName(i);
      rate.rate = i == kRateLimitedCustomer ? kLimitedRatePerSecond : 1000;
      rate.burst = i == kRateLimitedCustomer ? kLimitedBurst : 1000;
      RecordEvent(rate);
    }
    for (size_t i = 0; i < fleet_.size(); ++i)
      RecordNodeEvent(event_kind::kNodeStarted, i);
    fleet_.targets().ObserveRuns(this);
    fleet_.ObserveStops([this](size_t machine) {
      RecordNodeEvent(event_kind::kNodeStopped, machine,
                      planned_stops_.erase(machine) > 0);
    });
    PollAppliedConfig();
  }

  // Records which configuration each node has applied.
  void PollAppliedConfig() {
    for (size_t i = 0; i < fleet_.size(); ++i) {
      node* running_node = fleet_.node_of(i);
      if (running_node == nullptr || paused_machines_.count(i) > 0)
        continue;
      const uint64_t offset = running_node->config().applied_offset();
      if (offset == applied_offsets_[i])
        continue;
      applied_offsets_[i] = offset;
      event new_event = MakeEvent(event_kind::kConfigApplied);
      new_event.offset = offset;
      RecordEvent(SetNode(&new_event, i));
    }
    RunAfter(kPollInterval, [this] { PollAppliedConfig(); });
  }

  void ScheduleNextRequest() {
    const auto mean_interval =
        std::chrono::duration<double>(1 / options_.requests_per_second);
    RunAfter(std::chrono::duration_cast<duration>(mean_interval *
                                                  (2 * random_.Fraction())),
             [this] {
               if (Now() >= load_end_)
                 return;
               SendNewRequest();
               ScheduleNextRequest();
             });
  }

  void SendNewRequest() {
    auto new_request = std::make_unique<caller_request>();
    const uint64_t random_tenth = random_.Below(10);
    new_request->route = random_tenth < 2   ? request_route::kBrowse
                         : random_tenth < 5 ? request_route::kCalendar
                                            : request_route::kBooking;
    if (new_request->route != request_route::kBrowse)
      new_request->customer = static_cast<int>(random_.Below(kCustomerCount));
    new_request->body = "request " + std::to_string(requests_.size());
    if (new_request->route == request_route::kBooking)
      new_request->idempotency_key = NewIdempotencyKey();
    requests_.push_back(std::move(new_request));
    caller_request* request = requests_.back().get();
    SendCopy(request);
    // Some callers send a booking twice at the same time.
    if (request->route == request_route::kBooking && random_.Below(10) == 0)
      SendCopy(request);
  }

  std::string NewIdempotencyKey() {
    char text[64];
    const auto ms =
        static_cast<uint64_t>(ToMilliseconds(Now().time_since_epoch()));
    std::snprintf(text, sizeof(text), "%08llx-%04llx-7%03llx-8%03llx-%012llx",
                  static_cast<unsigned long long>(ms >> 16),
                  static_cast<unsigned long long>(ms & 0xffff),
                  static_cast<unsigned long long>(random_.Below(0x1000)),
                  static_cast<unsigned long long>(random_.Below(0x1000)),
                  static_cast<unsigned long long>(random_.Below(1ULL << 48)));
    return text;
  }

  std::optional<size_t> ChooseRunningMachine() {
    std::vector<size_t> running_machines;
    for (size_t i = 0; i < fleet_.size(); ++i) {
      if (fleet_.IsUp(i))
        running_machines.push_back(i);
    }
    if (running_machines.empty())
      return std::nullopt;
    return running_machines[random_.Below(running_machines.size())];
  }

  void SendCopy(caller_request* request) {
    if (request->outcome == "answered" ||
        request->copies >= kMaxCopiesPerRequest)
      return;
    const auto machine = ChooseRunningMachine();
    if (!machine)
      return;
    ++request->copies;
    ++request->open_copies;
    copies_.push_back(std::make_unique<request_copy>());
    const uint64_t sequence = copies_.size();
    request_copy* copy = copies_.back().get();
    copy->request = request;
    copy->machine = *machine;
    event new_event = MakeCopyEvent(event_kind::kSent, sequence);
    RecordEvent(SetNode(&new_event, *machine));

    const bool keyed = request->customer >= 0;
    http_request message;
    switch (request->route) {
      case request_route::kBrowse:
        message = MakeRequest("GET", "/browse", "", request->body);
        break;
      case request_route::kCalendar:
        message = MakeRequest("GET", "/calendar/day",
                              ApiKeyOf(request->customer), request->body);
        break;
      case request_route::kBooking:
        message = MakeRequest("POST", "/bookings", ApiKeyOf(request->customer),
                              request->body);
        message.headers.Add("Idempotency-Key", request->idempotency_key);
        break;
    }
    if (!keyed)
      message.headers.Remove("Authorization");
    message.headers.Add(fleet::kTraceHeader, std::to_string(sequence));
    message.headers.Add("Skylark-Deadline-Ms",
                        std::to_string(ToMilliseconds(kRequestDeadline)));
    copy->fleet_request = fleet_.Send(
        *machine, std::move(message),
        [this, sequence](const std::optional<http_response>& response) {
          OnResponse(sequence, response);
        });
    if (request->route == request_route::kBooking && random_.Below(20) == 0) {
      RunAfter(RandomDuration(milliseconds(1), milliseconds(25)), [this, copy] {
        if (!copy->ended)
          fleet_.DropConnection(copy->machine, copy->fleet_request);
      });
    }
  }

  void OnResponse(uint64_t sequence,
                  const std::optional<http_response>& response) {
    request_copy* copy = copies_[sequence - 1].get();
    caller_request* request = copy->request;
    if (std::exchange(copy->ended, true))
      AddViolation("response",
                   "second response to copy " + std::to_string(sequence));
    --request->open_copies;
    const std::string ran =
        response ? HeaderValue(*response, "Skylark-Ran") : "";
    event new_event = MakeCopyEvent(ran == "yes"  ? event_kind::kAnswered
                                    : ran == "no" ? event_kind::kRefused
                                                  : event_kind::kFailed,
                                    sequence);
    new_event.reason =
        response ? HeaderValue(*response, "Skylark-Reason") : "connection";
    ++result_.copies_by_reason[new_event.reason];
    if (response)
      new_event.checksum = Checksum(response->body);
    if (ran == "yes")
      request->outcome = "answered";
    else if (request->outcome != "answered")
      request->outcome = ran == "no" ? "refused" : "unknown";
    RecordEvent(SetNode(&new_event, copy->machine));
    // Further copies would get the same result.
    const bool final = new_event.reason == "duplicate_unknown" ||
                       new_event.reason == "key_withdrawn" ||
                       new_event.reason == "quarantined";
    if (request->outcome == "answered" || final ||
        Now() >= load_end_ + kRequestDeadline ||
        (request->route != request_route::kBooking && !request->crashes_target))
      return;
    // Callers wait after a refusal, and retry almost at once after a failure.
    const duration retry_delay =
        new_event.kind == event_kind::kRefused
            ? RandomDuration(milliseconds(100), milliseconds(600))
            : RandomDuration(milliseconds(0), milliseconds(50));
    RunAfter(retry_delay, [this, request] { SendCopy(request); });
  }

  // Event of a copy or, when `child` is above 0, of that child call of it.
  event MakeCopyEvent(event_kind kind, uint64_t sequence, uint64_t child = 0) {
    const request_copy& copy = *copies_[sequence - 1];
    const caller_request& request = *copy.request;
    event new_event = MakeEvent(kind);
    new_event.root = {1, sequence};
    new_event.id = {1 + child, sequence};
    if (request.customer >= 0) {
      new_event.customer = CustomerName(request.customer);
      new_event.key_id = KeyIdOf(request.customer);
    }
    new_event.open_route = request.route == request_route::kBrowse;
    new_event.priority =
        request.route == request_route::kBrowse     ? priority_class::kBrowse
        : request.route == request_route::kCalendar ? priority_class::kNormal
                                                    : priority_class::kCritical;
    new_event.service = "calendar";
    if (request.route == request_route::kBooking && child == 0) {
      new_event.service = "bookings";
      new_event.repeatable = false;
      new_event.idempotency_key = request.idempotency_key;
    }
    return new_event;
  }

  void OnAdmitted(const http_request& request,
                  const std::string& customer,
                  int credit) {
    const std::string* trace = request.headers.Find(fleet::kTraceHeader);
    if (trace == nullptr)
      return;
    const uint64_t sequence = std::strtoull(trace->c_str(), nullptr, 10);
    copies_[sequence - 1]->admitted_customer = customer;
    event new_event = MakeCopyEvent(event_kind::kAdmitted, sequence);
    new_event.customer = customer;
    new_event.credit = credit;
    RecordEvent(new_event);
  }

  // Event at a target. Its customer is the one for whom the entry node admitted
  // the request.
  event MakeTargetEvent(event_kind kind,
                        const std::string& address,
                        const http_request& request) {
    const std::string* trace = request.headers.Find(fleet::kTraceHeader);
    const uint64_t sequence = std::strtoull(trace->c_str(), nullptr, 10);
    const size_t slash = trace->find('/');
    const uint64_t child =
        slash == std::string::npos
            ? 0
            : std::strtoull(trace->c_str() + slash + 1, nullptr, 10);
    event new_event = MakeCopyEvent(kind, sequence, child);
    new_event.customer = copies_[sequence - 1]->admitted_customer;
    new_event.target = address;
    for (size_t i = 0; i < fleet_.size(); ++i) {
      if (fleet_.TargetAddress(i, 0) == address)
        SetNode(&new_event, i);
    }
    new_event.target_saw_key = request.headers.Find("Authorization") != nullptr;
    new_event.attempt = hand_over_counts_[new_event.id] - 1;
    return new_event;
  }

  void OnHandedOver(const std::string& address,
                    const http_request& request,
                    bool taken) override {
    event new_event =
        MakeTargetEvent(event_kind::kHandedOver, address, request);
    // A call that the target did not accept has already ended. Without its
    // node, the checkers do not count it as cut off when that node stops.
    if (!taken)
      new_event.node.clear();
    new_event.attempt = hand_over_counts_[new_event.id]++;
    RecordEvent(new_event);
  }

  void OnRunStarted(const std::string& address,
                    const http_request& request) override {
    RecordEvent(MakeTargetEvent(event_kind::kRunStarted, address, request));
  }

  void OnRunEnded(const std::string& address,
                  const http_request& request,
                  const std::string& body) override {
    event new_event = MakeTargetEvent(event_kind::kRunEnded, address, request);
    new_event.checksum = Checksum(body);
    RecordEvent(new_event);
    RecordColdState(address);
  }

  // Records that a target has become cold or warm. This is called at the end of
  // each run, since a response is the earliest sign that a node gets.
  void RecordColdState(const std::string& address) {
    const bool cold = fleet_.targets().IsCold(address);
    if (cold == (cold_targets_.count(address) > 0))
      return;
    if (cold)
      cold_targets_.insert(address);
    else
      cold_targets_.erase(address);
    event new_event =
        MakeEvent(cold ? event_kind::kTargetCold : event_kind::kTargetWarm);
    new_event.target = address;
    new_event.capacity = fake_target_options().cold_capacity;
    RecordEvent(new_event);
  }

  void ChooseFaults() {
    result_.faults = options_.faults;
    if (result_.faults.empty()) {
      const auto& kinds = AllFaultKinds();
      const uint64_t count = 1 + random_.Below(2);
      while (result_.faults.size() < count)
        result_.faults.push_back(kinds[random_.Below(kinds.size())]);
    }
    const bool stops_work =
        std::any_of(result_.faults.begin(), result_.faults.end(), StopsWork);
    load_duration_ = options_.load_duration +
                     (stops_work ? kExtraLoadTime : duration::zero());
  }

  // Faults after which no new work may begin at the target, in the zone or for
  // the key beyond checker_options::stop_bound.
  static bool StopsWork(fault_kind kind) {
    return kind == fault_kind::kKeyWithdrawn || kind == fault_kind::kZoneOut ||
           kind == fault_kind::kTargetLeaving;
  }

  // Faults that stop work begin early and last long, so that much of the load
  // is sent after the stop bound. Pauses in the same run do so too, to check
  // that a resumed node does not act on outdated state.
  void ScheduleFaults() {
    const bool stops_work = load_duration_ > options_.load_duration;
    for (const fault_kind kind : result_.faults) {
      const bool early =
          StopsWork(kind) || (stops_work && kind == fault_kind::kNodePaused);
      const duration start = RandomDuration(
          milliseconds(100), early ? milliseconds(500) : load_duration_ / 2);
      const duration length =
          early
              ? RandomDuration(load_duration_ / 2, load_duration_ - seconds(1))
              : RandomDuration(milliseconds(200), load_duration_ / 2);
      const size_t machine = random_.Below(fleet_.size());
      RunAfter(start, [this, kind, machine, length] {
        const std::function<void()> end_fault = BeginFault(kind, machine);
        if (!end_fault)
          return;
        const auto index = fault_ends_.size();
        fault_ends_.push_back(end_fault);
        RunAfter(length, [this, index] { EndFault(index); });
      });
    }
  }

  void EndFault(size_t index) {
    if (fault_ends_[index])
      std::exchange(fault_ends_[index], nullptr)();
  }
  void EndFaults() {
    for (size_t i = 0; i < fault_ends_.size(); ++i)
      EndFault(i);
  }

  void StartNode(size_t machine) {
    if (fleet_.IsUp(machine))
      return;
    fleet_.StartNode(machine);
    applied_offsets_[machine] = 0;
    RecordNodeEvent(event_kind::kNodeStarted, machine);
  }

  void RecordLogEvent(event_kind kind) { RecordEvent(MakeEvent(kind)); }

  // Begins a fault. Returns a function that ends it, or null when there is
  // nothing to end.
  std::function<void()> BeginFault(fault_kind kind, size_t machine) {
    const std::string target_address = fleet_.TargetAddress(machine, 0);
    memory_network& network = fleet_.network();
    memory_log_faults& log = fleet_.log().faults();
    switch (kind) {
      case fault_kind::kNodeKilled:
        KillNode(machine);
        return nullptr;
      case fault_kind::kNodeRestarted:
        KillNode(machine);
        return [this, machine] { StartNode(machine); };
      case fault_kind::kNodePaused:
        return PauseNode(machine);
      case fault_kind::kNodeDrained:
        if (!fleet_.IsUp(machine))
          return nullptr;
        planned_stops_.insert(machine);
        RecordNodeEvent(event_kind::kNodeStopping, machine, true);
        fleet_.DrainNode(machine);
        return nullptr;
      case fault_kind::kLinkSilent:
        network.SilenceLink(
            fleet_.PeerAddress(machine),
            fleet_.PeerAddress(
                (machine + 1 + random_.Below(fleet_.size() - 1)) %
                fleet_.size()));
        return nullptr;
      case fault_kind::kPartition:
        return PartitionNetwork();
      case fault_kind::kMessageLoss:
        network.options().loss_probability = 0.05;
        return [&network] { network.options().loss_probability = 0; };
      case fault_kind::kMessageDuplication:
        network.options().duplication_probability = 0.2;
        return [&network] { network.options().duplication_probability = 0; };
      case fault_kind::kMessageReordering:
        network.options().reordering_probability = 0.2;
        return [&network] { network.options().reordering_probability = 0; };
      case fault_kind::kLogDown:
        log.down = true;
        RecordLogEvent(event_kind::kLogDown);
        return [this, &log] {
          log.down = false;
          RecordLogEvent(event_kind::kLogUp);
        };
      case fault_kind::kLogSlow:
        log.min_delay = milliseconds(300);
        log.max_delay = milliseconds(1500);
        RecordLogEvent(event_kind::kLogDown);
        return [this, &log] {
          log.min_delay = memory_log_faults().min_delay;
          log.max_delay = memory_log_faults().max_delay;
          RecordLogEvent(event_kind::kLogUp);
        };
      case fault_kind::kLogAnswersLost:
        log.lost_answer_probability = 0.5;
        return [&log] { log.lost_answer_probability = 0; };
      case fault_kind::kTargetCrash:
        fleet_.targets().Crash(target_address);
        return nullptr;
      case fault_kind::kTargetCold:
        fleet_.targets().TurnCold(target_address);
        return nullptr;
      case fault_kind::kTargetSlow:
        fleet_.targets().SlowDown(target_address, 20,
                                  options_.load_duration / 2);
        return nullptr;
      case fault_kind::kTargetSheds:
        fleet_.targets().Shed(target_address, options_.load_duration / 2);
        return nullptr;
      case fault_kind::kTargetLeaving: {
        event new_event = MakeEvent(event_kind::kTargetLeaving);
        new_event.target = target_address;
        RecordEvent(new_event);
        fleet_.AnnounceTargetLeaving(machine, 0);
        return nullptr;
      }
      case fault_kind::kCrashingRequest:
        SendCrashingRequest();
        return nullptr;
      case fault_kind::kKeyWithdrawn:
        WithdrawKey();
        return nullptr;
      case fault_kind::kZoneOut:
        return TakeZoneOut(fleet_.spec(machine).zone);
    }
    return nullptr;
  }

  void KillNode(size_t machine) {
    planned_stops_.erase(machine);
    paused_machines_.erase(machine);
    fleet_.KillNode(machine);
  }

  // A pause is recorded as a stop of the node, and its end as a start.
  std::function<void()> PauseNode(size_t machine) {
    if (!fleet_.IsUp(machine) || !paused_machines_.insert(machine).second)
      return nullptr;
    RecordNodeEvent(event_kind::kNodeStopped, machine);
    fleet_.PauseNode(machine);
    return [this, machine] {
      if (paused_machines_.erase(machine) == 0)
        return;
      RecordNodeEvent(event_kind::kNodeStarted, machine);
      applied_offsets_[machine] = 0;
      fleet_.ResumeNode(machine);
    };
  }

  std::function<void()> PartitionNetwork() {
    std::set<std::string> one_side;
    std::set<std::string> other_side;
    for (size_t i = 0; i < fleet_.size(); ++i)
      (random_.Below(2) == 0 ? one_side : other_side)
          .insert(fleet_.PeerAddress(i));
    fleet_.network().Partition(one_side, other_side);
    return [this] { fleet_.network().Heal(); };
  }

  void SendCrashingRequest() {
    auto new_request = std::make_unique<caller_request>();
    new_request->route = random_.Below(2) == 0 ? request_route::kCalendar
                                               : request_route::kBooking;
    new_request->customer = 0;
    new_request->crashes_target = true;
    new_request->body = fake_target_options().crash_marker;
    if (new_request->route == request_route::kBooking)
      new_request->idempotency_key = NewIdempotencyKey();
    requests_.push_back(std::move(new_request));
    SendCopy(requests_.back().get());
  }

  void WithdrawKey() {
    Publish("/keys/" + KeyIdOf(kWithdrawnKeyCustomer),
            {{"customer", CustomerName(kWithdrawnKeyCustomer)},
             {"secret_sha256",
              Sha256Hex(ApiKeyOf(kWithdrawnKeyCustomer).substr(21))},
             {"state", "withdrawn"}});
    event new_event = MakeEvent(event_kind::kKeyWithdrawn);
    new_event.key_id = KeyIdOf(kWithdrawnKeyCustomer);
    RecordEvent(new_event);
  }

  std::function<void()> TakeZoneOut(const std::string& zone) {
    SetZoneState(zone, false);
    return [this, zone] { SetZoneState(zone, true); };
  }
  void SetZoneState(const std::string& zone, bool in_service) {
    Publish("/zones/" + zone, {{"state", in_service ? "in" : "out"}});
    event new_event =
        MakeEvent(in_service ? event_kind::kZoneIn : event_kind::kZoneOut);
    new_event.zone = zone;
    RecordEvent(new_event);
  }

  void AddViolation(const std::string& invariant, const std::string& message) {
    result_.violations[invariant].Add(invariant, message);
  }

  void CheckInvariants() {
    for (size_t i = 0; i < copies_.size(); ++i) {
      if (!copies_[i]->ended)
        AddViolation("response",
                     "no response to copy " + std::to_string(i + 1));
    }
    if (fleet_.duplicate_responses() > 0) {
      AddViolation("response",
                   std::to_string(fleet_.duplicate_responses()) +
                       " responses to requests that already had one");
    }
    for (const auto& request : requests_) {
      if (!request->outcome.empty())
        ++result_.requests_by_outcome[request->outcome];
    }
    for (const checker& invariant_checker : AllCheckers()) {
      findings found = invariant_checker.check(result_.history, {});
      if (!found.empty())
        result_.violations[invariant_checker.invariant].Append(found);
    }
  }

  fault_run_options options_;
  mt_random random_;
  fault_run_result result_;
  std::vector<std::unique_ptr<caller_request>> requests_;
  std::vector<std::unique_ptr<request_copy>> copies_;
  std::map<request_id, int> hand_over_counts_;
  std::set<std::string> cold_targets_;
  std::set<size_t> paused_machines_;
  std::vector<std::function<void()>> fault_ends_;
  duration load_duration_ = duration::zero();
  time_point load_end_;
  fleet fleet_;
  std::set<size_t> planned_stops_;
  std::vector<uint64_t> applied_offsets_;
};

}  // namespace

const std::vector<fault_kind>& AllFaultKinds() {
  static const std::vector<fault_kind> kinds = [] {
    std::vector<fault_kind> all;
    for (int i = 0; i <= static_cast<int>(fault_kind::kZoneOut); ++i)
      all.push_back(static_cast<fault_kind>(i));
    return all;
  }();
  return kinds;
}

const char* NameOf(fault_kind kind) {
  switch (kind) {
    case fault_kind::kNodeKilled:
      return "node_killed";
    case fault_kind::kNodeRestarted:
      return "node_restarted";
    case fault_kind::kNodePaused:
      return "node_paused";
    case fault_kind::kNodeDrained:
      return "node_drained";
    case fault_kind::kLinkSilent:
      return "link_silent";
    case fault_kind::kPartition:
      return "partition";
    case fault_kind::kMessageLoss:
      return "message_loss";
    case fault_kind::kMessageDuplication:
      return "message_duplication";
    case fault_kind::kMessageReordering:
      return "message_reordering";
    case fault_kind::kLogDown:
      return "log_down";
    case fault_kind::kLogSlow:
      return "log_slow";
    case fault_kind::kLogAnswersLost:
      return "log_answers_lost";
    case fault_kind::kTargetCrash:
      return "target_crash";
    case fault_kind::kTargetCold:
      return "target_cold";
    case fault_kind::kTargetSlow:
      return "target_slow";
    case fault_kind::kTargetSheds:
      return "target_sheds";
    case fault_kind::kTargetLeaving:
      return "target_leaving";
    case fault_kind::kCrashingRequest:
      return "crashing_request";
    case fault_kind::kKeyWithdrawn:
      return "key_withdrawn";
    case fault_kind::kZoneOut:
      return "zone_out";
  }
  return "unknown";
}

std::string fault_run_result::ToText() const {
  std::string text = "faults:";
  for (const fault_kind kind : faults)
    text += std::string(" ") + NameOf(kind);
  text += "\n";
  for (const auto& [invariant, invariant_findings] : violations)
    text += invariant_findings.ToText();
  return text;
}

fault_run_result RunWithFaults(const fault_run_options& options) {
  return fault_run(options).Run();
}

}  // namespace skylarkhoist
