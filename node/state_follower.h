#ifndef NODE_STATE_FOLLOWER_H_
#define NODE_STATE_FOLLOWER_H_

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

// Keeps the configuration of a node that hangs on a store: reads the newest
// records of operators, waits for more, and takes them from peers when the
// store does not answer this node.
//
// Invariant: in one run of the process, neither the version of the
// configuration nor the offset up to which records are applied ever falls.
class state_follower {
 public:
  state_follower(loop* loop,
                 keyed_store* store,
                 peer_transport* transport,
                 const operator_record_reader* reader,
                 metrics* counters);
  ~state_follower();
  state_follower(const state_follower&) = delete;
  state_follower& operator=(const state_follower&) = delete;

  void Start();

  // Called after each change, with view() already new.
  void OnChange(std::function<void()> callback) {
    changed_ = std::move(callback);
  }

  // A configuration was seen.
  bool ready() const { return version_ > 0; }
  std::shared_ptr<const config_view> view() const { return view_; }
  uint64_t version() const { return version_; }
  uint64_t applied_offset() const { return applied_; }

  // Time since the store last answered; duration::max() before its first
  // answer.
  duration StoreAge(time_point now) const;

  // A scout reads again soon after each change and tells the others of it; see
  // OnNews. Only some nodes need to, since each read has a price.
  void SetScout(bool is_scout) { is_scout_ = is_scout; }

  // Called when a scout has read new records.
  void OnNews(std::function<void()> callback) { news_ = std::move(callback); }

  // A peer has applied the records before `offset`.
  void NotePeerOffset(const std::string& address, uint64_t offset);
  void HandleRequest(const std::string& address,
                     const fbs::config_requestT& request);
  void HandleState(const std::string& address, const fbs::config_stateT& state);

 private:
  void ReadNewest();
  void ReadOn();
  void OnRead(const tl::expected<keyed_batch, store_error>& result,
              bool newest);
  void AddDropped(keyed_batch* batch) const;
  void RetryLater(store_error error);
  void Apply(const keyed_batch& batch, const char* source);
  // Returns whether the record changed anything.
  bool ApplyRecord(const keyed_record& record, const char* source);
  void Rebuild();

  loop* loop_;
  keyed_store* store_;
  peer_transport* transport_;
  const operator_record_reader* reader_;
  std::function<void()> changed_;
  // Newest record of each key.
  std::map<std::string, keyed_record> records_;
  uint64_t applied_ = 0;
  uint64_t version_ = 0;
  config_view base_;
  std::set<std::string> zones_out_;
  std::shared_ptr<const config_view> view_ =
      std::make_shared<const config_view>();
  bool store_answers_ = true;
  bool store_answered_ = false;
  time_point store_answered_at_;
  bool is_scout_ = true;
  std::function<void()> news_;
  duration read_wait_ = std::chrono::milliseconds(400);
  duration retry_delay_ = duration::zero();
  timer_id retry_timer_ = 0;
  timer_id peer_timer_ = 0;
  std::string ahead_peer_;
  uint64_t ahead_offset_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  prometheus::Gauge& version_gauge_;
  prometheus::Counter& store_reads_;
  prometheus::Counter& store_failures_;
  prometheus::Counter& bad_records_;
};

}  // namespace skylarkhoist

#endif  // NODE_STATE_FOLLOWER_H_
