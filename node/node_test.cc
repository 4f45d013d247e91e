#include "node/node.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>

#include "testing/deployments.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A new fleet records its roster, and shard owners wait until no loan of an
// earlier owner can be left, before keyed requests are served.
constexpr duration kFleetFormationTime = seconds(6);

TEST_GROUP(node){
    // Sends one request and returns the response, or nothing when none arrives
    // within `wait`.
    static std::optional<http_response> SendAndWait(fleet & cluster,
                                                    size_t machine,
                                                    const http_request& request,
                                                    duration wait = seconds(2)){
        // Shared, since the response may arrive after this function returned.
        auto answer = std::make_shared<std::optional<http_response>>();
cluster.Send(machine,
             request,
             [answer](const std::optional<http_response>& response) {
               *answer = response;
             });
cluster.Advance(wait);
return *answer;
}  // namespace

static void CheckError(const std::optional<http_response>& response,
                       int status,
                       const char* reason) {
  CHECK_TRUE(response.has_value());
  CHECK_EQUAL(status, response->status);
  STRCMP_EQUAL(reason, HeaderValue(*response, "Skylark-Reason").c_str());
  STRCMP_EQUAL("no", HeaderValue(*response, "Skylark-Ran").c_str());
}
};  // namespace skylarkhoist

// Guards against a break anywhere on the path between the caller and the target
// of a child call.
TEST(node, AnswersChildCallsThroughAnyNode) {
  fleet cluster(SmallDeployment(5), 1);
  PublishSmallDeployment(&cluster, 2);
  cluster.Advance(kFleetFormationTime);
  for (size_t i = 0; i < cluster.size(); ++i) {
    const auto response = SendAndWait(
        cluster, i, MakeRequest("POST", "/bookings/1", ApiKeyOf(0), "x"));
    CHECK_TRUE(response.has_value());
    CHECK_EQUAL(200, response->status);
    STRCMP_EQUAL("yes", HeaderValue(*response, "Skylark-Ran").c_str());
  }
}

// Guards against requests that run without a valid key, and against responses
// that do not state the reason.
TEST(node, RefusesRequestsWithoutValidKey) {
  fleet cluster(SmallDeployment(5), 1);
  PublishSmallDeployment(&cluster, 1);
  cluster.Advance(kFleetFormationTime);
  CheckError(SendAndWait(cluster, 0, MakeRequest("POST", "/bookings", "")), 401,
             "key_missing");
  CheckError(
      SendAndWait(cluster, 0, MakeRequest("POST", "/bookings", ApiKeyOf(7))),
      401, "key_unknown");
  CheckError(
      SendAndWait(cluster, 0, MakeRequest("GET", "/nowhere", ApiKeyOf(0))), 404,
      "no_route");
  const auto open = SendAndWait(cluster, 0, MakeRequest("GET", "/browse", ""));
  CHECK_EQUAL(200, open->status);
}

// Guards against unbounded memory use while a service is slow.
TEST(node, RefusesRequestsAboveMaxOpenCalls) {
  node_options options;
  options.max_open_calls = 2;
  fleet cluster(SmallDeployment(5), 1, {}, options);
  PublishSmallDeployment(&cluster, 1);
  cluster.Advance(kFleetFormationTime);
  int answered = 0;
  int refused = 0;
  for (int i = 0; i < 5; ++i) {
    cluster.Send(
        0, MakeRequest("GET", "/browse", ""),
        [&](const std::optional<http_response>& response) {
          if (response && response->status == 200)
            ++answered;
          else if (response &&
                   HeaderValue(*response, "Skylark-Reason") == "overloaded")
            ++refused;
        });
  }
  cluster.Advance(seconds(2));
  CHECK_EQUAL(2, answered);
  CHECK_EQUAL(3, refused);
}

// Guards against a node that serves keyed routes before it has a configuration.
TEST(node, RefusesKeyedRequestsWithoutConfiguration) {
  fleet cluster(SmallDeployment(3), 1);
  cluster.log().faults().down = true;
  CheckError(
      SendAndWait(cluster, 0, MakeRequest("POST", "/bookings", ApiKeyOf(0))),
      503, "config_stale");
}

// Guards against a second run when a caller repeats a booking at another node.
TEST(node, RepeatedIdempotencyKeyGetsFirstAnswer) {
  fleet cluster(SmallDeployment(5), 1);
  PublishSmallDeployment(&cluster, 1);
  // A new fleet needs its roster before idempotency keys can be claimed.
  cluster.Advance(2 * kFleetFormationTime);
  http_request request =
      MakeRequest("POST", "/bookings", ApiKeyOf(0), "night 7");
  request.headers.Add("Idempotency-Key",
                      "01890000-0000-7000-8000-000000000001");
  http_request other_request =
      MakeRequest("POST", "/bookings", ApiKeyOf(0), "night 7");
  other_request.headers.Add("Idempotency-Key", "booking-1");
  const auto total_runs = [&] {
    int64_t sum = 0;
    for (size_t i = 0; i < cluster.size(); i += 2)
      sum += cluster.targets().counters(cluster.TargetAddress(i, 0)).runs;
    return sum;
  };
  const auto unavailable = SendAndWait(cluster, 1, other_request, seconds(3));
  CheckError(unavailable, 503, "dedup_unavailable");
  for (const size_t machine : {0, 1, 4}) {
    const auto response = SendAndWait(cluster, machine, request);
    CHECK_TRUE(response.has_value());
    CHECK_EQUAL(200, response->status);
  }
  CHECK_EQUAL(1, total_runs());
}

// Guards against a planned stop that aborts requests in progress or leaves the
// fleet without service.
TEST(node, DrainLosesNoRequest) {
  fleet cluster(SmallDeployment(5), 1);
  PublishSmallDeployment(&cluster, 1);
  cluster.Advance(kFleetFormationTime);
  int answered = 0;
  int not_answered = 0;
  const auto count_response =
      [&](const std::optional<http_response>& response) {
        if (response && response->status == 200)
          ++answered;
        else
          ++not_answered;
      };
  for (int i = 0; i < 400; ++i) {
    if (i == 100)
      cluster.DrainNode(2);
    // Callers use nodes that stay up.
    cluster.Send(i % 2 == 0 ? 0 : 4,
                 MakeRequest("POST", "/bookings", ApiKeyOf(0)), count_response);
    cluster.Advance(milliseconds(10));
  }
  cluster.Advance(seconds(2));
  CHECK_EQUAL(400, answered);
  CHECK_EQUAL(0, not_answered);
  CHECK_FALSE(cluster.IsUp(2));
}

// Guards against a quarantine message that misses a node whose target is down
// at that time: the request then crashes that target too.
TEST(node, CrashingRequestCrashesOnlyTwoTargets) {
  fleet cluster(SmallDeployment(6), 1);
  PublishSmallDeployment(&cluster, 1);
  cluster.Advance(kFleetFormationTime);
  const http_request request = MakeRequest("GET", "/calendar", ApiKeyOf(0),
                                           fake_target_options().crash_marker);
  const auto ignore_response = [](const std::optional<http_response>&) {};
  // Other load makes the routing prefer targets that have just restarted.
  for (size_t i = 0; i < 1000; ++i) {
    if (i % 20 == 0)
      cluster.Send(i / 20 % cluster.size(), request, ignore_response);
    cluster.Send(i % cluster.size(),
                 MakeRequest("GET", "/calendar", ApiKeyOf(0)), ignore_response);
    cluster.Advance(milliseconds(10));
  }
  int64_t crashes = 0;
  for (size_t i = 1; i < cluster.size(); i += 2)
    crashes += cluster.targets().counters(cluster.TargetAddress(i, 0)).crashes;
  CHECK_EQUAL(2, crashes);
}

}  // namespace
}  // namespace skylarkhoist
