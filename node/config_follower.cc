#include "node/config_follower.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

constexpr int kMaxReadRecords = 500;

// Bounds of the records kept for peers, and of one update to them. Both are far
// below the frame limit of 8 MB.
constexpr size_t kMaxRecentRecords = 2'000;
constexpr size_t kMaxRecentBytes = size_t{2} << 20;
constexpr size_t kMaxUpdateBytes = size_t{256} << 10;

// Minimum time between two requests to peers.
constexpr auto kRequestInterval = std::chrono::milliseconds(300);

// Minimum time between two snapshots of one node, in case the log keeps
// refusing them.
constexpr auto kSnapshotRetryInterval = std::chrono::minutes(1);

int64_t SystemUnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

uint64_t RankOf(const std::string& address) {
  return XXH64(address.data(), address.size(), 0);
}

std::string RandomId(random_source* random) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string id;
  for (int word = 0; word < 2; ++word) {
    uint64_t bits = random->Next();
    for (int i = 0; i < 16; ++i, bits >>= 4)
      id += kDigits[bits & 15];
  }
  return id;
}

}  // namespace

struct config_follower::pending_append {
  std::string data;
  record_kind kind = record_kind::kChange;
  std::string path;
  append_callback done;
  time_point deadline;
  duration retry_delay;
  // Offset that the log returned; 0 before that.
  uint64_t offset = 0;
  bool may_have_reached_log = false;
};

struct config_follower::counters {
  explicit counters(metrics* metrics)
      : view_findings(
            metrics->Gauge("skylarkhoist_config_findings",
                           "Findings of the published configuration")),
        offset(metrics->Gauge("skylarkhoist_config_offset",
                              "Log offset of the configuration in force")),
        snapshots(metrics->Counter("skylarkhoist_config_snapshots_total",
                                   "Snapshots appended by this node")),
        adopted_states(metrics->Counter("skylarkhoist_config_peer_states_total",
                                        "Whole states taken over from peers")),
        bad_states(metrics->Counter("skylarkhoist_config_bad_states_total",
                                    "States of peers that cannot be read")),
        log_behind(metrics->Counter(
            "skylarkhoist_config_log_behind_total",
            "Reads that found the log shorter than the state of this node")) {
    for (const auto outcome :
         {apply_outcome::kApplied, apply_outcome::kNoEffect,
          apply_outcome::kVoid, apply_outcome::kDuplicate, apply_outcome::kOld,
          apply_outcome::kGap, apply_outcome::kMalformed,
          apply_outcome::kNewerFormat, apply_outcome::kUnknownKind}) {
      const std::string name(NameOf(outcome));
      records[outcome] =
          &metrics->Counter("skylarkhoist_config_records_total",
                            "Records of the log by their effect on the state",
                            {{"outcome", name}});
    }
    for (const char* result :
         {"ok", "unreachable", "timeout", "trimmed", "refused"}) {
      reads[result] = &metrics->Counter("skylarkhoist_config_log_reads_total",
                                        "Reads of the log by their result",
                                        {{"result", result}});
      appends[result] = &metrics->Counter(
          "skylarkhoist_config_log_appends_total",
          "Appends to the log by their result", {{"result", result}});
    }
  }

  static const char* NameOf(log_error_kind kind) {
    switch (kind) {
      case log_error_kind::kUnreachable:
        return "unreachable";
      case log_error_kind::kTimeout:
        return "timeout";
      case log_error_kind::kTrimmed:
        return "trimmed";
      case log_error_kind::kRefused:
        return "refused";
    }
    return "refused";
  }
  static std::string_view NameOf(apply_outcome outcome) {
    return skylarkhoist::NameOf(outcome);
  }

  prometheus::Gauge& view_findings;
  prometheus::Gauge& offset;
  prometheus::Counter& snapshots;
  prometheus::Counter& adopted_states;
  prometheus::Counter& bad_states;
  prometheus::Counter& log_behind;
  std::map<apply_outcome, prometheus::Counter*> records;
  std::map<std::string, prometheus::Counter*> reads;
  std::map<std::string, prometheus::Counter*> appends;
};

config_follower::config_follower(
    loop* loop,
    log_client* log,
    peer_transport* peers,
    random_source* random,
    config_follower_options options,
    std::function<std::vector<std::string>()> live_peers,
    metrics* metrics)
    : loop_(loop),
      log_(log),
      peers_(peers),
      random_(random),
      options_(std::move(options)),
      live_peers_(std::move(live_peers)),
      counters_(std::make_unique<counters>(metrics)),
      view_(std::make_shared<const config_view>(options_.bootstrap)),
      log_heard_at_(loop->Now()),
      last_update_sent_at_(loop->Now()),
      last_request_at_(loop->Now() - kRequestInterval),
      last_snapshot_attempt_at_(loop->Now() - kSnapshotRetryInterval),
      last_snapshot_seen_at_(loop->Now()) {
  if (!options_.wall_clock_ms)
    options_.wall_clock_ms = SystemUnixMs;
}

config_follower::~config_follower() = default;

void config_follower::Start() {
  if (started_)
    return;
  started_ = true;
  silence_limit_ =
      options_.log_silence_limit + Jitter(options_.log_silence_limit / 2);
  RequestUpdateFromAnyPeer();
  ReadLog();
  ScheduleTick(Jitter(options_.poll_interval));
}

duration config_follower::log_age(time_point now) const {
  return last_read_at_ ? now - *last_read_at_ : duration::max();
}

void config_follower::OnChange(std::function<void()> callback) {
  on_change_.push_back(std::move(callback));
}

void config_follower::ScheduleTick(duration delay) {
  RunLater(delay, [this] { Tick(); });
}

void config_follower::Tick() {
  ScheduleTick(options_.poll_interval);
  if (!ready_)
    RequestUpdateFromAnyPeer();
  if (!read_in_progress_ && ShouldReadLog())
    ReadLog();
  ScheduleSnapshotIfDue();
}

bool config_follower::ShouldReadLog() const {
  return !ready_ || !pending_appends_.empty() || IsElectedReader() ||
         loop_->Now() - log_heard_at_ > silence_limit_;
}

bool config_follower::IsElectedReader() const {
  const std::vector<std::string> live_addresses = live_peers_();
  if (live_addresses.size() + 1 <= options_.all_read_max_nodes)
    return true;
  const std::set<std::string> live_set(live_addresses.begin(),
                                       live_addresses.end());
  const uint64_t own_rank = RankOf(options_.peer_address);
  size_t higher_ranked = 0;
  for (const roster_member& member : fold_.roster().members) {
    if (member.zone == options_.zone &&
        live_set.count(member.peer_address) != 0 &&
        RankOf(member.peer_address) > own_rank)
      ++higher_ranked;
  }
  return higher_ranked < options_.readers_per_zone;
}

// Returns all live nodes in the order of the broadcast tree, which is the same
// on all nodes with the same view of the fleet. The children of the node at
// index i are the `fan_out` nodes from index i * fan_out + 1 on.
std::vector<std::string> config_follower::BroadcastOrder() const {
  std::vector<std::string> order = live_peers_();
  order.push_back(options_.peer_address);
  std::sort(order.begin(), order.end(),
            [](const std::string& a, const std::string& b) {
              const uint64_t rank_a = RankOf(a);
              const uint64_t rank_b = RankOf(b);
              return rank_a != rank_b ? rank_a < rank_b : a < b;
            });
  order.erase(std::unique(order.begin(), order.end()), order.end());
  return order;
}

void config_follower::ReadLog() {
  if (read_in_progress_) {
    read_again_ = true;
    return;
  }
  read_in_progress_ = true;
  read_again_ = false;
  const time_point sent_at = loop_->Now();
  const uint64_t from_offset =
      snapshot_scan_ ? snapshot_scan_->next_offset : fold_.offset() + 1;
  log_->Read(
      from_offset, kMaxReadRecords,
      [this, sent_at, alive = std::weak_ptr<bool>(alive_)](
          const tl::expected<log_batch, log_error>& result) {
        if (alive.expired())
          return;
        read_in_progress_ = false;
        if (result) {
          counters_->reads["ok"]->Increment();
          last_read_at_ = sent_at;
          log_heard_at_ = loop_->Now();
          OnReadBatch(*result);
        } else {
          counters_->reads[counters::NameOf(result.error().kind)]->Increment();
          OnReadError(result.error());
        }
        if (read_again_)
          ReadLog();
      });
}

void config_follower::OnReadBatch(const log_batch& batch) {
  if (snapshot_scan_) {
    for (const log_entry& entry : batch.entries) {
      snapshot_scan_->next_offset = entry.offset + 1;
      const auto record = ParseRecord(entry.data);
      if (!record || record->kind != record_kind::kSnapshot)
        continue;
      auto state = config_state::FromJson(record->state);
      if (state && state->offset() + 1 >= snapshot_scan_->first_offset &&
          (!snapshot_scan_->best_state ||
           state->offset() > snapshot_scan_->best_state->offset()))
        snapshot_scan_->best_state = std::move(*state);
    }
    if (batch.entries.empty())
      FinishSnapshotScan();
    else
      read_again_ = true;
    return;
  }
  behind_trim_point_ = false;
  if (batch.end_offset <= fold_.offset())
    counters_->log_behind.Increment();
  const uint64_t offset_before = fold_.offset();
  bool roster_changed = false;
  for (const log_entry& entry : batch.entries)
    roster_changed = ApplyRecord(entry.offset, entry.data) || roster_changed;
  const bool advanced = fold_.offset() != offset_before;
  const bool at_end = fold_.offset() + 1 >= batch.end_offset;
  if (!at_end && advanced)
    read_again_ = true;
  const bool became_ready = at_end && !ready_;
  ready_ = ready_ || at_end;
  RefreshView(advanced || became_ready, roster_changed);
  if (advanced)
    ForwardUpdate(offset_before + 1, true);
  else if (IsElectedReader())
    ForwardUpdate(fold_.offset() + 1, true);
}

void config_follower::OnReadError(const log_error& error) {
  if (error.kind != log_error_kind::kTrimmed) {
    snapshot_scan_.reset();
    return;
  }
  if (error.first_offset <= fold_.offset() + 1 && !snapshot_scan_)
    return;
  // The log has been trimmed beyond the offset of this state.
  if (!behind_trim_point_) {
    behind_trim_point_ = true;
    LogWarning("config_follower", "behind_trim_point",
               {{"offset", std::to_string(fold_.offset())},
                {"first", std::to_string(error.first_offset)}});
  }
  snapshot_scan_ =
      snapshot_scan{error.first_offset, error.first_offset, std::nullopt};
  read_again_ = true;
  RequestUpdateFromAnyPeer();
}

void config_follower::FinishSnapshotScan() {
  std::optional<config_state> best_state =
      std::move(snapshot_scan_->best_state);
  snapshot_scan_.reset();
  if (!best_state) {
    // Only a peer has the state; the next read starts another scan.
    RequestUpdateFromAnyPeer();
    return;
  }
  AdoptState(std::move(*best_state));
  read_again_ = true;
}

// Returns true when the record changed the roster.
bool config_follower::ApplyRecord(uint64_t offset, const std::string& data) {
  const apply_result result = fold_.Apply(offset, data);
  counters_->records[result.outcome]->Increment();
  if (result.outcome == apply_outcome::kOld ||
      result.outcome == apply_outcome::kGap)
    return false;
  recent_records_.push_back(data);
  recent_bytes_ += data.size();
  while (recent_records_.size() > kMaxRecentRecords ||
         recent_bytes_ > kMaxRecentBytes) {
    recent_bytes_ -= recent_records_.front().size();
    recent_records_.pop_front();
  }
  if (fold_.last_snapshot_offset() == offset)
    last_snapshot_seen_at_ = loop_->Now();
  const auto pending = pending_appends_.find(result.record_id);
  if (pending != pending_appends_.end()) {
    // Reports the result now, since a later record may replace the entry in
    // force.
    append_result resolved;
    resolved.offset = offset;
    resolved.may_have_reached_log = true;
    resolved.state = result.outcome == apply_outcome::kVoid
                         ? append_state::kVoid
                         : append_state::kAccepted;
    const processed_record* earlier = fold_.FindRecord(result.record_id);
    if (result.outcome == apply_outcome::kDuplicate && earlier != nullptr &&
        earlier->is_void)
      resolved.state = append_state::kVoid;
    const auto entry = fold_.entries().find(pending->second.path);
    if (resolved.state == append_state::kVoid && entry != fold_.entries().end())
      resolved.entry_in_force = entry->second;
    ResolveAppend(result.record_id, resolved);
  }
  return result.roster_changed;
}

void config_follower::AdoptState(config_state state) {
  const uint64_t roster_before = fold_.roster().version;
  if (!fold_.ReplaceIfNewer(std::move(state)))
    return;
  recent_records_.clear();
  recent_bytes_ = 0;
  last_snapshot_seen_at_ = loop_->Now();
  ready_ = true;
  if (snapshot_scan_)
    snapshot_scan_.reset();
  RefreshView(true, fold_.roster().version != roster_before);
}

void config_follower::RefreshView(bool changed, bool roster_changed) {
  if (!changed && !roster_changed)
    return;
  // A state that may be far behind the log is not served.
  if (ready_) {
    config_build_result built = builder_.Build(fold_);
    if (built.problems.items() != problems_.items() &&
        !built.problems.empty()) {
      const finding& first = built.problems.items().front();
      LogWarning("config_follower", "published_state_has_findings",
                 {{"count", std::to_string(built.problems.items().size())},
                  {"first", first.place + ": " + first.message}});
    }
    problems_ = std::move(built.problems);
    view_ = std::make_shared<const config_view>(std::move(built.view));
    counters_->view_findings.Set(static_cast<double>(problems_.items().size()));
  }
  counters_->offset.Set(static_cast<double>(fold_.offset()));
  ResolveAppends();
  const std::vector<std::function<void()>> callbacks = on_change_;
  for (const auto& callback : callbacks)
    callback();
}

// Sends the records from `from_offset` on, or only the applied offset when
// there are none, to the children of this node in the broadcast tree.
// `send_to_root` sends them to the root too, for records that this node read
// from the log.
void config_follower::ForwardUpdate(uint64_t from_offset, bool send_to_root) {
  const bool keepalive = from_offset > fold_.offset();
  const time_point now = loop_->Now();
  if (keepalive && now - last_update_sent_at_ < options_.keepalive_interval)
    return;
  const std::vector<std::string> order = BroadcastOrder();
  // In a small fleet each node reads the log itself.
  if (order.size() <= options_.all_read_max_nodes)
    return;
  last_update_sent_at_ = now;
  const auto own = std::find(order.begin(), order.end(), options_.peer_address);
  const size_t index = static_cast<size_t>(own - order.begin());
  if (send_to_root && index != 0)
    SendUpdate(order.front(), from_offset);
  for (size_t i = 1; i <= options_.fan_out; ++i) {
    const size_t child = index * options_.fan_out + i;
    if (child < order.size())
      SendUpdate(order[child], from_offset);
  }
}

void config_follower::SendUpdate(const std::string& address,
                                 uint64_t from_offset) {
  fbs::config_newsT update;
  update.applied_offset = fold_.offset();
  const uint64_t first_offset = fold_.offset() + 1 - recent_records_.size();
  size_t bytes = 0;
  for (uint64_t offset = std::max(from_offset, first_offset);
       offset <= fold_.offset() && bytes < kMaxUpdateBytes; ++offset) {
    auto record = std::make_unique<fbs::log_recordT>();
    record->offset = offset;
    record->data = recent_records_[offset - first_offset];
    bytes += record->data.size();
    update.records.push_back(std::move(record));
  }
  peers_->Send(address, MakeEnvelope(std::move(update)));
}

void config_follower::HandleUpdate(const std::string& from,
                                   const fbs::config_newsT& update) {
  const uint64_t offset_before = fold_.offset();
  bool roster_changed = false;
  for (const auto& record : update.records) {
    if (record != nullptr)
      roster_changed =
          ApplyRecord(record->offset, record->data) || roster_changed;
  }
  const bool advanced = fold_.offset() != offset_before;
  if (update.applied_offset >= fold_.offset())
    log_heard_at_ = loop_->Now();
  if (advanced) {
    // A node that has never read the log has the whole state once it reaches
    // the offset of the sender.
    ready_ = ready_ || fold_.offset() >= update.applied_offset;
    RefreshView(true, roster_changed);
    ForwardUpdate(offset_before + 1, false);
  } else if (update.records.empty() &&
             update.applied_offset == fold_.offset()) {
    ForwardUpdate(fold_.offset() + 1, false);
  }
  if (update.applied_offset > fold_.offset()) {
    // The sender answers in parts, so request the next part without delay.
    if (advanced)
      last_request_at_ = loop_->Now() - kRequestInterval;
    RequestUpdate(from);
  }
}

void config_follower::HandleRequest(const std::string& from,
                                    const fbs::config_requestT& request) {
  const uint64_t first_kept = fold_.offset() + 1 - recent_records_.size();
  if (request.from_offset > fold_.offset() ||
      request.from_offset >= first_kept) {
    SendUpdate(from, request.from_offset);
    return;
  }
  if (!ready_)
    return;
  fbs::config_stateT state;
  state.offset = fold_.offset();
  state.state = JsonText(fold_.ToJson());
  peers_->Send(from, MakeEnvelope(std::move(state)));
}

void config_follower::HandleState(const std::string& from,
                                  const fbs::config_stateT& state) {
  if (state.offset <= fold_.offset())
    return;
  const auto parsed = ParseJson(state.state);
  auto fold = parsed ? config_state::FromJson(*parsed)
                     : tl::expected<config_state, findings>(
                           tl::unexpected(parsed.error()));
  if (!fold) {
    counters_->bad_states.Increment();
    LogWarning("config_follower", "peer_state_unreadable",
               {{"peer", from}, {"cause", fold.error().ToText()}});
    return;
  }
  counters_->adopted_states.Increment();
  log_heard_at_ = loop_->Now();
  AdoptState(std::move(*fold));
}

void config_follower::OnPeerOffset(const std::string& address,
                                   uint64_t offset) {
  if (offset > fold_.offset())
    RequestUpdate(address);
}

void config_follower::RequestUpdateFromAnyPeer() {
  std::vector<std::string> candidates = live_peers_();
  candidates.insert(candidates.end(), options_.seed_peers.begin(),
                    options_.seed_peers.end());
  candidates.erase(
      std::remove(candidates.begin(), candidates.end(), options_.peer_address),
      candidates.end());
  if (!candidates.empty())
    RequestUpdate(candidates[random_->Below(candidates.size())]);
}

void config_follower::RequestUpdate(const std::string& address) {
  const time_point now = loop_->Now();
  if (now - last_request_at_ < kRequestInterval)
    return;
  last_request_at_ = now;
  fbs::config_requestT request;
  request.from_offset = fold_.offset() + 1;
  peers_->Send(address, MakeEnvelope(request));
}

config_record config_follower::NewRecord(record_kind kind) {
  config_record record;
  record.kind = kind;
  record.id = RandomId(random_);
  record.unix_ms = options_.wall_clock_ms();
  record.author = options_.author;
  return record;
}

void config_follower::AppendChange(const std::string& path,
                                   uint64_t base_version,
                                   std::optional<json> value,
                                   const std::string& author,
                                   append_callback done) {
  config_record record = NewRecord(record_kind::kChange);
  record.path = path;
  record.base_version = base_version;
  record.value = std::move(value);
  record.author = author;
  StartAppend(record, std::move(done));
}

void config_follower::AppendJoin(const roster_member& member,
                                 append_callback done) {
  config_record record = NewRecord(record_kind::kJoin);
  record.member = member;
  StartAppend(record, std::move(done));
}

void config_follower::AppendLeave(uint64_t incarnation, append_callback done) {
  config_record record = NewRecord(record_kind::kLeave);
  record.member.incarnation = incarnation;
  StartAppend(record, std::move(done));
}

void config_follower::AppendEvict(uint64_t incarnation, append_callback done) {
  config_record record = NewRecord(record_kind::kEvict);
  record.member.incarnation = incarnation;
  StartAppend(record, std::move(done));
}

void config_follower::StartAppend(const config_record& record,
                                  append_callback done) {
  pending_append append;
  append.data = RecordToText(record);
  append.kind = record.kind;
  append.path = record.path;
  append.done = std::move(done);
  append.deadline = loop_->Now() + options_.append_timeout;
  append.retry_delay = options_.append_retry_min;
  // A record that no node can parse would never be resolved.
  if (!ParseRecord(append.data)) {
    append_result result;
    result.state = append_state::kVoid;
    result.record_problem = IsConfigPath(record.path) || record.path.empty()
                                ? "the record is malformed"
                                : "the path must have the form /SUBTREE/NAME";
    RunLater(duration::zero(), [callback = append.done, result] {
      if (callback)
        callback(result);
    });
    return;
  }
  const std::string id = record.id;
  pending_appends_.emplace(id, std::move(append));
  TryAppend(id);
}

void config_follower::TryAppend(const std::string& id) {
  const auto found = pending_appends_.find(id);
  if (found == pending_appends_.end() || found->second.offset != 0)
    return;
  log_->Append(
      found->second.data, [this, id, alive = std::weak_ptr<bool>(alive_)](
                              const tl::expected<uint64_t, log_error>& result) {
        if (alive.expired())
          return;
        counters_
            ->appends[result ? "ok" : counters::NameOf(result.error().kind)]
            ->Increment();
        const auto pending = pending_appends_.find(id);
        if (pending == pending_appends_.end())
          return;
        if (result) {
          pending->second.offset = *result;
          pending->second.may_have_reached_log = true;
          ResolveAppends();
          ReadLog();
          return;
        }
        if (result.error().kind == log_error_kind::kTimeout)
          pending->second.may_have_reached_log = true;
        RetryAppend(id);
      });
}

void config_follower::RetryAppend(const std::string& id) {
  pending_append& append = pending_appends_.at(id);
  const duration retry_delay =
      append.retry_delay / 2 + Jitter(append.retry_delay);
  append.retry_delay =
      std::min(append.retry_delay * 2, options_.append_retry_max);
  RunLater(retry_delay, [this, id] { TryAppend(id); });
}

// Reports the appends that have timed out, and those whose record became part
// of the state through a state from a peer.
void config_follower::ResolveAppends() {
  std::vector<std::pair<std::string, append_result>> finished;
  for (const auto& [id, append] : pending_appends_) {
    append_result result;
    result.offset = append.offset;
    result.may_have_reached_log = append.may_have_reached_log;
    if (const processed_record* verdict = fold_.FindRecord(id)) {
      result.offset = verdict->offset;
      result.may_have_reached_log = true;
      result.state =
          verdict->is_void ? append_state::kVoid : append_state::kAccepted;
      const auto entry = fold_.entries().find(append.path);
      if (verdict->is_void && entry != fold_.entries().end())
        result.entry_in_force = entry->second;
      finished.emplace_back(id, std::move(result));
    } else if (loop_->Now() >= append.deadline) {
      finished.emplace_back(id, std::move(result));
    }
  }
  for (const auto& [id, result] : finished)
    ResolveAppend(id, result);
}

void config_follower::ResolveAppend(const std::string& id,
                                    const append_result& result) {
  const auto found = pending_appends_.find(id);
  if (found == pending_appends_.end())
    return;
  const append_callback done = std::move(found->second.done);
  pending_appends_.erase(found);
  // Runs the callback later, when the view includes the record.
  if (done)
    RunLater(duration::zero(), [done, result] { done(result); });
}

bool config_follower::IsSnapshotDue() const {
  const uint64_t records = fold_.offset() - fold_.last_snapshot_offset();
  return ready_ && !snapshot_scan_ && fold_.skipped_newer() == 0 &&
         (records >= options_.snapshot_records ||
          (records > 0 && loop_->Now() - last_snapshot_seen_at_ >=
                              options_.snapshot_interval));
}

void config_follower::ScheduleSnapshotIfDue() {
  ResolveAppends();
  if (snapshot_scheduled_ || !IsSnapshotDue() || !IsElectedReader() ||
      loop_->Now() - last_snapshot_attempt_at_ < kSnapshotRetryInterval)
    return;
  snapshot_scheduled_ = true;
  RunLater(Jitter(options_.snapshot_jitter), [this] {
    snapshot_scheduled_ = false;
    // Another node may have appended a snapshot in the meantime.
    if (IsSnapshotDue())
      AppendSnapshot();
  });
}

void config_follower::AppendSnapshot() {
  last_snapshot_attempt_at_ = loop_->Now();
  config_record record = NewRecord(record_kind::kSnapshot);
  record.state = fold_.ToJson();
  counters_->snapshots.Increment();
  StartAppend(record, nullptr);
}

void config_follower::RunLater(duration delay, std::function<void()> callback) {
  loop_->RunAfter(delay, [alive = std::weak_ptr<bool>(alive_),
                          callback = std::move(callback)] {
    if (!alive.expired())
      callback();
  });
}

duration config_follower::Jitter(duration max) {
  return std::chrono::duration_cast<duration>(max * random_->Fraction());
}

}  // namespace skylarkhoist
