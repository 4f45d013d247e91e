#include "testing/checkers.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>
#include <vector>

namespace skylarkhoist {
namespace {

using kind = event_kind;
using edit = std::function<void(event&)>;

// Builds a history of requests of customer "acme" with key "k1", which are
// bookings at target "t1" in zone "z1", unless an edit says otherwise.
class script {
 public:
  script() {
    At(0, kind::kKeyIssued);
    At(0, kind::kRateSet, [](event& e) {
      e.rate = 1;
      e.burst = 2;
    });
    At(0, kind::kNodeStarted);
    At(0, kind::kConfigApplied, [](event& e) { e.offset = 1; });
  }

  script& At(int ms, event_kind what, const edit& change = {}) {
    event made;
    made.at =
        time_point(std::chrono::seconds(100)) + std::chrono::milliseconds(ms);
    made.kind = what;
    made.id = made.root = {1, 1};
    made.node = "n1";
    made.zone = "z1";
    made.customer = "acme";
    made.key_id = "k1";
    made.service = "bookings";
    made.target = "t1";
    made.rank = priority_class::kCritical;
    made.credit = 1;
    if (change)
      change(made);
    history.Add(made);
    return *this;
  }

  // A request from its sending to its end.
  script& Request(int ms, uint64_t sequence, const edit& change = {}) {
    const auto with_id = [&](event& e) {
      e.id = e.root = {1, sequence};
      e.checksum = sequence;
      if (change)
        change(e);
    };
    for (event_kind what :
         {kind::kSent, kind::kAdmitted, kind::kHandedOver, kind::kRunStarted,
          kind::kRunEnded, kind::kAnswered})
      At(ms++, what, with_id);
    return *this;
  }

  event_history history;
};

edit Id(uint64_t sequence, const edit& more = {}) {
  return [sequence, more](event& e) {
    e.id = e.root = {1, sequence};
    if (more)
      more(e);
  };
}

void Attempt(event& e) {
  e.attempt = e.id.sequence == 1 ? 1 : 2;
}
void Browse(event& e) {
  e.rank = priority_class::kBrowse;
}
void Overloaded(event& e) {
  e.reason = "overloaded";
}
void Keyed(event& e) {
  e.idempotency_key = "order-7";
  e.repeatable = false;
}
void Once(event& e) {
  e.repeatable = false;
}
void Planned(event& e) {
  e.planned = true;
}
void Offset(event& e) {
  e.offset = 9;
}

struct checker_case {
  const char* invariant;
  const char* name;
  // Whether the checker must report it.
  bool faulty;
  std::function<void(script&)> fill;
};

const std::vector<checker_case>& Cases() {
  static const std::vector<checker_case> cases = {
      {"I1", "one retry with credit 1", false,
       [](script& s) { s.Request(0, 1).At(9, kind::kHandedOver, Attempt); }},
      {"I1", "two retries in a chain with credit 1", true,
       [](script& s) {
         s.Request(0, 1).At(9, kind::kHandedOver, Attempt);
         s.At(10, kind::kRunStarted, [](event& e) {
           e.id = {2, 1};
           e.attempt = 1;
         });
       }},
      {"I2", "critical refused after the last browse request", false,
       [](script& s) {
         s.Request(0, 1, Browse);
         s.At(9, kind::kSent, Id(2)).At(10, kind::kRefused, Id(2, Overloaded));
       }},
      {"I2", "critical refused while browse is served", true,
       [](script& s) {
         s.At(0, kind::kSent, Id(2)).Request(1, 1, Browse);
         s.At(10, kind::kRefused, Id(2, Overloaded));
       }},
      {"I3", "withdrawn key within 3 s, or with the log down", false,
       [](script& s) {
         s.At(0, kind::kKeyWithdrawn).Request(2990, 1);
         s.At(3000, kind::kLogDown).Request(9000, 2);
       }},
      {"I3", "withdrawn key after 3 s", true,
       [](script& s) { s.At(0, kind::kKeyWithdrawn).Request(3000, 1); }},
      {"I3", "withdrawn key 3 s after the log returned", true,
       [](script& s) {
         s.At(0, kind::kLogDown).At(1, kind::kKeyWithdrawn);
         s.At(9000, kind::kLogUp).Request(12001, 1);
       }},
      {"I3", "ran for another customer", true,
       [](script& s) {
         s.Request(0, 1).At(9, kind::kRunStarted,
                            [](event& e) { e.customer = "other"; });
       }},
      {"I3", "target saw the key", true,
       [](script& s) {
         s.At(9, kind::kRunStarted, [](event& e) {
           e.open_route = true;
           e.key_seen = true;
         });
       }},
      {"I4", "burst, then the rate", false,
       [](script& s) { s.Request(0, 1).Request(1, 2).Request(1002, 3); }},
      {"I4", "one more than the burst", true,
       [](script& s) { s.Request(0, 1).Request(1, 2).Request(900, 3); }},
      {"I4", "higher rate before the change is in force everywhere", false,
       [](script& s) {
         s.At(1, kind::kRateSet, [](event& e) { e.rate = e.burst = 0.1; });
         s.Request(2, 1);
       }},
      {"I5", "at its cold capacity", false,
       [](script& s) {
         s.At(0, kind::kTargetCold, [](event& e) { e.capacity = 1; });
         s.Request(1, 1).Request(8, 2);
       }},
      {"I5", "over its cold capacity", true,
       [](script& s) {
         s.At(0, kind::kTargetCold, [](event& e) { e.capacity = 1; });
         s.Request(1, 1).Request(1, 2);
       }},
      {"I6", "work within 3 s, and after the return", false,
       [](script& s) {
         s.At(0, kind::kZoneOut).Request(2000, 1);
         s.At(5000, kind::kZoneIn).Request(5001, 2);
       }},
      {"I6", "work after 3 s", true,
       [](script& s) { s.At(0, kind::kZoneOut).Request(3001, 1); }},
      {"I7", "a copy gets the answer of the first", false,
       [](script& s) {
         s.Request(0, 1, Keyed).At(9, kind::kAnswered, Id(2, [](event& e) {
                                     Keyed(e);
                                     e.checksum = 1;
                                   }));
       }},
      {"I7", "answer of another request", true,
       [](script& s) {
         s.Request(0, 1).At(9, kind::kAnswered,
                            Id(2, [](event& e) { e.checksum = 1; }));
       }},
      {"I7", "two ends", true,
       [](script& s) { s.Request(0, 1).At(9, kind::kFailed); }},
      {"I8", "failed without saying that it did not run", false,
       [](script& s) { s.At(0, kind::kRunEnded).At(1, kind::kFailed); }},
      {"I8", "ran before its refusal", true,
       [](script& s) { s.At(0, kind::kRunStarted).At(1, kind::kRefused); }},
      {"I8", "ran after its refusal", true,
       [](script& s) { s.At(0, kind::kRefused).At(1, kind::kRunStarted); }},
      {"I9", "repeatable request runs twice", false,
       [](script& s) {
         s.Request(0, 1).At(9, kind::kHandedOver, Attempt);
         s.At(10, kind::kRunStarted, Attempt);
       }},
      {"I9", "two copies with one key run", true,
       [](script& s) { s.Request(0, 1, Keyed).Request(10, 2, Keyed); }},
      {"I9", "a request without a key runs twice", true,
       [](script& s) { s.Request(0, 1, Once).At(9, kind::kRunStarted, Once); }},
      {"I10", "work within 3 s, and after its return", false,
       [](script& s) {
         s.At(0, kind::kTargetLeaving).Request(2000, 1);
         s.At(5000, kind::kTargetServing).Request(5001, 2);
       }},
      {"I10", "work after 3 s, with the log down", true,
       [](script& s) {
         s.At(0, kind::kLogDown).At(0, kind::kTargetLeaving).Request(3001, 1);
       }},
      {"I11", "crash, and a planned stop after the last end", false,
       [](script& s) {
         s.At(0, kind::kSent).At(1, kind::kNodeStopped);
         s.Request(2, 2).At(9, kind::kNodeStopped, Planned);
       }},
      {"I11", "planned stop with an open request", true,
       [](script& s) {
         s.At(0, kind::kSent).At(1, kind::kNodeStopped, Planned);
       }},
      {"I11", "planned stop with a run in progress", true,
       [](script& s) {
         s.At(0, kind::kRunStarted).At(1, kind::kNodeStopped, Planned);
       }},
      {"I12", "in force in time, or the node has stopped", false,
       [](script& s) {
         s.At(0, kind::kNodeStarted, [](event& e) { e.node = "n2"; });
         s.At(1, kind::kConfigAccepted, Offset);
         s.At(2900, kind::kConfigApplied, Offset);
         s.At(2950, kind::kNodeStopped, [](event& e) { e.node = "n2"; });
         s.Request(9000, 1);
       }},
      {"I12", "not in force in time", true,
       [](script& s) {
         s.At(1, kind::kConfigAccepted, Offset).Request(3002, 1);
         s.At(3500, kind::kConfigApplied, Offset);
       }},
      {"I12", "goes back", true,
       [](script& s) {
         s.At(1, kind::kConfigApplied, Offset);
         s.At(2, kind::kConfigApplied, [](event& e) { e.offset = 8; });
       }},
  };
  return cases;
}

TEST_GROUP(checkers){};

// Guards against a checker that can't fail, or that reports allowed behaviour.
TEST(checkers, EachReportsItsFaultsAndNothingElse) {
  for (const checker_case& each : Cases()) {
    script history;
    each.fill(history);
    for (const checker& checked : AllCheckers()) {
      const findings found = checked.check(history.history, {});
      const bool own = std::string(checked.invariant) == each.invariant;
      const std::string text = std::string(each.invariant) + ", " + each.name +
                               ", seen by " + checked.invariant + ": " +
                               found.ToText();
      if (own) {
        CHECK_EQUAL_TEXT(each.faulty, !found.empty(), text.c_str());
      } else if (!each.faulty) {
        CHECK_TRUE_TEXT(found.empty(), text.c_str());
      }
    }
  }
}

// Guards against an invariant without a checker or without both kinds of case.
TEST(checkers, EachInvariantHasAFaultyAndACorrectHistory) {
  CHECK_EQUAL(12, AllCheckers().size());
  for (const checker& checked : AllCheckers()) {
    int faulty = 0;
    int correct = 0;
    for (const checker_case& each : Cases()) {
      if (std::string(each.invariant) == checked.invariant)
        ++(each.faulty ? faulty : correct);
    }
    CHECK_TRUE_TEXT(faulty > 0 && correct > 0, checked.invariant);
  }
}

// Guards against findings that don't lead to their event.
TEST(checkers, FindingsNameTheEvent) {
  script history;
  history.Request(0, 1, Keyed).Request(10, 2, Keyed);
  const findings found = CheckAll(history.history, {});
  CHECK_EQUAL(1, found.items().size());
  STRCMP_EQUAL("I9, event 13 at 100013 ms (run_started 1/2)",
               found.items()[0].place.c_str());
}

}  // namespace
}  // namespace skylarkhoist
