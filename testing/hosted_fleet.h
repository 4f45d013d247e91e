#ifndef TESTING_HOSTED_FLEET_H_
#define TESTING_HOSTED_FLEET_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/metrics.h"
#include "kernel/random.h"
#include "node/hosted_node.h"
#include "testing/fake_targets.h"
#include "testing/manual_loop.h"
#include "testing/memory_network.h"
#include "testing/memory_store.h"

namespace skylarkhoist {

// Reads the operator records of hosted fleets in tests. The record "config" has
// the value "VERSION RATE KEY...": the API keys belong to the customer "acme",
// and RATE is its rate and burst. A record "zone/NAME" takes a zone out of
// service. A record "rollout/SERVICE" has the value "VERSION SECONDS".
//
// Routes: /safe/ and /once/ go to the service "front" and need an API key,
// /inner/ goes to "deep" and needs none. /safe/ and /inner/ are repeatable.
class test_record_reader : public operator_record_reader {
 public:
  tl::expected<operator_record, findings> Read(
      const keyed_record& record) const override;

  // Path of the health checks of the targets; empty if they have none.
  void SetHealthPath(const std::string& path) { health_path_ = path; }

 private:
  std::string health_path_;
};

// Real hosted nodes on a manual loop, with in-memory network and store and fake
// targets. Machine i has the node "n<i>" in one of three zones and a target
// that announces itself each second.
class hosted_fleet {
 public:
  hosted_fleet(size_t machines,
               uint64_t seed,
               const request_dialect* dialect = &SkylarkDialect());
  ~hosted_fleet();

  // Configurations that are published from now on have health checks, which
  // are told by the dialect of the platform.
  void EnableHealthChecks() { record_reader_.SetHealthPath("/health"); }
  void Publish(const std::string& value) {
    store_.Write(store_topic::kOperators, "config", value);
  }
  void Advance(duration step) { loop_.Advance(step); }

  // The response to a request; nullopt until it arrives.
  struct pending_response {
    std::optional<http_response> response;
    // For hosted_node::HandleCallerGone.
    entry_call_id call = 0;
  };
  // Sends a request to the node of machine `index`. `id` is the request id that
  // the caller gives, for dialects that have one.
  std::shared_ptr<pending_response> Send(size_t index,
                                         const std::string& path,
                                         const std::string& key,
                                         const std::string& id = "",
                                         const std::string& body = "");
  // Sends a request, advances the loop by `wait` and returns the status of the
  // response, or 0 without one.
  int SendAndWait(size_t index,
                  const std::string& path,
                  const std::string& key,
                  duration wait = std::chrono::milliseconds(500));

  // Sets the dialect of nodes that start from now on.
  void SetDialect(const request_dialect* dialect) { dialect_ = dialect; }
  void StartNode(size_t index);
  void StopNode(size_t index);
  // Announces a new state of the target.
  void SetTargetState(size_t index, fbs::member_state state);
  // Announces the version of the target.
  void SetTargetVersion(size_t index, const std::string& version);
  // Announces a restarted target that is cold for `cold_time`.
  void RestartTarget(size_t index, duration cold_time);
  void StopAnnouncing(size_t index) { machines_[index].announcing = false; }
  // The target turns cold for `cold_time`. Its next regular announcement says
  // so.
  void TurnCold(size_t index, duration cold_time);

  hosted_node& node(size_t index) { return *machines_[index].process; }
  metrics& counters(size_t index) { return *machines_[index].counters; }
  std::string peer_address(size_t index) const;
  std::string target_address(size_t index) const;
  std::string zone(size_t index) const;
  manual_loop& clock() { return loop_; }
  memory_network& network() { return network_; }
  memory_store& store() { return store_; }
  fake_targets& targets() { return targets_; }
  const fake_target_counters& target_counters(size_t index) {
    return targets_.counters(target_address(index));
  }

 private:
  struct machine_state {
    target_announcement announcement;
    bool announcing = true;
    time_point cold_until;
    std::unique_ptr<keyed_store> store_client;
    std::unique_ptr<node_loop> timers;
    std::unique_ptr<metrics> counters;
    std::unique_ptr<hosted_node> process;
  };

  void AnnounceAll();

  const request_dialect* dialect_;
  manual_loop loop_;
  mt_random random_;
  memory_network network_;
  memory_store store_{&loop_};
  fake_targets targets_;
  test_record_reader record_reader_;
  std::vector<machine_state> machines_;
  uint64_t next_incarnation_ = 100;
};

}  // namespace skylarkhoist

#endif  // TESTING_HOSTED_FLEET_H_
