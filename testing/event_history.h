#ifndef TESTING_EVENT_HISTORY_H_
#define TESTING_EVENT_HISTORY_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "decisions/request_types.h"
#include "kernel/time.h"

namespace skylarkhoist {

enum class event_kind : uint8_t {
  // A caller (or a target, for a child call) sent a request to `node`.
  kSent,
  // The entry took a rate token for it, and gave it `credit` for retries.
  kAdmitted,
  // The executor handed it over to `target`.
  kHandedOver,
  // Seen at the target itself.
  kRunStarted,
  kRunEnded,
  // What the caller got: a response, a refusal "not run", or a failure that
  // does not say whether it ran.
  kAnswered,
  kRefused,
  kFailed,

  // What the checkers need to know of the surroundings. A key belongs to a
  // customer; a rate is in requests per second.
  kKeyIssued,
  kKeyWithdrawn,
  kRateSet,
  kZoneOut,
  kZoneIn,
  // A target with `capacity` calls at the same time, and its end.
  kTargetCold,
  kTargetWarm,
  kTargetLeaving,
  kTargetServing,
  // A process. `planned` tells a stop from a crash.
  kNodeStarted,
  kNodeStopping,
  kNodeStopped,
  kConfigAccepted,
  kConfigApplied,
  // The log is down or slow.
  kLogDown,
  kLogUp,
};

// One event of a run. Only the fields that its kind needs are set.
struct event {
  time_point at;
  event_kind kind = event_kind::kSent;
  // The request as its caller sees it; the same for all attempts.
  request_id id;
  // The request at the head of the chain; equal to `id` there.
  request_id root;
  // 0 for the first execution, counted up for retries.
  int attempt = 0;
  std::string node;
  std::string zone;
  std::string customer;
  std::string key_id;
  std::string idempotency_key;
  std::string service;
  std::string target;
  priority_class rank = priority_class::kNormal;
  bool repeatable = true;
  // On an open route, no key is needed.
  bool open_route = false;
  // The target found a key in the request.
  bool key_seen = false;
  bool planned = false;
  int credit = 0;
  int capacity = 0;
  double rate = 0;
  double burst = 0;
  // Checksum of the response, at kRunEnded and kAnswered.
  uint64_t checksum = 0;
  // Log offset of the configuration.
  uint64_t offset = 0;
  // Value of Skylark-Reason.
  std::string reason;
};

// All events of one run in order of time.
//
//   history.Add(e);
//   findings found = CheckAll(history, {});
class event_history {
 public:
  // Events that come late are put in their place.
  void Add(event added);

  const std::vector<event>& events() const { return events_; }

  // For findings, for example "I9, event 17 at 1250 ms (run_started 4/7)".
  std::string Place(const char* invariant, size_t index) const;

 private:
  std::vector<event> events_;
};

const char* NameOf(event_kind kind);

}  // namespace skylarkhoist

#endif  // TESTING_EVENT_HISTORY_H_
