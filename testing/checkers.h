#ifndef TESTING_CHECKERS_H_
#define TESTING_CHECKERS_H_

#include <vector>

#include "kernel/findings.h"
#include "kernel/time.h"
#include "testing/event_history.h"

namespace skylarkhoist {

struct checker_options {
  // From the withdrawal of a key, a zone taken out or a target that leaves to
  // the last run that may begin (I3, I6, I10).
  duration stop_bound = std::chrono::seconds(3);
  // From acceptance of a configuration until it is in force (I12): 3 s today,
  // 6 s at the target size.
  duration config_bound = std::chrono::seconds(3);
};

// Each checker returns what breaks its invariant (section 1.2 of
// docs/design.md), with the place of the event. While the log is down, and for
// the bound after it is up again, no configuration needs to be in force (I3,
// I6, I12); I10 depends on announcements only.
using check_function = findings (*)(const event_history&,
                                    const checker_options&);

// I1: retries in a chain never exceed the credit that its head was given.
findings CheckRetries(const event_history& history, const checker_options&);
// I2: no critical request is refused for load while a browsing request is
// handed over to the same service.
findings CheckShedOrder(const event_history& history, const checker_options&);
// I3: a request runs for the customer of its key, not after its withdrawal, and
// no target sees a key.
findings CheckKeys(const event_history& history, const checker_options&);
// I4: admissions of a customer stay within rate and burst in every window.
// After a change, the higher of both figures counts for the bound.
findings CheckRates(const event_history& history, const checker_options&);
// I5: a cold target never has more calls than its capacity.
findings CheckColdTargets(const event_history& history, const checker_options&);
// I6: a zone out of service gets no new work.
findings CheckZones(const event_history& history, const checker_options&);
// I7: the response that a caller gets is the one of its own request, and each
// request ends once.
findings CheckAnswers(const event_history& history, const checker_options&);
// I8: what was refused as "not run" did not run.
findings CheckRefusals(const event_history& history, const checker_options&);
// I9: a request that may not be repeated runs at most once, over all copies
// with the same idempotency key.
findings CheckAtMostOnce(const event_history& history, const checker_options&);
// I10: a leaving target gets no new work.
findings CheckLeavingTargets(const event_history& history,
                             const checker_options&);
// I11: a planned stop leaves no request without its end.
findings CheckPlannedStops(const event_history& history,
                           const checker_options&);
// I12: an accepted configuration is soon in force on each running node, and no
// node goes back.
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
