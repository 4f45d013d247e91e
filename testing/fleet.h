#ifndef TESTING_FLEET_H_
#define TESTING_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/json.h"
#include "node/node.h"
#include "testing/fake_targets.h"
#include "testing/manual_loop.h"
#include "testing/memory_log.h"
#include "testing/memory_network.h"

namespace skylarkhoist {

// A target on the machine of a node.
struct fleet_target {
  std::string service;
  fake_target_options options;
  // Path of the child calls that each call of the target makes through the node
  // on its machine; empty for none.
  std::string child_path;
  // Number of concurrent child calls of each call.
  int child_calls = 1;
};

struct fleet_machine {
  std::string name;
  std::string zone;
  std::vector<fleet_target> targets;
};

// Many real nodes in one process, on a manual loop with in-memory network and
// log and fake targets. Tests advance the clock, send requests to any node and
// inject failures.
//
//   fleet cluster(ThreeZones(5), 1);
//   cluster.Publish("/routes/browse", {...});
//   cluster.Advance(std::chrono::seconds(2));
//   cluster.Send(0, request, [&](const std::optional<http_response>& r) { ...
//   });
class fleet {
 public:
  // Called with nullopt when the connection to the node broke.
  using response_callback =
      std::function<void(const std::optional<http_response>&)>;

  // `common_options` holds the node options that do not depend on the machine.
  // With its `new_fleet`, the first node starts before the others.
  fleet(std::vector<fleet_machine> machines,
        uint64_t seed,
        memory_network_options network = {},
        node_options common_options = {});
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  // Appends a change of `path` to the log, based on its current version.
  void Publish(const std::string& path, const json& value);

  void Advance(duration step) { loop_.Advance(step); }

  // Header with a text by which a test identifies a request. A child call has
  // the text of its parent, followed by "/" and its number from 1 on.
  static constexpr char kTraceHeader[] = "X-Trace";

  // Sends a request to the public listener of a machine's node and returns its
  // number for DropConnection. If the node is down, calls `done` with nullopt
  // at once and returns 0.
  uint64_t Send(size_t machine, http_request request, response_callback done);

  // Closes the connection of the caller of an open request.
  void DropConnection(size_t machine, uint64_t number);

  // Number of responses to requests that had one already.
  uint64_t duplicate_responses() const { return second_responses_; }

  // Calls `observer` just before the process of a node ends, planned or not.
  void ObserveStops(std::function<void(size_t machine)> observer) {
    stop_observer_ = std::move(observer);
  }

  // Ends the process of a node without a drain; open requests of its callers
  // lose their connection.
  void KillNode(size_t machine);
  void StartNode(size_t machine);
  // Stops all timers and deliveries of a node.
  void PauseNode(size_t machine);
  void ResumeNode(size_t machine);
  // Starts a planned stop; the node is down when the drain is done.
  void DrainNode(size_t machine);
  // Announces that the target leaves.
  void AnnounceTargetLeaving(size_t machine, size_t target);

  bool IsUp(size_t machine) const {
    return machines_[machine].process != nullptr;
  }
  size_t size() const { return machines_.size(); }
  const fleet_machine& spec(size_t machine) const {
    return machines_[machine].spec;
  }
  std::string PeerAddress(size_t machine) const;
  std::string TargetAddress(size_t machine, size_t target) const;

  // Null while the node is down.
  node* node_of(size_t machine);
  metrics* metrics_of(size_t machine);

  manual_loop& clock() { return loop_; }
  memory_network& network() { return network_; }
  memory_log& log() { return log_; }
  fake_targets& targets() { return targets_; }
  random_source& random() { return random_; }

 private:
  // Wall clock that shows the time of the manual loop.
  class loop_wall_clock : public wall_clock {
   public:
    explicit loop_wall_clock(const loop& base) : base_(base) {}
    wall_time Now() const override {
      return wall_time(std::chrono::duration_cast<wall_time::duration>(
          base_.Now().time_since_epoch()));
    }

   private:
    const loop& base_;
  };

  struct open_request {
    entry_call_id id = 0;
    response_callback done;
  };
  // Everything that ends with the process of a node.
  struct node_process {
    explicit node_process(loop* base) : timers(base) {}
    node_loop timers;
    metrics counters;
    std::unique_ptr<mt_random> random;
    std::unique_ptr<log_client> log;
    std::unique_ptr<node> instance;
    std::map<uint64_t, open_request> requests;
  };
  struct machine_state {
    fleet_machine spec;
    std::unique_ptr<node_process> process;
    std::vector<bool> target_leaving;
    bool paused = false;
  };

  void AnnounceTargets(size_t index);
  void Announce(size_t index, size_t target);
  std::function<void()> CallChild(size_t index,
                                  const std::string& path,
                                  int child_number,
                                  const http_request& parent,
                                  const std::function<void(int)>& done);
  // Makes all child calls of a call; `done` gets their highest status.
  std::function<void()> CallChildren(size_t index,
                                     const fleet_target& target,
                                     const http_request& parent,
                                     const std::function<void(int)>& done);
  void FailRequests(const std::map<uint64_t, open_request>& requests);

  manual_loop loop_;
  loop_wall_clock wall_{loop_};
  mt_random random_;
  memory_network network_;
  memory_log log_;
  fake_targets targets_;
  std::vector<machine_state> machines_;
  uint64_t next_incarnation_ = 1;
  node_options common_options_;
  std::function<void(size_t)> stop_observer_;
  uint64_t next_request_ = 1;
  uint64_t second_responses_ = 0;
  uint64_t next_record_ = 1;
  std::map<std::string, uint64_t> path_versions_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // TESTING_FLEET_H_
