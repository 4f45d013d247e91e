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

// A target beside a node of a fleet.
struct fleet_target {
  std::string service;
  fake_target_options options;
  // Path of the child call that each of its calls makes through its own node;
  // empty for none.
  std::string child_path;
  // Child calls that each call makes at the same time.
  int child_calls = 1;
};

struct fleet_machine {
  std::string name;
  std::string zone;
  std::vector<fleet_target> targets;
};

// Many real nodes in one process: manual loop, in-memory network and log, fake
// targets. Tests drive the clock, send requests to any node and bring about
// failures.
//
//   fleet cluster(ThreeZones(5), 1);
//   cluster.Publish("/routes/browse", {...});
//   cluster.Advance(std::chrono::seconds(2));
//   cluster.Send(0, request, [&](const std::optional<http_response>& r) { ...
//   });
class fleet {
 public:
  // No response when the connection to the node broke.
  using response_callback =
      std::function<void(const std::optional<http_response>&)>;

  // `common` gives the options of all nodes that are not drawn from their
  // machine. With `new_fleet`, the first node starts ahead of the others.
  fleet(std::vector<fleet_machine> machines,
        uint64_t seed,
        memory_network_options network = {},
        node_options common = {});
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  // Appends a change from the path's present version to the log.
  void Publish(const std::string& path, const json& value);

  void Advance(duration step) { loop_.Advance(step); }

  // Carries a text that a test gives to a request. A child call has that of its
  // parent, with "/" and its number added.
  static constexpr char kTraceHeader[] = "X-Trace";

  // Sends a request to the public listener of a machine's node. A request to a
  // machine whose node is down gets no response at once.
  // Returns a number for DropConnection.
  uint64_t Send(size_t machine, http_request request, response_callback done);

  // The caller of an open request closes its connection.
  void DropConnection(size_t machine, uint64_t request);

  // Responses that a node gave to a request that already had one.
  uint64_t second_responses() const { return second_responses_; }

  // Called just before the process of a node ends, in a planned stop or not.
  void ObserveStops(std::function<void(size_t machine)> observer) {
    stop_observer_ = std::move(observer);
  }

  // Ends the process of a node; open requests of its callers lose their
  // connection.
  void KillNode(size_t machine);
  void StartNode(size_t machine);
  // Stops all timers and deliveries of a node.
  void PauseNode(size_t machine);
  void ResumeNode(size_t machine);
  // Planned stop; the node is down once it is done.
  void DrainNode(size_t machine);
  // The target says that it leaves.
  void LeaveTarget(size_t machine, size_t target);

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
  // Wall time that follows the manual loop.
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
  // What ends with the process of a node.
  struct node_run {
    explicit node_run(loop* base) : run_loop(base) {}
    node_loop run_loop;
    metrics counters;
    std::unique_ptr<mt_random> random;
    std::unique_ptr<log_client> log;
    std::unique_ptr<node> running;
    std::map<uint64_t, open_request> requests;
  };
  struct machine {
    fleet_machine spec;
    std::unique_ptr<node_run> process;
    std::vector<bool> leaving;
    bool paused = false;
  };

  void AnnounceTargets(size_t index);
  void Announce(size_t index, size_t target);
  std::function<void()> CallChild(size_t index,
                                  const std::string& path,
                                  int number_of_child,
                                  const http_request& parent,
                                  const std::function<void(int)>& done);
  // All child calls of a parent; the highest status counts.
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
  std::vector<machine> machines_;
  uint64_t next_incarnation_ = 1;
  node_options common_;
  std::function<void(size_t)> stop_observer_;
  uint64_t next_request_ = 1;
  uint64_t second_responses_ = 0;
  uint64_t next_record_ = 1;
  std::map<std::string, uint64_t> versions_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // TESTING_FLEET_H_
