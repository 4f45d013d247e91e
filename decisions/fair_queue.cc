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

// Overload counts as sustained when the queue was not empty for this long.
constexpr duration kOverloadDelay = std::chrono::milliseconds(100);
// Under sustained overload, new calls that are not critical wait at most the
// maximum wait divided by this, so that the calls served are recent ones.
constexpr int kOverloadWaitDivisor = 10;
// Weights outside of this range would need many rounds of the round robin for
// one call, or let one customer take many calls in a row.
constexpr double kMinWeight = 0.01;
constexpr double kMaxWeight = 100;

// Priority bands in strict order: by priority, and admitted calls before new
// ones of the same priority. Within a band, deficit round robin among
// customers. Within a customer, the oldest call first; under sustained
// overload, the newest first for new calls that are not critical.
class fair_queue : public request_queue {
 public:
  explicit fair_queue(const queue_options& options) : options_(options) {}

  std::optional<reason> Push(queued_call call, time_point now) override {
    if (entries_.empty())
      non_empty_since_ = now;
    const bool exempt = options_.exempt_admitted && call.admitted;
    const size_t counted_length =
        options_.exempt_admitted ? new_calls_waiting_ : entries_.size();
    if (!exempt && counted_length >= options_.max_length && !EvictFor(call))
      return reason::kQueueFull;
    const uint64_t number = next_number_++;
    queue_entry entry;
    entry.band = BandOf(call);
    entry.queued_at = now;
    entry.expires_at = std::min(
        exempt ? call.wait_until : now + options_.max_wait, call.deadline);
    band& own_band = bands_[entry.band];
    auto [queue, created] = own_band.customers.try_emplace(call.customer);
    if (created)
      own_band.round_robin.push_back(call.customer);
    queue->second.weight = std::clamp(call.weight, kMinWeight, kMaxWeight);
    queue->second.by_arrival.insert(number);
    queue->second.by_deadline.emplace(call.deadline, number);
    number_by_id_[call.id] = number;
    by_expiry_.emplace(entry.expires_at, number);
    if (HasShortWait(call))
      short_waits_.emplace(now, number);
    new_calls_waiting_ += call.admitted ? 0 : 1;
    entry.call = std::move(call);
    entries_.emplace(number, std::move(entry));
    return std::nullopt;
  }

  std::optional<queued_call> Pop(time_point now,
                                 duration expected_run_time) override {
    RefuseExpired(now);
    if (options_.exempt_admitted)
      return PopWithShares(now, expected_run_time);
    for (size_t index = kBands; index-- > 0;) {
      if (auto call = PopBand(index, now, expected_run_time))
        return call;
    }
    return std::nullopt;
  }

  std::vector<refused_call> TakeRefused(time_point now) override {
    RefuseExpired(now);
    return std::exchange(refused_, {});
  }

  bool Remove(const request_id& id) override {
    const auto found = number_by_id_.find(id);
    if (found == number_by_id_.end())
      return false;
    Extract(found->second);
    return true;
  }

  std::vector<request_id> RemoveAll() override {
    std::vector<request_id> ids;
    for (const auto& [number, each] : entries_)
      ids.push_back(each.call.id);
    for (const request_id& id : ids)
      Remove(id);
    return ids;
  }

  size_t size() const override { return entries_.size(); }

  std::optional<time_point> NextExpiry() const override {
    if (entries_.empty())
      return std::nullopt;
    time_point next = by_expiry_.begin()->first;
    if (!short_waits_.empty()) {
      next = std::min(next, std::max(short_waits_.begin()->first + ShortWait(),
                                     non_empty_since_ + kOverloadDelay));
    }
    return next;
  }

  void Update(const queue_options& options) override { options_ = options; }

 private:
  // The index of a band is the priority times two, plus one for admitted calls.
  static constexpr size_t kBands = kPriorityLevels * 2;

  // Returns whether a band serves the newest call first under sustained
  // overload. Admitted calls stay in order, since a timeout of one wastes the
  // work of its parent.
  static constexpr bool SwitchesToNewestFirst(size_t band) {
    return band % 2 == 0 &&
           !IsCriticalRoute(static_cast<priority_class>(band / 2));
  }

  struct queue_entry {
    queued_call call;
    size_t band = 0;
    time_point queued_at;
    time_point expires_at;
  };

  struct customer_queue {
    double weight = 1.0;
    double deficit = 0;
    // Call numbers in order of arrival.
    std::set<uint64_t> by_arrival;
    // Call numbers in order of deadline.
    std::set<std::pair<time_point, uint64_t>> by_deadline;
  };

  struct band {
    std::map<std::string, customer_queue> customers;
    // Customers with waiting calls, starting with the next one to serve.
    std::list<std::string> round_robin;
  };

  std::optional<queued_call> PopBand(size_t index,
                                     time_point now,
                                     duration expected_run_time) {
    while (!bands_[index].round_robin.empty()) {
      queued_call call = Extract(NextInBand(index, now));
      if (call.deadline > now + expected_run_time)
        return call;
      refused_.push_back({call.id, reason::kDeadlineBeforeRun});
    }
    return std::nullopt;
  }

  // Takes the call of the highest priority among either the admitted or the new
  // calls.
  std::optional<queued_call> PopHighest(bool admitted,
                                        time_point now,
                                        duration expected_run_time) {
    for (size_t index = kBands; index-- > 0;) {
      if ((index % 2 == 1) != admitted)
        continue;
      if (auto call = PopBand(index, now, expected_run_time))
        return call;
    }
    return std::nullopt;
  }

  // Takes admitted calls before new ones of any priority, except for the
  // minimum share of new calls, which a downstream service would otherwise
  // never serve.
  std::optional<queued_call> PopWithShares(time_point now,
                                           duration expected_run_time) {
    if (new_call_credit_ >= 1.0) {
      if (auto call = PopHighest(false, now, expected_run_time)) {
        new_call_credit_ -= 1.0;
        return call;
      }
    }
    if (auto call = PopHighest(true, now, expected_run_time)) {
      new_call_credit_ =
          std::min(1.0, new_call_credit_ + options_.min_new_share);
      return call;
    }
    return PopHighest(false, now, expected_run_time);
  }

  static size_t BandOf(const queued_call& call) {
    return static_cast<size_t>(call.priority) * 2 + (call.admitted ? 1 : 0);
  }

  static bool HasShortWait(const queued_call& call) {
    return !IsCriticalRoute(call.priority) && !call.admitted;
  }

  duration ShortWait() const {
    return options_.max_wait / kOverloadWaitDivisor;
  }

  bool IsOverloaded(time_point now) const {
    return !entries_.empty() && now - non_empty_since_ >= kOverloadDelay;
  }

  void Refuse(uint64_t number, reason why) {
    refused_.push_back({Extract(number).id, why});
  }

  void RefuseExpired(time_point now) {
    while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
      const uint64_t number = by_expiry_.begin()->second;
      const bool past_deadline = entries_.at(number).call.deadline <= now;
      Refuse(number, past_deadline ? reason::kDeadlineBeforeRun
                                   : reason::kQueueTimeout);
    }
    while (IsOverloaded(now) && !short_waits_.empty() &&
           short_waits_.begin()->first + ShortWait() <= now)
      Refuse(short_waits_.begin()->second, reason::kQueueTimeout);
  }

  // Returns the number of the next call of a band that has waiting calls.
  uint64_t NextInBand(size_t index, time_point now) {
    band& from = bands_[index];
    for (;;) {
      customer_queue& queue = from.customers.at(from.round_robin.front());
      if (queue.deficit >= 1.0) {
        queue.deficit -= 1.0;
        // Earliest deadline first, since the call whose parent has the least
        // time left would be lost first. The bound on waiting keeps the other
        // calls from becoming late in turn.
        if (options_.exempt_admitted && index % 2 == 1)
          return queue.by_deadline.begin()->second;
        const bool newest = IsOverloaded(now) && SwitchesToNewestFirst(index);
        return newest ? *queue.by_arrival.rbegin() : *queue.by_arrival.begin();
      }
      queue.deficit += queue.weight;
      // The next customer has its turn. Only a customer that is alone and has a
      // deficit of at least one call is served right away.
      if (queue.deficit < 1.0 || from.round_robin.size() > 1)
        from.round_robin.splice(from.round_robin.end(), from.round_robin,
                                from.round_robin.begin());
    }
  }

  // Makes room for `call`: refuses the oldest call of the customer with the
  // longest queue relative to its weight, in the lowest band that has calls.
  // Returns false when `call` itself should be refused, because no lower band
  // has calls and its own customer would have the longest queue.
  bool EvictFor(const queued_call& call) {
    const size_t own_index = BandOf(call);
    for (size_t index = 0; index <= own_index; ++index) {
      const band& from = bands_[index];
      const bool exempt = options_.exempt_admitted && index % 2 == 1;
      if (exempt || from.round_robin.empty())
        continue;
      const auto queue_share = [](const customer_queue& queue) {
        return static_cast<double>(queue.by_arrival.size()) / queue.weight;
      };
      const auto longest = std::max_element(
          from.customers.begin(), from.customers.end(),
          [&](const auto& left, const auto& right) {
            return queue_share(left.second) < queue_share(right.second);
          });
      if (index == own_index) {
        const auto own_queue = from.customers.find(call.customer);
        const double own_share = own_queue == from.customers.end()
                                     ? 0.0
                                     : queue_share(own_queue->second);
        if (own_share + 1.0 / std::max(call.weight, kMinWeight) >
            queue_share(longest->second))
          return false;
      }
      Refuse(*longest->second.by_arrival.begin(), reason::kQueueFull);
      return true;
    }
    return false;
  }

  queued_call Extract(uint64_t number) {
    const auto found = entries_.find(number);
    queue_entry extracted = std::move(found->second);
    entries_.erase(found);
    new_calls_waiting_ -= extracted.call.admitted ? 0 : 1;
    band& from = bands_[extracted.band];
    const auto queue = from.customers.find(extracted.call.customer);
    queue->second.by_arrival.erase(number);
    queue->second.by_deadline.erase({extracted.call.deadline, number});
    if (queue->second.by_arrival.empty()) {
      from.round_robin.remove(extracted.call.customer);
      from.customers.erase(queue);
    }
    number_by_id_.erase(extracted.call.id);
    by_expiry_.erase({extracted.expires_at, number});
    short_waits_.erase({extracted.queued_at, number});
    return std::move(extracted.call);
  }

  queue_options options_;
  std::array<band, kBands> bands_;
  std::map<uint64_t, queue_entry> entries_;
  std::unordered_map<request_id, uint64_t, request_id_hash> number_by_id_;
  std::set<std::pair<time_point, uint64_t>> by_expiry_;
  // Calls that wait only for the short time under sustained overload.
  std::set<std::pair<time_point, uint64_t>> short_waits_;
  std::vector<refused_call> refused_;
  uint64_t next_number_ = 1;
  time_point non_empty_since_;
  // Number of waiting calls that are not admitted.
  size_t new_calls_waiting_ = 0;
  // Hand-overs that new calls have earned by their minimum share and not used.
  double new_call_credit_ = 0;
};

const queue_registry::registration kFair("fair",
                                         [](const queue_options& options) {
                                           return std::make_unique<fair_queue>(
                                               options);
                                         });

}  // namespace
}  // namespace skylarkhoist
