#include "node/store_config_follower.h"

#include <algorithm>
#include <utility>

#include "kernel/json.h"
#include "kernel/log.h"

namespace skylarkhoist {
namespace {

// Time that a read waits at the store for new records (long poll). A record
// that is written while a read arrives at the store may not wake this read.
// That happens after a change, when all nodes start their next read at the same
// time and another change follows soon, so a primary reader first waits for a
// short time.
constexpr duration kFirstPollWait = std::chrono::milliseconds(400);
// A primary reader notices only at the end of its read that the store has
// become silent. The primary readers are staggered over this time.
constexpr duration kPrimaryPollWait = std::chrono::seconds(4);
constexpr duration kSecondaryPollWait = std::chrono::seconds(20);

// A primary reader whose read is not answered within this time after the end of
// its wait starts another one.
constexpr duration kLateAnswer = std::chrono::milliseconds(500);

// Pause between two reads of a primary reader, so that records written in quick
// succession are read together. Well below the time within which a change must
// take effect.
constexpr duration kPrimaryReadPause = std::chrono::milliseconds(50);
// The same for the other nodes, which are notified of changes.
constexpr duration kSecondaryReadPause = std::chrono::milliseconds(250);

// Pause after a failed read.
constexpr duration kMinRetryDelay = std::chrono::milliseconds(200);
constexpr duration kMaxPrimaryRetryDelay = std::chrono::milliseconds(500);
constexpr duration kMaxSecondaryRetryDelay = std::chrono::seconds(1);

// Delay before a node that can read the store requests newer records from a
// peer. Its own reads, with the pause between them, show a change within this
// time after its peers see it.
constexpr duration kPeerRequestDelay = std::chrono::milliseconds(500);

}  // namespace

store_config_follower::store_config_follower(
    loop* loop,
    keyed_store* store,
    peer_transport* transport,
    const operator_record_reader* reader,
    metrics* counters)
    : loop_(loop),
      store_(store),
      transport_(transport),
      reader_(reader),
      version_gauge_(counters->Gauge("skylarkhoist_config_version",
                                     "Version of the configuration in force")),
      store_reads_(
          counters->Counter("skylarkhoist_store_reads_total",
                            "Reads of operator records from the store")),
      store_read_failures_(
          counters->Counter("skylarkhoist_store_read_failures_total",
                            "Failed reads of operator records from the store")),
      late_store_reads_(
          counters->Counter("skylarkhoist_store_late_reads_total",
                            "Reads of operator records that the store did not "
                            "answer in time")),
      malformed_records_(
          counters->Counter("skylarkhoist_bad_operator_records_total",
                            "Malformed operator records that were skipped")) {}

store_config_follower::~store_config_follower() {
  loop_->Cancel(read_timer_);
  loop_->Cancel(late_timer_);
  loop_->Cancel(peer_request_timer_);
}

void store_config_follower::Start() {
  ReadNewest();
}

duration store_config_follower::StoreAge(time_point now) const {
  return has_read_store_ ? now - last_store_answer_ : duration::max();
}

int64_t store_config_follower::StoreAgeMs() const {
  return has_read_store_ ? ToMilliseconds(loop_->Now() - last_store_answer_)
                         : -1;
}

void store_config_follower::SetReaderRank(size_t rank) {
  const bool was_primary = IsPrimaryReader();
  reader_rank_ = rank;
  // The read in progress may wait too long for a primary reader.
  if (IsPrimaryReader() && !was_primary && has_read_store_ && read_timer_ == 0)
    ReadNext(NextPollWait());
}

duration store_config_follower::NextPollWait() const {
  if (!IsPrimaryReader())
    return kSecondaryPollWait;
  if (empty_reads_ == 0)
    return kFirstPollWait;
  if (empty_reads_ > 1)
    return kPrimaryPollWait;
  const auto position = static_cast<duration::rep>(reader_rank_ + 1);
  return kPrimaryPollWait * position /
         static_cast<duration::rep>(kPrimaryReaders);
}

uint64_t store_config_follower::BeginRead() {
  loop_->Cancel(late_timer_);
  late_timer_ = 0;
  store_reads_.Increment();
  read_started_at_ = loop_->Now();
  read_missed_records_ = false;
  ++open_reads_;
  return ++current_read_;
}

void store_config_follower::ReadNewest() {
  const uint64_t read = BeginRead();
  store_->ReadNewest(
      store_topic::kOperators,
      [this, read, alive = std::weak_ptr<bool>(alive_)](const auto& result) {
        if (!alive.expired())
          OnRead(read, result, true);
      });
}

void store_config_follower::ReadNext(duration poll_wait) {
  const uint64_t read = BeginRead();
  if (IsPrimaryReader())
    late_timer_ = loop_->RunAfter(poll_wait + kLateAnswer, [this] {
      late_timer_ = 0;
      OnLateAnswer();
    });
  store_->ReadFrom(
      store_topic::kOperators, applied_offset_, poll_wait,
      [this, read, alive = std::weak_ptr<bool>(alive_)](const auto& result) {
        if (!alive.expired())
          OnRead(read, result, false);
      });
}

// Reads again without waiting for the read in progress, which the store may
// never answer. Each read ends by its own time limit, which bounds their
// number.
void store_config_follower::OnLateAnswer() {
  late_store_reads_.Increment();
  SetStoreLost("late");
  ReadNext(duration::zero());
}

void store_config_follower::ScheduleNextRead() {
  read_timer_ = loop_->RunAfter(
      IsPrimaryReader() ? kPrimaryReadPause : kSecondaryReadPause, [this] {
        read_timer_ = 0;
        ReadNext(NextPollWait());
      });
}

void store_config_follower::OnRead(
    uint64_t read,
    const tl::expected<keyed_batch, store_error>& result,
    bool full_read) {
  --open_reads_;
  const bool superseded = read != current_read_;
  if (!superseded) {
    loop_->Cancel(late_timer_);
    late_timer_ = 0;
    read_missed_records_ = false;
  }
  if (!result) {
    if (superseded)
      return;
    if (result.error() == store_error::kTrimmed)
      ReadNewest();
    else
      ScheduleRetry(result.error());
    return;
  }
  if (!store_available_)
    LogStateChange("state", "store_regained",
                   {{"applied", std::to_string(applied_offset_)},
                    {"store_age_ms", std::to_string(StoreAgeMs())}});
  store_available_ = true;
  has_read_store_ = true;
  last_store_answer_ = loop_->Now();
  retry_delay_ = duration::zero();
  empty_reads_ = result->records.empty() ? empty_reads_ + 1 : 0;
  keyed_batch batch = *result;
  if (full_read)
    AddDeletedKeys(&batch);
  const uint64_t previous_offset = applied_offset_;
  Apply(batch, full_read ? "store_newest" : "store");
  if (IsPrimaryReader() && applied_offset_ > previous_offset &&
      new_records_callback_)
    new_records_callback_();
  if (!superseded)
    ScheduleNextRead();
}

// A full read does not contain the keys that were deleted since the last read,
// so this adds a deletion for each known key that is missing from it.
void store_config_follower::AddDeletedKeys(keyed_batch* batch) const {
  std::set<std::string> present_keys;
  for (const keyed_record& record : batch->records)
    present_keys.insert(record.key);
  for (const auto& [key, record] : newest_records_) {
    if (record.value && record.offset < batch->end_offset &&
        present_keys.count(key) == 0)
      batch->records.push_back({key, std::nullopt, batch->end_offset - 1});
  }
}

void store_config_follower::SetStoreLost(const char* error) {
  if (store_available_) {
    LogWarning("state", "store_lost",
               {{"error", error},
                {"applied", std::to_string(applied_offset_)},
                {"read_ms", std::to_string(ToMilliseconds(loop_->Now() -
                                                          read_started_at_))},
                {"store_age_ms", std::to_string(StoreAgeMs())}});
  }
  store_available_ = false;
}

void store_config_follower::ScheduleRetry(store_error error) {
  store_read_failures_.Increment();
  SetStoreLost(error == store_error::kRefused ? "refused" : "no_answer");
  retry_delay_ = std::clamp(
      retry_delay_ * 2, kMinRetryDelay,
      IsPrimaryReader() ? kMaxPrimaryRetryDelay : kMaxSecondaryRetryDelay);
  read_timer_ = loop_->RunAfter(retry_delay_, [this] {
    read_timer_ = 0;
    if (has_read_store_)
      ReadNext(NextPollWait());
    else
      ReadNewest();
  });
}

void store_config_follower::Apply(const keyed_batch& batch,
                                  const char* source) {
  bool changed = false;
  for (const keyed_record& record : batch.records)
    changed = ApplyRecord(record, source) || changed;
  applied_offset_ = std::max(applied_offset_, batch.end_offset);
  if (changed)
    RebuildView();
}

bool store_config_follower::ApplyRecord(const keyed_record& record,
                                        const char* source) {
  const auto known = newest_records_.find(record.key);
  if (known != newest_records_.end() && known->second.offset >= record.offset)
    return false;
  newest_records_[record.key] = record;
  const auto read = reader_->Read(record);
  if (!read) {
    malformed_records_.Increment();
    LogWarning("state", "bad_record",
               {{"key", record.key},
                {"offset", std::to_string(record.offset)},
                {"findings", read.error().ToText()}});
    return false;
  }
  if (const auto* zone = std::get_if<zone_record>(&*read)) {
    const bool changed = zone->out_of_service
                             ? zones_out_.insert(zone->zone).second
                             : zones_out_.erase(zone->zone) > 0;
    if (changed) {
      LogStateChange("state", zone->out_of_service ? "zone_out" : "zone_in",
                     {{"zone", zone->zone},
                      {"offset", std::to_string(record.offset)},
                      {"source", source}});
    }
    return changed;
  }
  const auto* config = std::get_if<configuration_record>(&*read);
  if (config == nullptr || config->version <= version_)
    return false;
  version_ = config->version;
  operator_config_ = config->view;
  LogStateChange(
      "state", "configuration",
      {{"version", std::to_string(version_)},
       {"offset", std::to_string(record.offset)},
       {"source", source},
       {"store_age_ms", std::to_string(StoreAgeMs())},
       {"routes", std::to_string(operator_config_.routes.size())},
       {"customers", std::to_string(operator_config_.customers.size())}});
  return true;
}

void store_config_follower::RebuildView() {
  auto built = std::make_shared<config_view>(operator_config_);
  built->offset = version_;
  built->out_of_service_zones = zones_out_;
  view_ = std::move(built);
  version_gauge_.Set(static_cast<double>(version_));
  if (change_callback_)
    change_callback_();
}

void store_config_follower::OnPeerOffset(const std::string& address,
                                         uint64_t offset) {
  if (offset <= applied_offset_ || offset <= most_advanced_offset_)
    return;
  most_advanced_offset_ = offset;
  most_advanced_peer_ = address;
  if (peer_request_timer_ != 0)
    return;
  peer_request_timer_ = loop_->RunAfter(
      store_available_ ? kPeerRequestDelay : duration::zero(), [this] {
        peer_request_timer_ = 0;
        const uint64_t wanted_offset = std::exchange(most_advanced_offset_, 0);
        if (applied_offset_ >= wanted_offset)
          return;
        read_missed_records_ = read_timer_ == 0;
        fbs::config_requestT request;
        request.from_offset = applied_offset_;
        transport_->Send(most_advanced_peer_, MakeEnvelope(request));
      });
}

void store_config_follower::HandleRequest(const std::string& address,
                                          const fbs::config_requestT& request) {
  if (request.from_offset >= applied_offset_)
    return;
  json records = json::array();
  for (const auto& [key, record] : newest_records_) {
    if (record.offset < request.from_offset)
      continue;
    json item = {{"key", key}, {"offset", record.offset}};
    if (record.value)
      item["value"] = *record.value;
    records.push_back(std::move(item));
  }
  fbs::config_stateT state;
  state.offset = applied_offset_;
  state.state = records.dump(-1, ' ', false, json::error_handler_t::replace);
  transport_->Send(address, MakeEnvelope(std::move(state)));
}

void store_config_follower::HandleState(const std::string& address,
                                        const fbs::config_stateT& state) {
  const auto records = ParseJson(state.state);
  keyed_batch batch;
  batch.end_offset = state.offset;
  bool valid = records.has_value() && records->is_array();
  for (const json& item : valid ? *records : json::array()) {
    keyed_record record;
    valid = item.is_object() && item.contains("key") &&
            item["key"].is_string() && item.contains("offset") &&
            item["offset"].is_number_unsigned();
    if (!valid)
      break;
    record.key = item["key"];
    record.offset = item["offset"];
    if (item.contains("value") && item["value"].is_string())
      record.value = item["value"].get<std::string>();
    batch.records.push_back(std::move(record));
  }
  if (!valid) {
    malformed_records_.Increment();
    LogWarning("state", "bad_state_of_peer", {{"peer", address}});
    return;
  }
  Apply(batch, "peer");
  // The store may never answer a read that missed records.
  if (read_missed_records_ && has_read_store_ && open_reads_ == 1) {
    LogWarning("state", "read_missed_records",
               {{"applied", std::to_string(applied_offset_)},
                {"read_ms", std::to_string(ToMilliseconds(loop_->Now() -
                                                          read_started_at_))}});
    ReadNext(NextPollWait());
  }
}

}  // namespace skylarkhoist
