#ifndef WIRE_HTTP_LOG_CLIENT_H_
#define WIRE_HTTP_LOG_CLIENT_H_

#include <string>

#include "kernel/event_loop.h"
#include "wire/http_target_client.h"
#include "wire/log_client.h"

namespace skylarkhoist {

struct http_log_client_settings {
  // "ip:port" of the log service.
  std::string address;
  std::string stream;
  duration timeout = std::chrono::seconds(1);
};

// Calls the log service over HTTP:
//
//   POST /v1/streams/NAME/records, body: data -> 200 {"offset":N}
//   GET /v1/streams/NAME/records?from=N&max=M
//     -> 200 {"end":E,"records":[{"offset":N,"data":"..."}]}
//     -> 410 {"first":F} if record N was trimmed; F is the oldest record kept
//   429 if the request is refused
//
// A missing or invalid response is reported as kTimeout, since an append may
// have taken effect. Requests are never retried.
class http_log_client : public log_client {
 public:
  http_log_client(event_loop* loop, http_log_client_settings settings);

  void Append(const std::string& data, append_callback done) override;
  void Read(uint64_t from_offset, int max_entries, read_callback done) override;

 private:
  http_log_client_settings settings_;
  std::string records_path_;
  http_target_client client_;
};

}  // namespace skylarkhoist

#endif  // WIRE_HTTP_LOG_CLIENT_H_
