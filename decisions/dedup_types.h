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

// Types shared by claimants and replicas of the deduplication of requests
// (section 3.4 of docs/design.md). Requests of one customer with the same
// idempotency key are copies of one request, of which at most one may run. To
// run it, the node of a copy claims the key at a group of replicas.

// Hash of (customer, idempotency key). Since a collision would make two
// requests copies of each other, it is 128 bits of a cryptographic hash.
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

// An answer of any type; this layer stores and drops it without reading it.
using stored_answer = std::shared_ptr<const void>;

// How the copy that holds a key ended, as far as known.
enum class dedup_outcome : uint8_t {
  kRunning,
  // The copy did not run and will not, so the key is free again.
  kReleased,
  kAnswered,
  // The copy may have run, but its result is not known.
  kUnknown,
};

// A claim, sent to each replica of the group.
struct dedup_claim_request {
  // The claiming copy. `id.incarnation` is the incarnation of its node.
  request_id id;
  // Incremented whenever the claimant returns its grants.
  uint32_t round = 1;
  // Queries the state of the key without claiming it, and returns the grants of
  // earlier rounds.
  bool query_only = false;
  uint32_t shard = 0;
  dedup_key key;
  uint64_t roster_version = 0;
  // Creation time of a key that is a UUID of version 7; 0 for other keys.
  uint64_t created_unix_ms = 0;
};

// State of a key at one replica. The same values in the same order as on the
// wire, where kIncomplete is called kBlind.
enum class dedup_state : uint8_t {
  // The replica has recorded the claiming copy.
  kGranted,
  // Another copy holds the key and has not ended.
  kKnownRunning,
  // A copy that held the key has ended; see dedup_claim_reply::outcome.
  kKnownFinished,
  // The replica has no record of the key, but may lack records of that time.
  kIncomplete,
  // The replica uses another roster version, is not ready or has no space. The
  // claimant must retry.
  kStaleRoster,
  // Reply to a query: no copy holds the key.
  kFree,
};

// Reply of one replica to a claim.
struct dedup_claim_reply {
  request_id id;
  uint32_t round = 0;
  dedup_state state = dedup_state::kStaleRoster;
  uint64_t roster_version = 0;
  // The copy that holds the key, when the state is kKnown*.
  request_id holder_id;
  dedup_outcome outcome = dedup_outcome::kRunning;
  stored_answer answer;
  size_t answer_bytes = 0;
};

// The end of a copy, reported to the replicas.
struct dedup_result {
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

// The replicas of one shard under one roster version, sorted by incarnation.
using dedup_group = std::vector<dedup_member>;

// Number of group members that must grant a claim. Any two majorities of a
// group have a member in common.
inline size_t MajorityOf(size_t group_size) {
  return group_size / 2 + 1;
}

// The replicas of `shard`, sorted by incarnation.
dedup_group DedupGroupOf(const roster_view& roster, uint32_t shard);

// Returns the creation time of a UUID of version 7 in its usual text form (RFC
// 9562), or 0 for any other text.
uint64_t UuidV7UnixMs(const std::string& text);

}  // namespace skylarkhoist

#endif  // DECISIONS_DEDUP_TYPES_H_
