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
  // A connection that was idle for longer is not reused, because the target may
  // be about to close it, and a request sent at that moment has an unknown
  // outcome. A shorter timeout in the target's Keep-Alive field takes
  // precedence.
  duration max_idle = std::chrono::seconds(1);
  // A connection that is not established within this time counts as refused.
  duration connect_timeout = std::chrono::seconds(1);
  size_t max_idle_per_target = 256;
  // Includes the memory that each field takes besides its text.
  size_t max_header_bytes = 64U << 10U;
  size_t max_body_bytes = 8U << 20U;
  // Upper bound of the incomplete responses of all calls together. Above it,
  // the calls with the largest ones fail.
  size_t max_buffered_bytes = 64U << 20U;
  // Name of a header field that targets copy from the request to the response.
  // A response with a different value belongs to an earlier request and is
  // ignored. A response without the field belongs to no request and fails the
  // call, on a new connection too. If empty, or if the request lacks the field,
  // responses are not checked.
  std::string echo_field;
};

// HTTP/1.1 client that sends one request at a time on a connection and keeps a
// pool of idle connections for each target.
//
// `may_have_run` is false only if no connection was established or the request
// cannot be sent as HTTP. A response with neither Content-Length nor chunked
// coding ends when the target closes the connection; if the connection is
// reset, the call fails with kConnectionLost. A response that goes on without
// end fails the call with kTooLarge. A connection is reused only if
// the whole request was written and no data followed the response.
class http_target_client : public target_client {
 public:
  // If `counters` is null, the metrics are not exported.
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
  target_call_id CallWithBody(const std::string& address,
                              http_request&& request,
                              std::vector<uint8_t>&& body,
                              duration timeout,
                              callback done) override;
  void Cancel(target_call_id id) override;

  // Number of connections in the pools.
  size_t idle_connections() const;

 private:
  struct call;
  class connection;

  // Starts a call whose body is in `request` or, unless it is empty, in
  // `owned_body`.
  target_call_id StartCall(const std::string& address,
                           const http_request& request,
                           std::vector<uint8_t> owned_body,
                           duration timeout,
                           callback done);
  std::unique_ptr<connection> TakeFromPool(const std::string& address);
  void ReturnToPool(std::unique_ptr<connection> returned);
  void OnResponse(target_call_id id);
  void OnFailure(target_call_id id, target_error error);
  // Counts a change of the bytes in incomplete responses.
  void AddBufferedBytes(size_t bytes);
  void RemoveBufferedBytes(size_t bytes) { buffered_bytes_ -= bytes; }
  // Fails calls until the buffered bytes are within their bound.
  void FailLargestCalls();
  // Ends the call and runs its callback.
  void Finish(target_call_id id, const target_result& result);
  void FinishAsync(target_call_id id, const target_result& result);
  // Closes the pooled connections that can't be reused.
  void Sweep();
  void ScheduleSweep(duration delay);

  event_loop* loop_;
  http_target_client_settings settings_;
  target_call_id next_id_ = 1;
  // Connections change it when they end, so it outlives them.
  size_t buffered_bytes_ = 0;
  std::unordered_map<target_call_id, std::unique_ptr<call>> calls_;
  // By target address. The most recently used connection is last.
  std::unordered_map<std::string, std::vector<std::unique_ptr<connection>>>
      idle_pools_;
  timer_id sweep_timer_ = 0;
  timer_id fail_largest_timer_ = 0;
  // Set if the caller passed no metrics.
  std::unique_ptr<metrics> own_metrics_;

  prometheus::Counter& connections_opened_;
  prometheus::Counter& connections_reused_;
  prometheus::Counter& foreign_responses_;
  std::vector<prometheus::Counter*> calls_by_result_;
};

}  // namespace skylarkhoist

#endif  // WIRE_HTTP_TARGET_CLIENT_H_
