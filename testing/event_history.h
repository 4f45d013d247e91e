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
  // A caller, or a target for a child call, sent a request to `node`.
  kSent,
  // The entry took a rate token for the request and gave it `credit` for
  // retries.
  kAdmitted,
  // The executor handed the request over to `target`.
  kHandedOver,
  // Recorded at the target itself.
  kRunStarted,
  kRunEnded,
  // What the caller got: a response, a refusal as "not run", or a failure that
  // does not say whether the request ran.
  kAnswered,
  kRefused,
  kFailed,

  // Changes of the environment that the checkers depend on. An API key belongs
  // to a customer.
  kKeyIssued,
  kKeyWithdrawn,
  kRateSet,
  kZoneOut,
  kZoneIn,
  // The target is cold and can run only `capacity` calls at a time, until it is
  // warm.
  kTargetCold,
  kTargetWarm,
  kTargetLeaving,
  kTargetServing,
  // Life of a node's process. `planned` tells a planned stop from a crash.
  kNodeStarted,
  kNodeStopping,
  kNodeStopped,
  kConfigAccepted,
  kConfigApplied,
  // The log is down or slow from kLogDown until kLogUp.
  kLogDown,
  kLogUp,
};

// One event of a simulated run. Only the fields that its kind needs are set.
struct event {
  time_point at;
  event_kind kind = event_kind::kSent;
  // The request as its caller sees it; the same for all attempts.
  request_id id;
  // The caller's request that led to this one through child calls; equal to
  // `id` for that request itself.
  request_id root;
  // 0 for the first execution, 1 for the first retry.
  int attempt = 0;
  std::string node;
  std::string zone;
  std::string customer;
  std::string key_id;
  std::string idempotency_key;
  std::string service;
  std::string target;
  priority_class priority = priority_class::kNormal;
  bool repeatable = true;
  // The route needs no API key.
  bool open_route = false;
  // The target found an API key in the request.
  bool target_saw_key = false;
  bool planned = false;
  int credit = 0;
  int capacity = 0;
  // In requests per second.
  double rate = 0;
  double burst = 0;
  // Checksum of the response, at kRunEnded and kAnswered.
  uint64_t checksum = 0;
  // Log offset of the configuration change.
  uint64_t offset = 0;
  // Value of Skylark-Reason.
  std::string reason;
};

// All events of one simulated run in order of time.
//
//   history.Add(e);
//   findings found = CheckAll(history, {});
class event_history {
 public:
  // Inserts the event in order of time, behind earlier ones of the same time.
  void Add(event added);

  const std::vector<event>& events() const { return events_; }

  // Describes an event for a finding: "I9, event 17 at 1250 ms (run_started
  // 4/7)", where 4/7 is the request id.
  std::string DescribeEvent(const char* invariant, size_t index) const;

 private:
  std::vector<event> events_;
};

const char* NameOf(event_kind kind);

}  // namespace skylarkhoist

#endif  // TESTING_EVENT_HISTORY_H_
