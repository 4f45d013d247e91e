#include "decisions/dedup_replica.h"

#include <algorithm>

namespace skylarkhoist {
namespace {

constexpr size_t kMaxGone = 4096;

bool Contains(const dedup_group& group, uint64_t incarnation) {
  return std::any_of(group.begin(), group.end(), [&](const auto& member) {
    return member.incarnation == incarnation;
  });
}

}  // namespace

void dedup_replica::SetRoster(const roster_view& roster, time_point now) {
  const uint64_t previous = roster_version();
  if (roster.version <= previous)
    return;
  const bool first = history_.empty();
  roster_ = roster;
  history_.resize(options_.shards);
  const bool alone = first && options_.new_fleet && roster.members.size() == 1;
  for (uint32_t shard = 0; shard < options_.shards; ++shard) {
    dedup_group group = DedupGroupOf(roster, shard);
    const bool member = Contains(group, self_);
    auto& groups = history_[shard];
    const bool same_group = !first && groups.rbegin()->second == group;
    if (same_group)
      groups.erase(std::prev(groups.end()));
    groups.emplace(roster.version, std::move(group));
    while (groups.size() > options_.history)
      groups.erase(groups.begin());
    if (!member && shards_.count(shard) == 0)
      continue;
    shard_state& state = shards_[shard];
    if (same_group) {
      if (state.syncing) {
        // Nodes must confirm the new version, and the fence begins again.
        state.confirmed.clear();
        state.sync_started = now;
        state.next_ask = now;
        state.ask_interval = options_.sync_interval;
      }
      continue;
    }
    if (state.serving && state.sighted)
      state.sighted_through = previous;
    state.member = member;
    state.serving = false;
    state.sighted = false;
    state.syncing = false;
    syncing_.erase(shard);
    blind_.erase(shard);
    if (member && alone) {
      state.serving = true;
      state.sighted = true;
    } else if (member) {
      StartSync(shard, state, now);
    }
  }
}

void dedup_replica::StartSync(uint32_t shard,
                              shard_state& state,
                              time_point now) {
  state.syncing = true;
  state.sync_started = now;
  state.next_ask = now;
  state.ask_interval = options_.sync_interval;
  state.confirmed.clear();
  AddToChain(state, EarlierGroups(shard));
  syncing_.insert(shard);
  TryServe(shard, state);
}

std::map<uint64_t, dedup_group> dedup_replica::EarlierGroups(
    uint32_t shard) const {
  std::map<uint64_t, dedup_group> groups = history_[shard];
  groups.erase(std::prev(groups.end()));
  return groups;
}

void dedup_replica::AddToChain(
    shard_state& state,
    const std::map<uint64_t, dedup_group>& groups) const {
  for (const auto& [version, group] : groups) {
    if (version < roster_version() && !group.empty())
      state.chain.emplace(version, group);
  }
  // Old versions matter only while no newer one is complete.
  while (state.chain.size() > options_.history)
    state.chain.erase(state.chain.begin());
}

uint64_t dedup_replica::SightedThrough(const shard_state& state) const {
  return state.serving && state.sighted ? roster_version()
                                        : state.sighted_through;
}

void dedup_replica::TryServe(uint32_t shard, shard_state& state) {
  const auto sighted_through =
      [&](uint64_t incarnation) -> std::optional<uint64_t> {
    if (incarnation == self_)
      return state.sighted_through;
    const auto handed = state.handed.find(incarnation);
    if (handed != state.handed.end())
      return handed->second;
    const auto found = state.confirmed.find(incarnation);
    if (found != state.confirmed.end())
      return found->second;
    return std::nullopt;
  };
  for (auto each = state.chain.rbegin(); each != state.chain.rend(); ++each) {
    const size_t needed = MajorityOf(each->second.size());
    size_t confirmed = 0;
    size_t sighted = 0;
    for (const dedup_member& member : each->second) {
      const auto through = sighted_through(member.incarnation);
      confirmed += through ? 1 : 0;
      sighted += through && *through >= each->first ? 1 : 0;
    }
    if (sighted >= needed) {
      state.serving = true;
      state.sighted = true;
      state.syncing = false;
      state.chain.clear();
      state.confirmed.clear();
      syncing_.erase(shard);
      blind_.erase(shard);
      return;
    }
    // This group may still grant, or may have granted what is not known here.
    if (confirmed < needed)
      return;
  }
}

std::vector<dedup_sync_request> dedup_replica::OnTick(time_point now,
                                                      wall_time wall) {
  Expire(now);
  std::vector<dedup_sync_request> requests;
  for (uint32_t shard : std::set<uint32_t>(syncing_)) {
    shard_state& state = shards_.at(shard);
    if (!state.serving && state.sync_started + options_.fence <= now) {
      // Goes on asking, since a blind replica can still become sighted.
      state.serving = true;
      state.blind_since = now;
      state.blind_from = wall;
      blind_.insert(shard);
    }
    if (state.next_ask > now)
      continue;
    state.next_ask = now + state.ask_interval;
    state.ask_interval =
        std::min(2 * state.ask_interval,
                 (state.serving ? 25 : 5) * options_.sync_interval);
    std::set<uint64_t> asked{self_};
    const auto ask = [&](const dedup_group& group) {
      for (const dedup_member& member : group) {
        if (state.confirmed.count(member.incarnation) == 0 &&
            gone_.count(member.incarnation) == 0 &&
            asked.insert(member.incarnation).second)
          requests.push_back({member, shard});
      }
    };
    for (const auto& [version, group] : state.chain)
      ask(group);
    ask(GroupInForce(shard));
  }
  for (uint32_t shard : std::set<uint32_t>(blind_)) {
    shard_state& state = shards_.at(shard);
    // What was granted before has expired everywhere.
    if (state.blind_since + options_.record_life <= now) {
      state.sighted = true;
      state.syncing = false;
      state.chain.clear();
      state.confirmed.clear();
      syncing_.erase(shard);
      blind_.erase(shard);
    }
  }
  return requests;
}

void dedup_replica::AskAgain(time_point now) {
  for (uint32_t shard : syncing_)
    shards_.at(shard).next_ask = now;
}

std::optional<dedup_sync_state> dedup_replica::OnSyncRequest(
    uint32_t shard,
    uint64_t version,
    time_point now) const {
  if (history_.empty() || version != roster_version() ||
      shard >= options_.shards)
    return std::nullopt;
  return MakeState(shard, now);
}

dedup_sync_state dedup_replica::MakeState(uint32_t shard,
                                          time_point now) const {
  dedup_sync_state made;
  made.shard = shard;
  made.roster_version = roster_version();
  made.groups = EarlierGroups(shard);
  const auto found = shards_.find(shard);
  if (found == shards_.end())
    return made;
  made.sighted_through = SightedThrough(found->second);
  for (const auto& [version, group] : found->second.chain)
    made.groups.emplace(version, group);
  for (const auto& [key, record] : found->second.records) {
    if (record.since + options_.record_life <= now)
      continue;
    made.records.emplace_back(key, record);
    made.records.back().second.outcome = OutcomeOf(record);
  }
  return made;
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
    Merge(state.shard, key, record, now);
  shard_state& own = shards_.at(state.shard);
  AddToChain(own, state.groups);
  own.confirmed[from] = state.sighted_through;
  TryServe(state.shard, own);
}

void dedup_replica::OnHandOver(uint64_t from,
                               const dedup_sync_state& state,
                               time_point now) {
  if (state.shard >= options_.shards)
    return;
  for (const auto& [key, record] : state.records)
    Merge(state.shard, key, record, now);
  shard_state& own = shards_[state.shard];
  own.handed[from] = state.sighted_through;
  // Bounded by the stops of members of one group within a process life.
  while (own.handed.size() > options_.history)
    own.handed.erase(own.handed.begin());
  if (own.syncing) {
    AddToChain(own, state.groups);
    TryServe(state.shard, own);
  }
}

std::vector<std::pair<dedup_member, dedup_sync_state>> dedup_replica::HandOver(
    time_point now) {
  draining_ = true;
  std::vector<std::pair<dedup_member, dedup_sync_state>> states;
  if (history_.empty())
    return states;
  roster_view rest = roster_;
  rest.members.erase(
      std::remove_if(rest.members.begin(), rest.members.end(),
                     [&](const auto& m) { return m.incarnation == self_; }),
      rest.members.end());
  for (const auto& [shard, state] : shards_) {
    if (!state.member)
      continue;
    // Members that stay need it as well: each asks a majority of this group
    // when the roster changes, and this node can't answer then.
    for (const dedup_member& member : DedupGroupOf(rest, shard))
      states.emplace_back(member, MakeState(shard, now));
  }
  return states;
}

dedup_group dedup_replica::GroupInForce(uint32_t shard) const {
  if (history_.empty() || shard >= options_.shards)
    return {};
  return history_[shard].rbegin()->second;
}

bool dedup_replica::IsServing(uint32_t shard) const {
  const auto found = shards_.find(shard);
  return !draining_ && found != shards_.end() && found->second.serving;
}

bool dedup_replica::IsBlind(uint32_t shard) const {
  const auto found = shards_.find(shard);
  return found == shards_.end() || !found->second.sighted;
}

std::optional<dedup_reply> dedup_replica::OnClaim(const dedup_request& request,
                                                  time_point now) {
  Expire(now);
  dedup_reply reply;
  reply.id = request.id;
  reply.round = request.round;
  reply.roster_version = roster_version();
  if (request.roster_version != roster_version() || !IsServing(request.shard))
    return reply;
  const shard_state& state = shards_.at(request.shard);
  dedup_record* record = Find(request.shard, request.key, now);
  if (record != nullptr && record->id == request.id &&
      record->outcome == dedup_outcome::kRunning) {
    if (request.round < record->round)
      return std::nullopt;
    if (request.query_only && record->round < request.round) {
      record->outcome = dedup_outcome::kReleased;
    } else if (!request.query_only &&
               gone_.count(request.id.incarnation) == 0) {
      record->round = request.round;
      reply.state = dedup_state::kGranted;
      return reply;
    }
  }
  if (record != nullptr && record->outcome != dedup_outcome::kReleased) {
    reply.first_id = record->id;
    reply.outcome = OutcomeOf(*record);
    reply.state = reply.outcome == dedup_outcome::kRunning
                      ? dedup_state::kKnownRunning
                      : dedup_state::kKnownFinished;
    reply.answer = record->answer;
    reply.answer_bytes = record->answer_bytes;
    return reply;
  }
  const bool fresh =
      request.created_unix_ms != 0 &&
      wall_time(std::chrono::milliseconds(request.created_unix_ms)) >
          state.blind_from + options_.clock_skew;
  if (!state.sighted && !fresh) {
    reply.state = dedup_state::kBlind;
    return reply;
  }
  if (request.query_only) {
    reply.state = dedup_state::kFree;
    return reply;
  }
  // A claim that was overtaken by its own release.
  if (record != nullptr && record->id == request.id &&
      record->round >= request.round)
    return std::nullopt;
  if (record_count_ >= options_.max_records)
    return reply;
  Put(request.shard, request.key,
      {request.id, request.round, dedup_outcome::kRunning, now, nullptr, 0},
      now);
  reply.state = dedup_state::kGranted;
  return reply;
}

bool dedup_replica::OnEnd(const dedup_end& end, time_point now) {
  Expire(now);
  if (end.shard >= options_.shards || end.outcome == dedup_outcome::kRunning)
    return true;
  dedup_record* record = Find(end.shard, end.key, now);
  if (end.outcome == dedup_outcome::kReleased) {
    if (record == nullptr) {
      // Its claim may still arrive and must not be recorded then.
      if (record_count_ < options_.max_records) {
        Put(end.shard, end.key,
            {end.id, end.round, dedup_outcome::kReleased, now, nullptr, 0},
            now);
      }
    } else if (record->id == end.id && record->round <= end.round &&
               (record->outcome == dedup_outcome::kRunning ||
                record->outcome == dedup_outcome::kReleased)) {
      record->outcome = dedup_outcome::kReleased;
      record->round = end.round;
    }
    return true;
  }
  if (record != nullptr && record->outcome == dedup_outcome::kAnswered)
    return record->id == end.id || end.outcome != dedup_outcome::kAnswered;
  Put(end.shard, end.key,
      {end.id, end.round, end.outcome, record != nullptr ? record->since : now,
       end.answer, end.answer_bytes},
      now);
  return true;
}

void dedup_replica::OnOriginGone(uint64_t incarnation) {
  if (!gone_.insert(incarnation).second)
    return;
  gone_order_.push_back(incarnation);
  if (gone_order_.size() > kMaxGone) {
    gone_.erase(gone_order_.front());
    gone_order_.pop_front();
  }
}

dedup_outcome dedup_replica::OutcomeOf(const dedup_record& record) const {
  return record.outcome == dedup_outcome::kRunning &&
                 gone_.count(record.id.incarnation) != 0
             ? dedup_outcome::kUnknown
             : record.outcome;
}

dedup_record* dedup_replica::Find(uint32_t shard,
                                  const dedup_key& key,
                                  time_point now) {
  const auto state = shards_.find(shard);
  if (state == shards_.end())
    return nullptr;
  const auto found = state->second.records.find(key);
  if (found == state->second.records.end() ||
      found->second.since + options_.record_life <= now)
    return nullptr;
  return &found->second;
}

void dedup_replica::Put(uint32_t shard,
                        const dedup_key& key,
                        dedup_record record,
                        time_point now) {
  auto& records = shards_[shard].records;
  const auto [found, added] = records.try_emplace(key);
  if (added) {
    ++record_count_;
    order_.emplace_back(now, std::make_pair(shard, key));
  }
  answer_bytes_ += record.answer_bytes;
  answer_bytes_ -= found->second.answer_bytes;
  if (record.answer_bytes > 0)
    answer_order_.emplace_back(shard, key);
  found->second = std::move(record);
  while (answer_bytes_ > options_.answer_bytes && !answer_order_.empty()) {
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

void dedup_replica::Merge(uint32_t shard,
                          const dedup_key& key,
                          const dedup_record& record,
                          time_point now) {
  if (record.since + options_.record_life <= now)
    return;
  const dedup_record* own = Find(shard, key, now);
  if (own == nullptr) {
    Put(shard, key, record, now);
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
    // A release outweighs its own claim, wherever that is still recorded.
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
    // Two copies hold the key, each at some replica. Either may have run.
    merged.outcome = dedup_outcome::kUnknown;
  } else {
    merged.round = std::max(own->round, record.round);
  }
  Put(shard, key, merged, now);
}

void dedup_replica::Expire(time_point now) {
  while (!order_.empty() &&
         order_.front().first + options_.record_life <= now) {
    const auto [shard, key] = order_.front().second;
    order_.pop_front();
    auto& records = shards_[shard].records;
    const auto found = records.find(key);
    if (found == records.end())
      continue;
    if (found->second.since + options_.record_life > now) {
      // Written again since then.
      order_.emplace_back(now, std::make_pair(shard, key));
      continue;
    }
    answer_bytes_ -= found->second.answer_bytes;
    records.erase(found);
    --record_count_;
  }
}

}  // namespace skylarkhoist
