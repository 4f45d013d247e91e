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

namespace skylarkhoist {

struct http_target_client_settings {
  // A connection that was idle for longer is not used again, because the
  // target may be about to close it. A request that meets the close has an
  // unknown outcome. A shorter time in the target's Keep-Alive field goes
  // first.
  duration max_idle = std::chrono::seconds(1);
  // A connection that is not made within this time counts as refused.
  duration connect_timeout = std::chrono::seconds(1);
  size_t max_idle_per_target = 256;
  size_t max_header_bytes = 64U << 10U;
  size_t max_body_bytes = 8U << 20U;
  // Name of a header field that targets copy from the request to the response.
  // A response with another value belongs to an earlier request and is passed
  // over. Empty: responses are taken in order.
  std::string echo_field;
};

// HTTP/1.1 client with one call at a time on a connection and a pool of idle
// connections for each target.
//
// `may_have_run` is false exactly when no connection was made or the request
// cannot be sent as HTTP. A response without Content-Length or chunked coding
// ends with its connection; it is lost when that ends by a reset. A connection
// is used again only if the whole request was written and nothing followed the
// response.
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
  class connection;

  std::unique_ptr<connection> TakeIdle(const std::string& address);
  void KeepIdle(std::unique_ptr<connection> kept);
  void OnResponse(target_call_id id);
  void OnFailure(target_call_id id, target_error error);
  void Finish(target_call_id id, const target_result& result);
  void FinishLater(target_call_id id, const target_result& result);
  void Sweep();
  void ScheduleSweep();

  event_loop* loop_;
  http_target_client_settings settings_;
  target_call_id next_id_ = 1;
  std::unordered_map<target_call_id, std::unique_ptr<call>> calls_;
  // The connection that was used last is at the end.
  std::unordered_map<std::string, std::vector<std::unique_ptr<connection>>>
      idle_;
  timer_id sweep_timer_ = 0;
  std::unique_ptr<metrics> own_metrics_;

  prometheus::Counter& connections_opened_;
  prometheus::Counter& connections_reused_;
  prometheus::Counter& foreign_responses_;
  std::vector<prometheus::Counter*> results_;
};

}  // namespace skylarkhoist

#endif  // WIRE_HTTP_TARGET_CLIENT_H_
