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
  // Label of the counters, for example "public".
  std::string name;
  // Request line and header fields.
  size_t max_header_bytes = 16U << 10U;
  size_t max_body_bytes = 8U << 20U;
  // A connection without a request, or with an incomplete one, is closed after
  // this time without a byte. It does not bound the time to respond.
  duration idle_timeout = std::chrono::seconds(60);
};

// One request that waits for its response.
class http_exchange {
 public:
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  // Sends the response. Only the first call has an effect, and none has when
  // the caller has gone.
  void Respond(const http_response& response);

  // Closes the connection without a response. Stand-ins use it for faults.
  void Drop();

  // Runs `callback` once if the caller disconnects before the response. A
  // caller that only closes its sending half counts as gone. A caller that has
  // sent its next request already is not watched any more.
  void OnGone(std::function<void()> callback) {
    on_gone_ = std::move(callback);
  }

  // False after the response and when the caller has gone.
  bool waiting() const { return request_ != nullptr; }

 private:
  friend class http_server;
  http_exchange() = default;

  http_server* server_ = nullptr;
  evhttp_request* request_ = nullptr;
  std::function<void()> on_gone_;
};

using http_handler =
    std::function<void(const http_request&, std::shared_ptr<http_exchange>)>;

// HTTP/1.1 server on evhttp.
//
// A request above a limit gets 431 or 413 with the JSON body of a refusal, and
// a request that is not valid gets 400; none of these reach the handler. The
// handler sees no connection fields such as Transfer-Encoding. If it drops the
// last reference to an exchange without a response, the caller gets 500.
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

  // Address of the listener with the bound port.
  const std::string& listen_address() const { return bound_address_; }

  // Closes the listener. Open connections finish their request and close with
  // the response.
  void StopAccepting();

  // Requests whose response is not yet written to the socket.
  size_t open_exchanges() const { return open_.size(); }

 private:
  friend class http_exchange;
  struct open_request;

  void ResumeAccepting();
  void HandleRequest(evhttp_request* request);
  const char* FaultOf(evhttp_request* request) const;
  void RefuseRequest(evhttp_request* request, int status, const char* reason);
  void SendReply(evhttp_request* request,
                 int status,
                 const char* phrase,
                 evbuffer* body);
  void Respond(http_exchange& exchange, const http_response& response);
  void Drop(http_exchange& exchange);
  void OnReadable(evhttp_connection* connection);
  void Close(evhttp_connection* connection);
  void ReplaceErrorPage(evbuffer* output, size_t added);

  event_loop* loop_;
  http_server_settings settings_;
  http_handler handler_;
  evhttp* server_;
  evhttp_bound_socket* socket_ = nullptr;
  std::string bound_address_;
  timer_id accept_timer_ = 0;
  // True while this class writes a response; evhttp writes error pages of its
  // own at other times.
  bool sending_ = false;
  std::unordered_map<evhttp_connection*, std::unique_ptr<open_request>> open_;
  uint64_t last_id_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  prometheus::Counter& requests_;
  prometheus::Counter& gone_;
  prometheus::Counter& unanswered_;
  prometheus::Counter& headers_too_large_;
  prometheus::Counter& body_too_large_;
  prometheus::Counter& bad_request_;
};

}  // namespace skylarkhoist

#endif  // WIRE_HTTP_SERVER_H_
