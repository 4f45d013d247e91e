#ifndef KERNEL_CONNECTION_BUDGET_H_
#define KERNEL_CONNECTION_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

#include "kernel/time.h"

namespace skylarkhoist {

struct connection_budget_settings {
  // Limit on the memory that all connections of a server occupy together with
  // requests that are being received or are in progress.
  size_t max_bytes = std::numeric_limits<size_t>::max() / 2;
  size_t max_connections = std::numeric_limits<size_t>::max();
  // A head has to be complete this long after its first byte.
  duration head_timeout = std::chrono::seconds(15);
  // A body has to end, or to grow by kMinBodyProgress, within each period of
  // this length.
  duration body_timeout = std::chrono::seconds(15);
};

enum class closure_cause {
  kMemory,
  kConnections,
  kHeadTimeout,
  kBodyTimeout,
  kCount
};

// Decides which connections of a server to close when their memory or their
// number exceeds a limit, or when they make no progress. Contains no I/O.
//
// A connection with a request in progress is never closed, since the request
// may have run. Of the others, those that hold the most memory for the longest
// time without a complete request are closed first.
//
// An eighth of the memory is kept for small requests, and another one for
// requests that are being received, so that ordinary callers are served beside
// large requests. Requests together may exceed the limit by these parts, or by
// one request that alone exceeds it.
class connection_budget {
 public:
  using connection_id = uint64_t;
  struct closure {
    connection_id id = 0;
    closure_cause cause = closure_cause::kMemory;
  };

  static constexpr size_t kMinBodyProgress = 4096;
  // A request that occupies at most this memory is a small one.
  static constexpr size_t kMaxSmallRequest = size_t{256} << 10U;

  explicit connection_budget(connection_budget_settings settings)
      : settings_(settings) {}

  void Add(connection_id id, time_point now);
  void Remove(connection_id id);

  // Records `bytes` that were received for the next request, which occupies
  // `memory` by now.
  void OnReceived(connection_id id,
                  size_t bytes,
                  size_t memory,
                  time_point now);
  // The end of the head was received.
  void OnHeadComplete(connection_id id, time_point now);

  // Returns whether a request that was received completely may start. It then
  // occupies `memory` until OnRequestEnded, in place of what was recorded while
  // it was received. A request always starts when no other is in progress, so
  // that the largest legal one is served in calm.
  bool TryStart(connection_id id, size_t memory);
  // Ends the request, whether it was started or refused.
  void OnRequestEnded(connection_id id, time_point now);

  // Whether a limit on memory or connections is exceeded by connections that
  // may be closed.
  bool IsExceeded() const;

  // Returns the connections to close now; the caller has to close and remove
  // all of them.
  std::vector<closure> TakeClosures(time_point now);

  // Largest number of bytes to read from a connection at a time, so that one
  // pass over all connections cannot exceed the limit by far. Short header
  // fields occupy many times their bytes, so it is lower for a head.
  size_t ReadLimit(bool reading_head) const;

  size_t held_bytes() const { return receiving_bytes_ + started_bytes_; }
  size_t connections() const { return connections_.size(); }

 private:
  enum class stage { kIdle, kHead, kBody, kStarted };
  struct connection {
    stage current = stage::kIdle;
    size_t memory = 0;
    // End of the last request, or when the connection was opened.
    time_point last_complete_at;
    // First byte of the request that is being received.
    time_point request_began_at;
    // First byte of the head, or start of the present period of the body.
    time_point period_began_at;
    size_t bytes_in_period = 0;
  };

  // Removes what the connection occupies from the sums.
  void Release(const connection& ended);
  size_t MaxReceivingBytes() const;
  // Returns the connection that goes first when memory or connections are
  // short, or 0.
  connection_id ChooseVictim(closure_cause cause, time_point now) const;

  connection_budget_settings settings_;
  std::unordered_map<connection_id, connection> connections_;
  size_t receiving_bytes_ = 0;
  size_t started_bytes_ = 0;
  // Part of `started_bytes_` that small requests occupy.
  size_t small_started_bytes_ = 0;
  size_t started_requests_ = 0;
};

}  // namespace skylarkhoist

#endif  // KERNEL_CONNECTION_BUDGET_H_
