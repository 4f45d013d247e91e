#ifndef NODE_STORE_CONFIG_FOLLOWER_H_
#define NODE_STORE_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "decisions/config_view.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "node/operator_records.h"
#include "wire/keyed_store.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// Keeps a hosted node's configuration up to date from the operator records in
// the store: reads the newest record of each key, then waits for more. Gets the
// records from peers while the store does not answer this node.
//
// A store that is silent for a while leaves reads unanswered for good, also
// after its return. A few nodes, the primary readers, therefore wait only
// briefly at the store, one after the other, read again as soon as an answer is
// late, and notify the other nodes of new records (docs/platform.md, calls to
// the store).
//
// Invariant: the configuration version and the applied offset never decrease
// while the process runs.
class store_config_follower {
 public:
  store_config_follower(loop* loop,
                        keyed_store* store,
                        peer_transport* transport,
                        const operator_record_reader* reader,
                        metrics* counters);
  ~store_config_follower();
  store_config_follower(const store_config_follower&) = delete;
  store_config_follower& operator=(const store_config_follower&) = delete;

  void Start();

  // Sets a callback for changes; view() returns the new view when it runs.
  void OnChange(std::function<void()> callback) {
    change_callback_ = std::move(callback);
  }

  // True once the node has a configuration.
  bool ready() const { return version_ > 0; }
  std::shared_ptr<const config_view> view() const { return view_; }
  uint64_t version() const { return version_; }
  // All operator records before this offset are applied.
  uint64_t applied_offset() const { return applied_offset_; }

  // Time since the store last answered; duration::max() before its first
  // answer.
  duration StoreAge(time_point now) const;

  // Number of primary readers in a fleet. It bounds the reads at rest.
  static constexpr size_t kPrimaryReaders = 6;

  // Sets the rank of this node among the nodes with links to each other. The
  // first kPrimaryReaders are primary readers.
  void SetReaderRank(size_t rank);

  // Sets a callback for new records that a primary reader has read.
  void OnNewRecords(std::function<void()> callback) {
    new_records_callback_ = std::move(callback);
  }

  // To be called with each offset before which a peer has applied all records.
  // If the peer stays ahead, its records are requested.
  void OnPeerOffset(const std::string& address, uint64_t offset);
  void HandleRequest(const std::string& address,
                     const fbs::config_requestT& request);
  void HandleState(const std::string& address, const fbs::config_stateT& state);

 private:
  bool IsPrimaryReader() const { return reader_rank_ < kPrimaryReaders; }
  // Returns how long the next read waits at the store for new records.
  duration NextPollWait() const;
  // Starts a read, whose result supersedes those of the reads before it.
  // Returns its number.
  uint64_t BeginRead();
  void ReadNewest();
  void ReadNext(duration poll_wait);
  void ScheduleNextRead();
  void OnLateAnswer();
  void OnRead(uint64_t read,
              const tl::expected<keyed_batch, store_error>& result,
              bool full_read);
  void AddDeletedKeys(keyed_batch* batch) const;
  void ScheduleRetry(store_error error);
  void SetStoreLost(const char* error);
  // Milliseconds since the store last answered; -1 before its first answer.
  int64_t StoreAgeMs() const;
  void Apply(const keyed_batch& batch, const char* source);
  // Returns whether the record changed the configuration.
  bool ApplyRecord(const keyed_record& record, const char* source);
  void RebuildView();

  loop* loop_;
  keyed_store* store_;
  peer_transport* transport_;
  const operator_record_reader* reader_;
  std::function<void()> change_callback_;
  // Newest record of each key.
  std::map<std::string, keyed_record> newest_records_;
  uint64_t applied_offset_ = 0;
  uint64_t version_ = 0;
  config_view operator_config_;
  std::set<std::string> zones_out_;
  std::shared_ptr<const config_view> view_ =
      std::make_shared<const config_view>();
  bool store_available_ = true;
  bool has_read_store_ = false;
  time_point last_store_answer_;
  time_point read_started_at_;
  size_t reader_rank_ = 0;
  std::function<void()> new_records_callback_;
  // Reads without new records since the last one that had some.
  int empty_reads_ = 0;
  // Number of the read whose end starts the next one, and the reads that have
  // not ended, including those that it superseded.
  uint64_t current_read_ = 0;
  int open_reads_ = 0;
  duration retry_delay_ = duration::zero();
  // Starts the next read; 0 while `current_read_` is in progress.
  timer_id read_timer_ = 0;
  timer_id late_timer_ = 0;
  // `current_read_` did not return records that a peer has had for a while.
  bool read_missed_records_ = false;
  timer_id peer_request_timer_ = 0;
  // The peer that reported the highest offset above `applied_offset_`, and this
  // offset; 0 when there is none.
  std::string most_advanced_peer_;
  uint64_t most_advanced_offset_ = 0;
  // Callbacks of the store hold a weak reference to this, since they may
  // outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  prometheus::Gauge& version_gauge_;
  prometheus::Counter& store_reads_;
  prometheus::Counter& store_read_failures_;
  prometheus::Counter& late_store_reads_;
  prometheus::Counter& malformed_records_;
};

}  // namespace skylarkhoist

#endif  // NODE_STORE_CONFIG_FOLLOWER_H_
