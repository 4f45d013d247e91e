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

#include "decisions/config_fold.h"
#include "decisions/config_schema.h"
#include "decisions/config_view.h"
#include "decisions/roster.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "kernel/random.h"
#include "wire/log_client.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

struct config_follower_options {
  // This node, as other nodes reach it.
  std::string peer_address;
  std::string zone;
  // Author of the records that this node appends by itself.
  std::string author;
  // Asked for the state at start, besides the live peers.
  std::vector<std::string> seed_peers;
  // Served until the node has a state.
  config_view bootstrap;

  duration poll_interval = std::chrono::milliseconds(250);
  // With up to this many nodes, each of them reads the log.
  size_t all_read_up_to = 20;
  // Readers of each zone in a larger fleet.
  size_t readers_per_zone = 2;
  size_t fan_out = 8;
  // A node that hears nothing about the log for this long reads it itself.
  duration silent_after = std::chrono::seconds(2);
  // Longest pause between signs that the log has nothing new.
  duration keepalive_interval = std::chrono::milliseconds(800);

  // Pauses between attempts to append one record double between these bounds.
  duration append_retry_min = std::chrono::milliseconds(100);
  duration append_retry_max = std::chrono::seconds(2);
  // After this time the result of an append is "unknown".
  duration append_give_up = std::chrono::seconds(30);

  uint64_t snapshot_records = 1000;
  duration snapshot_interval = std::chrono::minutes(5);
  duration snapshot_jitter = std::chrono::seconds(20);

  // Milliseconds since 1970, for the records that this node appends. The
  // system's clock when empty.
  std::function<int64_t()> unix_ms;
};

enum class append_state {
  kAccepted,
  // The change is not in force and never will be.
  kVoid,
  // The record may still take effect; see `reached_log`.
  kUnknown,
};

// What became of a record.
struct append_result {
  append_state state = append_state::kUnknown;
  // Offset of the record, 0 when unknown.
  uint64_t offset = 0;
  // kUnknown: false when no attempt can have reached the log, so the record
  // surely has no effect.
  bool reached_log = false;
  // kVoid: the record itself was not acceptable, for the reason given here.
  std::string problem;
  // kVoid: the entry in force when the change was found void, if there was one.
  std::optional<config_entry> in_force;
};

// Keeps the published configuration and the roster of one node up to date: from
// the log, and from peers while the log is out of reach.
//
//   config_follower follower(&loop, &log, &transport, &random, options,
//                            [&] { return membership.LiveAddresses(); },
//                            &metrics);
//   follower.OnChange([&] { entry.UseView(follower.view()); });
//   follower.Start();
class config_follower {
 public:
  using append_callback = std::function<void(const append_result&)>;

  // `live_peers` returns the peer addresses of the live nodes, without this
  // one.
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
  const config_fold& fold() const { return fold_; }
  // Findings of the published state, see config_view_builder.
  const findings& problems() const { return problems_; }

  // True once the node has a state from the log or a peer. Before that it must
  // not serve keyed routes.
  bool ready() const { return ready_; }
  uint64_t applied_offset() const { return fold_.offset(); }
  // Time since this node read the log with success, duration::max() if never.
  // The time counts from the start of that read.
  duration log_age(time_point now) const;

  // Calls `callback` after each change of the view or the roster.
  void OnChange(std::function<void()> callback);

  // Messages of peers.
  void HandleNews(const std::string& from, const fbs::config_newsT& news);
  void HandleRequest(const std::string& from,
                     const fbs::config_requestT& request);
  void HandleState(const std::string& from, const fbs::config_stateT& state);
  // To be called with each offset that a heartbeat or gossip shows.
  void NotePeerOffset(const std::string& address, uint64_t offset);

  // Each appends one record until the fold has seen it, and reports what became
  // of it. Without `value` the change is a deletion.
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
  bool IsReader() const;
  bool IsElectedReader() const;
  std::vector<std::string> TreeOrder() const;

  void ReadLog();
  void OnBatch(const log_batch& batch);
  void OnReadError(const log_error& error);
  void FinishScan();

  bool ApplyRecord(uint64_t offset, const std::string& data);
  void TakeState(config_fold state);
  void Publish(bool changed, bool roster_changed);
  void PushNews(uint64_t from_offset, bool inject);
  void SendNews(const std::string& address, uint64_t from_offset);
  void AskForState();
  void Ask(const std::string& address);

  config_record NewRecord(record_kind kind);
  void StartAppend(const config_record& record, append_callback done);
  void TryAppend(const std::string& id);
  void RetryAppend(const std::string& id);
  void ResolveAppends();
  void Resolve(const std::string& id, const append_result& result);

  bool SnapshotDue() const;
  void ConsiderSnapshot();
  void AppendSnapshot();

  // Runs `callback` later, unless this object is gone by then.
  void RunLater(duration delay, std::function<void()> callback);
  duration Jitter(duration most);

  loop* loop_;
  log_client* log_;
  peer_transport* peers_;
  random_source* random_;
  config_follower_options options_;
  std::function<std::vector<std::string>()> live_peers_;
  std::unique_ptr<counters> counters_;

  config_fold fold_;
  config_view_builder builder_;
  std::shared_ptr<const config_view> view_;
  findings problems_;
  bool ready_ = false;
  std::vector<std::function<void()>> on_change_;

  bool started_ = false;
  bool reading_ = false;
  bool read_again_ = false;
  std::optional<time_point> read_at_;
  // Last sign of the log's content, from the log itself or from a reader.
  time_point heard_at_;
  duration silence_bound_{};
  time_point keepalive_at_;
  time_point asked_at_;

  // Search for a snapshot in the log, when records that this node lacks are
  // gone.
  struct scan {
    uint64_t next = 0;
    // Offset of the first record kept; a snapshot must cover all before it.
    uint64_t first = 0;
    std::optional<config_fold> best;
  };
  std::optional<scan> scan_;
  bool behind_trim_point_ = false;

  // The newest records, for peers that are a little behind. Their offsets end
  // with that of the fold.
  std::deque<std::string> recent_;
  size_t recent_bytes_ = 0;

  std::map<std::string, pending_append> appends_;
  bool snapshot_planned_ = false;
  time_point snapshot_tried_at_;
  time_point snapshot_seen_at_;

  // Callbacks that may outlive this object hold a weak reference to it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // NODE_CONFIG_FOLLOWER_H_
