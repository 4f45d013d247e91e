#ifndef TESTING_CHECKERS_H_
#define TESTING_CHECKERS_H_

#include <vector>

#include "kernel/findings.h"
#include "kernel/time.h"
#include "testing/event_history.h"

namespace skylarkhoist {

struct checker_options {
  // Longest time in which runs may still start after a key is withdrawn (I3), a
  // zone is taken out of service (I6) or a target announces that it leaves
  // (I10), and in which an old rate may still apply (I4).
  duration max_stop_delay = std::chrono::seconds(3);
  // Longest time from acceptance of a configuration until it is in force (I12):
  // 3 s at the present fleet size, 6 s at the planned one.
  duration max_config_delay = std::chrono::seconds(3);
};

// Each checker returns the violations of its invariant (section 1.2 of
// docs/design.md), with the event at which each occurred. Changes that are
// published through the log (I3, I6, I12) need not take effect while the log is
// down; their delay starts again when it is back. I10 depends only on the
// announcements of targets, so it must hold during an outage too.
using check_function = findings (*)(const event_history&,
                                    const checker_options&);

// I1: the retries of a request and all its child calls never exceed the retry
// credit that the request got at its admission.
findings CheckRetries(const event_history& history, const checker_options&);
// I2: no critical request is refused for overload if a browse request was
// handed over to a target of the same service after the critical one was sent.
findings CheckShedOrder(const event_history& history, const checker_options&);
// I3: a request runs only for the customer of its API key and not after the key
// was withdrawn, and no target receives a key.
findings CheckKeys(const event_history& history, const checker_options&);
// I4: admissions of a customer stay within its rate and burst in every time
// window. For max_stop_delay after a change, the higher of the old and new
// values applies.
findings CheckRates(const event_history& history, const checker_options&);
// I5: a cold target never runs more calls at a time than its cold capacity.
findings CheckColdTargets(const event_history& history, const checker_options&);
// I6: a zone out of service gets no new calls.
findings CheckZones(const event_history& history, const checker_options&);
// I7: a caller gets the response of its own request or of one with the same
// idempotency key, and each request ends once.
findings CheckResponses(const event_history& history, const checker_options&);
// I8: a request that was refused as "not run" never runs.
findings CheckRefusals(const event_history& history, const checker_options&);
// I9: a non-repeatable request runs at most once, counted over all requests
// with the same idempotency key.
findings CheckAtMostOnce(const event_history& history, const checker_options&);
// I10: a leaving target gets no new calls.
findings CheckLeavingTargets(const event_history& history,
                             const checker_options&);
// I11: a node that stops as planned has no open requests or runs left.
findings CheckPlannedStops(const event_history& history,
                           const checker_options&);
// I12: each running node applies an accepted configuration in time, and none
// goes back to an older one.
findings CheckConfig(const event_history& history, const checker_options&);

struct checker {
  const char* invariant;
  check_function check;
};

// In order of the invariants.
const std::vector<checker>& AllCheckers();

findings CheckAll(const event_history& history, const checker_options& options);

}  // namespace skylarkhoist

#endif  // TESTING_CHECKERS_H_
