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

// Until the roster is recorded, shard owners have waited out loans that an
// earlier owner could have given, and idempotency keys can be claimed.
constexpr duration kFormation = seconds(8);
constexpr int kCustomers = 3;
// Customer 1 sends more than its rate, so that the rate limit counts.
constexpr int kLimitedCustomer = 1;
constexpr double kLimitedRate = 12;
constexpr double kLimitedBurst = 10;
// Customer 2 loses its key.
constexpr int kWithdrawnCustomer = 2;
constexpr duration kRequestDeadline = seconds(1);
constexpr int kMaxCopies = 8;
// Added to the load of runs with faults that stop work.
constexpr duration kStopTime = seconds(3);
constexpr duration kPollInterval = milliseconds(50);

uint64_t Checksum(const std::string& body) {
  return XXH64(body.data(), body.size(), 0);
}

std::string KeyIdOf(int customer) {
  return KeyOf(customer).substr(4, 16);
}

std::string CustomerName(int customer) {
  return "customer-" + std::to_string(customer);
}

class fault_run : private fake_targets::run_observer {
 public:
  explicit fault_run(const fault_run_options& options)
      : options_(options),
        random_(options.seed),
        fleet_(Machines(options), options.seed, {}, Common(options)),
        applied_(options.machines, 0) {}

  fault_run_result Run() {
    Prepare();
    fleet_.Advance(kFormation);
    DrawFaults();
    load_end_ = Now() + length_;
    ScheduleFaults();
    ScheduleNext();
    fleet_.Advance(length_);
    EndFaults();
    // The last copies are sent one deadline after the load at the latest, and
    // end within one more.
    fleet_.Advance(2 * kRequestDeadline + seconds(1));
    Check();
    return std::move(result_);
  }

 private:
  enum class route { kBrowse, kCalendar, kBooking };

  // A request of a caller with all its copies.
  struct caller_request {
    route kind = route::kBrowse;
    int customer = -1;
    std::string idempotency_key;
    std::string body;
    int copies = 0;
    int open = 0;
    bool crashing = false;
    // "answered", "unknown" or the outcome of the last copy.
    std::string outcome;
  };
  struct copy {
    caller_request* request = nullptr;
    size_t machine = 0;
    bool ended = false;
    std::string admitted_customer;
    uint64_t number = 0;
  };

  static std::vector<fleet_machine> Machines(const fault_run_options& options) {
    std::vector<fleet_machine> machines = SmallDeployment(options.machines);
    for (fleet_machine& machine : machines)
      machine.targets[0].child_calls = options.child_calls;
    return machines;
  }

  node_options Common(const fault_run_options& options) {
    node_options common = options.common;
    common.new_fleet = true;
    common.on_admitted = [this](const http_request& request,
                                const std::string& customer, int credit) {
      OnAdmitted(request, customer, credit);
    };
    return common;
  }

  time_point Now() { return fleet_.clock().Now(); }
  void After(duration delay, std::function<void()> action) {
    fleet_.clock().RunAfter(delay, std::move(action));
  }
  duration Draw(duration low, duration high) {
    return low +
           duration(static_cast<duration::rep>(
               random_.Fraction() * static_cast<double>((high - low).count())));
  }

  event Make(event_kind kind) {
    event made;
    made.at = Now();
    made.kind = kind;
    return made;
  }
  event& Fill(event* made, size_t machine) {
    made->node = fleet_.spec(machine).name;
    made->zone = fleet_.spec(machine).zone;
    return *made;
  }
  void Record(event made) { result_.history.Add(std::move(made)); }
  void RecordNode(event_kind kind, size_t machine, bool planned = false) {
    event made = Make(kind);
    made.planned = planned;
    Record(Fill(&made, machine));
  }

  void Publish(const std::string& path, const json& value) {
    fleet_.Publish(path, value);
    event made = Make(event_kind::kConfigAccepted);
    made.offset = fleet_.log().end_offset() - 1;
    Record(made);
  }

  void Prepare() {
    PublishSmallDeployment(&fleet_, kCustomers);
    Publish("/rates/" + CustomerName(kLimitedCustomer),
            {{"per_second", kLimitedRate}, {"burst", kLimitedBurst}});
    for (int i = 0; i < kCustomers; ++i) {
      event key = Make(event_kind::kKeyIssued);
      key.key_id = KeyIdOf(i);
      key.customer = CustomerName(i);
      Record(key);
      event rate = Make(event_kind::kRateSet);
      rate.customer = CustomerName(i);
      rate.rate = i == kLimitedCustomer ? kLimitedRate : 1000;
      rate.burst = i == kLimitedCustomer ? kLimitedBurst : 1000;
      Record(rate);
    }
    for (size_t i = 0; i < fleet_.size(); ++i)
      RecordNode(event_kind::kNodeStarted, i);
    fleet_.targets().ObserveRuns(this);
    fleet_.ObserveStops([this](size_t machine) {
      RecordNode(event_kind::kNodeStopped, machine,
                 planned_.erase(machine) > 0);
    });
    Poll();
  }

  // Notes the configuration that each node has applied.
  void Poll() {
    for (size_t i = 0; i < fleet_.size(); ++i) {
      node* running = fleet_.node_of(i);
      if (running == nullptr || paused_.count(i) > 0)
        continue;
      const uint64_t offset = running->config().applied_offset();
      if (offset == applied_[i])
        continue;
      applied_[i] = offset;
      event made = Make(event_kind::kConfigApplied);
      made.offset = offset;
      Record(Fill(&made, i));
    }
    After(kPollInterval, [this] { Poll(); });
  }

  void ScheduleNext() {
    const auto mean =
        std::chrono::duration<double>(1 / options_.requests_per_second);
    After(std::chrono::duration_cast<duration>(mean * (2 * random_.Fraction())),
          [this] {
            if (Now() >= load_end_)
              return;
            NewRequest();
            ScheduleNext();
          });
  }

  void NewRequest() {
    auto made = std::make_unique<caller_request>();
    const uint64_t kind = random_.Below(10);
    made->kind = kind < 2   ? route::kBrowse
                 : kind < 5 ? route::kCalendar
                            : route::kBooking;
    if (made->kind != route::kBrowse)
      made->customer = static_cast<int>(random_.Below(kCustomers));
    made->body = "request " + std::to_string(requests_.size());
    if (made->kind == route::kBooking)
      made->idempotency_key = NewIdempotencyKey();
    requests_.push_back(std::move(made));
    caller_request* request = requests_.back().get();
    SendCopy(request);
    // An impatient caller sends a booking twice at once.
    if (request->kind == route::kBooking && random_.Below(10) == 0)
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

  std::optional<size_t> ChooseMachine() {
    std::vector<size_t> up;
    for (size_t i = 0; i < fleet_.size(); ++i) {
      if (fleet_.IsUp(i))
        up.push_back(i);
    }
    if (up.empty())
      return std::nullopt;
    return up[random_.Below(up.size())];
  }

  void SendCopy(caller_request* request) {
    if (request->outcome == "answered" || request->copies >= kMaxCopies)
      return;
    const auto machine = ChooseMachine();
    if (!machine)
      return;
    ++request->copies;
    ++request->open;
    copies_.push_back(std::make_unique<copy>());
    const uint64_t sequence = copies_.size();
    copy* sent = copies_.back().get();
    sent->request = request;
    sent->machine = *machine;
    event made = EventOf(event_kind::kSent, sequence);
    Record(Fill(&made, *machine));

    const bool keyed = request->customer >= 0;
    http_request message;
    switch (request->kind) {
      case route::kBrowse:
        message = MakeRequest("GET", "/browse", "", request->body);
        break;
      case route::kCalendar:
        message = MakeRequest("GET", "/calendar/day", KeyOf(request->customer),
                              request->body);
        break;
      case route::kBooking:
        message = MakeRequest("POST", "/bookings", KeyOf(request->customer),
                              request->body);
        message.headers.Add("Idempotency-Key", request->idempotency_key);
        break;
    }
    if (!keyed)
      message.headers.Remove("Authorization");
    message.headers.Add(fleet::kTraceHeader, std::to_string(sequence));
    message.headers.Add("Skylark-Deadline-Ms",
                        std::to_string(ToMilliseconds(kRequestDeadline)));
    sent->number = fleet_.Send(
        *machine, std::move(message),
        [this, sequence](const std::optional<http_response>& response) {
          OnEnd(sequence, response);
        });
    if (request->kind == route::kBooking && random_.Below(20) == 0) {
      After(Draw(milliseconds(1), milliseconds(25)), [this, sent] {
        if (!sent->ended)
          fleet_.DropConnection(sent->machine, sent->number);
      });
    }
  }

  void OnEnd(uint64_t sequence, const std::optional<http_response>& response) {
    copy* sent = copies_[sequence - 1].get();
    caller_request* request = sent->request;
    if (std::exchange(sent->ended, true))
      Violate("response",
              "second response to copy " + std::to_string(sequence));
    --request->open;
    const std::string ran = response ? HeaderOf(*response, "Skylark-Ran") : "";
    event made = EventOf(ran == "yes"  ? event_kind::kAnswered
                         : ran == "no" ? event_kind::kRefused
                                       : event_kind::kFailed,
                         sequence);
    made.reason =
        response ? HeaderOf(*response, "Skylark-Reason") : "connection";
    ++result_.reasons[made.reason];
    if (response)
      made.checksum = Checksum(response->body);
    if (ran == "yes")
      request->outcome = "answered";
    else if (request->outcome != "answered")
      request->outcome = ran == "no" ? "refused" : "unknown";
    Record(Fill(&made, sent->machine));
    // A refusal for good is not worth another copy.
    const bool final = made.reason == "duplicate_unknown" ||
                       made.reason == "key_withdrawn" ||
                       made.reason == "quarantined";
    if (request->outcome == "answered" || final ||
        Now() >= load_end_ + kRequestDeadline ||
        (request->kind != route::kBooking && !request->crashing))
      return;
    // Callers wait after a refusal, and send at once after a broken connection.
    const duration wait = made.kind == event_kind::kRefused
                              ? Draw(milliseconds(100), milliseconds(600))
                              : Draw(milliseconds(0), milliseconds(50));
    After(wait, [this, request] { SendCopy(request); });
  }

  // An event of a copy, or of one of its child calls.
  event EventOf(event_kind kind, uint64_t sequence, uint64_t child = 0) {
    const copy& sent = *copies_[sequence - 1];
    const caller_request& request = *sent.request;
    event made = Make(kind);
    made.root = {1, sequence};
    made.id = {1 + child, sequence};
    if (request.customer >= 0) {
      made.customer = CustomerName(request.customer);
      made.key_id = KeyIdOf(request.customer);
    }
    made.open_route = request.kind == route::kBrowse;
    made.rank = request.kind == route::kBrowse     ? priority_class::kBrowse
                : request.kind == route::kCalendar ? priority_class::kNormal
                                                   : priority_class::kCritical;
    made.service = "calendar";
    if (request.kind == route::kBooking && child == 0) {
      made.service = "bookings";
      made.repeatable = false;
      made.idempotency_key = request.idempotency_key;
    }
    return made;
  }

  void OnAdmitted(const http_request& request,
                  const std::string& customer,
                  int credit) {
    const std::string* trace = request.headers.Find(fleet::kTraceHeader);
    if (trace == nullptr)
      return;
    const uint64_t sequence = std::strtoull(trace->c_str(), nullptr, 10);
    copies_[sequence - 1]->admitted_customer = customer;
    event made = EventOf(event_kind::kAdmitted, sequence);
    made.customer = customer;
    made.credit = credit;
    Record(made);
  }

  // Events at targets carry the customer for whom the entry admitted the
  // request.
  event TargetEvent(event_kind kind,
                    const std::string& address,
                    const http_request& request) {
    const std::string* trace = request.headers.Find(fleet::kTraceHeader);
    const uint64_t sequence = std::strtoull(trace->c_str(), nullptr, 10);
    const size_t slash = trace->find('/');
    const uint64_t child =
        slash == std::string::npos
            ? 0
            : std::strtoull(trace->c_str() + slash + 1, nullptr, 10);
    event made = EventOf(kind, sequence, child);
    made.customer = copies_[sequence - 1]->admitted_customer;
    made.target = address;
    for (size_t i = 0; i < fleet_.size(); ++i) {
      if (fleet_.TargetAddress(i, 0) == address)
        Fill(&made, i);
    }
    made.key_seen = request.headers.Find("Authorization") != nullptr;
    made.attempt = hand_overs_[made.id] - 1;
    return made;
  }

  void OnHandedOver(const std::string& address,
                    const http_request& request,
                    bool taken) override {
    event made = TargetEvent(event_kind::kHandedOver, address, request);
    // A call that the target did not take is over at once: the end of its node
    // cuts nothing.
    if (!taken)
      made.node.clear();
    made.attempt = hand_overs_[made.id]++;
    Record(made);
  }

  void OnRunStarted(const std::string& address,
                    const http_request& request) override {
    Record(TargetEvent(event_kind::kRunStarted, address, request));
  }

  void OnRunEnded(const std::string& address,
                  const http_request& request,
                  const std::string& body) override {
    event made = TargetEvent(event_kind::kRunEnded, address, request);
    made.checksum = Checksum(body);
    Record(made);
    NoteWarmth(address);
  }

  // A target counts as cold from its first sign on: a node cannot know sooner.
  void NoteWarmth(const std::string& address) {
    const bool cold = fleet_.targets().IsCold(address);
    if (cold == (cold_.count(address) > 0))
      return;
    if (cold)
      cold_.insert(address);
    else
      cold_.erase(address);
    event made = Make(cold ? event_kind::kTargetCold : event_kind::kTargetWarm);
    made.target = address;
    made.capacity = fake_target_options().cold_capacity;
    Record(made);
  }

  void DrawFaults() {
    result_.faults = options_.faults;
    if (result_.faults.empty()) {
      const auto& kinds = AllFaultKinds();
      const uint64_t count = 1 + random_.Below(2);
      while (result_.faults.size() < count)
        result_.faults.push_back(kinds[random_.Below(kinds.size())]);
    }
    const bool stops_work =
        std::any_of(result_.faults.begin(), result_.faults.end(), StopsWork);
    length_ = options_.length + (stops_work ? kStopTime : duration::zero());
  }

  // Faults after which new work must stop within the bound of 3 s.
  static bool StopsWork(fault_kind kind) {
    return kind == fault_kind::kKeyWithdrawn || kind == fault_kind::kZoneOut ||
           kind == fault_kind::kTargetLeaving;
  }

  // Faults that stop work begin soon and last, so that much of the load comes
  // after the bound; so do pauses beside them, since a node that resumes must
  // not act on what it knew before.
  void ScheduleFaults() {
    const bool stops_work = length_ > options_.length;
    for (const fault_kind kind : result_.faults) {
      const bool soon =
          StopsWork(kind) || (stops_work && kind == fault_kind::kNodePaused);
      const duration start =
          Draw(milliseconds(100), soon ? milliseconds(500) : length_ / 2);
      const duration span = soon ? Draw(length_ / 2, length_ - seconds(1))
                                 : Draw(milliseconds(200), length_ / 2);
      const size_t machine = random_.Below(fleet_.size());
      After(start, [this, kind, machine, span] {
        const std::function<void()> end = Begin(kind, machine);
        if (!end)
          return;
        const auto number = ends_.size();
        ends_.push_back(end);
        After(span, [this, number] { EndFault(number); });
      });
    }
  }

  void EndFault(size_t number) {
    if (ends_[number])
      std::exchange(ends_[number], nullptr)();
  }
  void EndFaults() {
    for (size_t i = 0; i < ends_.size(); ++i)
      EndFault(i);
  }

  void Start(size_t machine) {
    if (fleet_.IsUp(machine))
      return;
    fleet_.StartNode(machine);
    applied_[machine] = 0;
    RecordNode(event_kind::kNodeStarted, machine);
  }

  void SetLog(event_kind kind) { Record(Make(kind)); }

  // Begins a fault; returns how to end it, or nothing when it ends by itself.
  std::function<void()> Begin(fault_kind kind, size_t machine) {
    const std::string target = fleet_.TargetAddress(machine, 0);
    memory_network& network = fleet_.network();
    memory_log_faults& log = fleet_.log().faults();
    switch (kind) {
      case fault_kind::kNodeKilled:
        Kill(machine);
        return nullptr;
      case fault_kind::kNodeRestarted:
        Kill(machine);
        return [this, machine] { Start(machine); };
      case fault_kind::kNodePaused:
        return Pause(machine);
      case fault_kind::kNodeDrained:
        if (!fleet_.IsUp(machine))
          return nullptr;
        planned_.insert(machine);
        RecordNode(event_kind::kNodeStopping, machine, true);
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
        return Partition();
      case fault_kind::kMessageLoss:
        network.options().loss = 0.05;
        return [&network] { network.options().loss = 0; };
      case fault_kind::kMessageDuplication:
        network.options().duplication = 0.2;
        return [&network] { network.options().duplication = 0; };
      case fault_kind::kMessageReordering:
        network.options().reordering = 0.2;
        return [&network] { network.options().reordering = 0; };
      case fault_kind::kLogDown:
        log.down = true;
        SetLog(event_kind::kLogDown);
        return [this, &log] {
          log.down = false;
          SetLog(event_kind::kLogUp);
        };
      case fault_kind::kLogSlow:
        log.min_delay = milliseconds(300);
        log.max_delay = milliseconds(1500);
        SetLog(event_kind::kLogDown);
        return [this, &log] {
          log.min_delay = memory_log_faults().min_delay;
          log.max_delay = memory_log_faults().max_delay;
          SetLog(event_kind::kLogUp);
        };
      case fault_kind::kLogAnswersLost:
        log.lost_answers = 0.5;
        return [&log] { log.lost_answers = 0; };
      case fault_kind::kTargetCrash:
        fleet_.targets().Crash(target);
        return nullptr;
      case fault_kind::kTargetCold:
        fleet_.targets().TurnCold(target);
        return nullptr;
      case fault_kind::kTargetSlow:
        fleet_.targets().SlowDown(target, 20, options_.length / 2);
        return nullptr;
      case fault_kind::kTargetSheds:
        fleet_.targets().Shed(target, options_.length / 2);
        return nullptr;
      case fault_kind::kTargetLeaving: {
        event made = Make(event_kind::kTargetLeaving);
        made.target = target;
        Record(made);
        fleet_.LeaveTarget(machine, 0);
        return nullptr;
      }
      case fault_kind::kCrashingRequest:
        SendCrashing();
        return nullptr;
      case fault_kind::kKeyWithdrawn:
        WithdrawKey();
        return nullptr;
      case fault_kind::kZoneOut:
        return TakeZoneOut(fleet_.spec(machine).zone);
    }
    return nullptr;
  }

  void Kill(size_t machine) {
    planned_.erase(machine);
    paused_.erase(machine);
    fleet_.KillNode(machine);
  }

  // To the checkers a paused node does not run.
  std::function<void()> Pause(size_t machine) {
    if (!fleet_.IsUp(machine) || !paused_.insert(machine).second)
      return nullptr;
    RecordNode(event_kind::kNodeStopped, machine);
    fleet_.PauseNode(machine);
    return [this, machine] {
      if (paused_.erase(machine) == 0)
        return;
      RecordNode(event_kind::kNodeStarted, machine);
      applied_[machine] = 0;
      fleet_.ResumeNode(machine);
    };
  }

  std::function<void()> Partition() {
    std::set<std::string> one;
    std::set<std::string> other;
    for (size_t i = 0; i < fleet_.size(); ++i)
      (random_.Below(2) == 0 ? one : other).insert(fleet_.PeerAddress(i));
    fleet_.network().Partition(one, other);
    return [this] { fleet_.network().Heal(); };
  }

  void SendCrashing() {
    auto made = std::make_unique<caller_request>();
    made->kind = random_.Below(2) == 0 ? route::kCalendar : route::kBooking;
    made->customer = 0;
    made->crashing = true;
    made->body = fake_target_options().crash_mark;
    if (made->kind == route::kBooking)
      made->idempotency_key = NewIdempotencyKey();
    requests_.push_back(std::move(made));
    SendCopy(requests_.back().get());
  }

  void WithdrawKey() {
    Publish("/keys/" + KeyIdOf(kWithdrawnCustomer),
            {{"customer", CustomerName(kWithdrawnCustomer)},
             {"secret_sha256", Sha256Hex(KeyOf(kWithdrawnCustomer).substr(21))},
             {"state", "withdrawn"}});
    event made = Make(event_kind::kKeyWithdrawn);
    made.key_id = KeyIdOf(kWithdrawnCustomer);
    Record(made);
  }

  std::function<void()> TakeZoneOut(const std::string& zone) {
    SetZone(zone, false);
    return [this, zone] { SetZone(zone, true); };
  }
  void SetZone(const std::string& zone, bool in) {
    Publish("/zones/" + zone, {{"state", in ? "in" : "out"}});
    event made = Make(in ? event_kind::kZoneIn : event_kind::kZoneOut);
    made.zone = zone;
    Record(made);
  }

  void Violate(const std::string& invariant, const std::string& message) {
    result_.violations[invariant].Add(invariant, message);
  }

  void Check() {
    for (size_t i = 0; i < copies_.size(); ++i) {
      if (!copies_[i]->ended)
        Violate("response", "no response to copy " + std::to_string(i + 1));
    }
    if (fleet_.second_responses() > 0) {
      Violate("response",
              std::to_string(fleet_.second_responses()) + " second responses");
    }
    for (const auto& request : requests_) {
      if (!request->outcome.empty())
        ++result_.requests[request->outcome];
    }
    for (const checker& each : AllCheckers()) {
      findings found = each.check(result_.history, {});
      if (!found.empty())
        result_.violations[each.invariant].Append(found);
    }
  }

  fault_run_options options_;
  mt_random random_;
  fault_run_result result_;
  std::vector<std::unique_ptr<caller_request>> requests_;
  std::vector<std::unique_ptr<copy>> copies_;
  std::map<request_id, int> hand_overs_;
  std::set<std::string> cold_;
  std::set<size_t> paused_;
  std::vector<std::function<void()>> ends_;
  duration length_ = duration::zero();
  time_point load_end_;
  fleet fleet_;
  std::set<size_t> planned_;
  std::vector<uint64_t> applied_;
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
  for (const auto& [invariant, found] : violations)
    text += found.ToText();
  return text;
}

fault_run_result RunFaults(const fault_run_options& options) {
  return fault_run(options).Run();
}

}  // namespace skylarkhoist
