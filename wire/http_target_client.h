#ifndef WIRE_HTTP_TARGET_CLIENT_H_
#define WIRE_HTTP_TARGET_CLIENT_H_

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/event_loop.h"
#include "kernel/metrics.h"
#include "wire/target_client.h"

struct evhttp_connection;
struct evhttp_request;

namespace skylarkhoist {

struct http_target_client_settings {
  // A connection that was idle for longer is not used again, because the
  // target may be about to close it. A request that meets the close has an
  // unknown outcome.
  duration max_idle = std::chrono::seconds(1);
  size_t max_idle_per_target = 256;
  size_t max_header_bytes = 64U << 10U;
  size_t max_body_bytes = 8U << 20U;
};

// HTTP/1.1 client on evhttp, with one call at a time on a connection and a pool
// of idle connections for each target.
//
// `may_have_run` is false exactly when no connection was made or the request
// cannot be sent as HTTP. A response without Content-Length or chunked coding
// is kMalformed, because its end cannot be told from a crash of the target;
// so is one with both or with several lengths.
class http_target_client : public target_client {
 public:
  // `counters` may be null for clients that no one observes.
  http_target_client(event_loop* loop,
                     http_target_client_settings settings,
                     metrics* counters);
  ~http_target_client() override;
  http_target_client(const http_target_client&) = delete;
  http_target_client& operator=(const http_target_client&) = delete;

  target_call_id Call(const std::string& address,
                      const http_request& request,
                      duration timeout,
                      callback done) override;
  void Cancel(target_call_id id) override;

  // Connections in the pools, for tests and metrics.
  size_t idle_connections() const;

 private:
  struct call;
  struct idle_connection {
    evhttp_connection* connection;
    time_point since;
  };

  evhttp_connection* TakeIdle(const std::string& address);
  void Launch(call& started, const http_request& request);
  void OnResponse(call& ended, evhttp_request* request);
  void Finish(target_call_id id, const target_result& result);
  void FinishLater(target_call_id id, const target_result& result);
  void KeepIdle(const std::string& address, evhttp_connection* connection);
  void FreeLater(evhttp_connection* connection);
  void FreeGarbage();
  void Sweep();

  event_loop* loop_;
  http_target_client_settings settings_;
  target_call_id next_id_ = 1;
  std::unordered_map<target_call_id, std::unique_ptr<call>> calls_;
  std::unordered_map<std::string, std::vector<idle_connection>> idle_;
  // evhttp still uses a connection after it has reported a failure on it, so
  // connections are freed in the next round.
  std::vector<evhttp_connection*> garbage_;
  timer_id garbage_timer_ = 0;
  timer_id sweep_timer_ = 0;
  std::unique_ptr<metrics> own_metrics_;

  prometheus::Counter& connections_opened_;
  prometheus::Counter& connections_reused_;
  std::vector<prometheus::Counter*> results_;
};

}  // namespace skylarkhoist

#endif  // WIRE_HTTP_TARGET_CLIENT_H_
