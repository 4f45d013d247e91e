#include "decisions/dedup_replica.h"

#include <algorithm>

namespace skylarkhoist {
namespace {

constexpr size_t kMaxGoneNodes = 4096;

bool Contains(const dedup_group& group, uint64_t incarnation) {
  return std::any_of(group.begin(), group.end(), [&](const auto& member) {
    return member.incarnation == incarnation;
  });
}

}  // namespace

void dedup_replica::SetRoster(const roster_view& roster, time_point now) {
  const uint64_t previous_version = roster_version();
  if (roster.version <= previous_version)
    return;
  const bool is_first_roster = groups_by_version_.empty();
  roster_ = roster;
  groups_by_version_.resize(options_.shards);
  const bool is_only_member =
      is_first_roster && options_.new_fleet && roster.members.size() == 1;
  for (uint32_t shard = 0; shard < options_.shards; ++shard) {
    dedup_group group = DedupGroupOf(roster, shard);
    const bool is_member = Contains(group, self_);
    auto& groups = groups_by_version_[shard];
    const bool same_group =
        !is_first_roster && groups.rbegin()->second == group;
    if (same_group)
      groups.erase(std::prev(groups.end()));
    groups.emplace(roster.version, std::move(group));
    while (groups.size() > options_.max_groups_per_shard)
      groups.erase(groups.begin());
    if (!is_member && shards_.count(shard) == 0)
      continue;
    shard_state& state = shards_[shard];
    if (same_group) {
      if (state.syncing) {
        // Nodes must confirm the new version, and the fence period starts
        // again.
        state.confirmed.clear();
        state.sync_started = now;
        state.next_sync = now;
        state.sync_interval = options_.min_sync_interval;
      }
      continue;
    }
    if (state.serving && state.complete)
      state.complete_through = previous_version;
    state.is_member = is_member;
    state.serving = false;
    state.complete = false;
    state.syncing = false;
    syncing_shards_.erase(shard);
    incomplete_shards_.erase(shard);
    if (is_member && is_only_member) {
      state.serving = true;
      state.complete = true;
    } else if (is_member) {
      StartSync(shard, state, now);
    }
  }
}

void dedup_replica::StartSync(uint32_t shard,
                              shard_state& state,
                              time_point now) {
  state.syncing = true;
  state.sync_started = now;
  state.next_sync = now;
  state.sync_interval = options_.min_sync_interval;
  state.confirmed.clear();
  AddEarlierGroups(state, EarlierGroups(shard));
  syncing_shards_.insert(shard);
  TryStartServing(shard, state);
}

std::map<uint64_t, dedup_group> dedup_replica::EarlierGroups(
    uint32_t shard) const {
  std::map<uint64_t, dedup_group> groups = groups_by_version_[shard];
  groups.erase(std::prev(groups.end()));
  return groups;
}

void dedup_replica::AddEarlierGroups(
    shard_state& state,
    const std::map<uint64_t, dedup_group>& groups) const {
  for (const auto& [version, group] : groups) {
    if (version < roster_version() && !group.empty())
      state.earlier_groups.emplace(version, group);
  }
  // Older groups are only needed while no newer group is complete.
  while (state.earlier_groups.size() > options_.max_groups_per_shard)
    state.earlier_groups.erase(state.earlier_groups.begin());
}

uint64_t dedup_replica::CompleteThrough(const shard_state& state) const {
  return state.serving && state.complete ? roster_version()
                                         : state.complete_through;
}

void dedup_replica::TryStartServing(uint32_t shard, shard_state& state) {
  const auto complete_through =
      [&](uint64_t incarnation) -> std::optional<uint64_t> {
    if (incarnation == self_)
      return state.complete_through;
    const auto handed_over = state.handed_over.find(incarnation);
    if (handed_over != state.handed_over.end())
      return handed_over->second;
    const auto found = state.confirmed.find(incarnation);
    if (found != state.confirmed.end())
      return found->second;
    return std::nullopt;
  };
  for (auto it = state.earlier_groups.rbegin();
       it != state.earlier_groups.rend(); ++it) {
    const size_t needed = MajorityOf(it->second.size());
    size_t confirmed = 0;
    size_t complete = 0;
    for (const dedup_member& member : it->second) {
      const auto through = complete_through(member.incarnation);
      confirmed += through ? 1 : 0;
      complete += through && *through >= it->first ? 1 : 0;
    }
    if (complete >= needed) {
      state.serving = true;
      state.complete = true;
      state.syncing = false;
      state.earlier_groups.clear();
      state.confirmed.clear();
      syncing_shards_.erase(shard);
      incomplete_shards_.erase(shard);
      return;
    }
    // This group may still grant claims, or have granted some that are not
    // known here.
    if (confirmed < needed)
      return;
  }
}

std::vector<dedup_sync_request> dedup_replica::OnTick(time_point now,
                                                      wall_time wall) {
  ExpireRecords(now);
  std::vector<dedup_sync_request> requests;
  for (uint32_t shard : std::set<uint32_t>(syncing_shards_)) {
    shard_state& state = shards_.at(shard);
    if (!state.serving && state.sync_started + options_.fence_period <= now) {
      // Sync requests continue, since the replica can still become complete.
      state.serving = true;
      state.incomplete_since = now;
      state.incomplete_since_wall = wall;
      incomplete_shards_.insert(shard);
    }
    if (state.next_sync > now)
      continue;
    state.next_sync = now + state.sync_interval;
    state.sync_interval =
        std::min(2 * state.sync_interval,
                 (state.serving ? 25 : 5) * options_.min_sync_interval);
    std::set<uint64_t> requested{self_};
    const auto add_requests = [&](const dedup_group& group) {
      for (const dedup_member& member : group) {
        if (state.confirmed.count(member.incarnation) == 0 &&
            gone_nodes_.count(member.incarnation) == 0 &&
            requested.insert(member.incarnation).second)
          requests.push_back({member, shard});
      }
    };
    for (const auto& [version, group] : state.earlier_groups)
      add_requests(group);
    add_requests(CurrentGroup(shard));
  }
  for (uint32_t shard : std::set<uint32_t>(incomplete_shards_)) {
    shard_state& state = shards_.at(shard);
    // All records that were granted before have expired on every node.
    if (state.incomplete_since + options_.record_lifetime <= now) {
      state.complete = true;
      state.syncing = false;
      state.earlier_groups.clear();
      state.confirmed.clear();
      syncing_shards_.erase(shard);
      incomplete_shards_.erase(shard);
    }
  }
  return requests;
}

void dedup_replica::RetrySync(time_point now) {
  for (uint32_t shard : syncing_shards_)
    shards_.at(shard).next_sync = now;
}

std::optional<dedup_sync_state> dedup_replica::OnSyncRequest(
    uint32_t shard,
    uint64_t version,
    time_point now) const {
  if (groups_by_version_.empty() || version != roster_version() ||
      shard >= options_.shards)
    return std::nullopt;
  return MakeSyncState(shard, now);
}

dedup_sync_state dedup_replica::MakeSyncState(uint32_t shard,
                                              time_point now) const {
  dedup_sync_state sync_state;
  sync_state.shard = shard;
  sync_state.roster_version = roster_version();
  sync_state.earlier_groups = EarlierGroups(shard);
  const auto found = shards_.find(shard);
  if (found == shards_.end())
    return sync_state;
  sync_state.complete_through = CompleteThrough(found->second);
  for (const auto& [version, group] : found->second.earlier_groups)
    sync_state.earlier_groups.emplace(version, group);
  for (const auto& [key, record] : found->second.records) {
    if (record.recorded_at + options_.record_lifetime <= now)
      continue;
    sync_state.records.emplace_back(key, record);
    sync_state.records.back().second.outcome = EffectiveOutcome(record);
  }
  return sync_state;
}

void dedup_replica::OnSyncState(uint64_t from,
                                const dedup_sync_state& state,
                                time_point now) {
  if (state.shard >= options_.shards ||
      state.roster_version != roster_version())
    return;
  const auto found = shards_.find(state.shard);
  if (found == shards_.end() || !found->second.syncing)
    return;
  for (const auto& [key, record] : state.records)
    MergeRecord(state.shard, key, record, now);
  shard_state& own = shards_.at(state.shard);
  AddEarlierGroups(own, state.earlier_groups);
  own.confirmed[from] = state.complete_through;
  TryStartServing(state.shard, own);
}

void dedup_replica::OnHandOver(uint64_t from,
                               const dedup_sync_state& state,
                               time_point now) {
  if (state.shard >= options_.shards)
    return;
  for (const auto& [key, record] : state.records)
    MergeRecord(state.shard, key, record, now);
  shard_state& own = shards_[state.shard];
  own.handed_over[from] = state.complete_through;
  // Each group member that stops in the lifetime of this process adds an entry.
  while (own.handed_over.size() > options_.max_groups_per_shard)
    own.handed_over.erase(own.handed_over.begin());
  if (own.syncing) {
    AddEarlierGroups(own, state.earlier_groups);
    TryStartServing(state.shard, own);
  }
}

std::vector<std::pair<dedup_member, dedup_sync_state>> dedup_replica::HandOver(
    time_point now) {
  draining_ = true;
  std::vector<std::pair<dedup_member, dedup_sync_state>> states;
  if (groups_by_version_.empty())
    return states;
  roster_view remaining_roster = roster_;
  remaining_roster.members.erase(
      std::remove_if(remaining_roster.members.begin(),
                     remaining_roster.members.end(),
                     [&](const auto& m) { return m.incarnation == self_; }),
      remaining_roster.members.end());
  for (const auto& [shard, state] : shards_) {
    if (!state.is_member)
      continue;
    // Members that stay in the group need the state as well: each syncs with a
    // majority of this group when the roster changes, and by then this node
    // cannot reply.
    for (const dedup_member& member : DedupGroupOf(remaining_roster, shard))
      states.emplace_back(member, MakeSyncState(shard, now));
  }
  return states;
}

dedup_group dedup_replica::CurrentGroup(uint32_t shard) const {
  if (groups_by_version_.empty() || shard >= options_.shards)
    return {};
  return groups_by_version_[shard].rbegin()->second;
}

bool dedup_replica::IsServing(uint32_t shard) const {
  const auto found = shards_.find(shard);
  return !draining_ && found != shards_.end() && found->second.serving;
}

bool dedup_replica::IsIncomplete(uint32_t shard) const {
  const auto found = shards_.find(shard);
  return found == shards_.end() || !found->second.complete;
}

std::optional<dedup_claim_reply> dedup_replica::OnClaim(
    const dedup_claim_request& request,
    time_point now) {
  ExpireRecords(now);
  dedup_claim_reply reply;
  reply.id = request.id;
  reply.round = request.round;
  reply.roster_version = roster_version();
  if (request.roster_version != roster_version() || !IsServing(request.shard))
    return reply;
  const shard_state& state = shards_.at(request.shard);
  dedup_record* record = FindRecord(request.shard, request.key, now);
  if (record != nullptr && record->id == request.id &&
      record->outcome == dedup_outcome::kRunning) {
    if (request.round < record->round)
      return std::nullopt;
    if (request.query_only && record->round < request.round) {
      record->outcome = dedup_outcome::kReleased;
    } else if (!request.query_only &&
               gone_nodes_.count(request.id.incarnation) == 0) {
      record->round = request.round;
      reply.state = dedup_state::kGranted;
      return reply;
    }
  }
  if (record != nullptr && record->outcome != dedup_outcome::kReleased) {
    reply.holder_id = record->id;
    reply.outcome = EffectiveOutcome(*record);
    reply.state = reply.outcome == dedup_outcome::kRunning
                      ? dedup_state::kKnownRunning
                      : dedup_state::kKnownFinished;
    reply.answer = record->answer;
    reply.answer_bytes = record->answer_bytes;
    return reply;
  }
  const bool created_later =
      request.created_unix_ms != 0 &&
      wall_time(std::chrono::milliseconds(request.created_unix_ms)) >
          state.incomplete_since_wall + options_.max_clock_skew;
  if (!state.complete && !created_later) {
    reply.state = dedup_state::kIncomplete;
    return reply;
  }
  if (request.query_only) {
    reply.state = dedup_state::kFree;
    return reply;
  }
  // The release of this claim has arrived before the claim.
  if (record != nullptr && record->id == request.id &&
      record->round >= request.round)
    return std::nullopt;
  if (record_count_ >= options_.max_records)
    return reply;
  PutRecord(
      request.shard, request.key,
      {request.id, request.round, dedup_outcome::kRunning, now, nullptr, 0},
      now);
  reply.state = dedup_state::kGranted;
  return reply;
}

bool dedup_replica::OnResult(const dedup_result& result, time_point now) {
  ExpireRecords(now);
  if (result.shard >= options_.shards ||
      result.outcome == dedup_outcome::kRunning)
    return true;
  dedup_record* record = FindRecord(result.shard, result.key, now);
  if (result.outcome == dedup_outcome::kReleased) {
    if (record == nullptr) {
      // The claim may arrive after its release and must not be recorded then.
      if (record_count_ < options_.max_records) {
        PutRecord(result.shard, result.key,
                  {result.id, result.round, dedup_outcome::kReleased, now,
                   nullptr, 0},
                  now);
      }
    } else if (record->id == result.id && record->round <= result.round &&
               (record->outcome == dedup_outcome::kRunning ||
                record->outcome == dedup_outcome::kReleased)) {
      record->outcome = dedup_outcome::kReleased;
      record->round = result.round;
    }
    return true;
  }
  if (record != nullptr && record->outcome == dedup_outcome::kAnswered)
    return record->id == result.id ||
           result.outcome != dedup_outcome::kAnswered;
  PutRecord(result.shard, result.key,
            {result.id, result.round, result.outcome,
             record != nullptr ? record->recorded_at : now, result.answer,
             result.answer_bytes},
            now);
  return true;
}

void dedup_replica::OnNodeGone(uint64_t incarnation) {
  if (!gone_nodes_.insert(incarnation).second)
    return;
  gone_order_.push_back(incarnation);
  if (gone_order_.size() > kMaxGoneNodes) {
    gone_nodes_.erase(gone_order_.front());
    gone_order_.pop_front();
  }
}

dedup_outcome dedup_replica::EffectiveOutcome(
    const dedup_record& record) const {
  return record.outcome == dedup_outcome::kRunning &&
                 gone_nodes_.count(record.id.incarnation) != 0
             ? dedup_outcome::kUnknown
             : record.outcome;
}

dedup_record* dedup_replica::FindRecord(uint32_t shard,
                                        const dedup_key& key,
                                        time_point now) {
  const auto state = shards_.find(shard);
  if (state == shards_.end())
    return nullptr;
  const auto found = state->second.records.find(key);
  if (found == state->second.records.end() ||
      found->second.recorded_at + options_.record_lifetime <= now)
    return nullptr;
  return &found->second;
}

void dedup_replica::PutRecord(uint32_t shard,
                              const dedup_key& key,
                              dedup_record record,
                              time_point now) {
  auto& records = shards_[shard].records;
  const auto [found, added] = records.try_emplace(key);
  if (added) {
    ++record_count_;
    expiry_order_.emplace_back(now, std::make_pair(shard, key));
  }
  answer_bytes_ += record.answer_bytes;
  answer_bytes_ -= found->second.answer_bytes;
  if (record.answer_bytes > 0)
    answer_order_.emplace_back(shard, key);
  found->second = std::move(record);
  while (answer_bytes_ > options_.max_answer_bytes && !answer_order_.empty()) {
    const auto [oldest_shard, oldest_key] = answer_order_.front();
    answer_order_.pop_front();
    auto& others = shards_[oldest_shard].records;
    const auto oldest = others.find(oldest_key);
    if (oldest == others.end())
      continue;
    answer_bytes_ -= oldest->second.answer_bytes;
    oldest->second.answer_bytes = 0;
    oldest->second.answer.reset();
  }
}

void dedup_replica::MergeRecord(uint32_t shard,
                                const dedup_key& key,
                                const dedup_record& record,
                                time_point now) {
  if (record.recorded_at + options_.record_lifetime <= now)
    return;
  const dedup_record* own = FindRecord(shard, key, now);
  if (own == nullptr) {
    PutRecord(shard, key, record, now);
    return;
  }
  dedup_record merged = *own;
  const bool same = own->id == record.id;
  if (own->outcome == dedup_outcome::kAnswered) {
    return;
  }
  if (record.outcome == dedup_outcome::kAnswered) {
    merged = record;
  } else if (own->outcome == dedup_outcome::kReleased) {
    // A release overrides the claim of the same copy, which other replicas may
    // still have recorded.
    if (record.outcome == dedup_outcome::kReleased ||
        (same && record.outcome == dedup_outcome::kRunning &&
         record.round <= own->round))
      return;
    merged = record;
  } else if (record.outcome == dedup_outcome::kReleased) {
    if (!same || own->outcome != dedup_outcome::kRunning ||
        record.round < own->round)
      return;
    merged = record;
  } else if (record.outcome == dedup_outcome::kUnknown || !same) {
    // Two copies are recorded, each at some replicas. Either may have run.
    merged.outcome = dedup_outcome::kUnknown;
  } else {
    merged.round = std::max(own->round, record.round);
  }
  PutRecord(shard, key, merged, now);
}

void dedup_replica::ExpireRecords(time_point now) {
  while (!expiry_order_.empty() &&
         expiry_order_.front().first + options_.record_lifetime <= now) {
    const auto [shard, key] = expiry_order_.front().second;
    expiry_order_.pop_front();
    auto& records = shards_[shard].records;
    const auto found = records.find(key);
    if (found == records.end())
      continue;
    if (found->second.recorded_at + options_.record_lifetime > now) {
      // The record was replaced after its key was queued here.
      expiry_order_.emplace_back(now, std::make_pair(shard, key));
      continue;
    }
    answer_bytes_ -= found->second.answer_bytes;
    records.erase(found);
    --record_count_;
  }
}

}  // namespace skylarkhoist
