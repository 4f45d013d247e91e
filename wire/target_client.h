#ifndef WIRE_TARGET_CLIENT_H_
#define WIRE_TARGET_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "kernel/http.h"
#include "kernel/time.h"

namespace skylarkhoist {

enum class target_error {
  kNone,
  // No connection could be made; the target has seen nothing of the request.
  kConnectRefused,
  // The connection ended or broke after the request may have reached the
  // target.
  kConnectionLost,
  kTimeout,
  // The response did not match its announced length or was not HTTP.
  kMalformed,
  kTooLarge,
};

struct target_result {
  target_error error = target_error::kNone;
  // False only when the target has surely seen no byte of the request.
  bool may_have_run = true;
  // Set when `error` is kNone.
  http_response response;
};

using target_call_id = uint64_t;

// HTTP calls to targets. Never sends a request a second time.
class target_client {
 public:
  using callback = std::function<void(const target_result&)>;

  virtual ~target_client() = default;

  // Calls the target at `address` ("ip:port"). `done` runs exactly once, never
  // before Call returns, unless the call is cancelled.
  virtual target_call_id Call(const std::string& address,
                              const http_request& request,
                              duration timeout,
                              callback done) = 0;

  // Closes the connection of a call; its callback does not run any more.
  virtual void Cancel(target_call_id id) = 0;
};

}  // namespace skylarkhoist

#endif  // WIRE_TARGET_CLIENT_H_
