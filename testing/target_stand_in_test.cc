#include "testing/target_stand_in.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "kernel/json.h"
#include "testing/run_until.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(target_stand_in) {
  event_loop loop;
  metrics counters;
  // Takes the place of the node that serves the target.
  std::unique_ptr<http_server> node;
  std::vector<http_request> node_requests;
  int child_status = 200;
  std::unique_ptr<http_target_client> client;
  std::vector<target_result> results;

  void setup() override {
    http_server_settings settings;
    settings.listen_address = "127.0.0.1:0";
    settings.name = "local";
    node = std::make_unique<http_server>(
        &loop, settings,
        [this](const http_request& request, const auto& exchange) {
          node_requests.push_back(request);
          http_response response;
          response.status = request.path == "/v1/targets" ? 200 : child_status;
          exchange->Respond(response);
        },
        &counters);
    CHECK_TRUE(node->Listen().has_value());
    client = std::make_unique<http_target_client>(
        &loop, http_target_client_settings{}, &counters);
  }
  void teardown() override {
    client.reset();
    node.reset();
  }

  target_stand_in_settings Settings() {
    target_stand_in_settings settings;
    settings.service = "bookings";
    settings.node_address = node->listen_address();
    settings.announce_interval = milliseconds(50);
    settings.min_leave_time = milliseconds(100);
    return settings;
  }
  void Call(const target_stand_in& target, const std::string& body) {
    http_request request;
    request.method = "POST";
    request.path = "/bookings";
    request.headers.Add("Skylark-Context", "token");
    request.body = body;
    client->Call(target.listen_address(), request, std::chrono::seconds(5),
                 [this](const target_result& got) { results.push_back(got); });
  }
  bool WaitForResults(size_t count) {
    return RunUntil(loop, [&] { return results.size() == count; });
  }
};

// Guards against a target that does not announce itself, and against one that
// stops while calls are running.
TEST(target_stand_in, AnnouncesServesAndLeaves) {
  target_stand_in_settings settings = Settings();
  settings.service_time = milliseconds(600);
  target_stand_in target(&loop, settings);
  CHECK_TRUE(target.Start().has_value());
  CHECK_TRUE(RunUntil(loop, [&] { return node_requests.size() >= 3; }));
  const json announcement = json::parse(node_requests[0].body);
  CHECK_EQUAL("/v1/targets", node_requests[0].path);
  CHECK_EQUAL("bookings", announcement["service"].get<std::string>());
  CHECK_EQUAL(target.listen_address(),
              announcement["address"].get<std::string>());
  CHECK_EQUAL("serving", announcement["state"].get<std::string>());

  Call(target, "hello");
  CHECK_TRUE(RunUntil(loop, [&] { return target.running_calls() == 1; }));
  bool has_left = false;
  target.Leave([&] { has_left = true; });
  RunFor(loop, milliseconds(120));
  CHECK_FALSE(has_left);
  CHECK_EQUAL(
      "leaving",
      json::parse(node_requests.back().body)["state"].get<std::string>());
  CHECK_TRUE(WaitForResults(1));
  const json body = json::parse(results[0].response.body);
  CHECK_EQUAL("hello", body["body"].get<std::string>());
  CHECK_EQUAL("POST", body["method"].get<std::string>());
  CHECK_EQUAL("/bookings", body["path"].get<std::string>());
  CHECK_TRUE(RunUntil(loop, [&] { return has_left; }));
}

// Guards against a stand-in that runs more calls at the same time than its
// settings allow.
TEST(target_stand_in, ShedsCallsAboveSlots) {
  target_stand_in_settings settings = Settings();
  settings.slots = 4;
  settings.cold_slots = 2;
  settings.cold_calls = 2;
  target_stand_in target(&loop, settings);
  CHECK_TRUE(target.Start().has_value());
  const struct {
    uint64_t started;
    uint64_t shed;
  } rounds[] = {{2, 4}, {4, 2}};
  for (const auto& round : rounds) {
    const uint64_t started_before = target.calls_started();
    const uint64_t shed_before = target.calls_shed();
    results.clear();
    for (int count = 0; count < 6; ++count)
      Call(target, "x");
    CHECK_TRUE(WaitForResults(6));
    CHECK_EQUAL(round.started, target.calls_started() - started_before);
    CHECK_EQUAL(round.shed, target.calls_shed() - shed_before);
  }
  CHECK_EQUAL(4, target.peak_running_calls());
}

// Guards against child calls without the context token of their parent, and
// against a response that passes on the child's status as the target's own.
TEST(target_stand_in, MakesChildCallThroughNode) {
  target_stand_in_settings settings = Settings();
  settings.child_path = "/calendar";
  target_stand_in target(&loop, settings);
  CHECK_TRUE(target.Start().has_value());
  for (const int status : {200, 503}) {
    results.clear();
    child_status = status;
    Call(target, "x");
    CHECK_TRUE(WaitForResults(1));
    CHECK_EQUAL(status == 200 ? 200 : 502, results[0].response.status);
    CHECK_EQUAL(
        status,
        json::parse(results[0].response.body)["child"]["status"].get<int>());
  }
  const auto child = std::find_if(
      node_requests.begin(), node_requests.end(),
      [](const http_request& request) { return request.path == "/calendar"; });
  CHECK_TRUE(child != node_requests.end());
  CHECK_EQUAL("token", *child->headers.Find("Skylark-Context"));
}

// Guards against a request body that should end the process but does not.
TEST(target_stand_in, ExitsOnMatchingBody) {
  target_stand_in_settings settings = Settings();
  settings.exit_on_body = "crash me";
  target_stand_in target(&loop, settings);
  bool exited = false;
  target.SetExitHandler([&] { exited = true; });
  CHECK_TRUE(target.Start().has_value());
  Call(target, "please crash me now");
  CHECK_TRUE(WaitForResults(1));
  CHECK_TRUE(exited);
  CHECK_TRUE(results[0].may_have_run);
}

}  // namespace
}  // namespace skylarkhoist
