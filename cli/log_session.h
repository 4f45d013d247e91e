#ifndef CLI_LOG_SESSION_H_
#define CLI_LOG_SESSION_H_

#include <functional>
#include <memory>
#include <string>

#include "kernel/loop.h"
#include "wire/log_client.h"

namespace skylarkhoist {

// The log that a command talks to.
struct log_target {
  std::string address;
  std::string stream;
  duration timeout = std::chrono::seconds(1);
};

// A connection to the log with the loop that drives it. The command line runs
// on an event_loop and the HTTP client; tests use a manual_loop and a log in
// memory.
class log_session {
 public:
  virtual ~log_session() = default;
  virtual loop* run_loop() = 0;
  virtual log_client* client() = 0;

  // Runs the loop until `done` returns true or `limit` has passed. Returns the
  // last result of `done`.
  virtual bool RunUntil(const std::function<bool()>& done, duration limit) = 0;
};

std::unique_ptr<log_session> ConnectOverHttp(const log_target& target);

}  // namespace skylarkhoist

#endif  // CLI_LOG_SESSION_H_
