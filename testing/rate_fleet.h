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

// Checks for one customer the invariant that grants stay within rate and burst
// in every time window (I4). Grants must be reported in order of time. A token
// bucket that starts full and loses a token with each grant goes below zero
// exactly when some window of length t has more grants than rate * t + burst.
class rate_window_checker {
 public:
  rate_window_checker(double per_second, double burst)
      : rate_(per_second), burst_(burst), tokens_(burst) {}

  void OnGranted(time_point now) {
    Refill(now);
    tokens_ -= 1;
    min_tokens_ = std::min(min_tokens_, tokens_);
  }
  // Takes a token if there is one, as an ideal bucket shared by the whole fleet
  // does.
  bool TryTake(time_point now) {
    Refill(now);
    if (tokens_ < 1)
      return false;
    tokens_ -= 1;
    return true;
  }
  // Number of grants above rate and burst in the worst window; 0 when the limit
  // was kept.
  double MaxExcess() const { return min_tokens_ < -1e-6 ? -min_tokens_ : 0; }

 private:
  void Refill(time_point now) {
    const double elapsed_s =
        std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(burst_, tokens_ + rate_ * elapsed_s);
    refilled_at_ = now;
  }

  double rate_;
  double burst_;
  double tokens_;
  double min_tokens_ = 0;
  time_point refilled_at_;
};

// Nodes that consist only of a rate_service, on a memory_network. Each node
// applies roster versions after a random delay, and none while it cannot reach
// the log.
class rate_fleet {
 public:
  rate_fleet(loop* run_loop, random_source* random, memory_network* network);
  ~rate_fleet();

  // Adds a running node. The other nodes learn of it from Publish.
  void AddNode(const std::string& name, const std::string& zone);
  size_t size() const { return nodes_.size(); }

  void Crash(size_t node);
  // Starts a new incarnation at the same address. The old one leaves the roster
  // only if `evict_old` is set.
  void Restart(size_t node, bool evict_old = true);
  void Pause(size_t node);
  void Resume(size_t node);
  bool IsRunning(size_t node) const { return nodes_[node].service != nullptr; }
  bool IsAvailable(size_t node) const {
    return IsRunning(node) && !nodes_[node].paused;
  }
  // Sets whether later roster versions include the node.
  void SetInRoster(size_t node, bool in_roster) {
    nodes_[node].in_roster = in_roster;
  }
  void SetLogReachable(size_t node, bool reachable) {
    nodes_[node].log_reachable = reachable;
  }
  // Publishes a roster version with the current members. Each node applies it
  // after a random delay of up to `max_delay`.
  void Publish(duration max_delay = std::chrono::milliseconds(300));
  void SetRate(const std::string& customer, double per_second, double burst);

  rate_service& service(size_t node) { return *nodes_[node].service; }
  const std::string& address(size_t node) const { return nodes_[node].address; }
  // Index of an available node that owns the customer's shard, or -1.
  int OwnerOf(const std::string& customer) const;
  // Number of nodes that own the shard now, including paused ones.
  int OwnerCount(const std::string& customer) const;
  double CounterSum(const std::string& name, const metric_labels& labels);
  rate_service_options& default_options() { return default_options_; }

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
    // Earlier incarnations that are still in the roster.
    std::vector<uint64_t> unevicted_incarnations;
    std::unique_ptr<node_loop> timers;
    std::unique_ptr<observer> link_observer;
    std::unique_ptr<rate_service> service;
  };

  void StartProcess(fleet_node& node);
  void ApplyRoster(size_t node,
                   uint64_t incarnation,
                   const roster_view& roster);

  loop* loop_;
  random_source* random_;
  memory_network* network_;
  metrics metrics_;
  rate_service_options default_options_;
  std::vector<fleet_node> nodes_;
  roster_view roster_;
  uint64_t next_incarnation_ = 1;
  std::shared_ptr<config_view> config_ = std::make_shared<config_view>();
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // TESTING_RATE_FLEET_H_
