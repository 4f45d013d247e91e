#ifndef TESTING_CONFIG_FLEET_H_
#define TESTING_CONFIG_FLEET_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kernel/metrics.h"
#include "node/config_follower.h"
#include "testing/manual_loop.h"
#include "testing/memory_log.h"
#include "testing/memory_network.h"

namespace skylarkhoist {

// Followers of one log in an in-memory network, with heartbeats and a simple
// gossip of offsets. Watches on every change that no node goes back.
//
//   config_fleet fleet(&loop, &random, 15);
//   fleet.StartAll();
//   fleet.follower(3).AppendChange(...);
//   loop.Advance(seconds(1));
//   CHECK_EQUAL(0, fleet.reverts());
class config_fleet {
 public:
  config_fleet(manual_loop* loop,
               random_source* random,
               size_t size,
               config_follower_options options = {});
  ~config_fleet();
  config_fleet(const config_fleet&) = delete;
  config_fleet& operator=(const config_fleet&) = delete;

  void StartAll();
  // Starts a new process in the slot; one that runs there ends first.
  void Start(size_t index);
  void Stop(size_t index);
  bool IsRunning(size_t index) const { return nodes_[index] != nullptr; }

  // Appends the join of a running node.
  void Join(size_t index);
  // Appends a join for each running node and waits until all are in force.
  void JoinAll();

  void SetLogReachable(size_t index, bool reachable) {
    log_reachable_[index] = reachable;
  }

  size_t size() const { return nodes_.size(); }
  config_follower& follower(size_t index) const;
  static std::string AddressOf(size_t index);
  memory_log& log() { return log_; }
  const memory_log& log() const { return log_; }
  memory_network& network() { return network_; }

  // Lowest offset of the running nodes.
  uint64_t MinOffset() const;
  // Paths whose version fell on a node while its process ran, and offsets that
  // fell.
  int reverts() const { return reverts_; }
  // True when all running nodes have folded the whole log to the same state.
  bool AllAgree() const;

 private:
  struct fleet_node;

  std::vector<std::string> LivePeers(size_t index) const;
  void GossipFrom(size_t index);
  void WatchChange(size_t index);

  manual_loop* loop_;
  random_source* random_;
  config_follower_options options_;
  memory_log log_;
  memory_network network_;
  std::vector<bool> log_reachable_;
  std::vector<std::unique_ptr<fleet_node>> nodes_;
  uint64_t next_incarnation_ = 1;
  int reverts_ = 0;
};

}  // namespace skylarkhoist

#endif  // TESTING_CONFIG_FLEET_H_
