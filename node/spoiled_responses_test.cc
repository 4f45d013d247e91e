#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <vector>

#include "node/hosted_node.h"
#include "platform/platform_dialect.h"
#include "testing/hosted_fleet.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct spoiled_response {
  int status;
  std::vector<std::pair<std::string, std::string>> fields;
};

// Responses that a faulty target sends in place of its own after it has run the
// request "id-1".
const spoiled_response kSpoiledResponses[] = {
    {200, {}},
    {200, {{"X-Request-Id", "id-1"}}},
    {200, {{"X-Request-Id", "id-1"}, {"X-Response-Signature", ""}}},
    {200, {{"X-Request-Id", "id-0"}, {"X-Response-Signature", "signed"}}},
    {200, {{"X-Response-Signature", "signed"}}},
    {200,
     {{"X-Request-Id", "id-1"},
      {"X-Response-Signature", "signed"},
      {"Content-Encoding", "gzip"}}},
    {204, {{"X-Request-Id", "id-1"}}},
    {503, {{"X-Not-Executed", "1"}}},
    {421, {}},
    {404, {}},
};

// Targets of "front" are on machines 0, 2 and 4.
TEST_GROUP(spoiled_responses) {
  static constexpr size_t kMachines = 6;
  hosted_fleet fleet{kMachines, 1, &PlatformDialect()};

  void setup() override {
    fleet.Publish("1 100000 k1");
    fleet.Advance(seconds(7));
  }

  void Spoil(size_t machine, const spoiled_response& spoiled) {
    http_response response;
    response.status = spoiled.status;
    for (const auto& [name, value] : spoiled.fields)
      response.headers.Add(name, value);
    response.body = "wrong bytes.";
    fleet.targets().ReplaceResponses(fleet.target_address(machine), response);
  }

  int64_t Runs() {
    return fleet.target_counters(0).runs + fleet.target_counters(2).runs +
           fleet.target_counters(4).runs;
  }

  http_response SendAndWait(size_t machine, const std::string& path) {
    const auto pending = fleet.Send(machine, path, "k1", "id-1");
    fleet.Advance(seconds(3));
    CHECK_TRUE(pending->response.has_value());
    return pending->response.value_or(http_response());
  }
};

// Guards against wrong bytes of a target that reach a caller as the answer to
// its request, through the node beside the target or through another one.
TEST(spoiled_responses, AreNotPassedOn) {
  for (const spoiled_response& spoiled : kSpoiledResponses) {
    for (const size_t target : {0, 2, 4})
      Spoil(target, spoiled);
    for (size_t entry = 0; entry < kMachines; ++entry) {
      const http_response response = SendAndWait(entry, "/safe/x");
      LONGS_EQUAL(502, response.status);
      CHECK_TRUE(response.body != "wrong bytes.");
    }
  }
}

// Guards against reporting a request as not run, or running it once more,
// because its target sent wrong bytes after the run.
TEST(spoiled_responses, CountAsRunsOfUnknownResult) {
  for (const spoiled_response& spoiled : kSpoiledResponses) {
    for (const size_t target : {0, 2, 4})
      Spoil(target, spoiled);
    for (size_t entry = 0; entry < kMachines; ++entry) {
      const int64_t before = Runs();
      LONGS_EQUAL(502, SendAndWait(entry, "/once/x").status);
      LONGS_EQUAL(1, Runs() - before);
    }
  }
}

// Guards against a failure for a request that another target may run.
TEST(spoiled_responses, RepeatableRequestsRunElsewhere) {
  // Requests that need no retry earn the retries of later ones.
  for (int i = 0; i < 200; ++i)
    LONGS_EQUAL(200, fleet.SendAndWait(0, "/safe/x", "k1", milliseconds(20)));
  Spoil(0, kSpoiledResponses[0]);
  const int64_t before = fleet.target_counters(0).runs;
  for (int i = 0; i < 3; ++i)
    LONGS_EQUAL(200, fleet.SendAndWait(0, "/safe/x", "k1", milliseconds(100)));
  CHECK_TRUE(fleet.target_counters(0).runs > before);
}

// Guards against wrong bytes that an executor without this check, from an
// earlier version, passes on.
TEST(spoiled_responses, EntriesCheckTheAnswersOfOtherNodes) {
  for (const size_t machine : {0, 2, 4}) {
    fleet.StopNode(machine);
    fleet.SetDialect(&SkylarkDialect());
    fleet.StartNode(machine);
    Spoil(machine, kSpoiledResponses[1]);
  }
  fleet.Advance(seconds(7));
  const int64_t before = Runs();
  LONGS_EQUAL(502, SendAndWait(1, "/once/x").status);
  LONGS_EQUAL(1, Runs() - before);
}

}  // namespace
}  // namespace skylarkhoist
