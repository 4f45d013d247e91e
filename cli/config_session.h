#ifndef CLI_CONFIG_SESSION_H_
#define CLI_CONFIG_SESSION_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cli/log_session.h"
#include "kernel/metrics.h"
#include "kernel/random.h"
#include "node/config_follower.h"

namespace skylarkhoist {

// The published configuration for one command: a config_follower that uses a
// connection to the log and has no peers.
class config_session {
 public:
  // `timeout` limits each wait for the log.
  config_session(std::unique_ptr<log_session> log, duration timeout);
  ~config_session();
  config_session(const config_session&) = delete;
  config_session& operator=(const config_session&) = delete;

  // Reads the log to its end. Returns false if that fails within the timeout.
  bool Load();

  // Publishes one change and waits for its outcome. Without `value`, the path
  // is deleted.
  append_result Publish(const std::string& path,
                        uint64_t base_version,
                        const std::optional<json>& value,
                        const std::string& author);

  const config_state& fold() const { return follower_->state(); }
  // Current version of the path, 0 if it was never published.
  uint64_t VersionOf(const std::string& path) const;
  // Current value of the path, or null if it has none.
  const json* ValueOf(const std::string& path) const;
  // Current values of all paths.
  std::map<std::string, json> Values() const;

  config_follower& follower() { return *follower_; }
  log_session& log() { return *log_; }

 private:
  class null_transport;

  std::unique_ptr<log_session> log_;
  duration timeout_;
  mt_random random_;
  metrics metrics_;
  std::unique_ptr<null_transport> transport_;
  std::unique_ptr<config_follower> follower_;
};

}  // namespace skylarkhoist

#endif  // CLI_CONFIG_SESSION_H_
