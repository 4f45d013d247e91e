#ifndef NODE_STORE_ERA_H_
#define NODE_STORE_ERA_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/metrics.h"
#include "wire/keyed_store.h"

namespace skylarkhoist {

// Passes the calls of one node on to the store, and keeps the era in force: the
// highest one that a response of the store or a peer has named. A restored
// store may lack the last writes, and offsets of another era have no meaning in
// it, so
// - a response from an earlier era fails with store_error::kUnknown,
// - a read from an offset that is answered in a later era than the one in which
//   it began fails with store_error::kTrimmed.
// Callers that handle these errors need no other rule for their calls.
//
//   store_era store(parts.store, counters);
//   store.OnChange([&] { write again what the copy may lack });
//   if (store.ObservePeer(era, offset)) compare the offset of the peer
//
// Invariant: the era in force never decreases.
class store_era : public keyed_store {
 public:
  // `store` is not owned.
  store_era(keyed_store* store, metrics* counters);
  store_era(const store_era&) = delete;
  store_era& operator=(const store_era&) = delete;

  // The era in force; 0 before the first response.
  uint64_t current() const { return era_.value_or(0); }

  // Adds a callback for a change to a later era, which runs before the result
  // that has shown the change is passed on. The first era that is seen is no
  // change. Callbacks may call this object.
  void OnChange(std::function<void()> callback) {
    change_callbacks_.push_back(std::move(callback));
  }

  // To be called with the era and the offset that a message of a peer names.
  // Returns whether the era is the one in force, so that the offset is
  // comparable with those of this node.
  bool ObservePeer(uint64_t era, uint64_t offset);

  void ReadNewest(store_topic topic, read_callback done) override;
  void ReadFrom(store_topic topic,
                uint64_t from_offset,
                duration wait,
                read_callback done) override;
  void Put(store_topic topic,
           const std::string& key,
           const std::optional<std::string>& value,
           write_callback done) override;

 private:
  // Returns whether `era` is the one in force, after a change to it if it is
  // later.
  bool Observe(uint64_t era, const char* source);

  keyed_store* store_;
  std::optional<uint64_t> era_;
  std::vector<std::function<void()>> change_callbacks_;
  // Callbacks of the store hold a weak reference to this, since they may
  // outlive this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  prometheus::Gauge& era_gauge_;
  prometheus::Counter& restores_;
  prometheus::Counter& outdated_answers_;
};

}  // namespace skylarkhoist

#endif  // NODE_STORE_ERA_H_
