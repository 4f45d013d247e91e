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
  duration record_life = std::chrono::hours(1);
  size_t answer_bytes = size_t{4} << 20;
  // At this bound new claims are refused; records are never dropped early.
  size_t max_records = 200000;
  duration clock_skew = std::chrono::seconds(5);
  // After this time no node admits or hands over keyed work under an older
  // roster version: its configuration is stale after 10 s without news.
  duration fence = std::chrono::seconds(15);
  // First interval between questions to a node that does not answer. It doubles
  // up to five times this, or 25 times once the shard is served.
  duration sync_interval = std::chrono::milliseconds(200);
  // Different groups remembered for each shard. The loss of a zone changes a
  // group a few times, however many roster versions it takes.
  size_t history = 16;
  // Set only for a fleet that has never served before: its first node, alone in
  // the roster, takes every key as fresh.
  bool new_fleet = false;
};

struct dedup_record {
  request_id id;
  uint32_t round = 0;
  dedup_outcome outcome = dedup_outcome::kRunning;
  time_point since;
  stored_answer answer;
  size_t answer_bytes = 0;
};

// A replica's records and what it knows of earlier groups, for a member that is
// new in the group. Also sent by a node that stops, to the next group.
struct dedup_sync_state {
  uint32_t shard = 0;
  uint64_t roster_version = 0;
  // All records granted under versions up to this one are held here.
  uint64_t sighted_through = 0;
  std::map<uint64_t, dedup_group> groups;
  std::vector<std::pair<dedup_key, dedup_record>> records;
};

struct dedup_sync_request {
  dedup_member to;
  uint32_t shard = 0;
};

// The records that one node keeps as a member of replica groups.
//
//   replica.SetRoster(roster, now);
//   auto reply = replica.OnClaim(request, now);
//   replica.OnEnd(end, now);
//   for (auto& request : replica.OnTick(now, wall)) { ask request.to }
//   auto state = replica.OnSyncRequest(shard, version);       // asked node
//   replica.OnSyncState(from, state, now);                    // asking node
//
// Invariants, for one key:
// - A claim is granted when a majority of the group of one roster version has
//   recorded it. A replica records one copy only, and only for its own version.
// - A replica serves a version only after a majority of each earlier group that
//   may have granted has moved on to that version and sent its records
//   (*sighted*), or, failing that, after `fence` (*blind*). A blind replica
//   grants only keys that were made after it began to serve.
// - Earlier groups are found without gaps: a group can begin to serve only
//   after a majority of the one before has heard of it, so a majority of any
//   group names the next that served. A member that stays in a changed group
//   asks as well, since it may have missed a version in between.
class dedup_replica {
 public:
  dedup_replica(uint64_t self, const dedup_replica_options& options)
      : self_(self), options_(options) {}

  // Ignores versions that are not newer.
  void SetRoster(const roster_view& roster, time_point now);

  // Nothing for a message that is out of date.
  std::optional<dedup_reply> OnClaim(const dedup_request& request,
                                     time_point now);

  // Takes the end of a copy, also when its claim has not arrived here. Returns
  // false when another copy has ended with an answer already, which means that
  // the request ran twice.
  bool OnEnd(const dedup_end& end, time_point now);

  // The process of this incarnation has ended (not: is silent). Its copies that
  // have not ended count as unknown.
  void OnOriginGone(uint64_t incarnation);

  // Whom to ask now for which shard; each until it has answered.
  std::vector<dedup_sync_request> OnTick(time_point now, wall_time wall);

  // A peer has reached the version in force and can answer what it ignored.
  void AskAgain(time_point now);

  // Nothing unless `version` is in force here: by answering, this node
  // confirms that it refuses claims of older versions.
  std::optional<dedup_sync_state> OnSyncRequest(uint32_t shard,
                                                uint64_t version,
                                                time_point now) const;

  // An answer to a sync request.
  void OnSyncState(uint64_t from,
                   const dedup_sync_state& state,
                   time_point now);

  // The state of a node that stops.
  void OnHandOver(uint64_t from, const dedup_sync_state& state, time_point now);

  // Grants nothing from now on, and returns the state of each shard with each
  // member of the group that follows when this node has left the roster.
  std::vector<std::pair<dedup_member, dedup_sync_state>> HandOver(
      time_point now);

  uint64_t roster_version() const { return roster_.version; }
  // The group of `shard` under the version in force.
  dedup_group GroupInForce(uint32_t shard) const;

  // Whether this node grants claims of `shard`, and if so, whether blindly.
  bool IsServing(uint32_t shard) const;
  bool IsBlind(uint32_t shard) const;

  size_t records() const { return record_count_; }
  size_t answer_bytes() const { return answer_bytes_; }

 private:
  struct shard_state {
    std::unordered_map<dedup_key, dedup_record, dedup_key_hash> records;
    bool member = false;
    bool serving = false;
    bool sighted = false;
    // Valid while not serving sighted: the end of the last sighted service.
    uint64_t sighted_through = 0;
    // Start of blind service.
    time_point blind_since;
    wall_time blind_from;
    // While asking for records.
    bool syncing = false;
    time_point sync_started;
    time_point next_ask;
    duration ask_interval;
    std::map<uint64_t, dedup_group> chain;
    // sighted_through of the nodes that confirmed the version in force.
    std::map<uint64_t, uint64_t> confirmed;
    // The same of nodes that stopped; valid for all later versions.
    std::map<uint64_t, uint64_t> handed;
  };

  uint64_t SightedThrough(const shard_state& state) const;
  void StartSync(uint32_t shard, shard_state& state, time_point now);
  void AddToChain(shard_state& state,
                  const std::map<uint64_t, dedup_group>& groups) const;
  void TryServe(uint32_t shard, shard_state& state);
  std::map<uint64_t, dedup_group> EarlierGroups(uint32_t shard) const;
  dedup_sync_state MakeState(uint32_t shard, time_point now) const;

  dedup_record* Find(uint32_t shard, const dedup_key& key, time_point now);
  void Put(uint32_t shard,
           const dedup_key& key,
           dedup_record record,
           time_point now);
  void Merge(uint32_t shard,
             const dedup_key& key,
             const dedup_record& record,
             time_point now);
  void Expire(time_point now);
  dedup_outcome OutcomeOf(const dedup_record& record) const;

  uint64_t self_;
  dedup_replica_options options_;
  bool draining_ = false;
  // In force; version 0 before the first one.
  roster_view roster_;
  // Different groups of each shard by the last version that had them; the last
  // one is in force. Empty before the first roster.
  std::vector<std::map<uint64_t, dedup_group>> history_;
  std::unordered_map<uint32_t, shard_state> shards_;
  std::set<uint32_t> syncing_;
  std::set<uint32_t> blind_;
  size_t record_count_ = 0;
  // Records and answers in order of arrival, for expiry.
  std::deque<std::pair<time_point, std::pair<uint32_t, dedup_key>>> order_;
  std::deque<std::pair<uint32_t, dedup_key>> answer_order_;
  size_t answer_bytes_ = 0;
  std::unordered_set<uint64_t> gone_;
  std::deque<uint64_t> gone_order_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_DEDUP_REPLICA_H_
