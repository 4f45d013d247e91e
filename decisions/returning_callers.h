#ifndef DECISIONS_RETURNING_CALLERS_H_
#define DECISIONS_RETURNING_CALLERS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "kernel/time.h"

namespace skylarkhoist {

// Remembers the requests that were refused with the advice to come back, so
// that they go before new ones when they do. A request that comes back has a
// new id and a new connection; it is recognized by its fingerprint, a hash of
// customer, route, path and body.
//
// Load pattern: a service has too little capacity for a while. Callers that
// wait as told would be refused as often as new ones, and a caller gives up
// after a second refusal.
//
//   returning.OnRefused(fingerprint, now + retry_after, now);
//   if (returning.IsReturning(fingerprint, now)) { prefer it }
class returning_callers {
 public:
  // The request was told to come back at `return_at`.
  void OnRefused(uint64_t fingerprint, time_point return_at, time_point now);

  // Returns whether the request was refused before and has waited as told,
  // nearly at least. Requests that come back too early are new ones.
  bool IsReturning(uint64_t fingerprint, time_point now) const;

  // The request has been admitted.
  void OnAdmitted(uint64_t fingerprint) { return_times_.erase(fingerprint); }

  size_t size() const { return return_times_.size(); }

 private:
  // Callers may be this much early, since their timers and clocks differ.
  static constexpr duration kTolerance = std::chrono::milliseconds(50);
  // A request that comes later than this counts as a new one.
  static constexpr duration kMaxDelay = std::chrono::seconds(2);
  // Bounds the memory; the oldest are forgotten first.
  static constexpr size_t kMaxRequests = 10'000;

  struct refusal {
    uint64_t fingerprint;
    time_point return_at;
  };

  void Expire(time_point now);

  std::unordered_map<uint64_t, time_point> return_times_;
  // In the order of the refusals.
  std::deque<refusal> refusals_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_RETURNING_CALLERS_H_
