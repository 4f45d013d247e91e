#include "wire/http_log_client.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>

#include "testing/log_stand_in.h"
#include "testing/raw_socket.h"
#include "testing/run_until.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using append_result = tl::expected<uint64_t, log_error>;
using read_result = tl::expected<log_batch, log_error>;

TEST_GROUP(http_log_client) {
  event_loop loop;
  std::unique_ptr<log_stand_in> log;
  std::unique_ptr<http_log_client> client;

  void setup() override {
    log_stand_in_settings settings;
    settings.retention = 5;
    log = std::make_unique<log_stand_in>(&loop, settings);
    CHECK_TRUE(log->Listen().has_value());
    client = MakeClient(log->listen_address());
  }
  void teardown() override {
    client.reset();
    log.reset();
  }

  std::unique_ptr<http_log_client> MakeClient(const std::string& address) {
    http_log_client_settings settings;
    settings.address = address;
    settings.stream = "config";
    settings.timeout = milliseconds(300);
    return std::make_unique<http_log_client>(&loop, settings);
  }
  append_result Append(const std::string& data) {
    std::optional<append_result> result;
    client->Append(data, [&](const append_result& got) { result = got; });
    CHECK_FALSE(result.has_value());
    CHECK_TRUE(RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  }
  read_result Read(uint64_t from, int max) {
    std::optional<read_result> result;
    client->Read(from, max, [&](const read_result& got) { result = got; });
    CHECK_TRUE(RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  }
  template <typename expected>
  void CheckError(log_error_kind kind, const expected& got) {
    CHECK_FALSE(got.has_value());
    LONGS_EQUAL(static_cast<int>(kind), static_cast<int>(got.error().kind));
  }
};

// Guards against records that are altered, reordered or lost.
TEST(http_log_client, AppendsAndReads) {
  CHECK_EQUAL(0U, Read(1, 10)->entries.size());
  for (uint64_t offset = 1; offset <= 3; ++offset)
    CHECK_EQUAL(offset, *Append("\"line\n" + std::to_string(offset)));
  const read_result batch = Read(2, 10);
  CHECK_EQUAL(2U, batch->entries.size());
  CHECK_EQUAL(2U, batch->entries[0].offset);
  CHECK_EQUAL("\"line\n2", batch->entries[0].data);
  CHECK_EQUAL(4U, batch->end_offset);
  CHECK_EQUAL(1U, Read(1, 1)->entries.size());
  CHECK_EQUAL(0U, Read(9, 1)->entries.size());
}

// Guards against a reader that is not told that records it has not read were
// trimmed.
TEST(http_log_client, TrimmedReadReportsFirstOffset) {
  for (int count = 0; count < 8; ++count)
    CHECK_TRUE(Append("x").has_value());
  const read_result batch = Read(1, 10);
  CheckError(log_error_kind::kTrimmed, batch);
  CHECK_EQUAL(4U, batch.error().first_offset);
  CHECK_EQUAL(5U, Read(4, 10)->entries.size());
}

// Guards against an append that is reported as refused although it took effect,
// or as unknown although it was refused.
TEST(http_log_client, FaultsMapToErrorKinds) {
  log_faults faults;
  faults.lose_answers = 1;
  faults.refuse_appends = 1;
  log->SetFaults(faults);
  CheckError(log_error_kind::kRefused, Append("refused"));
  CHECK_EQUAL(1U, log->EndOffset("config"));
  CheckError(log_error_kind::kTimeout, Append("lost"));
  CHECK_EQUAL(2U, log->EndOffset("config"));
  CHECK_EQUAL(2U, *Append("kept"));

  faults = {};
  faults.outage = true;
  log->SetFaults(faults);
  CheckError(log_error_kind::kTimeout, Append("x"));
  CheckError(log_error_kind::kTimeout, Read(1, 1));
  faults = {};
  faults.silent = true;
  log->SetFaults(faults);
  CheckError(log_error_kind::kTimeout, Append("x"));
  CHECK_EQUAL(3U, log->EndOffset("config"));

  faults = {};
  faults.response_delay = milliseconds(600);
  log->SetFaults(faults);
  CheckError(log_error_kind::kTimeout, Append("slow"));
  CHECK_EQUAL(4U, log->EndOffset("config"));
  log->SetFaults({});
  CHECK_EQUAL(4U, *Append("x"));
}

// Guards against a stopped log service that is reported as a timeout.
TEST(http_log_client, RefusedConnectionIsUnreachable) {
  client = MakeClient([] { return raw_socket::Listener().address(); }());
  CheckError(log_error_kind::kUnreachable, Append("x"));
  CheckError(log_error_kind::kUnreachable, Read(1, 1));
}

// Guards against accepting responses with offset gaps or an invalid format.
TEST(http_log_client, MalformedResponsesAreErrors) {
  const char* const cases[] = {
      R"({"end":3,"records":[{"offset":2,"data":"x"}]})",
      R"({"end":3,"records":[{"offset":1,"data":"x"},{"offset":3,"data":"x"}]})",
      R"({"end":3,"records":[{"offset":1,"data":7}]})",
      R"({"end":3,"records":[7]})",
      R"({"end":-3,"records":[]})",
      R"({"end":3})",
      R"([])",
      "not JSON",
  };
  for (const char* body : cases) {
    http_server_settings settings;
    settings.listen_address = "127.0.0.1:0";
    metrics counters;
    http_server server(
        &loop, settings,
        [body](const http_request&, const auto& exchange) {
          http_response response;
          response.status = 200;
          response.body = body;
          exchange->Respond(response);
        },
        &counters);
    CHECK_TRUE(server.Listen().has_value());
    client = MakeClient(server.listen_address());
    CheckError(log_error_kind::kTimeout, Read(1, 10));
    CheckError(log_error_kind::kTimeout, Append("x"));
  }
}

// Guards against fault injection requests to the test log service that have no
// effect, so that tests would pass without the fault.
TEST(http_log_client, FaultsAreSetOverHttp) {
  http_target_client http(&loop, {}, nullptr);
  http_request command;
  command.method = "POST";
  command.path = "/admin/faults";
  command.body = R"({"refuse_appends":-1,"slow_ms":10,"for_ms":1000})";
  int status = 0;
  http.Call(log->listen_address(), command, std::chrono::seconds(1),
            [&](const target_result& got) { status = got.response.status; });
  CHECK_TRUE(RunUntil(loop, [&] { return status == 200; }));
  const time_point start = loop.Now();
  CheckError(log_error_kind::kRefused, Append("x"));
  CHECK_TRUE(loop.Now() - start >= milliseconds(10));
  CheckError(log_error_kind::kRefused, Append("x"));
  RunFor(loop, milliseconds(1020));
  CHECK_EQUAL(1U, *Append("x"));
}

}  // namespace
}  // namespace skylarkhoist
