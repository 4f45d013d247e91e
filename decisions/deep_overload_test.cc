// Simulates overload of a service at the end of a call chain with the two
// decisions involved: admission control at the entry and the scheduler of the
// target.

#include <CppUTest/TestHarness.h>

#include <array>
#include <map>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "decisions/admission_controller.h"
#include "decisions/target_scheduler.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 16;
constexpr milliseconds kRunTime(20);
constexpr int kCallsPerRequest = 8;
constexpr milliseconds kMaxWait(300);
// Requests per second that the target can serve.
constexpr double kCapacityPerSecond = kSlots / 0.02 / kCallsPerRequest;

// Requests arrive at one entry, pass its admission control, and make calls in
// sequence to one target of a downstream service. A request fails when one of
// its calls is refused.
class simulated_service {
 public:
  explicit simulated_service(
      double cold_per_second = 0,
      std::optional<priority_class> customer = std::nullopt)
      : customer_(customer),
        scheduler_(ServiceSettings(cold_per_second), now_, SchedulerPlugins()),
        admission_(AdmissionOptions()) {}

  void SetCold(duration length) { scheduler_.SetCold(now_ + length, now_); }

  // Offers requests of each class, at rates per second, for `length`.
  void Offer(int browse, int critical, duration length) {
    const time_point end = now_ + length;
    std::array<double, 3> due{};
    for (; now_ < end; now_ += milliseconds(1)) {
      due[0] += browse / 1000.0;
      due[2] += critical / 1000.0;
      for (size_t route_class = 0; route_class < due.size(); ++route_class) {
        for (; due[route_class] >= 1.0; due[route_class] -= 1.0)
          Arrive(route_class);
      }
      Finish();
      Serve();
    }
  }

  // Counts by route class since the last call of TakeCounts.
  struct counts {
    std::array<int, 3> offered{};
    std::array<int, 3> served{};
    int failed = 0;
  };
  counts TakeCounts() { return std::exchange(counts_, counts()); }

 private:
  struct request {
    size_t route_class;
    int calls_left = kCallsPerRequest;
  };

  static service_config ServiceSettings(double cold_per_second) {
    service_config settings;
    settings.max_limit = kSlots;
    settings.cold_per_second = cold_per_second;
    return settings;
  }
  static scheduler_plugins SchedulerPlugins() {
    scheduler_plugins plugins;
    plugins.limit = "static";
    plugins.exempt_admitted = true;
    plugins.min_new_share = 0.15;
    return plugins;
  }
  static admission_options AdmissionOptions() {
    admission_options options;
    options.min_class_share = 0.12;
    options.check_admitted = false;
    options.min_decrease_factor = 0.5;
    options.downstream_target_permille = 1150;
    return options;
  }

  void Arrive(size_t route_class) {
    ++counts_.offered[route_class];
    if (admission_.Check(
            "bookings", {"calendar"},
            EffectivePriority(customer_, kRouteClasses[route_class]), false,
            now_, random_))
      return;
    const uint64_t number = next_number_++;
    requests_[number] = {route_class};
    Call(number);
  }

  void Call(uint64_t number) {
    queued_call call;
    call.id = {1, next_number_++};
    call.priority = priority_class::kNormal;
    call.admitted = true;
    call.deadline = now_ + seconds(5);
    call.wait_until = now_ + kMaxWait;
    request_by_call_[call.id.sequence] = number;
    if (scheduler_.Enqueue(call, now_))
      Fail(call.id);
  }

  void Serve() {
    while (const auto next = scheduler_.TakeNext(now_))
      running_.push({now_ + kRunTime, next->id});
    for (const refused_call& refusal : scheduler_.TakeRefused(now_))
      Fail(refusal.id);
  }

  void Finish() {
    while (!running_.empty() && running_.front().first <= now_) {
      const request_id id = running_.front().second;
      running_.pop();
      scheduler_.OnFinished(id, call_outcome::kSuccess, now_);
      const uint64_t number = ReportLoad(id);
      request& parent = requests_.at(number);
      if (--parent.calls_left > 0) {
        Call(number);
        continue;
      }
      ++counts_.served[parent.route_class];
      requests_.erase(number);
    }
  }

  void Fail(const request_id& id) {
    requests_.erase(ReportLoad(id));
    ++counts_.failed;
  }

  // Reports the load to admission control, as the answer of a call does.
  // Returns the number of the request that made the call.
  uint64_t ReportLoad(const request_id& id) {
    admission_.OnLoadReport("calendar", scheduler_.PressurePermille(now_),
                            now_);
    const auto found = request_by_call_.find(id.sequence);
    const uint64_t number = found->second;
    request_by_call_.erase(found);
    return number;
  }

  static constexpr std::array<priority_class, 3> kRouteClasses = {
      priority_class::kBrowse, priority_class::kNormal,
      priority_class::kCritical};

  std::optional<priority_class> customer_;
  time_point now_{std::chrono::hours(1)};
  mt_random random_{7};
  target_scheduler scheduler_;
  admission_controller admission_;
  std::map<uint64_t, request> requests_;
  std::map<uint64_t, uint64_t> request_by_call_;
  // Ordered by end, since all runs take the same time.
  std::queue<std::pair<time_point, request_id>> running_;
  uint64_t next_number_ = 1;
  counts counts_;
};

TEST_GROUP(deep_overload){};

// Load pattern: for seconds, twice the load that a downstream service with few
// slots and short runs can serve, where each request makes many calls. Dozens
// of waiting calls mean only a short wait there. Guards against admission
// control that takes them for a long wait, and refuses requests that the
// service could serve, most of all critical ones.
TEST(deep_overload, KeepsTheServiceBusyAndPassesCriticalRequests) {
  // Without a customer class, and with one that applies to all requests.
  for (const auto customer :
       {std::optional<priority_class>(),
        std::optional<priority_class>(priority_class::kNormal)}) {
    simulated_service service(0, customer);
    service.Offer(20, 20, seconds(2));
    service.Offer(120, 80, seconds(2));
    service.TakeCounts();
    service.Offer(120, 80, seconds(8));
    const auto counts = service.TakeCounts();
    const double served = counts.served[0] + counts.served[2];
    CHECK_TRUE(served >= 0.95 * kCapacityPerSecond * 8);
    // Critical requests alone take four fifths of the capacity.
    CHECK_TRUE(counts.served[2] >= 0.85 * counts.offered[2]);
    CHECK_TRUE(counts.failed <= 0.1 * served);
  }
}

// Guards against ordering requests in any other way than by the class of the
// customer first and that of the route second.
TEST(deep_overload, CustomerClassTakesPrecedenceOverRouteClass) {
  constexpr std::array<priority_class, 3> kClasses = {
      priority_class::kBrowse, priority_class::kNormal,
      priority_class::kCritical};
  size_t expected = 0;
  for (const priority_class customer : kClasses) {
    CHECK_TRUE(EffectivePriority(std::nullopt, customer) == customer);
    CHECK_TRUE(EffectivePriority(customer, customer) == customer);
    for (const priority_class route : kClasses) {
      const priority_class priority = EffectivePriority(customer, route);
      LONGS_EQUAL(expected++, static_cast<size_t>(priority));
      CHECK_TRUE(IsCriticalRoute(priority) ==
                 (route == priority_class::kCritical));
    }
  }
  LONGS_EQUAL(kPriorityLevels, expected);
}

// Load pattern: a downstream service restarts cold under full load, and can
// take few calls per second until it is warm. Guards against admitting requests
// that then fail there.
TEST(deep_overload, AdmitsFewRequestsForAColdService) {
  simulated_service service(50);
  service.Offer(20, 20, seconds(2));
  service.SetCold(seconds(6));
  service.Offer(60, 60, seconds(2));
  service.TakeCounts();
  service.Offer(60, 60, seconds(4));
  const auto counts = service.TakeCounts();
  CHECK_TRUE(counts.failed <= 0.25 * (counts.offered[0] + counts.offered[2]));
}

}  // namespace
}  // namespace skylarkhoist
