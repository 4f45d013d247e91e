#ifndef NODE_STORE_CONFIG_FOLLOWER_H_
#define NODE_STORE_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decisions/config_view.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "node/operator_records.h"
#include "node/store_era.h"
#include "node/store_records.h"
#include "wire/keyed_store.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// The place of one reader among all readers of the fleet.
struct reader_turn {
  size_t position = 0;
  size_t count = 1;
};

// Keeps a hosted node's configuration up to date from the operator records in
// the store. A few nodes of each zone, its readers, wait at the store for new
// records and notify the other nodes, which request the records from a peer
// that is ahead, if possible one of their own zone.
//
// A store that is silent for a while leaves reads unanswered for good, also
// after its return. Readers therefore wait only briefly, one after the other,
// and read again as soon as an answer is late (docs/platform.md, calls to the
// store).
//
// When the store was restored from an older copy, its era increases and its
// offsets start again. The follower then reads the newest records again. It
// keeps the version in force, and each record that the copy lacks until the
// record may have been written again (docs/design/store-era.md).
//
// Invariant: the configuration version never decreases while the process runs,
// nor does the applied offset within an era of the store.
class store_config_follower {
 public:
  store_config_follower(loop* loop,
                        store_era* store,
                        peer_transport* transport,
                        std::string own_zone,
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
  // All operator records before this offset are applied, in the present era of
  // the store.
  uint64_t applied_offset() const { return applied_offset_; }

  // Time since the store last answered; duration::max() before its first
  // answer.
  duration StoreAge(time_point now) const;

  // True while the store does not answer this node, as far as it has tried.
  bool store_lost() const;

  // Sets the place of this node among the readers; nothing if it is none.
  void SetReader(const std::optional<reader_turn>& turn);

  // Sets a callback for orders of rollouts. An order that is deleted stays in
  // force until another one replaces it.
  void OnRollout(std::function<void(const rollout_record&)> callback) {
    rollout_callback_ = std::move(callback);
  }

  // Sets a callback for new records that other nodes may lack: read from the
  // store by a reader, or received from another zone.
  void OnNewRecords(std::function<void()> callback) {
    new_records_callback_ = std::move(callback);
  }

  // Sets a callback for the store being lost, or answering again.
  void OnStoreChange(std::function<void(bool lost)> callback) {
    store_change_callback_ = std::move(callback);
  }

  // To be called with each offset of the present era before which a peer has
  // applied all records.
  // If the peer stays ahead, its records are requested.
  void OnPeerOffset(const peer_info& from, uint64_t offset);
  void HandleRequest(const std::string& address,
                     const fbs::config_requestT& request);
  void HandleState(const peer_info& from, const fbs::config_stateT& state);

  // To be called when the era of the store has changed.
  void OnEraChange();
  // Sends to a peer the records in force that the restored store may lack. A
  // peer that has just started cannot read them there.
  void SendUnconfirmedRecords(const std::string& address);

 private:
  // A peer that has records which this node lacks.
  struct peer_offer {
    std::string address;
    bool own_zone = false;
    uint64_t offset = 0;
  };

  bool IsReader() const { return turn_.has_value(); }
  // Starts a read if this node is to read and none is in progress.
  void Read();
  void ReadAfter(duration poll_wait);
  // Returns how long the next read waits at the store for new records.
  duration NextPollWait() const;
  // Starts a read, whose result supersedes those of the reads before it.
  // Returns its number.
  uint64_t BeginRead(duration poll_wait);
  void ReadNewest();
  void ReadNext(duration poll_wait);
  void ScheduleNextRead();
  void OnLateAnswer();
  void OnRead(uint64_t read,
              const tl::expected<keyed_batch, store_failure>& result,
              bool full_read);
  void ScheduleRetry(store_error error);
  void SetStoreLost(const char* error);
  void SetStoreAnswered();
  // How long this node waits for other ways to get records that a peer has.
  duration RequestDelay(bool own_zone) const;
  void RequestRecords();
  // Milliseconds since the store last answered; -1 before its first answer.
  int64_t StoreAgeMs() const;
  // Applies the records of the present era before `batch.end_offset`, after
  // which all of them are known.
  // `full_read`: the batch has only the newest record of each key.
  void Apply(const keyed_batch& batch, const char* source, bool full_read);
  // These return whether the record changed the configuration.
  bool ApplyRecord(const era_record& record, const char* source);
  bool TakeEffect(const era_record& record, const char* source);
  // Applies records that the restored store may lack, from a peer.
  void ApplyUnconfirmed(const std::vector<era_record>& records);
  // Keeps unconfirmed records for as long as they may be written again.
  void StartGrace();
  void DeleteUnconfirmedRecords();
  // Records of earlier eras that are in force, including the configuration if
  // the store has only older versions.
  std::vector<era_record> UnconfirmedRecords() const;
  void RebuildView();

  loop* loop_;
  store_era* store_;
  peer_transport* transport_;
  std::string own_zone_;
  const operator_record_reader* reader_;
  std::function<void()> change_callback_;
  store_records records_;
  uint64_t applied_offset_ = 0;
  // All records of the present era before `applied_offset_` are applied.
  bool is_complete_ = false;
  // Ends the period in which unconfirmed records may be written again.
  timer_id grace_timer_ = 0;
  bool grace_is_over_ = false;
  uint64_t version_ = 0;
  // The record of `version_`, with the latest era in which it was seen.
  era_record config_record_;
  config_view operator_config_;
  std::set<std::string> zones_out_;
  // See config_view.
  std::map<std::string, uint64_t> zone_returns_;
  std::shared_ptr<const config_view> view_ =
      std::make_shared<const config_view>();
  bool store_available_ = true;
  bool has_read_store_ = false;
  time_point last_store_answer_;
  time_point store_lost_at_;
  time_point read_started_at_;
  std::optional<reader_turn> turn_;
  std::function<void(const rollout_record&)> rollout_callback_;
  std::function<void()> new_records_callback_;
  std::function<void(bool lost)> store_change_callback_;
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
  timer_id request_timer_ = 0;
  time_point request_at_;
  // The best offer of records above `applied_offset_`.
  std::optional<peer_offer> offer_;
  // The last state that was sent to a peer, for others that lack the same
  // records.
  uint64_t encoded_era_ = 0;
  uint64_t encoded_from_ = 0;
  uint64_t encoded_offset_ = 0;
  std::string encoded_records_;
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
