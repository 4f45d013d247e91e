#ifndef NODE_CONFIG_FOLLOWER_H_
#define NODE_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decisions/config_schema.h"
#include "decisions/config_state.h"
#include "decisions/config_view.h"
#include "decisions/roster.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "kernel/random.h"
#include "wire/log_client.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

struct config_follower_options {
  // Address at which peers reach this node.
  std::string peer_address;
  std::string zone;
  // Author of records that this node appends on its own behalf, such as
  // snapshots.
  std::string author;
  // Peers to request the state from at start, besides the live peers.
  std::vector<std::string> seed_peers;
  // View to serve until the node has the published state.
  config_view bootstrap;

  duration poll_interval = std::chrono::milliseconds(250);
  // In a fleet of up to this many nodes, each node reads the log. In a larger
  // fleet elected readers do, and forward the records to the other nodes.
  size_t all_read_max_nodes = 20;
  // Elected readers of each zone.
  size_t readers_per_zone = 2;
  // Number of nodes that each node of the broadcast tree forwards records to.
  size_t fan_out = 8;
  // A node that has got no update about the log for this time reads it itself.
  duration log_silence_limit = std::chrono::seconds(2);
  // Interval between updates without records, which tell other nodes that the
  // log has no new records.
  duration keepalive_interval = std::chrono::milliseconds(800);

  // Bounds of the delay between attempts to append one record, which doubles
  // with each attempt.
  duration append_retry_min = std::chrono::milliseconds(100);
  duration append_retry_max = std::chrono::seconds(2);
  // After this time without a result, an append ends as kUnknown.
  duration append_timeout = std::chrono::seconds(30);

  // A snapshot is due after this many records, or after `snapshot_interval` if
  // there are any. The node that appends it waits a random time up to
  // `snapshot_jitter` before.
  uint64_t snapshot_records = 1000;
  duration snapshot_interval = std::chrono::minutes(5);
  duration snapshot_jitter = std::chrono::seconds(20);

  // Wall clock for the records that this node appends, in milliseconds since
  // the Unix epoch. Uses the system clock when empty.
  std::function<int64_t()> wall_clock_ms;
};

enum class append_state {
  // The record is in the log and is not void.
  kAccepted,
  // The change has no effect and never will have one.
  kVoid,
  // The record may still take effect, unless no attempt reached the log.
  kUnknown,
};

// Result of appending one record.
struct append_result {
  append_state state = append_state::kUnknown;
  // Offset of the record, 0 when unknown.
  uint64_t offset = 0;
  // With kUnknown: false when no attempt can have reached the log, so that the
  // record has no effect.
  bool may_have_reached_log = false;
  // With kVoid: what is wrong with the record itself. Empty when the record is
  // valid but lost against another change.
  std::string record_problem;
  // With kVoid: the entry that was in force instead, if there was one.
  std::optional<config_entry> entry_in_force;
};

// Keeps the published configuration and the roster of one node up to date by
// following the log. Gets the records from the log or from peers, and the whole
// state from peers while the log is unreachable.
//
// Peers exchange three messages. An update (config_news) carries the offset
// that its sender has applied and records from the log. A config_request asks
// for the records from an offset on; the answer is an update or, when the
// records are no longer kept, the whole state (config_state).
//
//   config_follower follower(&loop, &log, &transport, &random, options,
//                            [&] { return membership.LiveAddresses(); },
//                            &metrics);
//   follower.OnChange([&] { entry.UseView(follower.view()); });
//   follower.Start();
class config_follower {
 public:
  using append_callback = std::function<void(const append_result&)>;

  // `live_peers` returns the peer addresses of the live nodes except this one.
  config_follower(loop* loop,
                  log_client* log,
                  peer_transport* peers,
                  random_source* random,
                  config_follower_options options,
                  std::function<std::vector<std::string>()> live_peers,
                  metrics* metrics);
  ~config_follower();
  config_follower(const config_follower&) = delete;
  config_follower& operator=(const config_follower&) = delete;

  void Start();

  std::shared_ptr<const config_view> view() const { return view_; }
  const roster_view& roster() const { return fold_.roster(); }
  const config_state& state() const { return fold_; }
  // Findings of the published configuration, see config_view_builder.
  const findings& problems() const { return problems_; }

  // True once the node has the whole state, from the log or from a peer. Before
  // that it must not serve keyed routes.
  bool ready() const { return ready_; }
  uint64_t applied_offset() const { return fold_.offset(); }
  // Time since the start of this node's last successful read of the log;
  // duration::max() if there was none.
  duration log_age(time_point now) const;

  // Adds a callback that runs after each change of the view or the roster.
  void OnChange(std::function<void()> callback);

  // Handle messages from peers.
  void HandleUpdate(const std::string& from, const fbs::config_newsT& update);
  void HandleRequest(const std::string& from,
                     const fbs::config_requestT& request);
  void HandleState(const std::string& from, const fbs::config_stateT& state);
  // To be called with each applied offset in a heartbeat or gossip entry of a
  // peer. Requests the missing records when the peer is ahead.
  void OnPeerOffset(const std::string& address, uint64_t offset);

  // Each appends one record, repeating attempts until the record is part of the
  // state, and reports the result. A change without `value` is a deletion.
  void AppendChange(const std::string& path,
                    uint64_t base_version,
                    std::optional<json> value,
                    const std::string& author,
                    append_callback done);
  void AppendJoin(const roster_member& member, append_callback done);
  void AppendLeave(uint64_t incarnation, append_callback done);
  void AppendEvict(uint64_t incarnation, append_callback done);

 private:
  struct pending_append;
  struct counters;

  void ScheduleTick(duration delay);
  void Tick();
  bool ShouldReadLog() const;
  bool IsElectedReader() const;
  std::vector<std::string> BroadcastOrder() const;

  void ReadLog();
  void OnReadBatch(const log_batch& batch);
  void OnReadError(const log_error& error);
  void FinishSnapshotScan();

  bool ApplyRecord(uint64_t offset, const std::string& data);
  void AdoptState(config_state state);
  void RefreshView(bool changed, bool roster_changed);
  void ForwardUpdate(uint64_t from_offset, bool send_to_root);
  void SendUpdate(const std::string& address, uint64_t from_offset);
  void RequestUpdateFromAnyPeer();
  void RequestUpdate(const std::string& address);

  config_record NewRecord(record_kind kind);
  void StartAppend(const config_record& record, append_callback done);
  void TryAppend(const std::string& id);
  void RetryAppend(const std::string& id);
  void ResolveAppends();
  void ResolveAppend(const std::string& id, const append_result& result);

  bool IsSnapshotDue() const;
  void ScheduleSnapshotIfDue();
  void AppendSnapshot();

  // Runs `callback` after `delay`, unless this object has been destroyed.
  void RunLater(duration delay, std::function<void()> callback);
  // Returns a random duration up to `max`.
  duration Jitter(duration max);

  loop* loop_;
  log_client* log_;
  peer_transport* peers_;
  random_source* random_;
  config_follower_options options_;
  std::function<std::vector<std::string>()> live_peers_;
  std::unique_ptr<counters> counters_;

  config_state fold_;
  config_view_builder builder_;
  std::shared_ptr<const config_view> view_;
  findings problems_;
  bool ready_ = false;
  std::vector<std::function<void()>> on_change_;

  bool started_ = false;
  bool read_in_progress_ = false;
  bool read_again_ = false;
  std::optional<time_point> last_read_at_;
  // Last time that a read, a state or an update from a peer showed the current
  // end of the log.
  time_point log_heard_at_;
  duration silence_limit_{};
  time_point last_update_sent_at_;
  time_point last_request_at_;

  // Search for a snapshot in the log, when records that this node needs have
  // been trimmed.
  struct snapshot_scan {
    uint64_t next_offset = 0;
    // Offset of the first record in the log; a usable snapshot covers all
    // records before it.
    uint64_t first_offset = 0;
    std::optional<config_state> best_state;
  };
  std::optional<snapshot_scan> snapshot_scan_;
  bool behind_trim_point_ = false;

  // The newest records, for peers that are slightly behind. The last one has
  // the offset of the state.
  std::deque<std::string> recent_records_;
  size_t recent_bytes_ = 0;

  std::map<std::string, pending_append> pending_appends_;
  bool snapshot_scheduled_ = false;
  time_point last_snapshot_attempt_at_;
  time_point last_snapshot_seen_at_;

  // Callbacks that may outlive this object hold a weak pointer to this flag.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // NODE_CONFIG_FOLLOWER_H_
