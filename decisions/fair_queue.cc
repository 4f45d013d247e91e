#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "decisions/request_queue.h"

namespace skylarkhoist {
namespace {

// The queue counts as lastingly overloaded when it was not empty for this long.
constexpr duration kOverloadAfter = std::chrono::milliseconds(100);
// Under lasting overload, new calls that are not critical wait at most this
// share of the bound, so that the calls served are fresh ones.
constexpr int kOverloadShare = 10;
// Weights outside of this range would make a turn of the round robin long.
constexpr double kLeastWeight = 0.01;
constexpr double kLargestWeight = 100;

// Bands in strict order: class, then admitted calls before new ones. Within a
// band deficit round robin among customers; within a customer the oldest call
// first, or the newest under lasting overload (new calls of browse and normal).
class fair_queue : public request_queue {
 public:
  explicit fair_queue(const queue_options& options) : options_(options) {}

  std::optional<reason> Push(gate_call call, time_point now) override {
    if (items_.empty())
      busy_since_ = now;
    const bool waits = options_.admitted_wait && call.admitted;
    const size_t bounded =
        options_.admitted_wait ? new_waiting_ : items_.size();
    if (!waits && bounded >= options_.max_length && !MakeRoom(call))
      return reason::kQueueFull;
    const uint64_t number = next_number_++;
    item added;
    added.band = BandOf(call);
    added.since = now;
    added.expiry =
        std::min(waits ? call.wait_until : now + options_.bound, call.deadline);
    band& target = bands_[added.band];
    auto [queue, created] = target.customers.try_emplace(call.customer);
    if (created)
      target.turns.push_back(call.customer);
    queue->second.weight =
        std::clamp(call.weight, kLeastWeight, kLargestWeight);
    queue->second.numbers.insert(number);
    queue->second.deadlines.emplace(call.deadline, number);
    numbers_[call.id] = number;
    by_expiry_.emplace(added.expiry, number);
    if (IsShortened(call))
      by_arrival_.emplace(now, number);
    new_waiting_ += call.admitted ? 0 : 1;
    added.call = std::move(call);
    items_.emplace(number, std::move(added));
    return std::nullopt;
  }

  std::optional<gate_call> Pop(time_point now, duration needed) override {
    Expire(now);
    if (options_.admitted_wait)
      return PopWithShares(now, needed);
    for (size_t index = kBands; index-- > 0;) {
      if (auto call = PopBand(index, now, needed))
        return call;
    }
    return std::nullopt;
  }

  std::vector<gate_refusal> TakeRefused(time_point now) override {
    Expire(now);
    return std::exchange(refused_, {});
  }

  bool Remove(const request_id& id) override {
    const auto found = numbers_.find(id);
    if (found == numbers_.end())
      return false;
    Take(found->second);
    return true;
  }

  std::vector<request_id> RemoveAll() override {
    std::vector<request_id> ids;
    for (const auto& [number, each] : items_)
      ids.push_back(each.call.id);
    for (const request_id& id : ids)
      Remove(id);
    return ids;
  }

  size_t size() const override { return items_.size(); }

  std::optional<time_point> NextDeadline() const override {
    if (items_.empty())
      return std::nullopt;
    time_point next = by_expiry_.begin()->first;
    if (!by_arrival_.empty()) {
      next = std::min(next, std::max(by_arrival_.begin()->first + ShortBound(),
                                     busy_since_ + kOverloadAfter));
    }
    return next;
  }

  void Update(const queue_options& options) override { options_ = options; }

 private:
  // Rank times two, plus one for admitted calls.
  static constexpr size_t kBands = kPriorityLevels * 2;

  // Whether a band turns to newest first under lasting overload. Admitted calls
  // stay in order, since those that time out lose their parents' work.
  static constexpr bool TurnsToNewest(size_t band) {
    return band % 2 == 0 &&
           !IsCriticalRoute(static_cast<priority_class>(band / 2));
  }

  struct item {
    gate_call call;
    size_t band = 0;
    time_point since;
    time_point expiry;
  };

  struct customer_queue {
    double weight = 1.0;
    double deficit = 0;
    // In order of arrival.
    std::set<uint64_t> numbers;
    // The same in order of deadline.
    std::set<std::pair<time_point, uint64_t>> deadlines;
  };

  struct band {
    std::map<std::string, customer_queue> customers;
    // Customers with waiting calls, the next one first.
    std::list<std::string> turns;
  };

  std::optional<gate_call> PopBand(size_t index,
                                   time_point now,
                                   duration needed) {
    while (!bands_[index].turns.empty()) {
      gate_call call = Take(NextOf(index, now));
      if (call.deadline > now + needed)
        return call;
      refused_.push_back({call.id, reason::kDeadlineBeforeRun});
    }
    return std::nullopt;
  }

  // Highest class first, among the admitted calls or among the new ones.
  std::optional<gate_call> PopKind(bool admitted,
                                   time_point now,
                                   duration needed) {
    for (size_t index = kBands; index-- > 0;) {
      if ((index % 2 == 1) != admitted)
        continue;
      if (auto call = PopBand(index, now, needed))
        return call;
    }
    return std::nullopt;
  }

  // Admitted calls before new ones of any class, but for the share of the new
  // ones, which a service deep in the chain would never serve otherwise.
  std::optional<gate_call> PopWithShares(time_point now, duration needed) {
    if (new_credit_ >= 1.0) {
      if (auto call = PopKind(false, now, needed)) {
        new_credit_ -= 1.0;
        return call;
      }
    }
    if (auto call = PopKind(true, now, needed)) {
      new_credit_ = std::min(1.0, new_credit_ + options_.new_share);
      return call;
    }
    return PopKind(false, now, needed);
  }

  static size_t BandOf(const gate_call& call) {
    return static_cast<size_t>(call.rank) * 2 + (call.admitted ? 1 : 0);
  }

  static bool IsShortened(const gate_call& call) {
    return !IsCriticalRoute(call.rank) && !call.admitted;
  }

  duration ShortBound() const { return options_.bound / kOverloadShare; }

  bool Overloaded(time_point now) const {
    return !items_.empty() && now - busy_since_ >= kOverloadAfter;
  }

  void Refuse(uint64_t number, reason why) {
    refused_.push_back({Take(number).id, why});
  }

  void Expire(time_point now) {
    while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
      const uint64_t number = by_expiry_.begin()->second;
      const bool late = items_.at(number).call.deadline <= now;
      Refuse(number, late ? reason::kDeadlineBeforeRun : reason::kQueueTimeout);
    }
    while (Overloaded(now) && !by_arrival_.empty() &&
           by_arrival_.begin()->first + ShortBound() <= now)
      Refuse(by_arrival_.begin()->second, reason::kQueueTimeout);
  }

  // The next call of a band that has waiting calls.
  uint64_t NextOf(size_t index, time_point now) {
    band& from = bands_[index];
    for (;;) {
      customer_queue& queue = from.customers.at(from.turns.front());
      if (queue.deficit >= 1.0) {
        queue.deficit -= 1.0;
        // A call whose parent has little time left is lost first; the bound on
        // waiting keeps the others from being late in their turn.
        if (options_.admitted_wait && index % 2 == 1)
          return queue.deadlines.begin()->second;
        const bool newest = Overloaded(now) && TurnsToNewest(index);
        return newest ? *queue.numbers.rbegin() : *queue.numbers.begin();
      }
      queue.deficit += queue.weight;
      // With less than one call earned, the others have their turn.
      if (queue.deficit < 1.0 || from.turns.size() > 1)
        from.turns.splice(from.turns.end(), from.turns, from.turns.begin());
    }
  }

  // Drops the oldest call of the customer with the longest queue for its weight
  // in the least important band, unless the new call is less important.
  bool MakeRoom(const gate_call& call) {
    const size_t own = BandOf(call);
    for (size_t index = 0; index <= own; ++index) {
      const band& from = bands_[index];
      const bool spared = options_.admitted_wait && index % 2 == 1;
      if (spared || from.turns.empty())
        continue;
      const auto share = [](const customer_queue& queue) {
        return static_cast<double>(queue.numbers.size()) / queue.weight;
      };
      const auto longest =
          std::max_element(from.customers.begin(), from.customers.end(),
                           [&](const auto& left, const auto& right) {
                             return share(left.second) < share(right.second);
                           });
      if (index == own) {
        const auto mine = from.customers.find(call.customer);
        const double present =
            mine == from.customers.end() ? 0.0 : share(mine->second);
        if (present + 1.0 / std::max(call.weight, kLeastWeight) >
            share(longest->second))
          return false;
      }
      Refuse(*longest->second.numbers.begin(), reason::kQueueFull);
      return true;
    }
    return false;
  }

  gate_call Take(uint64_t number) {
    const auto found = items_.find(number);
    item taken = std::move(found->second);
    items_.erase(found);
    new_waiting_ -= taken.call.admitted ? 0 : 1;
    band& from = bands_[taken.band];
    const auto queue = from.customers.find(taken.call.customer);
    queue->second.numbers.erase(number);
    queue->second.deadlines.erase({taken.call.deadline, number});
    if (queue->second.numbers.empty()) {
      from.turns.remove(taken.call.customer);
      from.customers.erase(queue);
    }
    numbers_.erase(taken.call.id);
    by_expiry_.erase({taken.expiry, number});
    by_arrival_.erase({taken.since, number});
    return std::move(taken.call);
  }

  queue_options options_;
  std::array<band, kBands> bands_;
  std::map<uint64_t, item> items_;
  std::unordered_map<request_id, uint64_t, request_id_hash> numbers_;
  std::set<std::pair<time_point, uint64_t>> by_expiry_;
  // Calls with the short bound under lasting overload.
  std::set<std::pair<time_point, uint64_t>> by_arrival_;
  std::vector<gate_refusal> refused_;
  uint64_t next_number_ = 1;
  time_point busy_since_;
  // Waiting calls that are not admitted.
  size_t new_waiting_ = 0;
  // Hand-overs that new calls have earned.
  double new_credit_ = 0;
};

const queue_registry::entry kFair("fair", [](const queue_options& options) {
  return std::make_unique<fair_queue>(options);
});

}  // namespace
}  // namespace skylarkhoist
