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

// What the store keeps for the fleet: one newest record for each key.
enum class store_topic {
  // Written by operators only.
  kOperators,
  // Where the nodes are; each node writes its own record.
  kNodes,
};

struct keyed_record {
  std::string key;
  // Nothing: the key was dropped.
  std::optional<std::string> value;
  // Rises with each record of the topic.
  uint64_t offset = 0;
};

struct keyed_batch {
  std::vector<keyed_record> records;
  // Offset from which to read on.
  uint64_t end = 0;
};

enum class store_error {
  // Nothing was done.
  kRefused,
  // No whole answer; a write may take effect now or later.
  kUnknown,
  // The records asked for are gone; ReadNewest has what is left of them.
  kTrimmed,
};

// A store outside of the fleet that outlives its processes. Callbacks run
// exactly once, never before the function returns.
class keyed_store {
 public:
  using read_callback =
      std::function<void(const tl::expected<keyed_batch, store_error>&)>;
  using write_callback =
      std::function<void(const tl::expected<void, store_error>&)>;

  virtual ~keyed_store() = default;

  // Reads the newest record of each key.
  virtual void ReadNewest(store_topic topic, read_callback done) = 0;

  // Reads the records from offset `from` on; waits up to `wait` for the first.
  virtual void ReadFrom(store_topic topic,
                        uint64_t from,
                        duration wait,
                        read_callback done) = 0;

  // Writes the newest record of `key`, or drops the key.
  virtual void Put(store_topic topic,
                   const std::string& key,
                   const std::optional<std::string>& value,
                   write_callback done) = 0;
};

}  // namespace skylarkhoist

#endif  // WIRE_KEYED_STORE_H_
