#ifndef DECISIONS_DEDUP_TYPES_H_
#define DECISIONS_DEDUP_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "decisions/request_types.h"
#include "decisions/roster.h"

namespace skylarkhoist {

// Types shared by the two sides of a dedup claim (section 3.4 of
// docs/design.md).

// Hash of (customer, idempotency key). Collisions would merge two requests, so
// it is 128 bits of a cryptographic hash.
struct dedup_key {
  uint64_t high = 0;
  uint64_t low = 0;

  bool operator==(const dedup_key& other) const {
    return high == other.high && low == other.low;
  }
};

struct dedup_key_hash {
  size_t operator()(const dedup_key& key) const { return key.low; }
};

// An answer of any type; this layer only keeps and drops it.
using stored_answer = std::shared_ptr<const void>;

enum class dedup_outcome : uint8_t {
  kRunning,
  // The first copy did not run and will not: the key is free.
  kReleased,
  kAnswered,
  // The first copy may have run, and nobody knows how it ended.
  kUnknown,
};

// A claim message.
struct dedup_request {
  // The copy that claims. `id.incarnation` is the claiming node.
  request_id id;
  // Raised whenever the claimant gives its grants back.
  uint32_t round = 1;
  // Asks without recording, and gives back the grants of earlier rounds.
  bool query_only = false;
  uint32_t shard = 0;
  dedup_key key;
  uint64_t roster_version = 0;
  // From a UUID version 7 key; 0 when the key has no time.
  uint64_t created_unix_ms = 0;
};

enum class dedup_state : uint8_t {
  // Recorded for this copy.
  kGranted,
  kKnownRunning,
  kKnownFinished,
  // Not known here, but the replica lost its memory after the key was made.
  kBlind,
  // Another roster version is in force, or the replica is not ready: ask again.
  kStaleRoster,
  // Answer to a query: nobody holds the key.
  kFree,
};

// Answer to a claim message.
struct dedup_reply {
  request_id id;
  uint32_t round = 0;
  dedup_state state = dedup_state::kStaleRoster;
  uint64_t roster_version = 0;
  // Of the copy that holds the key.
  request_id first_id;
  dedup_outcome outcome = dedup_outcome::kRunning;
  stored_answer answer;
  size_t answer_bytes = 0;
};

// Report of a copy's end to the replicas.
struct dedup_end {
  request_id id;
  uint32_t round = 0;
  uint32_t shard = 0;
  dedup_key key;
  dedup_outcome outcome = dedup_outcome::kUnknown;
  stored_answer answer;
  size_t answer_bytes = 0;
};

struct dedup_member {
  uint64_t incarnation = 0;
  std::string address;

  bool operator==(const dedup_member& other) const {
    return incarnation == other.incarnation;
  }
};

// The replicas of one shard under one roster version, by incarnation.
using dedup_group = std::vector<dedup_member>;

// Members of `group` that must grant a claim. Any two majorities share one.
inline size_t MajorityOf(size_t group_size) {
  return group_size / 2 + 1;
}

// The replicas of `shard`, in order of incarnation.
dedup_group DedupGroupOf(const roster_view& roster, uint32_t shard);

// Creation time of a UUID version 7 in its usual text form (RFC 9562), or 0 for
// any other text.
uint64_t UuidV7UnixMs(const std::string& text);

}  // namespace skylarkhoist

#endif  // DECISIONS_DEDUP_TYPES_H_
