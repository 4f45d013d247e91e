#include "cli/config_session.h"

#include <utility>
#include <vector>

namespace skylarkhoist {

class config_session::null_transport : public peer_transport {
 public:
  void Start(peer_observer* /*observer*/) override {}
  void Send(const std::string& /*address*/,
            const fbs::envelopeT& /*message*/) override {}
};

config_session::config_session(std::unique_ptr<log_session> log,
                               duration timeout)
    : log_(std::move(log)),
      timeout_(timeout),
      transport_(std::make_unique<null_transport>()) {
  config_follower_options options;
  options.author = "command line";
  options.append_timeout = timeout;
  // Only nodes append snapshots; these limits keep a command from doing so.
  options.snapshot_records = UINT64_MAX;
  options.snapshot_interval = std::chrono::hours(24 * 365);
  follower_ = std::make_unique<config_follower>(
      log_->run_loop(), log_->client(), transport_.get(), &random_,
      std::move(options), [] { return std::vector<std::string>(); }, &metrics_);
}

config_session::~config_session() = default;

bool config_session::Load() {
  follower_->Start();
  return log_->RunUntil([this] { return follower_->ready(); }, timeout_);
}

append_result config_session::Publish(const std::string& path,
                                      uint64_t base_version,
                                      const std::optional<json>& value,
                                      const std::string& author) {
  // Shared with the callback, which may run after this function has returned.
  const auto result = std::make_shared<std::optional<append_result>>();
  follower_->AppendChange(
      path, base_version, value, author,
      [result](const append_result& outcome) { *result = outcome; });
  // The follower reports an unknown outcome after `timeout_`. The additional
  // time is for its last poll of the log.
  log_->RunUntil([result] { return result->has_value(); },
                 timeout_ + std::chrono::seconds(2));
  if (*result)
    return **result;
  append_result unknown;
  unknown.may_have_reached_log = true;
  return unknown;
}

uint64_t config_session::VersionOf(const std::string& path) const {
  const auto found = fold().entries().find(path);
  return found == fold().entries().end() ? 0 : found->second.version;
}

const json* config_session::ValueOf(const std::string& path) const {
  const auto found = fold().entries().find(path);
  return found == fold().entries().end() || !found->second.value
             ? nullptr
             : &*found->second.value;
}

std::map<std::string, json> config_session::Values() const {
  std::map<std::string, json> values;
  for (const auto& [path, entry] : fold().entries()) {
    if (entry.value)
      values[path] = *entry.value;
  }
  return values;
}

}  // namespace skylarkhoist
