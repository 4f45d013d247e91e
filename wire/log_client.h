#ifndef WIRE_LOG_CLIENT_H_
#define WIRE_LOG_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "kernel/time.h"

namespace skylarkhoist {

struct log_entry {
  uint64_t offset = 0;
  std::string data;
};

struct log_batch {
  // In offset order, without gaps; empty if the read began at the end of the
  // log.
  std::vector<log_entry> entries;
  // Offset of the next append, as reported by the log service.
  uint64_t end_offset = 0;
};

enum class log_error_kind {
  // The request did not reach the log service.
  kUnreachable,
  // No valid response; an append may have taken effect.
  kTimeout,
  // The requested offset is below that of the oldest retained record.
  kTrimmed,
  // The log service refused the request, for example because of its rate
  // limit.
  kRefused,
};

struct log_error {
  log_error_kind kind = log_error_kind::kUnreachable;
  // With kTrimmed: offset of the oldest retained record.
  uint64_t first_offset = 0;
};

// Client of the platform's append-only log. Offsets start at 1 and increase by
// 1. Each callback runs exactly once, on the loop, never before the function
// returns.
class log_client {
 public:
  using append_callback =
      std::function<void(const tl::expected<uint64_t, log_error>&)>;
  using read_callback =
      std::function<void(const tl::expected<log_batch, log_error>&)>;

  virtual ~log_client() = default;
  virtual void Append(const std::string& data, append_callback done) = 0;

  // Reads up to `max_entries` entries, starting at `from_offset`.
  virtual void Read(uint64_t from_offset,
                    int max_entries,
                    read_callback done) = 0;
};

}  // namespace skylarkhoist

#endif  // WIRE_LOG_CLIENT_H_
