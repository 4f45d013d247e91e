#ifndef TESTING_RATE_FLEET_H_
#define TESTING_RATE_FLEET_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kernel/metrics.h"
#include "node/rate_service.h"
#include "testing/memory_network.h"

namespace skylarkhoist {

// Checks I4 for one customer: grants must come in the order of time. A token
// bucket that starts full and is drawn by each grant goes below zero exactly
// when some window holds more grants than rate * t + burst.
class rate_window_checker {
 public:
  rate_window_checker(double per_second, double burst)
      : rate_(per_second), burst_(burst), level_(burst) {}

  void OnGranted(time_point at) {
    Advance(at);
    level_ -= 1;
    worst_ = std::min(worst_, level_);
  }
  // Takes a token if there is one: the exact bucket of the whole fleet.
  bool TryTake(time_point at) {
    Advance(at);
    if (level_ < 1)
      return false;
    level_ -= 1;
    return true;
  }
  // Requests above rate and burst in the worst window; 0 when the limit holds.
  double WorstOver() const { return worst_ < -1e-6 ? -worst_ : 0; }

 private:
  void Advance(time_point at) {
    const double seconds = std::chrono::duration<double>(at - at_).count();
    level_ = std::min(burst_, level_ + rate_ * seconds);
    at_ = at;
  }

  double rate_;
  double burst_;
  double level_;
  double worst_ = 0;
  time_point at_;
};

// Nodes that consist of a rate_service each, on a memory_network. Roster
// versions reach each node after a delay; a node that cannot reach the log gets
// none.
class rate_fleet {
 public:
  rate_fleet(loop* run_loop, random_source* random, memory_network* network);
  ~rate_fleet();

  // Adds a running node. Publish() makes it known.
  void AddNode(const std::string& name, const std::string& zone);
  size_t size() const { return nodes_.size(); }

  void Crash(size_t node);
  // A new incarnation at the same address; the old one leaves the roster when
  // `evict_old`.
  void Restart(size_t node, bool evict_old = true);
  void Pause(size_t node);
  void Resume(size_t node);
  bool Running(size_t node) const { return nodes_[node].service != nullptr; }
  bool Available(size_t node) const {
    return Running(node) && !nodes_[node].paused;
  }
  // Excludes the node from the roster, or includes it again.
  void SetInRoster(size_t node, bool in_roster) {
    nodes_[node].in_roster = in_roster;
  }
  void SetLogReachable(size_t node, bool reachable) {
    nodes_[node].log_reachable = reachable;
  }
  // Appends a roster version with the present members; nodes apply it after up
  // to `longest_delay`.
  void Publish(duration longest_delay = std::chrono::milliseconds(300));
  void SetRate(const std::string& customer, double per_second, double burst);

  rate_service& service(size_t node) { return *nodes_[node].service; }
  const std::string& address(size_t node) const { return nodes_[node].address; }
  // Index of the owner of the customer's shard, or -1.
  int OwnerOf(const std::string& customer) const;
  // Number of nodes that own the shard at this moment.
  int OwnerCount(const std::string& customer) const;
  double CounterSum(const std::string& name, const metric_labels& labels);
  rate_service_options& defaults() { return defaults_; }

 private:
  class observer;
  struct fleet_node {
    std::string name;
    std::string zone;
    std::string address;
    uint64_t incarnation = 0;
    bool in_roster = true;
    bool log_reachable = true;
    bool paused = false;
    // Incarnations that have not been evicted yet.
    std::vector<uint64_t> remains;
    std::unique_ptr<node_loop> own_loop;
    std::unique_ptr<observer> link_observer;
    std::unique_ptr<rate_service> service;
  };

  void StartProcess(fleet_node& node);
  void Apply(size_t node, uint64_t incarnation, const roster_view& roster);

  loop* loop_;
  random_source* random_;
  memory_network* network_;
  metrics metrics_;
  rate_service_options defaults_;
  std::vector<fleet_node> nodes_;
  roster_view roster_;
  uint64_t next_incarnation_ = 1;
  std::shared_ptr<config_view> config_ = std::make_shared<config_view>();
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // TESTING_RATE_FLEET_H_
