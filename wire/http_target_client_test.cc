#include "wire/http_target_client.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testing/raw_socket.h"
#include "testing/run_until.h"
#include "wire/http_server.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

http_request Request(const std::string& method, const std::string& body = "") {
  http_request request;
  request.method = method;
  request.path = "/path?query";
  request.headers.Add("X-One", "1");
  request.headers.Add("Transfer-Encoding", "chunked");
  request.body = body;
  return request;
}

TEST_GROUP(http_target_client) {
  event_loop loop;
  metrics counters;
  std::unique_ptr<http_target_client> client;
  raw_socket listener;
  raw_socket accepted;
  std::optional<target_result> result;
  int result_count = 0;

  void setup() override {
    http_target_client_settings settings;
    settings.max_body_bytes = 100'000;
    settings.max_idle = milliseconds(200);
    client = std::make_unique<http_target_client>(&loop, settings, &counters);
    listener = raw_socket::Listener();
  }
  void teardown() override {
    client.reset();
    listener.Close();
    accepted.Close();
  }

  target_call_id Call(const http_request& request,
                      duration timeout = seconds(5)) {
    result.reset();
    return client->Call(listener.address(), request, timeout,
                        [this](const target_result& got) {
                          result = got;
                          ++result_count;
                        });
  }
  bool AcceptOne() {
    return RunUntil(loop, [&] {
      accepted = listener.Accept();
      return accepted.is_open();
    });
  }
  std::string ReadUntil(const std::string& text) {
    std::string got;
    RunUntil(loop, [&] {
      got += accepted.Read();
      return got.find(text) != std::string::npos || accepted.ended();
    });
    return got;
  }
  bool Finished() {
    return RunUntil(loop, [&] { return result.has_value(); });
  }
  void CheckError(target_error error, bool may_have_run, const char* name) {
    CHECK_TRUE_TEXT(Finished(), name);
    LONGS_EQUAL_TEXT(static_cast<int>(error), static_cast<int>(result->error),
                     name);
    CHECK_EQUAL_TEXT(may_have_run, result->may_have_run, name);
  }
};

// Guards against requests and responses that are altered in transit.
TEST(http_target_client, AllMethodsReachAServer) {
  http_server_settings settings;
  settings.listen_address = "127.0.0.1:0";
  settings.name = "test";
  http_request seen;
  http_server server(
      &loop, settings,
      [&](const http_request& request, const auto& exchange) {
        seen = request;
        http_response response;
        response.status = 207;
        response.headers.Add("X-Two", "2");
        response.body = request.body;
        exchange->Respond(response);
      },
      &counters);
  CHECK_TRUE(server.Listen().has_value());
  struct {
    const char* method;
    const char* body;
  } const cases[] = {{"GET", ""},     {"HEAD", ""},   {"POST", "a"},
                     {"PUT", "b"},    {"PATCH", "c"}, {"DELETE", ""},
                     {"OPTIONS", ""}, {"POST", ""}};
  for (const auto& test_case : cases) {
    result.reset();
    client->Call(server.listen_address(),
                 Request(test_case.method, test_case.body), seconds(5),
                 [&](const target_result& got) { result = got; });
    CHECK_FALSE(result.has_value());
    CheckError(target_error::kNone, true, test_case.method);
    CHECK_EQUAL(207, result->response.status);
    CHECK_EQUAL(std::string(test_case.body), result->response.body);
    CHECK_EQUAL("2", *result->response.headers.Find("X-Two"));
    CHECK_EQUAL(std::string(test_case.method), seen.method);
    CHECK_EQUAL("/path?query", seen.path);
    CHECK_EQUAL(std::string(test_case.body), seen.body);
    CHECK_EQUAL("1", *seen.headers.Find("X-One"));
    CHECK_EQUAL(server.listen_address(), *seen.headers.Find("Host"));
    CHECK_EQUAL(1U, client->idle_connections());
  }
}

// Guards against reporting an incomplete, invalid or oversized response as a
// success, and against a wrong `may_have_run`.
TEST(http_target_client, FaultyResponsesAreErrors) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  struct {
    const char* name;
    std::string bytes;
    target_error error;
  } const cases[] = {
      {"closed without a byte", "", target_error::kConnectionLost},
      {"closed in the status line", "HTTP/1.1 2",
       target_error::kConnectionLost},
      {"closed in the headers", ok + "X: 1\r\n", target_error::kConnectionLost},
      {"closed in the body", ok + "Content-Length: 5\r\n\r\nabc",
       target_error::kConnectionLost},
      {"closed in a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
       target_error::kConnectionLost},
      {"closed after a chunk",
       ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
       target_error::kConnectionLost},
      {"two lengths", ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       target_error::kMalformed},
      {"not HTTP", "hello\r\n\r\n", target_error::kMalformed},
      {"status 000", "HTTP/1.1 000 Error\r\nContent-Length: 1\r\n\r\na",
       target_error::kMalformed},
      {"status of one digit", "HTTP/1.1 0 Error\r\nContent-Length: 0\r\n\r\n",
       target_error::kMalformed},
      {"status 099", "HTTP/1.1 099 Error\r\nContent-Length: 0\r\n\r\n",
       target_error::kMalformed},
      {"status 600", "HTTP/1.1 600 Error\r\nContent-Length: 0\r\n\r\n",
       target_error::kMalformed},
      {"status 999", "HTTP/1.1 999 Error\r\nContent-Length: 0\r\n\r\n",
       target_error::kMalformed},
      {"bad length", ok + "Content-Length: x\r\n\r\n",
       target_error::kMalformed},
      {"long body", ok + "Content-Length: 100001\r\n\r\n",
       target_error::kTooLarge},
  };
  for (const auto& test_case : cases) {
    Call(Request("POST", "body"));
    CHECK_TRUE_TEXT(AcceptOne(), test_case.name);
    ReadUntil("body");
    accepted.Write(test_case.bytes);
    accepted.Close();
    CheckError(test_case.error, true, test_case.name);
    CHECK_EQUAL(0U, client->idle_connections());
  }
  LONGS_EQUAL(std::size(cases), result_count);
}

// Guards against a response that is cut short in its head and passed on as a
// complete one with an empty or short body: a target stops after any byte of
// the head and closes, on a new or a reused connection.
TEST(http_target_client, AHeadThatEndsEarlyIsNoResponse) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-One: 1\r\nContent-Length: 12\r\n\r\n";
  const std::string headless_length = "HTTP/1.1 200 OK\r\nX-One: 1\r\n\r\n";
  for (const std::string& whole : {head, headless_length}) {
    for (const bool reused : {false, true}) {
      for (size_t size = 0; size < whole.size(); ++size) {
        http_target_client_settings settings;
        settings.echo_field = "X-One";
        client =
            std::make_unique<http_target_client>(&loop, settings, &counters);
        Call(Request("POST", "body"));
        CHECK_TRUE(AcceptOne());
        ReadUntil("body");
        if (reused) {
          accepted.Write(
              "HTTP/1.1 200 OK\r\nX-One: 1\r\nContent-Length: 0\r\n\r\n");
          CheckError(target_error::kNone, true, "first");
          Call(Request("POST", "body"));
          ReadUntil("body");
        }
        accepted.Write(whole.substr(0, size));
        accepted.Close();
        CheckError(target_error::kConnectionLost, true,
                   whole.substr(0, size).c_str());
      }
    }
  }
}

// Guards against losing a response without a length, which ends when the target
// closes the connection, and against accepting one that a reset cut short.
TEST(http_target_client, ResponseWithoutLengthEndsWithItsConnection) {
  const std::string response = "HTTP/1.1 200 OK\r\n\r\nabc";
  for (const bool reset : {false, true}) {
    Call(Request("POST", "body"));
    CHECK_TRUE(AcceptOne());
    ReadUntil("body");
    accepted.Write(response);
    RunFor(loop, milliseconds(20));
    CHECK_FALSE(result.has_value());
    if (reset)
      accepted.Reset();
    else
      accepted.Close();
    if (reset) {
      CheckError(target_error::kConnectionLost, true, "reset");
      continue;
    }
    CheckError(target_error::kNone, true, "closed");
    STRCMP_EQUAL("abc", result->response.body.c_str());
    CHECK_EQUAL(0U, client->idle_connections());
  }
}

// Guards against a response that ends the wrong call: a late second response to
// the previous call arrives where the response to this call is expected.
TEST(http_target_client, ResponseToAnEarlierRequestIsIgnored) {
  http_target_client_settings settings;
  settings.echo_field = "X-One";
  client = std::make_unique<http_target_client>(&loop, settings, &counters);
  Call(Request("GET"));
  CHECK_TRUE(AcceptOne());
  ReadUntil("\r\n\r\n");
  accepted.Write("HTTP/1.1 200 OK\r\nX-One: 0\r\nContent-Length: 2\r\n\r\nno");
  RunFor(loop, milliseconds(20));
  CHECK_FALSE(result.has_value());
  accepted.Write("HTTP/1.1 200 OK\r\nX-One: 1\r\nContent-Length: 3\r\n\r\nown");
  CheckError(target_error::kNone, true, "own");
  STRCMP_EQUAL("own", result->response.body.c_str());
  CHECK_EQUAL(0U, client->idle_connections());
}

// Guards against reporting a request as not run because the target writes an
// earlier refusal once more on a reused connection, with or without the id of
// the request that it had refused.
TEST(http_target_client, ARepeatedRefusalDoesNotCountForTheNextRequest) {
  http_target_client_settings settings;
  settings.echo_field = "X-One";
  const auto refusal_with = [](const std::string& id_field) {
    std::string refusal = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n";
    refusal += id_field;
    refusal += "Content-Length: 0\r\n\r\n";
    return refusal;
  };
  for (const std::string& id : {std::string("X-One: 1\r\n"), std::string()}) {
    client = std::make_unique<http_target_client>(&loop, settings, &counters);
    Call(Request("GET"));
    CHECK_TRUE(AcceptOne());
    ReadUntil("\r\n\r\n");
    accepted.Write(refusal_with("X-One: 1\r\n"));
    CheckError(target_error::kNone, true, "refusal");
    LONGS_EQUAL(503, result->response.status);
    CHECK_EQUAL(1U, client->idle_connections());
    http_request next;
    next.method = "POST";
    next.path = "/next";
    next.headers.Add("X-One", "2");
    Call(next);
    ReadUntil("\r\n\r\n");
    accepted.Write(refusal_with(id));
    if (id.empty()) {
      CheckError(target_error::kMalformed, true, "refusal without an id");
      CHECK_EQUAL(0U, client->idle_connections());
      continue;
    }
    RunFor(loop, milliseconds(20));
    CHECK_FALSE(result.has_value());
    accepted.Write("HTTP/1.1 200 OK\r\nX-One: 2\r\nContent-Length: 0\r\n\r\n");
    CheckError(target_error::kNone, true, "own response");
    LONGS_EQUAL(200, result->response.status);
  }
}

// Guards against taking bytes that are not the target's response for it, as a
// success or as a refusal, where they are the first ones on a new connection.
TEST(http_target_client, BytesWithoutAnIdAreNoResponseOnANewConnection) {
  http_target_client_settings settings;
  settings.echo_field = "X-One";
  client = std::make_unique<http_target_client>(&loop, settings, &counters);
  for (const char* head : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 421 Elsewhere\r\n",
                           "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"}) {
    for (const bool has_length : {true, false}) {
      Call(Request("POST", "body"));
      CHECK_TRUE_TEXT(AcceptOne(), head);
      ReadUntil("body");
      accepted.Write(std::string(head) +
                     (has_length ? "Content-Length: 12\r\n" : "") +
                     "\r\nwrong bytes.");
      if (!has_length)
        accepted.Close();
      CheckError(target_error::kMalformed, true, head);
      CHECK_EQUAL(0U, client->idle_connections());
    }
  }
}

// Guards against reusing a connection whose target responded before it read the
// whole body: it would parse the rest of the body as the next request.
TEST(http_target_client, EarlyResponseClosesTheConnection) {
  http_request request = Request("POST");
  request.body.assign(32U << 20U, 'x');
  Call(request);
  CHECK_TRUE(AcceptOne());
  accepted.Write("HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n");
  CheckError(target_error::kNone, true, "early");
  CHECK_EQUAL(400, result->response.status);
  CHECK_EQUAL(0U, client->idle_connections());
}

// Guards against reporting that a request may have run although the target
// never received it.
TEST(http_target_client, UnsentRequestHasNotRun) {
  const std::string address = listener.address();
  listener.Close();
  client->Call(address, Request("POST", "body"), seconds(5),
               [this](const target_result& got) { result = got; });
  CHECK_FALSE(result.has_value());
  CheckError(target_error::kConnectRefused, false, "refused");

  struct {
    const char* name;
    const char* method;
    const char* path;
    const char* body;
  } const cases[] = {{"unknown method", "BREW", "/", ""},
                     {"line break in path", "GET", "/a\r\nX: 1", ""},
                     {"space in path", "GET", "/a b", ""},
                     {"no path", "GET", "", ""},
                     {"body of GET", "GET", "/", "body"}};
  for (const auto& test_case : cases) {
    http_request request;
    request.method = test_case.method;
    request.path = test_case.path;
    request.body = test_case.body;
    result.reset();
    client->Call(address, request, seconds(5),
                 [this](const target_result& got) { result = got; });
    CheckError(target_error::kMalformed, false, test_case.name);
  }
}

// Guards against sending a request twice, and against reporting that it has not
// run although the target may have read it: the target closes a reused
// connection after it received the second request.
TEST(http_target_client, ClosedReusedConnectionIsNotRetried) {
  Call(Request("POST", "first"));
  CHECK_TRUE(AcceptOne());
  ReadUntil("first");
  accepted.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CheckError(target_error::kNone, true, "first");
  CHECK_EQUAL(1U, client->idle_connections());

  Call(Request("POST", "second"));
  CHECK_TRUE(ReadUntil("second").find("second") != std::string::npos);
  accepted.Close();
  CheckError(target_error::kConnectionLost, true, "second");
  RunFor(loop, milliseconds(100));
  CHECK_FALSE(listener.Accept().is_open());
  CHECK_EQUAL(2, result_count);
}

// Guards against sending requests on connections that the target has already
// closed, which would leave their outcome unknown.
TEST(http_target_client, ConnectionClosedWhileIdleIsReplaced) {
  for (const bool run_loop : {false, true}) {
    Call(Request("GET"));
    CHECK_TRUE(AcceptOne());
    ReadUntil("\r\n\r\n");
    accepted.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CheckError(target_error::kNone, true, "first");
    accepted.Close();
    if (run_loop)
      RunFor(loop, milliseconds(20));
    Call(Request("GET"));
    CHECK_TRUE(AcceptOne());
    ReadUntil("\r\n\r\n");
    accepted.Write(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    CheckError(target_error::kNone, true, "second");
    CHECK_EQUAL(0U, client->idle_connections());
  }
}

// Guards against memory and connections that a target holds by sending bytes
// without end, in each part of a response, until its caller closes.
TEST(http_target_client, BytesWithoutEndEndTheCall) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string filler(1000, 'x');
  struct {
    const char* name;
    std::string start;
    std::string repeated;
  } const cases[] = {
      {"no HTTP", "", filler},
      {"status line", "HTTP/1.1 200 ", filler},
      {"header name", ok, filler},
      {"header value", ok + "X: ", filler},
      {"headers", ok, "X: " + filler + "\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"body without length", ok + "\r\n", filler},
      {"chunks", chunked, "3e8\r\n" + filler + "\r\n"},
      {"chunk extension", chunked + "1;", filler},
      {"trailers", chunked + "0\r\n", "X: " + filler + "\r\n"},
      {"foreign responses", "",
       ok + "X-One: 0\r\nContent-Length: 1000\r\n\r\n" + filler},
  };
  http_target_client_settings settings;
  settings.max_body_bytes = 100'000;
  settings.echo_field = "X-One";
  client = std::make_unique<http_target_client>(&loop, settings, &counters);
  // Bytes that the target can write before the connection is closed. Socket
  // buffers hold some of them.
  constexpr size_t kMaxWritten = 8U << 20U;
  constexpr size_t kBytesPerRound = 10'000;
  for (const auto& test_case : cases) {
    Call(Request("GET"), seconds(60));
    CHECK_TRUE_TEXT(AcceptOne(), test_case.name);
    ReadUntil("\r\n\r\n");
    accepted.Write(test_case.start);
    size_t written = 0;
    std::string pending;
    RunUntil(loop, [&] {
      while (pending.size() < kBytesPerRound)
        pending += test_case.repeated;
      const size_t count = accepted.TryWrite(pending);
      pending.erase(0, count);
      written += count;
      return result.has_value() || written > kMaxWritten;
    });
    CHECK_TRUE_TEXT(result.has_value(), test_case.name);
    CHECK_TRUE_TEXT(result->error == target_error::kTooLarge ||
                        result->error == target_error::kMalformed,
                    test_case.name);
    CHECK_TRUE_TEXT(result->may_have_run, test_case.name);
    CHECK_EQUAL(0U, client->idle_connections());
  }
}

// Guards against heads that take many times the memory of their bytes, because
// they consist of tiny fields, and that their targets send without end but
// slowly enough to stay below the limit of bytes for long.
TEST(http_target_client, HeadsOfTinyFieldsAreBounded) {
  Call(Request("GET"), seconds(60));
  CHECK_TRUE(AcceptOne());
  ReadUntil("\r\n\r\n");
  std::string head = "HTTP/1.1 200 OK\r\n";
  for (int i = 0; i < 2000; ++i)
    head += "a:\r\n";
  accepted.Write(head);
  CHECK_TRUE(RunUntil(loop, [&] { return result.has_value(); }));
  CHECK_TRUE(result->error == target_error::kTooLarge);
}

// Guards against a process that runs out of memory because many targets send
// heads without end at the same time: only bodies were bounded over all calls.
TEST(http_target_client, HeadsCountWhenMemoryIsShort) {
  http_target_client_settings settings;
  settings.max_buffered_bytes = 100'000;
  client = std::make_unique<http_target_client>(&loop, settings, &counters);
  std::vector<raw_socket> sockets;
  size_t failed = 0;
  for (int i = 0; i < 4; ++i) {
    client->Call(listener.address(), Request("GET"), seconds(60),
                 [&failed](const target_result& got) {
                   failed += got.error == target_error::kTooLarge ? 1 : 0;
                 });
    CHECK_TRUE(AcceptOne());
    ReadUntil("\r\n\r\n");
    accepted.Write("HTTP/1.1 200 OK\r\nX: " + std::string(40'000, 'x'));
    sockets.push_back(std::move(accepted));
  }
  CHECK_TRUE(RunUntil(loop, [&] { return failed == 2; }));
  RunFor(loop, milliseconds(50));
  CHECK_EQUAL(2U, failed);
}

// Guards against a target that sends bytes without end on an idle connection:
// they must not be kept until the connection is used or expires.
TEST(http_target_client, BytesOnAnIdleConnectionCloseIt) {
  http_target_client_settings settings;
  settings.max_idle = seconds(30);
  client = std::make_unique<http_target_client>(&loop, settings, &counters);
  Call(Request("GET"));
  CHECK_TRUE(AcceptOne());
  ReadUntil("\r\n\r\n");
  accepted.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CheckError(target_error::kNone, true, "response");
  CHECK_EQUAL(1U, client->idle_connections());
  accepted.Write("x");
  CHECK_TRUE(RunUntil(loop, [&] { return client->idle_connections() == 0; }));
}

// Guards against a process that runs out of memory because many targets send
// large responses at the same time, and against failing small ones for that.
TEST(http_target_client, LargestResponsesFailWhenMemoryIsShort) {
  http_target_client_settings settings;
  settings.max_body_bytes = 1'000'000;
  settings.max_buffered_bytes = 100'000;
  client = std::make_unique<http_target_client>(&loop, settings, &counters);
  std::vector<raw_socket> sockets;
  std::vector<std::optional<target_result>> results(4);
  for (size_t i = 0; i < results.size(); ++i) {
    client->Call(listener.address(), Request("GET"), seconds(60),
                 [&results, i](const target_result& got) { results[i] = got; });
    CHECK_TRUE(AcceptOne());
    ReadUntil("\r\n\r\n");
    sockets.push_back(std::move(accepted));
  }
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  for (const raw_socket& each : sockets)
    each.Write(head + std::string(20'000, 'x'));
  RunFor(loop, milliseconds(50));
  sockets[2].Write(std::string(60'000, 'x'));
  CHECK_TRUE(RunUntil(loop, [&] { return results[2].has_value(); }));
  CHECK_TRUE(results[2]->error == target_error::kTooLarge);
  for (const size_t i : {0U, 1U, 3U}) {
    CHECK_FALSE(results[i].has_value());
    sockets[i].Close();
    CHECK_TRUE(RunUntil(loop, [&] { return results[i].has_value(); }));
    CHECK_TRUE(results[i]->error == target_error::kNone);
    CHECK_EQUAL(20'000U, results[i]->response.body.size());
  }
}

// Guards against a response that ends the wrong call: data that follows a
// response, at once or later, must not be parsed as the next response.
TEST(http_target_client, ExtraBytesAreNotTakenAsAResponse) {
  const std::string extra = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
  struct {
    const char* name;
    std::string bytes;
    std::string later;
    target_error error;
  } const cases[] = {
      {"same packet", extra + extra, "", target_error::kNone},
      {"later packet", extra, extra, target_error::kNone},
      {"interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + extra, "",
       target_error::kMalformed},
      {"upgrade", "HTTP/1.1 101 Switching\r\n\r\n", extra,
       target_error::kMalformed},
      {"body of 204", "HTTP/1.1 204 No Content\r\n\r\n" + extra, "",
       target_error::kNone},
  };
  for (const auto& test_case : cases) {
    Call(Request("GET"));
    CHECK_TRUE_TEXT(AcceptOne(), test_case.name);
    ReadUntil("\r\n\r\n");
    accepted.Write(test_case.bytes);
    CheckError(test_case.error, true, test_case.name);
    if (!test_case.later.empty())
      accepted.Write(test_case.later);
    Call(Request("GET"));
    CHECK_TRUE_TEXT(AcceptOne(), test_case.name);
    ReadUntil("\r\n\r\n");
    accepted.Write(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\n"
        "own");
    CheckError(target_error::kNone, true, test_case.name);
    STRCMP_EQUAL_TEXT("own", result->response.body.c_str(), test_case.name);
  }
}

// Guards against idle connections that stay open too long.
TEST(http_target_client, IdleConnectionsAreClosed) {
  Call(Request("GET"));
  CHECK_TRUE(AcceptOne());
  ReadUntil("\r\n\r\n");
  accepted.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  CheckError(target_error::kNone, true, "call");
  CHECK_TRUE(RunUntil(loop, [&] { return client->idle_connections() == 0; }));
  CHECK_TRUE(RunUntil(loop, [&] {
    accepted.Read();
    return accepted.ended();
  }));
}

// Guards against calls that never end, and against a late response that ends
// another call: its connection must be closed.
TEST(http_target_client, TimeoutAndCancelCloseTheConnection) {
  Call(Request("GET"), milliseconds(50));
  CHECK_TRUE(AcceptOne());
  CheckError(target_error::kTimeout, true, "timeout");
  ReadUntil("no such text");
  CHECK_TRUE(accepted.ended());

  const target_call_id id = Call(Request("GET"));
  CHECK_TRUE(AcceptOne());
  ReadUntil("\r\n\r\n");
  client->Cancel(id);
  client->Cancel(id);
  ReadUntil("no such text");
  CHECK_TRUE(accepted.ended());
  CHECK_EQUAL(1, result_count);
}

}  // namespace
}  // namespace skylarkhoist
