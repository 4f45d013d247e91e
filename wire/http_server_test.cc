#include "wire/http_server.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

#include "testing/raw_socket.h"
#include "testing/run_until.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

TEST_GROUP(http_server) {
  event_loop loop;
  metrics counters;
  std::vector<http_request> requests;
  std::vector<std::shared_ptr<http_exchange>> held_exchanges;
  bool hold_exchanges = false;
  std::unique_ptr<http_server> server;

  void setup() override {
    http_server_settings settings;
    settings.listen_address = "127.0.0.1:0";
    settings.name = "test";
    settings.idle_timeout = milliseconds(200);
    server = std::make_unique<http_server>(
        &loop, settings,
        [this](const http_request& request, const auto& exchange) {
          requests.push_back(request);
          if (hold_exchanges) {
            held_exchanges.push_back(exchange);
            return;
          }
          http_response response;
          response.status = 200;
          response.headers.Add("X-Test", "1");
          response.body = request.method + " " + request.body;
          exchange->Respond(response);
          response.status = 500;
          exchange->Respond(response);
        },
        &counters);
    CHECK_TRUE(server->Listen().has_value());
  }
  void teardown() override {
    held_exchanges.clear();
    server.reset();
  }

  double RefusedCount(const char* reason) {
    return counters
        .Counter("skylarkhoist_http_refused_total", "",
                 {{"listener", "test"}, {"reason", reason}})
        .Value();
  }

  // Reads from `socket` until `text` arrives or the connection closes.
  std::string ReadUntil(raw_socket & socket, const std::string& text) {
    std::string got;
    RunUntil(loop, [&] {
      got += socket.Read();
      return got.find(text) != std::string::npos || socket.ended();
    });
    return got;
  }
};

// Guards against refusing methods that evhttp does not allow by default, and
// against sending a second response for the same exchange.
TEST(http_server, AnswersAllMethodsOnOneConnection) {
  struct {
    std::string method;
    std::string body;
  } const cases[] = {{"GET", ""},    {"POST", "p"},   {"PUT", "u"},
                     {"DELETE", ""}, {"PATCH", "pa"}, {"OPTIONS", ""},
                     {"POST", ""}};
  raw_socket socket = raw_socket::ConnectTo(server->listen_address());
  for (const auto& test_case : cases) {
    socket.Write(test_case.method +
                 " /a/b?c=d HTTP/1.1\r\nHost: x\r\nX-One: 1\r\n"
                 "Connection: X-Two\r\nX-Two: 2\r\nContent-Length: " +
                 std::to_string(test_case.body.size()) + "\r\n\r\n" +
                 test_case.body);
    const std::string expected =
        "\r\n\r\n" + test_case.method + " " + test_case.body;
    const std::string got = ReadUntil(socket, expected);
    CHECK_TRUE(got.find("HTTP/1.1 200 OK\r\n") == 0);
    CHECK_TRUE(got.find("X-Test: 1\r\n") != std::string::npos);
    CHECK_TRUE(got.find(expected) != std::string::npos);
    CHECK_EQUAL("/a/b?c=d", requests.back().path);
    CHECK_EQUAL(test_case.body, requests.back().body);
    CHECK_EQUAL("1", *requests.back().headers.Find("x-one"));
    CHECK_TRUE(requests.back().headers.Find("x-two") == nullptr);
  }
  CHECK_TRUE(RunUntil(loop, [&] { return server->open_exchanges() == 0; }));
}

// Guards against a body in the response to HEAD, which the caller would parse
// as the next response.
TEST(http_server, HeadHasNoBody) {
  raw_socket socket = raw_socket::ConnectTo(server->listen_address());
  socket.Write("HEAD / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  const std::string got = ReadUntil(socket, "no such text");
  CHECK_TRUE(got.find("HTTP/1.1 200 OK\r\n") == 0);
  CHECK_EQUAL(got.size() - 4, got.find("\r\n\r\n"));
}

// Guards against oversized or ambiguous requests that reach the handler, and
// against refusals that are not counted or not JSON.
TEST(http_server, InvalidAndOversizedRequestsAreRefusedAsJson) {
  const std::string line = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::string long_value(20'000, 'a');
  struct {
    const char* name;
    std::string bytes;
    const char* status;
    const char* reason;
  } const cases[] = {
      {"header field", line + "X: " + long_value + "\r\n\r\n", "431",
       "headers_too_large"},
      {"request line", "GET /" + long_value + " HTTP/1.1\r\nHost: x\r\n\r\n",
       "431", "headers_too_large"},
      {"body length", line + "Content-Length: 8388609\r\n\r\n", "413",
       "body_too_large"},
      {"body length after 100-continue",
       line + "Expect: 100-continue\r\nContent-Length: 8388609\r\n\r\n", "413",
       "body_too_large"},
      {"chunk size", line + "Transfer-Encoding: chunked\r\n\r\n800001\r\nabc",
       "413", "body_too_large"},
      {"space after a field name",
       line + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", "400",
       "bad_request"},
      {"signed length", line + "Content-Length: +1\r\n\r\na", "400",
       "bad_request"},
      {"two lengths", line + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
       "400", "bad_request"},
      {"length and chunks",
       line + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "0\r\n\r\n",
       "400", "bad_request"},
      {"body of GET", "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na",
       "400", "bad_request"},
      {"not HTTP", "hello\r\n\r\n", "400", "bad_request"},
      {"unknown method", "BREW / HTTP/1.1\r\nHost: x\r\n\r\n", "501",
       "bad_request"},
      {"method not allowed", "TRACE / HTTP/1.1\r\nHost: x\r\n\r\n", "501",
       "bad_request"},
  };
  for (const auto& test_case : cases) {
    const double before = RefusedCount(test_case.reason);
    raw_socket socket = raw_socket::ConnectTo(server->listen_address());
    socket.Write(test_case.bytes);
    const std::string got = ReadUntil(socket, "no such text");
    STRCMP_EQUAL_TEXT(test_case.status, got.substr(9, 3).c_str(),
                      test_case.name);
    const std::string body = std::string(R"({"reason":")") + test_case.reason +
                             R"(","ran":"no","request_id":""})";
    const size_t start = got.find("\r\n\r\n");
    STRCMP_EQUAL_TEXT(body.c_str(), got.substr(start + 4).c_str(),
                      test_case.name);
    CHECK_TRUE_TEXT(socket.ended(), test_case.name);
    DOUBLES_EQUAL_TEXT(before + 1, RefusedCount(test_case.reason), 0,
                       test_case.name);
  }
  CHECK_TRUE(requests.empty());
}

// Guards against refusing requests that are just within the limits.
TEST(http_server, LargestAllowedRequestIsAccepted) {
  raw_socket socket = raw_socket::ConnectTo(server->listen_address());
  const size_t size = 8U << 20U;
  socket.Write("POST / HTTP/1.1\r\nHost: x\r\nX: " + std::string(16'000, 'a') +
               "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
  const std::string body(size, 'b');
  size_t sent = 0;
  CHECK_TRUE(RunUntil(loop, [&] {
    sent += socket.TryWrite(std::string_view(body).substr(sent));
    return sent == size;
  }));
  CHECK_TRUE(ReadUntil(socket, "200 OK").find("200 OK") != std::string::npos);
  CHECK_EQUAL(size, requests.at(0).body.size());
}

// Guards against work for callers that have disconnected: the handler must be
// told of a disconnect exactly once, and a later response must have no effect.
TEST(http_server, DisconnectIsReportedOnce) {
  hold_exchanges = true;
  for (const bool reset : {false, true}) {
    int gone = 0;
    raw_socket socket = raw_socket::ConnectTo(server->listen_address());
    socket.Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK_TRUE(RunUntil(loop, [&] { return !held_exchanges.empty(); }));
    held_exchanges[0]->OnCallerGone([&] { ++gone; });
    RunFor(loop, milliseconds(20));
    CHECK_EQUAL(0, gone);
    if (reset)
      socket.Reset();
    else
      socket.Close();
    CHECK_TRUE(RunUntil(loop, [&] { return gone == 1; }));
    CHECK_FALSE(held_exchanges[0]->is_open());
    held_exchanges[0]->Respond({});
    CHECK_EQUAL(0U, server->open_exchanges());
    held_exchanges.clear();
  }
}

// Guards against the idle timeout closing a connection before its response, and
// against idle connections that stay open forever.
TEST(http_server, IdleTimeoutKeepsOpenExchanges) {
  hold_exchanges = true;
  raw_socket busy = raw_socket::ConnectTo(server->listen_address());
  busy.Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  raw_socket idle = raw_socket::ConnectTo(server->listen_address());
  raw_socket partial = raw_socket::ConnectTo(server->listen_address());
  partial.Write("GET / HTTP/1.1\r\nHost");
  RunFor(loop, milliseconds(500));
  idle.Read();
  partial.Read();
  busy.Read();
  CHECK_TRUE(idle.ended());
  CHECK_TRUE(partial.ended());
  CHECK_FALSE(busy.ended());
  http_response response;
  response.status = 204;
  held_exchanges.at(0)->Respond(response);
  CHECK_TRUE(ReadUntil(busy, "204").find("204") != std::string::npos);
}

// Guards against a pipelined request that is lost or answered out of order.
TEST(http_server, PipelinedRequestsAreAnsweredInOrder) {
  hold_exchanges = true;
  raw_socket socket = raw_socket::ConnectTo(server->listen_address());
  socket.Write("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
  RunUntil(loop, [&] { return held_exchanges.size() == 1; });
  socket.Write("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  RunFor(loop, milliseconds(20));
  CHECK_EQUAL(1U, held_exchanges.size());
  http_response response;
  response.status = 201;
  held_exchanges[0]->Respond(response);
  CHECK_TRUE(RunUntil(loop, [&] { return held_exchanges.size() == 2; }));
  response.status = 202;
  held_exchanges[1]->Respond(response);
  const std::string got = ReadUntil(socket, "202");
  CHECK_TRUE(got.find("201") < got.find("202"));
  CHECK_EQUAL("/2", requests.at(1).path);
}

// Guards against callers that wait forever because the handler released its
// exchange without a response.
TEST(http_server, UnansweredExchangeGets500) {
  hold_exchanges = true;
  raw_socket socket = raw_socket::ConnectTo(server->listen_address());
  socket.Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK_TRUE(RunUntil(loop, [&] { return !held_exchanges.empty(); }));
  held_exchanges.clear();
  CHECK_TRUE(ReadUntil(socket, "500").find("HTTP/1.1 500") == 0);
}

// Guards against callers that keep using their open connections while a server
// is about to stop, until it is gone.
TEST(http_server, ClosesConnectionsAfterResponsesBeforeAStop) {
  raw_socket open = raw_socket::ConnectTo(server->listen_address());
  open.Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  std::string got = ReadUntil(open, "GET ");
  CHECK_TRUE(got.find("Connection: close") == std::string::npos);
  server->CloseAfterResponses();
  raw_socket added = raw_socket::ConnectTo(server->listen_address());
  for (raw_socket* socket : {&open, &added}) {
    socket->Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    got = ReadUntil(*socket, "no such text");
    CHECK_TRUE(got.find("HTTP/1.1 200") == 0);
    CHECK_TRUE(got.find("Connection: close") != std::string::npos);
  }
}

// Guards against refusals for want of memory that reach the handler or do not
// say when to return, and against memory that is counted after its connection
// or request has ended.
TEST(http_server, LargeRequestsBeyondTheMemoryLimitGet503) {
  hold_exchanges = true;
  http_server_settings settings;
  settings.listen_address = "127.0.0.1:0";
  settings.name = "limited";
  settings.budget.max_bytes = 4U << 20U;
  http_server limited(
      &loop, settings,
      [this](http_request&&, const auto& exchange) {
        held_exchanges.push_back(exchange);
      },
      &counters);
  CHECK_TRUE(limited.Listen().has_value());
  const auto send = [&](raw_socket& socket, const std::string& bytes) {
    size_t sent = 0;
    CHECK_TRUE(RunUntil(loop, [&] {
      sent += socket.TryWrite(std::string_view(bytes).substr(sent));
      return sent == bytes.size();
    }));
  };
  const std::string post =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1200000\r\n\r\n" +
      std::string(1'200'000, 'b');
  raw_socket first = raw_socket::ConnectTo(limited.listen_address());
  send(first, post);
  CHECK_TRUE(RunUntil(loop, [&] { return held_exchanges.size() == 1; }));
  raw_socket second = raw_socket::ConnectTo(limited.listen_address());
  send(second, post);
  const std::string got = ReadUntil(second, "no such text");
  STRCMP_CONTAINS("HTTP/1.1 503", got.c_str());
  STRCMP_CONTAINS("Retry-After: 1\r\n", got.c_str());
  STRCMP_CONTAINS(R"({"reason":"memory_short","ran":"no")", got.c_str());
  CHECK_EQUAL(1U, held_exchanges.size());
  raw_socket small = raw_socket::ConnectTo(limited.listen_address());
  small.Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK_TRUE(RunUntil(loop, [&] { return held_exchanges.size() == 2; }));
  http_response response;
  response.status = 200;
  held_exchanges[0]->Respond(response);
  CHECK_TRUE(ReadUntil(first, "200 OK").find("200 OK") != std::string::npos);
  small.Close();
  const auto gauge = [this](const char* name) {
    return counters.Gauge(name, "", {{"listener", "limited"}}).Value();
  };
  CHECK_TRUE(RunUntil(loop, [&] {
    return gauge("skylarkhoist_http_held_bytes") == 0 &&
           gauge("skylarkhoist_http_connections") == 1;
  }));
  held_exchanges.clear();
}

// Guards against callers that open connections until the descriptors are used
// up, and against a new caller that is closed in place of an idle one.
TEST(http_server, IdleConnectionsBeyondTheLimitAreClosed) {
  http_server_settings settings;
  settings.listen_address = "127.0.0.1:0";
  settings.name = "limited";
  settings.budget.max_connections = 8;
  http_server limited(
      &loop, settings,
      [](http_request&&, const auto& exchange) {
        http_response response;
        response.status = 200;
        exchange->Respond(response);
      },
      &counters);
  CHECK_TRUE(limited.Listen().has_value());
  std::vector<raw_socket> sockets;
  for (int i = 0; i < 20; ++i) {
    sockets.push_back(raw_socket::ConnectTo(limited.listen_address()));
    RunFor(loop, milliseconds(2));
  }
  CHECK_TRUE(RunUntil(loop, [&] {
    int ended = 0;
    for (raw_socket& each : sockets) {
      each.Read();
      ended += each.ended() ? 1 : 0;
    }
    return ended == 12;
  }));
  CHECK_FALSE(sockets.back().ended());
  sockets.back().Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK_TRUE(ReadUntil(sockets.back(), "200 OK").find("200 OK") !=
             std::string::npos);
}

// Guards against a planned shutdown that interrupts open exchanges.
TEST(http_server, StopAcceptingFinishesOpenExchanges) {
  hold_exchanges = true;
  raw_socket socket = raw_socket::ConnectTo(server->listen_address());
  socket.Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK_TRUE(RunUntil(loop, [&] { return !held_exchanges.empty(); }));
  server->StopAccepting();
  CHECK_EQUAL(1U, server->open_exchanges());
  http_response response;
  response.status = 200;
  response.body = "done";
  held_exchanges[0]->Respond(response);
  const std::string got = ReadUntil(socket, "no such text");
  CHECK_TRUE(got.find("Connection: close") != std::string::npos);
  CHECK_TRUE(got.find("done") != std::string::npos);
  CHECK_EQUAL(0U, server->open_exchanges());
}

}  // namespace
}  // namespace skylarkhoist
