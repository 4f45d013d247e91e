#ifndef WIRE_KEYED_STORE_H_
#define WIRE_KEYED_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "kernel/time.h"

namespace skylarkhoist {

// A topic keeps the newest record of each key.
enum class store_topic {
  // Records that only operators write.
  kOperators,
  // Node addresses; each node writes its own record.
  kNodes,
  // States of rollouts; the rollout's coordinator writes them.
  kStatus,
};

struct keyed_record {
  std::string key;
  // Unset if the key was deleted.
  std::optional<std::string> value;
  // Position in the topic; each new record gets a higher offset within an era.
  uint64_t offset = 0;
};

struct keyed_batch {
  std::vector<keyed_record> records;
  // Offset at which to continue reading.
  uint64_t end_offset = 0;
  // Era of the store that answered.
  uint64_t era = 0;
};

struct written_record {
  // Era of the store that answered.
  uint64_t era = 0;
};

enum class store_error {
  // The store refused the request; it had no effect.
  kRefused,
  // No complete response; a write may have taken effect or may still do so.
  kUnknown,
  // The store does not have the offset asked for, because it has trimmed the
  // records or was restored from an older copy; ReadNewest returns those that
  // are still the newest of their key.
  kTrimmed,
};

struct store_failure {
  store_error error = store_error::kUnknown;
  // Era of the store that answered; unset if there was no response.
  std::optional<uint64_t> era;
};

// A key-value store outside the cluster, whose records outlive the cluster's
// processes. It may be restored from a copy that lacks the last writes. Each
// restore increases its era by one, and offsets have a meaning within one era
// only. A store without eras has era 0. Each callback runs exactly once, never
// before the function returns.
class keyed_store {
 public:
  using read_callback =
      std::function<void(const tl::expected<keyed_batch, store_failure>&)>;
  using write_callback =
      std::function<void(const tl::expected<written_record, store_failure>&)>;

  virtual ~keyed_store() = default;

  // Reads the newest record of each key.
  virtual void ReadNewest(store_topic topic, read_callback done) = 0;

  // Reads the records from `from_offset` on. If there are none yet, waits up to
  // `wait` for the first.
  virtual void ReadFrom(store_topic topic,
                        uint64_t from_offset,
                        duration wait,
                        read_callback done) = 0;

  // Writes a new record for `key`; without a value, deletes the key.
  virtual void Put(store_topic topic,
                   const std::string& key,
                   const std::optional<std::string>& value,
                   write_callback done) = 0;
};

}  // namespace skylarkhoist

#endif  // WIRE_KEYED_STORE_H_
