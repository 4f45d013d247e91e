#ifndef WIRE_HTTP_SERVER_H_
#define WIRE_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

#include "kernel/connection_budget.h"
#include "kernel/event_loop.h"
#include "kernel/findings.h"
#include "kernel/http.h"
#include "kernel/metrics.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace skylarkhoist {

class http_server;

struct http_server_settings {
  // "ip:port"; port 0 lets the system choose.
  std::string listen_address;
  // Value of the "listener" label of the metrics, for example "public".
  std::string name;
  // Limit on the URI and the header fields together.
  size_t max_header_bytes = 16U << 10U;
  size_t max_body_bytes = 8U << 20U;
  // A connection without a complete request is closed after receiving nothing
  // for this time. The time until the response is not limited.
  duration idle_timeout = std::chrono::seconds(60);
  // Limits over all connections of this server.
  connection_budget_settings budget;
};

// Lets the handler respond to one request.
class http_exchange {
 public:
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  // Sends the response. Only the first call has an effect; after the caller
  // disconnected, none has.
  void Respond(const http_response& response);

  // Closes the connection without a response. Fake servers use it to inject
  // faults.
  void DropConnection();

  // Runs `callback` once if the caller disconnects before the response. A
  // caller that only shuts down its sending side counts as disconnected. Once a
  // caller has sent its next request, a disconnect is no longer detected.
  void OnCallerGone(std::function<void()> callback) {
    on_caller_gone_ = std::move(callback);
  }

  // False after the response, or once the caller has disconnected.
  bool is_open() const { return request_ != nullptr; }

 private:
  friend class http_server;
  http_exchange() = default;

  http_server* server_ = nullptr;
  evhttp_request* request_ = nullptr;
  std::function<void()> on_caller_gone_;
};

using http_handler =
    std::function<void(http_request&&, std::shared_ptr<http_exchange>)>;

// HTTP/1.1 server on evhttp.
//
// Requests above a limit get 431 or 413 and invalid requests get 400 or 501,
// each with a JSON body that gives the reason; none of these reach the handler.
// The handler sees no hop-by-hop fields such as Transfer-Encoding. If it
// releases the last reference to an exchange without a response, the caller
// gets 500.
//
// When the connections together exceed a limit of `budget`, those that make no
// progress are closed without a response, and large requests get 503 with
// Retry-After before the handler sees them.
class http_server {
 public:
  http_server(event_loop* loop,
              http_server_settings settings,
              http_handler handler,
              metrics* counters);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  tl::expected<void, findings> Listen();

  // "ip:port" with the port that was bound.
  const std::string& listen_address() const { return bound_address_; }

  // Closes each connection after its next response from now on, so that callers
  // with open connections look for another server. New connections are still
  // accepted.
  void CloseAfterResponses() { close_after_responses_ = true; }

  // Closes the listener. Open connections finish their request and are closed
  // after the response.
  void StopAccepting();

  // Number of requests whose response is not yet written to the socket.
  size_t open_exchanges() const { return open_exchanges_.size(); }

 private:
  friend class http_exchange;
  struct open_exchange;
  struct client;

  void ResumeAccepting();
  bufferevent* CreateStream();
  // Learns which evhttp connection uses the stream of `added`.
  void Attach(client* added);
  void OnBytesReceived(client* sender, size_t added);
  // Starts the handler's work for a complete request, if the memory allows.
  bool TryStart(evhttp_connection* connection, evhttp_request* request);
  void OnRequestEnded(evhttp_connection* connection);
  void ScheduleClosures();
  void CloseExcessConnections();
  void OnShortage(const char* cause);
  void UpdateGauges();
  void HandleRequest(evhttp_request* request);
  // Returns null if the request is valid.
  const char* RefusalReason(evhttp_request* request) const;
  void RefuseRequest(evhttp_request* request, int status, const char* reason);
  void SendReply(evhttp_request* request,
                 int status,
                 const char* reason_phrase,
                 evbuffer* body);
  void Respond(http_exchange& exchange, const http_response& response);
  void DropConnection(http_exchange& exchange);
  void OnReadable(evhttp_connection* connection);
  void OnConnectionClosed(evhttp_connection* connection);
  void ReplaceErrorPage(evbuffer* output, size_t added);

  event_loop* loop_;
  http_server_settings settings_;
  http_handler handler_;
  evhttp* evhttp_;
  evhttp_bound_socket* listening_socket_ = nullptr;
  std::string bound_address_;
  timer_id resume_accept_timer_ = 0;
  // True while this class writes a response. Anything written at other times
  // is an error page of evhttp.
  bool writing_response_ = false;
  bool close_after_responses_ = false;
  std::unordered_map<evhttp_connection*, std::unique_ptr<open_exchange>>
      open_exchanges_;
  uint64_t last_exchange_id_ = 0;
  connection_budget budget_;
  std::unordered_map<connection_budget::connection_id, std::unique_ptr<client>>
      clients_;
  std::unordered_map<evhttp_connection*, client*> clients_by_connection_;
  connection_budget::connection_id last_client_id_ = 0;
  timer_id budget_timer_ = 0;
  timer_id closure_timer_ = 0;
  // Whether a limit of the budget was exceeded lately, and when it last was.
  bool is_short_ = false;
  time_point last_shortage_at_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  prometheus::Counter& requests_;
  prometheus::Counter& callers_gone_;
  prometheus::Counter& unanswered_requests_;
  prometheus::Counter& headers_too_large_;
  prometheus::Counter& body_too_large_;
  prometheus::Counter& bad_request_;
  prometheus::Counter& memory_short_;
  std::vector<prometheus::Counter*> closures_;
  prometheus::Gauge& held_bytes_;
  prometheus::Gauge& open_connections_;
};

}  // namespace skylarkhoist

#endif  // WIRE_HTTP_SERVER_H_
