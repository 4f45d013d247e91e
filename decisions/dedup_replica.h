#ifndef DECISIONS_DEDUP_REPLICA_H_
#define DECISIONS_DEDUP_REPLICA_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "decisions/dedup_types.h"
#include "decisions/roster.h"
#include "kernel/time.h"
#include "kernel/wall_clock.h"

namespace skylarkhoist {

struct dedup_replica_options {
  uint32_t shards = 512;
  duration record_lifetime = std::chrono::hours(1);
  // Bound on the total size of the stored answers; the oldest are dropped
  // first.
  size_t max_answer_bytes = size_t{4} << 20;
  // At this number of records, new claims are refused; records are never
  // dropped before they expire.
  size_t max_records = 200000;
  // An incomplete replica only grants keys that were created at least this long
  // after it began to serve, which allows for the difference of two clocks.
  duration max_clock_skew = std::chrono::seconds(5);
  // After this time no node admits requests with a key, or sends them to a
  // target, under an older roster version, since its configuration is stale
  // after 10 s without an update.
  duration fence_period = std::chrono::seconds(15);
  // First interval between sync requests to a node that does not reply. It
  // doubles up to 5 times this, or 25 times this once the shard is served.
  duration min_sync_interval = std::chrono::milliseconds(200);
  // Bound on the earlier groups that are stored for each shard. The loss of a
  // zone changes a group only a few times, however many roster versions it
  // takes.
  size_t max_groups_per_shard = 16;
  // Set only for a fleet that has never served before: its first node, while it
  // is the only one in the roster, treats every key as new.
  bool new_fleet = false;
};

// What a replica has recorded for one key.
struct dedup_record {
  request_id id;
  uint32_t round = 0;
  dedup_outcome outcome = dedup_outcome::kRunning;
  time_point recorded_at;
  stored_answer answer;
  size_t answer_bytes = 0;
};

// The records of one shard at a replica and the earlier groups that it knows
// of. Sent to a new member of the group that requests it, and by a node that
// stops to the members of the next group.
struct dedup_sync_state {
  uint32_t shard = 0;
  uint64_t roster_version = 0;
  // The sender has all records that were granted under roster versions up to
  // this one; 0 if there is none. Called sighted_through on the wire.
  uint64_t complete_through = 0;
  // By the last roster version that had the group.
  std::map<uint64_t, dedup_group> earlier_groups;
  std::vector<std::pair<dedup_key, dedup_record>> records;
};

struct dedup_sync_request {
  dedup_member to;
  uint32_t shard = 0;
};

// The records that one node stores as a member of replica groups.
//
//   replica.SetRoster(roster, now);
//   auto reply = replica.OnClaim(request, now);
//   replica.OnResult(result, now);
//   for (auto& request : replica.OnTick(now, wall)) { send to request.to }
//   auto state = replica.OnSyncRequest(shard, version, now);  // receiver
//   replica.OnSyncState(from, state, now);                    // requester
//
// Invariants, for one key:
// - A claim is granted when a majority of the group of one roster version has
//   recorded it. A replica records one copy only, and only for its own version.
// - A replica serves a version only after a majority of each earlier group that
//   may have granted claims has reached that version and sent its records. The
//   replica is then *complete*. Failing that, it serves after `fence_period`
//   and is *incomplete* (blind, in the wire schema): it grants only keys that
//   were created after it began to serve.
// - Earlier groups are found without gaps: a group can begin to serve only
//   after a majority of the group before it has learned of it, so any majority
//   of a group reports the next group that served. A member that stays in a
//   changed group syncs as well, since it may have missed a version in between.
class dedup_replica {
 public:
  dedup_replica(uint64_t self, const dedup_replica_options& options)
      : self_(self), options_(options) {}

  // Ignores versions that are not newer.
  void SetRoster(const roster_view& roster, time_point now);

  // Returns nullopt for an outdated message, which gets no reply.
  std::optional<dedup_claim_reply> OnClaim(const dedup_claim_request& request,
                                           time_point now);

  // Records the end of a copy, even if its claim has not arrived here. Returns
  // false when another copy has already ended with an answer, which means that
  // the request ran twice.
  bool OnResult(const dedup_result& result, time_point now);

  // The process of this incarnation has ended; a silent process does not count.
  // The outcome of its copies that have not ended becomes unknown.
  void OnNodeGone(uint64_t incarnation);

  // Returns the sync requests that are due. They are repeated until the node
  // has replied.
  std::vector<dedup_sync_request> OnTick(time_point now, wall_time wall);

  // Repeats sync requests at the next tick. To be called when a peer has
  // reached the current roster version, since peers ignore requests of other
  // versions.
  void RetrySync(time_point now);

  // Returns nullopt unless `version` is the current roster version here: the
  // reply confirms that this node refuses claims of older versions.
  std::optional<dedup_sync_state> OnSyncRequest(uint32_t shard,
                                                uint64_t version,
                                                time_point now) const;

  // Takes the reply to a sync request.
  void OnSyncState(uint64_t from,
                   const dedup_sync_state& state,
                   time_point now);

  // Takes the state of a node that stops.
  void OnHandOver(uint64_t from, const dedup_sync_state& state, time_point now);

  // Stops granting claims. Returns, for each shard, its state and the members
  // of its group without this node, to which the state is to be sent.
  std::vector<std::pair<dedup_member, dedup_sync_state>> HandOver(
      time_point now);

  uint64_t roster_version() const { return roster_.version; }
  // The group of `shard` under the current roster version.
  dedup_group CurrentGroup(uint32_t shard) const;

  // Whether this node grants claims of `shard`.
  bool IsServing(uint32_t shard) const;
  // Whether this node may lack records of `shard`.
  bool IsIncomplete(uint32_t shard) const;

  size_t records() const { return record_count_; }
  size_t answer_bytes() const { return answer_bytes_; }

 private:
  struct shard_state {
    std::unordered_map<dedup_key, dedup_record, dedup_key_hash> records;
    bool is_member = false;
    bool serving = false;
    // Whether this node has all records of earlier groups, so that it can say
    // that a key is new.
    bool complete = false;
    // Last roster version that was served while complete. Only valid while not
    // both serving and complete; see CompleteThrough.
    uint64_t complete_through = 0;
    // When this node began to serve while incomplete.
    time_point incomplete_since;
    wall_time incomplete_since_wall;
    // Whether records are being requested from earlier groups.
    bool syncing = false;
    time_point sync_started;
    time_point next_sync;
    duration sync_interval;
    // Groups of earlier versions that may have granted claims.
    std::map<uint64_t, dedup_group> earlier_groups;
    // complete_through of the nodes that have confirmed the current version.
    std::map<uint64_t, uint64_t> confirmed;
    // complete_through of nodes that stopped; valid for all later versions.
    std::map<uint64_t, uint64_t> handed_over;
  };

  uint64_t CompleteThrough(const shard_state& state) const;
  void StartSync(uint32_t shard, shard_state& state, time_point now);
  void AddEarlierGroups(shard_state& state,
                        const std::map<uint64_t, dedup_group>& groups) const;
  void TryStartServing(uint32_t shard, shard_state& state);
  // The earlier groups of `shard` in the rosters that this node has seen.
  std::map<uint64_t, dedup_group> EarlierGroups(uint32_t shard) const;
  dedup_sync_state MakeSyncState(uint32_t shard, time_point now) const;

  dedup_record* FindRecord(uint32_t shard,
                           const dedup_key& key,
                           time_point now);
  void PutRecord(uint32_t shard,
                 const dedup_key& key,
                 dedup_record record,
                 time_point now);
  void MergeRecord(uint32_t shard,
                   const dedup_key& key,
                   const dedup_record& record,
                   time_point now);
  void ExpireRecords(time_point now);
  // The outcome of `record`, or kUnknown if the process of a running copy
  // ended.
  dedup_outcome EffectiveOutcome(const dedup_record& record) const;

  uint64_t self_;
  dedup_replica_options options_;
  bool draining_ = false;
  // Current roster; version 0 before the first one.
  roster_view roster_;
  // Groups of each shard by the last roster version that had them; the last one
  // is the current group. Empty before the first roster.
  std::vector<std::map<uint64_t, dedup_group>> groups_by_version_;
  std::unordered_map<uint32_t, shard_state> shards_;
  std::set<uint32_t> syncing_shards_;
  std::set<uint32_t> incomplete_shards_;
  size_t record_count_ = 0;
  // Keys of records with the time at which they were added, oldest first.
  std::deque<std::pair<time_point, std::pair<uint32_t, dedup_key>>>
      expiry_order_;
  // Keys of records with an answer, oldest first.
  std::deque<std::pair<uint32_t, dedup_key>> answer_order_;
  size_t answer_bytes_ = 0;
  // Incarnations of ended processes, and the order in which they were added.
  std::unordered_set<uint64_t> gone_nodes_;
  std::deque<uint64_t> gone_order_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_DEDUP_REPLICA_H_
