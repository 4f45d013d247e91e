// Replays load on a service deep in a chain through the decisions that take
// part: the door of the entry and the gate beside the target.

#include <CppUTest/TestHarness.h>

#include <array>
#include <map>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "decisions/admission.h"
#include "decisions/target_gate.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 16;
constexpr milliseconds kRun(20);
constexpr int kCallsPerRequest = 8;
constexpr milliseconds kLongestWait(300);
// Requests a second that the deep target bears.
constexpr double kCapacity = kSlots / 0.02 / kCallsPerRequest;

// Requests arrive at one entry, pass its door, and make calls to one deep
// target, one after the other. A request whose call is refused has failed.
class deep_service {
 public:
  explicit deep_service(double cold_per_second = 0,
                        std::optional<priority_class> customer = std::nullopt)
      : customer_(customer),
        gate_(Settings(cold_per_second), now_, Plugins()),
        door_(DoorOptions()) {}

  void SetCold(duration length) { gate_.SetCold(now_ + length, now_); }

  // Requests a second of each rank for `length`.
  void Offer(int browse, int critical, duration length) {
    const time_point end = now_ + length;
    std::array<double, 3> due{};
    for (; now_ < end; now_ += milliseconds(1)) {
      due[0] += browse / 1000.0;
      due[2] += critical / 1000.0;
      for (size_t rank = 0; rank < due.size(); ++rank) {
        for (; due[rank] >= 1.0; due[rank] -= 1.0)
          Arrive(rank);
      }
      Finish();
      Serve();
    }
  }

  // By rank, since the last call of this function.
  struct counts {
    std::array<int, 3> offered{};
    std::array<int, 3> served{};
    int failed = 0;
  };
  counts Take() { return std::exchange(counts_, counts()); }

 private:
  struct request {
    size_t rank;
    int calls_left = kCallsPerRequest;
  };

  static service_config Settings(double cold_per_second) {
    service_config settings;
    settings.max_limit = kSlots;
    settings.cold_per_second = cold_per_second;
    return settings;
  }
  static gate_plugins Plugins() {
    gate_plugins plugins;
    plugins.limit = "static";
    plugins.admitted_wait = true;
    plugins.new_share = 0.15;
    return plugins;
  }
  static admission_options DoorOptions() {
    admission_options options;
    options.floor_share = 0.12;
    options.check_admitted = false;
    options.largest_cut = 0.5;
    options.chain_target_load = 1150;
    return options;
  }

  void Arrive(size_t rank) {
    ++counts_.offered[rank];
    if (door_.Check("bookings", {"calendar"}, RankOf(customer_, kRoutes[rank]),
                    false, now_, random_))
      return;
    const uint64_t number = next_++;
    requests_[number] = {rank};
    Call(number);
  }

  void Call(uint64_t number) {
    gate_call call;
    call.id = {1, next_++};
    call.rank = priority_class::kNormal;
    call.admitted = true;
    call.deadline = now_ + seconds(5);
    call.wait_until = now_ + kLongestWait;
    owners_[call.id.sequence] = number;
    if (gate_.Enqueue(call, now_))
      Fail(call.id);
  }

  void Serve() {
    while (const auto next = gate_.TakeNext(now_))
      running_.push({now_ + kRun, next->id});
    for (const gate_refusal& refusal : gate_.TakeRefused(now_))
      Fail(refusal.id);
  }

  void Finish() {
    while (!running_.empty() && running_.front().first <= now_) {
      const request_id id = running_.front().second;
      running_.pop();
      gate_.OnFinished(id, gate_result::kSuccess, now_);
      const uint64_t number = Report(id);
      request& parent = requests_.at(number);
      if (--parent.calls_left > 0) {
        Call(number);
        continue;
      }
      ++counts_.served[parent.rank];
      requests_.erase(number);
    }
  }

  void Fail(const request_id& id) {
    requests_.erase(Report(id));
    ++counts_.failed;
  }

  // The answer of a call tells the door of the load. Returns its request.
  uint64_t Report(const request_id& id) {
    door_.OnLoad("calendar", gate_.PressurePermille(now_), now_);
    const auto found = owners_.find(id.sequence);
    const uint64_t number = found->second;
    owners_.erase(found);
    return number;
  }

  static constexpr std::array<priority_class, 3> kRoutes = {
      priority_class::kBrowse, priority_class::kNormal,
      priority_class::kCritical};

  std::optional<priority_class> customer_;
  time_point now_{std::chrono::hours(1)};
  mt_random random_{7};
  target_gate gate_;
  admission door_;
  std::map<uint64_t, request> requests_;
  std::map<uint64_t, uint64_t> owners_;
  // In order of their end, since all runs take the same time.
  std::queue<std::pair<time_point, request_id>> running_;
  uint64_t next_ = 1;
  counts counts_;
};

TEST_GROUP(deep_overload){};

// Load pattern: for seconds, twice what a deep service with few slots and short
// runs bears, where each request makes many calls. Dozens of waiting calls are
// a short wait there. Guards against a door that takes them for a long one and
// shuts out what the service would bear, and most of all what matters most.
TEST(deep_overload, TheDeepServiceStaysBusyAndCriticalRequestsPass) {
  // Without a class of the customer, and with one that all its requests have.
  for (const auto customer :
       {std::optional<priority_class>(),
        std::optional<priority_class>(priority_class::kNormal)}) {
    deep_service service(0, customer);
    service.Offer(20, 20, seconds(2));
    service.Offer(120, 80, seconds(2));
    service.Take();
    service.Offer(120, 80, seconds(8));
    const auto counts = service.Take();
    const double served = counts.served[0] + counts.served[2];
    CHECK_TRUE(served >= 0.95 * kCapacity * 8);
    // Critical requests alone are four fifths of what the service bears.
    CHECK_TRUE(counts.served[2] >= 0.85 * counts.offered[2]);
    CHECK_TRUE(counts.failed <= 0.1 * served);
  }
}

// Guards against ranks that are shed in another order than that of customers
// first and routes second.
TEST(deep_overload, ACustomersClassGoesBeforeThatOfTheRoute) {
  constexpr std::array<priority_class, 3> kNamed = {priority_class::kBrowse,
                                                    priority_class::kNormal,
                                                    priority_class::kCritical};
  size_t level = 0;
  for (const priority_class customer : kNamed) {
    CHECK_TRUE(RankOf(std::nullopt, customer) == customer);
    CHECK_TRUE(RankOf(customer, customer) == customer);
    for (const priority_class route : kNamed) {
      const priority_class rank = RankOf(customer, route);
      LONGS_EQUAL(level++, static_cast<size_t>(rank));
      CHECK_TRUE(IsCriticalRoute(rank) == (route == priority_class::kCritical));
    }
  }
  LONGS_EQUAL(kPriorityLevels, level);
}

// Load pattern: a deep service comes back cold under full load, and bears few
// calls a second while it is. Guards against requests that are let in to fail
// there.
TEST(deep_overload, FewRequestsAreLetInToAColdService) {
  deep_service service(50);
  service.Offer(20, 20, seconds(2));
  service.SetCold(seconds(6));
  service.Offer(60, 60, seconds(2));
  service.Take();
  service.Offer(60, 60, seconds(4));
  const auto counts = service.Take();
  CHECK_TRUE(counts.failed <= 0.25 * (counts.offered[0] + counts.offered[2]));
}

}  // namespace
}  // namespace skylarkhoist
