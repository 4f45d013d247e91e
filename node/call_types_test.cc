#include "node/call_types.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "node/request_dialect.h"
#include "platform/platform_dialect.h"

namespace skylarkhoist {
namespace {

TEST_GROUP(call_types){};

// Guards against telling a caller that its request has not run, and inviting it
// to send the request again, although a target may have run it: a peer of a
// later version reports the loss of an answer with a reason that this version
// does not know.
TEST(call_types, OnlyARequestThatHasNotRunIsRefused) {
  for (const request_dialect* dialect :
       {&SkylarkDialect(), &PlatformDialect()}) {
    for (int value = 0; value <= 255; ++value) {
      const reason why = ReasonFromWire(static_cast<uint8_t>(value));
      for (const auto ran : {fbs::ran_state::kNo, fbs::ran_state::kYes,
                             fbs::ran_state::kUnknown}) {
        const http_response response = dialect->BuildErrorResponse(
            {1, 1}, {}, why, ran, std::chrono::seconds(1));
        if (ran == fbs::ran_state::kNo)
          continue;
        CHECK_FALSE_TEXT(PromisesNotRun(response.status),
                         std::string(InfoOf(why).label).c_str());
        POINTERS_EQUAL(nullptr, response.headers.Find("Retry-After"));
      }
    }
  }
}

// Guards against a run time that overflows because of a damaged message.
TEST(call_types, RunTimesFromMessagesAreBounded) {
  CHECK_TRUE(RunTimeAt(50, 100000) == std::chrono::milliseconds(500));
  CHECK_TRUE(RunTimeAt(50, 0) == duration::zero());
  CHECK_TRUE(RunTimeAt(0, 1000) == duration::zero());
  CHECK_TRUE(RunTimeAt(~uint32_t{0}, 1) == std::chrono::hours(1));
}

}  // namespace
}  // namespace skylarkhoist
