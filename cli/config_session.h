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

// The published configuration as one command sees it: a follower without peers
// on a connection to the log.
class config_session {
 public:
  // `timeout` bounds each wait for the log.
  config_session(std::unique_ptr<log_session> log, duration timeout);
  ~config_session();
  config_session(const config_session&) = delete;
  config_session& operator=(const config_session&) = delete;

  // Reads the log to its end. Returns false when it cannot be read in time.
  bool Load();

  // Publishes one change and waits for its fate. Without `value` it is a
  // deletion.
  append_result Publish(const std::string& path,
                        uint64_t base_version,
                        const std::optional<json>& value,
                        const std::string& author);

  const config_fold& fold() const { return follower_->fold(); }
  // Version of the path in force, 0 when it never had one.
  uint64_t VersionOf(const std::string& path) const;
  // The value in force, or null.
  const json* ValueOf(const std::string& path) const;
  // All values in force.
  std::map<std::string, json> Values() const;

  config_follower& follower() { return *follower_; }
  log_session& log() { return *log_; }

 private:
  class no_peers;

  std::unique_ptr<log_session> log_;
  duration timeout_;
  mt_random random_;
  metrics metrics_;
  std::unique_ptr<no_peers> peers_;
  std::unique_ptr<config_follower> follower_;
};

}  // namespace skylarkhoist

#endif  // CLI_CONFIG_SESSION_H_
