#ifndef WIRE_TARGET_CLIENT_H_
#define WIRE_TARGET_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "kernel/http.h"
#include "kernel/time.h"

namespace skylarkhoist {

enum class target_error {
  kNone,
  // No connection was established; the target received nothing.
  kConnectRefused,
  // The connection closed or failed when the target may already have received
  // the request.
  kConnectionLost,
  kTimeout,
  // The response was not valid HTTP, or the request cannot be sent as HTTP.
  kMalformed,
  // The response exceeds a size limit of the client.
  kTooLarge,
};

struct target_result {
  target_error error = target_error::kNone;
  // False only if the target certainly received no byte of the request.
  bool may_have_run = true;
  // Set when `error` is kNone.
  http_response response;
};

using target_call_id = uint64_t;

// Sends HTTP requests to targets. Never retries a request.
class target_client {
 public:
  using callback = std::function<void(const target_result&)>;

  virtual ~target_client() = default;

  // Sends `request` to the target at `address` ("ip:port"). `done` runs exactly
  // once, never before Call returns, unless the call is cancelled.
  virtual target_call_id Call(const std::string& address,
                              const http_request& request,
                              duration timeout,
                              callback done) = 0;

  // Like Call, for a request without its body, which is not copied.
  virtual target_call_id CallWithBody(const std::string& address,
                                      http_request&& request,
                                      std::vector<uint8_t>&& body,
                                      duration timeout,
                                      callback done) {
    request.body.assign(body.begin(), body.end());
    return Call(address, request, timeout, std::move(done));
  }

  // Closes the connection of a call, whose callback then does not run.
  virtual void Cancel(target_call_id id) = 0;
};

}  // namespace skylarkhoist

#endif  // WIRE_TARGET_CLIENT_H_
