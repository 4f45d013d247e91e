#ifndef CLI_LOG_SESSION_H_
#define CLI_LOG_SESSION_H_

#include <functional>
#include <memory>
#include <string>

#include "kernel/loop.h"
#include "wire/log_client.h"

namespace skylarkhoist {

// The log service and stream that a command uses.
struct log_endpoint {
  std::string address;
  std::string stream;
  duration timeout = std::chrono::seconds(1);
};

// A log client and the loop that runs it. Commands use an event_loop and the
// HTTP client; tests use a manual_loop and an in-memory log.
class log_session {
 public:
  virtual ~log_session() = default;
  virtual loop* run_loop() = 0;
  virtual log_client* client() = 0;

  // Runs the loop until `done` returns true or `timeout` has passed. Returns
  // the last result of `done`.
  virtual bool RunUntil(const std::function<bool()>& done,
                        duration timeout) = 0;
};

std::unique_ptr<log_session> ConnectOverHttp(const log_endpoint& endpoint);

}  // namespace skylarkhoist

#endif  // CLI_LOG_SESSION_H_
