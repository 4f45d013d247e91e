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

// Configuration followers of one in-memory log on an in-memory network. Nodes
// learn the offsets of their peers from heartbeats and a simplified gossip.
// Checks at each change that no node goes back to an older configuration.
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
  // Starts a new process of node `index`, after stopping the one that runs.
  void Start(size_t index);
  void Stop(size_t index);
  bool IsRunning(size_t index) const { return nodes_[index] != nullptr; }

  // Appends the join record of a running node to the log.
  void Join(size_t index);
  // Appends the join record of each running node and advances the loop until
  // all nodes agree, for 20 s at most.
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

  // Lowest applied offset of the running nodes.
  uint64_t MinOffset() const;
  // Number of times that the applied offset or the version of a path fell on a
  // node while its process ran.
  int reverts() const { return reverts_; }
  // True when all running nodes have applied the whole log and hold the same
  // state.
  bool AllAgree() const;

 private:
  struct fleet_node;

  std::vector<std::string> LivePeers(size_t index) const;
  void GossipFrom(size_t index);
  void CountReverts(size_t index);

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
