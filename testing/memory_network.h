#ifndef TESTING_MEMORY_NETWORK_H_
#define TESTING_MEMORY_NETWORK_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "kernel/loop.h"
#include "kernel/random.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// Messages sent by a node, including heartbeats and Hellos. `bytes` counts
// frame headers.
struct message_count {
  uint64_t messages = 0;
  uint64_t bytes = 0;
};

// One-way delay of a message: `fixed` plus a uniform share of `jitter`.
struct link_delay {
  duration fixed = std::chrono::microseconds(500);
  duration jitter = std::chrono::microseconds(200);
};

struct memory_network_options {
  link_delay delay;
  duration heartbeat_interval = std::chrono::milliseconds(250);
  duration silence_limit = std::chrono::seconds(1);
  // As in tcp_transport_settings; 0 keeps every open link in use.
  duration use_period = duration::zero();
  duration call_use_period = duration::zero();
  // Probabilities for each single message. Hellos are never affected; a Hello
  // that is lost appears as a silent link.
  double loss = 0;
  double duplication = 0;
  double reordering = 0;
  // Longest extra delay of duplicated and reordered messages.
  duration late = std::chrono::milliseconds(50);
};

namespace detail {
struct memory_node;
struct memory_link;
}  // namespace detail

// Peer links between nodes of one process, on a loop. Messages are encoded and
// decoded as on a real link. Faults happen on command:
//
//   memory_network network(&loop, &random);
//   peer_transport* a = network.AddNode({"10.0.0.1:9", "a", "z1", 17});
//   a->Start(&observer);
//   network.StopNode("10.0.0.1:9");   // `observer` may be destroyed now
//   a = network.AddNode({"10.0.0.1:9", "a", "z1", 18});   // restart
//
// Transports belong to the network and stay valid until it is destroyed; the
// transport of a stopped node does nothing.
class memory_network {
 public:
  memory_network(loop* run_loop,
                 random_source* random,
                 memory_network_options options = {});
  ~memory_network();
  memory_network(const memory_network&) = delete;
  memory_network& operator=(const memory_network&) = delete;

  // Starts a process at `info.address`. A process that runs there is stopped
  // first.
  peer_transport* AddNode(const peer_info& info);

  // Ends the process: open links are closed, new connections are refused.
  void StopNode(const std::string& address);

  // Nothing is delivered to a paused node and it sends no heartbeats.
  // Deliveries follow at its resume. Its own timers are the business of its
  // loop; see node_loop.
  void PauseNode(const std::string& address);
  void ResumeNode(const std::string& address);
  bool IsPaused(const std::string& address) const;

  // Drops all messages and connection attempts between the two sets. Links that
  // cross them become silent.
  void Partition(const std::set<std::string>& one,
                 const std::set<std::string>& other);
  // Ends all partitions.
  void Heal();

  // The open link between both, if any, carries nothing any more; a new link
  // works.
  void SilenceLink(const std::string& one, const std::string& other);

  void SetZoneDelay(const std::string& zone,
                    const std::string& other,
                    link_delay delay);
  void SetPairDelay(const std::string& address,
                    const std::string& other,
                    link_delay delay);
  // Changes the probabilities of message faults and the other options.
  memory_network_options& options() { return options_; }

  // By message type ("heartbeat", "rate_request"), over all incarnations at the
  // address.
  const std::map<std::string, message_count>& SentBy(
      const std::string& address) {
    return sent_[address];
  }
  void ResetCounts() { sent_.clear(); }

 private:
  friend struct detail::memory_node;
  using node_ref = std::shared_ptr<detail::memory_node>;
  using link_ref = std::shared_ptr<detail::memory_link>;
  using bytes = std::vector<uint8_t>;

  void Send(const node_ref& from,
            const std::string& to,
            const fbs::envelopeT& message);
  link_ref OpenLink(const node_ref& from, const std::string& to);
  void ArriveHello(const link_ref& link, const node_ref& target);
  void SideUp(const link_ref& link, int side, const peer_info& peer);
  // Ends one side and tells the other, if the network still carries that.
  void SideDown(const link_ref& link, int side, link_down_cause cause);
  void Transmit(const link_ref& link, int from, bytes data, bool reliable);
  void ArriveMessage(const link_ref& link, int to, const bytes& data);
  // Starts or extends the use of a link, as seen from one side.
  void Use(detail::memory_link& link, int side, bool call);
  void Beat(const link_ref& link, int side);
  // Runs `action` after `delay` unless the network was destroyed.
  void After(duration delay, std::function<void()> action);
  // Runs `action` now, or at the resume of a paused node; never once the
  // process of `node` has ended.
  void OnNode(const node_ref& node, std::function<void()> action);
  bool Blocked(const std::string& one, const std::string& other) const;
  duration DrawDelay(const detail::memory_link& link);
  bytes Encode(const std::string& sender, const fbs::envelopeT& message);
  bool Chance(double probability);

  loop* loop_;
  random_source* random_;
  memory_network_options options_;
  std::map<std::string, node_ref> nodes_;
  std::vector<node_ref> all_nodes_;
  std::vector<std::pair<std::set<std::string>, std::set<std::string>>>
      partitions_;
  std::map<std::pair<std::string, std::string>, link_delay> zone_delays_;
  std::map<std::pair<std::string, std::string>, link_delay> pair_delays_;
  std::map<std::string, std::map<std::string, message_count>> sent_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// The loop of one simulated process on a shared loop. While paused, its timers
// wait; after Stop, they never run. The clock goes on in both cases, as that of
// a real process does.
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
  void Fire(timer_id id);

  struct pending_timer {
    timer_id base_id = 0;
    std::function<void()> callback;
  };

  loop* base_;
  bool paused_ = false;
  timer_id next_id_ = 1;
  std::map<timer_id, pending_timer> timers_;
  // Fell due while paused, in this order.
  std::vector<timer_id> due_;
};

}  // namespace skylarkhoist

#endif  // TESTING_MEMORY_NETWORK_H_
