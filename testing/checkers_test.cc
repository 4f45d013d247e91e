#include "testing/checkers.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>
#include <vector>

namespace skylarkhoist {
namespace {

using kind = event_kind;
using event_edit = std::function<void(event&)>;

// Builds a history of critical requests of customer "acme" with API key "k1" to
// the service "bookings" at target "t1" in zone "z1". Edits change single
// fields of an event.
class history_builder {
 public:
  history_builder() {
    AddEvent(0, kind::kKeyIssued);
    AddEvent(0, kind::kRateSet, [](event& e) {
      e.rate = 1;
      e.burst = 2;
    });
    AddEvent(0, kind::kNodeStarted);
    AddEvent(0, kind::kConfigApplied, [](event& e) { e.offset = 1; });
  }

  history_builder& AddEvent(int ms,
                            event_kind added_kind,
                            const event_edit& edit = {}) {
    event added;
    added.at =
        time_point(std::chrono::seconds(100)) + std::chrono::milliseconds(ms);
    added.kind = added_kind;
    added.id = added.root = {1, 1};
    added.node = "n1";
    added.zone = "z1";
    added.customer = "acme";
    added.key_id = "k1";
    added.service = "bookings";
    added.target = "t1";
    added.priority = priority_class::kCritical;
    added.credit = 1;
    if (edit)
      edit(added);
    history.Add(added);
    return *this;
  }

  // Adds the events of a request that is answered, 1 ms apart.
  history_builder& AddRequest(int ms,
                              uint64_t sequence,
                              const event_edit& edit = {}) {
    const auto with_id = [&](event& e) {
      e.id = e.root = {1, sequence};
      e.checksum = sequence;
      if (edit)
        edit(e);
    };
    for (event_kind added_kind :
         {kind::kSent, kind::kAdmitted, kind::kHandedOver, kind::kRunStarted,
          kind::kRunEnded, kind::kAnswered})
      AddEvent(ms++, added_kind, with_id);
    return *this;
  }

  event_history history;
};

event_edit WithId(uint64_t sequence, const event_edit& edit = {}) {
  return [sequence, edit](event& e) {
    e.id = e.root = {1, sequence};
    if (edit)
      edit(e);
  };
}

void AsRetry(event& e) {
  e.attempt = e.id.sequence == 1 ? 1 : 2;
}
void AsBrowse(event& e) {
  e.priority = priority_class::kBrowse;
}
void ForOverload(event& e) {
  e.reason = "overloaded";
}
void WithIdempotencyKey(event& e) {
  e.idempotency_key = "order-7";
  e.repeatable = false;
}
void NonRepeatable(event& e) {
  e.repeatable = false;
}
void AsPlanned(event& e) {
  e.planned = true;
}
void WithNewOffset(event& e) {
  e.offset = 9;
}

struct checker_case {
  const char* invariant;
  const char* name;
  // Whether the checker must report a violation.
  bool violating;
  std::function<void(history_builder&)> build;
};

const std::vector<checker_case>& Cases() {
  static const std::vector<checker_case> cases = {
      {"I1", "one retry with retry credit 1", false,
       [](history_builder& b) {
         b.AddRequest(0, 1).AddEvent(9, kind::kHandedOver, AsRetry);
       }},
      {"I1", "retries of a request and its child call with retry credit 1",
       true,
       [](history_builder& b) {
         b.AddRequest(0, 1).AddEvent(9, kind::kHandedOver, AsRetry);
         b.AddEvent(10, kind::kRunStarted, [](event& e) {
           e.id = {2, 1};
           e.attempt = 1;
         });
       }},
      {"I2", "critical request refused after the last browse request", false,
       [](history_builder& b) {
         b.AddRequest(0, 1, AsBrowse);
         b.AddEvent(9, kind::kSent, WithId(2))
             .AddEvent(10, kind::kRefused, WithId(2, ForOverload));
       }},
      {"I2", "critical request refused while a browse request is served", true,
       [](history_builder& b) {
         b.AddEvent(0, kind::kSent, WithId(2)).AddRequest(1, 1, AsBrowse);
         b.AddEvent(10, kind::kRefused, WithId(2, ForOverload));
       }},
      {"I3", "withdrawn key within 3 s, or with the log down", false,
       [](history_builder& b) {
         b.AddEvent(0, kind::kKeyWithdrawn).AddRequest(2990, 1);
         b.AddEvent(3000, kind::kLogDown).AddRequest(9000, 2);
       }},
      {"I3", "withdrawn key after 3 s", true,
       [](history_builder& b) {
         b.AddEvent(0, kind::kKeyWithdrawn).AddRequest(3000, 1);
       }},
      {"I3", "withdrawn key 3 s after the log came back", true,
       [](history_builder& b) {
         b.AddEvent(0, kind::kLogDown).AddEvent(1, kind::kKeyWithdrawn);
         b.AddEvent(9000, kind::kLogUp).AddRequest(12001, 1);
       }},
      {"I3", "ran for another customer", true,
       [](history_builder& b) {
         b.AddRequest(0, 1).AddEvent(9, kind::kRunStarted,
                                     [](event& e) { e.customer = "other"; });
       }},
      {"I3", "target received the API key", true,
       [](history_builder& b) {
         b.AddEvent(9, kind::kRunStarted, [](event& e) {
           e.open_route = true;
           e.target_saw_key = true;
         });
       }},
      {"I4", "burst, then one request at the rate", false,
       [](history_builder& b) {
         b.AddRequest(0, 1).AddRequest(1, 2).AddRequest(1002, 3);
       }},
      {"I4", "one request above the burst", true,
       [](history_builder& b) {
         b.AddRequest(0, 1).AddRequest(1, 2).AddRequest(900, 3);
       }},
      {"I4", "higher rate before the change is in force everywhere", false,
       [](history_builder& b) {
         b.AddEvent(1, kind::kRateSet,
                    [](event& e) { e.rate = e.burst = 0.1; });
         b.AddRequest(2, 1);
       }},
      {"I5", "calls at the cold capacity", false,
       [](history_builder& b) {
         b.AddEvent(0, kind::kTargetCold, [](event& e) { e.capacity = 1; });
         b.AddRequest(1, 1).AddRequest(8, 2);
       }},
      {"I5", "calls above the cold capacity", true,
       [](history_builder& b) {
         b.AddEvent(0, kind::kTargetCold, [](event& e) { e.capacity = 1; });
         b.AddRequest(1, 1).AddRequest(1, 2);
       }},
      {"I6", "calls within 3 s, and after the zone is back", false,
       [](history_builder& b) {
         b.AddEvent(0, kind::kZoneOut).AddRequest(2000, 1);
         b.AddEvent(5000, kind::kZoneIn).AddRequest(5001, 2);
       }},
      {"I6", "call after 3 s", true,
       [](history_builder& b) {
         b.AddEvent(0, kind::kZoneOut).AddRequest(3001, 1);
       }},
      {"I7", "duplicate gets the response of the first request", false,
       [](history_builder& b) {
         b.AddRequest(0, 1, WithIdempotencyKey)
             .AddEvent(9, kind::kAnswered, WithId(2, [](event& e) {
                         WithIdempotencyKey(e);
                         e.checksum = 1;
                       }));
       }},
      {"I7", "response of another request", true,
       [](history_builder& b) {
         b.AddRequest(0, 1).AddEvent(
             9, kind::kAnswered, WithId(2, [](event& e) { e.checksum = 1; }));
       }},
      {"I7", "request ends twice", true,
       [](history_builder& b) {
         b.AddRequest(0, 1).AddEvent(9, kind::kFailed);
       }},
      {"I8", "failed with unknown outcome after it ran", false,
       [](history_builder& b) {
         b.AddEvent(0, kind::kRunEnded).AddEvent(1, kind::kFailed);
       }},
      {"I8", "ran before its refusal", true,
       [](history_builder& b) {
         b.AddEvent(0, kind::kRunStarted).AddEvent(1, kind::kRefused);
       }},
      {"I8", "ran after its refusal", true,
       [](history_builder& b) {
         b.AddEvent(0, kind::kRefused).AddEvent(1, kind::kRunStarted);
       }},
      {"I9", "repeatable request runs twice", false,
       [](history_builder& b) {
         b.AddRequest(0, 1).AddEvent(9, kind::kHandedOver, AsRetry);
         b.AddEvent(10, kind::kRunStarted, AsRetry);
       }},
      {"I9", "two requests with one idempotency key run", true,
       [](history_builder& b) {
         b.AddRequest(0, 1, WithIdempotencyKey)
             .AddRequest(10, 2, WithIdempotencyKey);
       }},
      {"I9", "request without an idempotency key runs twice", true,
       [](history_builder& b) {
         b.AddRequest(0, 1, NonRepeatable)
             .AddEvent(9, kind::kRunStarted, NonRepeatable);
       }},
      {"I10", "calls within 3 s, and after the target serves again", false,
       [](history_builder& b) {
         b.AddEvent(0, kind::kTargetLeaving).AddRequest(2000, 1);
         b.AddEvent(5000, kind::kTargetServing).AddRequest(5001, 2);
       }},
      {"I10", "call after 3 s, with the log down", true,
       [](history_builder& b) {
         b.AddEvent(0, kind::kLogDown)
             .AddEvent(0, kind::kTargetLeaving)
             .AddRequest(3001, 1);
       }},
      {"I11", "crash, and a planned stop after the last request ended", false,
       [](history_builder& b) {
         b.AddEvent(0, kind::kSent).AddEvent(1, kind::kNodeStopped);
         b.AddRequest(2, 2).AddEvent(9, kind::kNodeStopped, AsPlanned);
       }},
      {"I11", "planned stop with an open request", true,
       [](history_builder& b) {
         b.AddEvent(0, kind::kSent).AddEvent(1, kind::kNodeStopped, AsPlanned);
       }},
      {"I11", "planned stop with a run in progress", true,
       [](history_builder& b) {
         b.AddEvent(0, kind::kRunStarted)
             .AddEvent(1, kind::kNodeStopped, AsPlanned);
       }},
      {"I12", "applied in time, or the node has stopped", false,
       [](history_builder& b) {
         b.AddEvent(0, kind::kNodeStarted, [](event& e) { e.node = "n2"; });
         b.AddEvent(1, kind::kConfigAccepted, WithNewOffset);
         b.AddEvent(2900, kind::kConfigApplied, WithNewOffset);
         b.AddEvent(2950, kind::kNodeStopped, [](event& e) { e.node = "n2"; });
         b.AddRequest(9000, 1);
       }},
      {"I12", "not applied in time", true,
       [](history_builder& b) {
         b.AddEvent(1, kind::kConfigAccepted, WithNewOffset)
             .AddRequest(3002, 1);
         b.AddEvent(3500, kind::kConfigApplied, WithNewOffset);
       }},
      {"I12", "node goes back to an older configuration", true,
       [](history_builder& b) {
         b.AddEvent(1, kind::kConfigApplied, WithNewOffset);
         b.AddEvent(2, kind::kConfigApplied, [](event& e) { e.offset = 8; });
       }},
  };
  return cases;
}

TEST_GROUP(checkers){};

// Guards against a checker that never reports, or that reports allowed
// behaviour.
TEST(checkers, EachCheckerReportsOnlyItsOwnViolations) {
  for (const checker_case& each : Cases()) {
    history_builder builder;
    each.build(builder);
    for (const checker& checked : AllCheckers()) {
      const findings found = checked.check(builder.history, {});
      const bool is_own = std::string(checked.invariant) == each.invariant;
      const std::string text = std::string(each.invariant) + ", " + each.name +
                               ", seen by " + checked.invariant + ": " +
                               found.ToText();
      if (is_own) {
        CHECK_EQUAL_TEXT(each.violating, !found.empty(), text.c_str());
      } else if (!each.violating) {
        CHECK_TRUE_TEXT(found.empty(), text.c_str());
      }
    }
  }
}

// Guards against an invariant without a checker, and against a checker that is
// tested only with violating or only with valid histories.
TEST(checkers, EachInvariantHasAViolatingAndAValidHistory) {
  CHECK_EQUAL(12, AllCheckers().size());
  for (const checker& checked : AllCheckers()) {
    int violating = 0;
    int valid = 0;
    for (const checker_case& each : Cases()) {
      if (std::string(each.invariant) == checked.invariant)
        ++(each.violating ? violating : valid);
    }
    CHECK_TRUE_TEXT(violating > 0 && valid > 0, checked.invariant);
  }
}

// Guards against findings from which the violating event cannot be found.
TEST(checkers, FindingsNameTheEvent) {
  history_builder builder;
  builder.AddRequest(0, 1, WithIdempotencyKey)
      .AddRequest(10, 2, WithIdempotencyKey);
  const findings found = CheckAll(builder.history, {});
  CHECK_EQUAL(1, found.items().size());
  STRCMP_EQUAL("I9, event 13 at 100013 ms (run_started 1/2)",
               found.items()[0].place.c_str());
}

}  // namespace
}  // namespace skylarkhoist
