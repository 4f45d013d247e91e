#ifndef NODE_DEPARTURE_LOG_H_
#define NODE_DEPARTURE_LOG_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decisions/departure_memory.h"
#include "kernel/loop.h"
#include "wire/keyed_store.h"

namespace skylarkhoist {

// Keeps in the store which targets beside this node leave, since the node
// confirms a departure to the target and may restart before the target has
// ended.
//
//   departures = log.Load(records);   // at the start
//   log.Store(departures);
//   log.WhenStored([](bool stored) { confirm if `stored` });
class departure_log {
 public:
  departure_log(loop* run_loop, keyed_store* store, const std::string& node);
  ~departure_log();
  departure_log(const departure_log&) = delete;
  departure_log& operator=(const departure_log&) = delete;

  // Replaces what the store keeps, once Load has been called; repeats the write
  // until it succeeds.
  void Store(const std::vector<target_departure>& departures);

  // Calls `done` with true once the store keeps what was last passed to Store,
  // or with false if that takes too long for a target that waits.
  void WhenStored(std::function<void(bool stored)> done);

  // To be called when the store was restored from an older copy, which may lack
  // what this object has stored. Writes it again.
  void OnEraChange();

  // Returns what an earlier run of this process has stored, or nothing if
  // `records`, the newest records of all nodes, don't have it. What it returns
  // has to be part of all later calls of Store.
  std::vector<target_departure> Load(const std::vector<keyed_record>& records);

  // Whether the store does not keep yet what was last passed to Store.
  bool is_behind() const { return stored_version_ < version_; }

 private:
  struct waiter {
    uint64_t version = 0;
    std::function<void(bool)> done;
    timer_id timer = 0;
  };

  void Write();
  void OnWritten(uint64_t version, bool stored);

  loop* loop_;
  keyed_store* store_;
  std::string key_;
  std::string value_;
  // Number of the last call of Store, and of the last one that is stored.
  uint64_t version_ = 0;
  uint64_t stored_version_ = 0;
  bool loaded_ = false;
  bool write_pending_ = false;
  timer_id retry_timer_ = 0;
  uint64_t next_waiter_ = 0;
  std::map<uint64_t, waiter> waiters_;
  // Callbacks of the store hold a weak reference to this, since they may
  // outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // NODE_DEPARTURE_LOG_H_
