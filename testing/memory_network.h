#ifndef TESTING_MEMORY_NETWORK_H_
#define TESTING_MEMORY_NETWORK_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kernel/loop.h"
#include "kernel/random.h"
#include "wire/link_activity.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// Counts of messages sent by a node, including heartbeats and Hellos. `bytes`
// includes frame headers.
struct message_count {
  uint64_t messages = 0;
  uint64_t bytes = 0;
};

// One-way delay of a message: uniformly distributed between `fixed` and `fixed`
// plus `jitter`.
struct link_delay {
  duration fixed = std::chrono::microseconds(500);
  duration jitter = std::chrono::microseconds(200);
};

struct memory_network_options {
  link_delay delay;
  duration heartbeat_interval = std::chrono::milliseconds(250);
  duration silence_timeout = std::chrono::seconds(1);
  // As in tcp_transport_settings; nothing keeps all links active.
  std::optional<link_activity_options> activity;
  bool watch_own_zone = false;
  // Probabilities of faults of each message. They do not apply to Hellos, whose
  // loss looks to nodes like a silent link.
  double loss_probability = 0;
  double duplication_probability = 0;
  double reordering_probability = 0;
  // Maximum extra delay of duplicated and reordered messages.
  duration max_extra_delay = std::chrono::milliseconds(50);
};

namespace detail {
struct memory_node;
struct memory_link;
}  // namespace detail

// In-memory peer links between simulated nodes on one loop. Messages are
// encoded and decoded as on a real link. Tests inject faults:
//
//   memory_network network(&loop, &random);
//   peer_transport* a = network.AddNode({"10.0.0.1:9", "a", "z1", 17});
//   a->Start(&observer);
//   network.StopNode("10.0.0.1:9");   // `observer` may be destroyed now
//   a = network.AddNode({"10.0.0.1:9", "a", "z1", 18});   // restart
//
// The network owns the transports, which stay valid until it is destroyed. The
// transport of a stopped node does nothing.
class memory_network {
 public:
  memory_network(loop* run_loop,
                 random_source* random,
                 memory_network_options options = {});
  ~memory_network();
  memory_network(const memory_network&) = delete;
  memory_network& operator=(const memory_network&) = delete;

  // Starts a process at `info.address`, after stopping one that runs there.
  peer_transport* AddNode(const peer_info& info);

  // Ends the process: its open links are closed and new connections to it are
  // refused.
  void StopNode(const std::string& address);

  // A paused node sends no heartbeats and receives nothing; deliveries are held
  // back until it resumes. Its timers are not paused here, but by node_loop.
  void PauseNode(const std::string& address);
  void ResumeNode(const std::string& address);
  bool IsPaused(const std::string& address) const;

  // Drops all messages and connection attempts between the two sets of
  // addresses, so that links between them become silent.
  void Partition(const std::set<std::string>& one,
                 const std::set<std::string>& other);
  // Ends all partitions.
  void Heal();

  // Drops everything on the open link between both nodes, if there is one. A
  // link that is opened later works.
  void SilenceLink(const std::string& one, const std::string& other);

  void SetZoneDelay(const std::string& zone,
                    const std::string& other,
                    link_delay delay);
  void SetPairDelay(const std::string& address,
                    const std::string& other,
                    link_delay delay);
  // Options that may be changed at any time.
  memory_network_options& options() { return options_; }

  // Counts by message type, such as "heartbeat" or "rate_request", over all
  // incarnations at the address.
  const std::map<std::string, message_count>& SentBy(
      const std::string& address) {
    return sent_counts_[address];
  }
  // Counts of all messages to nodes of other zones, over all nodes.
  const message_count& sent_between_zones() const {
    return sent_between_zones_;
  }
  void ResetCounts() {
    sent_counts_.clear();
    sent_between_zones_ = {};
  }

 private:
  friend struct detail::memory_node;
  using node_ref = std::shared_ptr<detail::memory_node>;
  using link_ref = std::shared_ptr<detail::memory_link>;
  using bytes = std::vector<uint8_t>;

  void Send(const node_ref& from,
            const std::string& to,
            const fbs::envelopeT& message);
  link_ref OpenLink(const node_ref& from, const std::string& to);
  void HandleHello(const link_ref& link, const node_ref& target);
  void OpenSide(const link_ref& link, int side, const peer_info& peer);
  // Closes one side of a link and, unless the link is silent or partitioned,
  // the other one after the delay of a message.
  void CloseSide(const link_ref& link, int side, link_down_cause cause);
  void Transmit(const link_ref& link, int from, bytes data, bool reliable);
  void HandleMessage(const link_ref& link, int to, const bytes& data);
  void RecordActivity(detail::memory_link& link,
                      int side,
                      const fbs::envelopeT& message);
  // Closes one side of a link as silent if that is due, or else sends a
  // heartbeat from there. Sets the timer for the next call.
  void OnHeartbeatTimer(const link_ref& link, int side);
  // Runs `action` after `delay` unless the network was destroyed by then.
  void RunAfter(duration delay, std::function<void()> action);
  // Runs `action` now, or later when a paused node resumes or a new one has
  // started; never after the process of `node` has ended.
  void RunOnNode(const node_ref& node, std::function<void()> action);
  bool IsPartitioned(const std::string& one, const std::string& other) const;
  duration DrawDelay(const detail::memory_link& link);
  bytes EncodeAndCount(const std::string& sender,
                       const fbs::envelopeT& message);
  bool DrawBool(double probability);

  loop* loop_;
  random_source* random_;
  memory_network_options options_;
  std::map<std::string, node_ref> nodes_;
  std::vector<node_ref> all_nodes_;
  // Addresses of all nodes so far.
  std::set<std::string> known_addresses_;
  std::vector<std::pair<std::set<std::string>, std::set<std::string>>>
      partitions_;
  std::map<std::pair<std::string, std::string>, link_delay> zone_delays_;
  std::map<std::pair<std::string, std::string>, link_delay> pair_delays_;
  std::map<std::string, std::map<std::string, message_count>> sent_counts_;
  message_count sent_between_zones_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// The loop of one simulated process on a shared loop. Timers that fall due
// while it is paused run when it resumes; after Stop, none runs. The clock
// keeps running in both cases, as that of a real process does.
class node_loop : public loop {
 public:
  explicit node_loop(loop* base) : base_(base) {}
  ~node_loop() override { Stop(); }
  node_loop(const node_loop&) = delete;
  node_loop& operator=(const node_loop&) = delete;

  time_point Now() const override { return base_->Now(); }
  timer_id RunAfter(duration delay, std::function<void()> callback) override;
  void Cancel(timer_id id) override;

  void Pause() { paused_ = true; }
  void Resume();
  void Stop();

 private:
  void RunTimer(timer_id id);

  struct pending_timer {
    timer_id base_id = 0;
    std::function<void()> callback;
  };

  loop* base_;
  bool paused_ = false;
  timer_id next_id_ = 1;
  std::map<timer_id, pending_timer> timers_;
  // Timers that fell due while paused, in this order.
  std::vector<timer_id> due_timers_;
};

}  // namespace skylarkhoist

#endif  // TESTING_MEMORY_NETWORK_H_
