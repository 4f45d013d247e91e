#include "node/store_config_follower.h"

#include <algorithm>
#include <utility>

#include "kernel/json.h"
#include "kernel/log.h"

namespace skylarkhoist {
namespace {

// Time that a read waits at the store for new records (long poll). A record
// that is written while a read arrives at the store may not wake this read.
// That happens after a change, when several nodes start their next read at the
// same time and another change follows soon, so a reader first waits for a
// short time.
constexpr duration kFirstPollWait = std::chrono::milliseconds(400);
// A reader notices only at the end of its read that the store has become
// silent. The readers are staggered over this time.
constexpr duration kPollWait = std::chrono::seconds(4);

// A reader whose read is not answered within this time after the end of
// its wait starts another one.
constexpr duration kLateAnswer = std::chrono::milliseconds(500);

// Pause between two reads, so that records written in quick succession are read
// together. Well below the time within which a change must take effect.
constexpr duration kReadPause = std::chrono::milliseconds(50);

// Pause after a failed read, for readers and for nodes without a configuration.
constexpr duration kMinRetryDelay = std::chrono::milliseconds(200);
constexpr duration kMaxReaderRetryDelay = std::chrono::milliseconds(500);
constexpr duration kMaxRetryDelay = std::chrono::seconds(1);

// Delay before a reader that the store answers requests newer records from a
// peer. Its own reads, with the pause between them, show a change within this
// time after its peers see it.
constexpr duration kReaderRequestDelay = std::chrono::milliseconds(500);
// Delay before other nodes request records from another zone. The readers of
// their own zone usually have them by then.
constexpr duration kOtherZoneRequestDelay = std::chrono::milliseconds(300);

// A node that no longer reads may reach the store again after this time.
constexpr duration kStoreLostMemory = std::chrono::seconds(10);

// Time after a restore of the store for which a record that the restored copy
// lacks stays in force. Operators write it again within this time.
constexpr duration kUnconfirmedGrace = std::chrono::seconds(5);

// Returns whether all items of a config_state have the required fields.
bool DecodeRecords(const std::string& text,
                   uint64_t era,
                   std::vector<era_record>* records) {
  const auto items = ParseJson(text);
  if (!items || !items->is_array())
    return false;
  for (const json& item : *items) {
    if (!item.is_object() || !item.contains("key") ||
        !item["key"].is_string() || !item.contains("offset") ||
        !item["offset"].is_number_unsigned())
      return false;
    era_record each;
    each.record.key = item["key"];
    each.record.offset = item["offset"];
    if (item.contains("value") && item["value"].is_string())
      each.record.value = item["value"].get<std::string>();
    each.era = era;
    if (item.contains("era") && item["era"].is_number_unsigned())
      each.era = item["era"];
    if (each.era > era)
      return false;
    records->push_back(std::move(each));
  }
  return true;
}

// A record has the field "era" only if its era is not that of the message.
std::string EncodeRecords(const std::vector<era_record>& records,
                          uint64_t era) {
  json items = json::array();
  for (const era_record& each : records) {
    json item = {{"key", each.record.key}, {"offset", each.record.offset}};
    if (each.record.value)
      item["value"] = *each.record.value;
    if (each.era != era)
      item["era"] = each.era;
    items.push_back(std::move(item));
  }
  return JsonText(items);
}

}  // namespace

store_config_follower::store_config_follower(
    loop* loop,
    store_era* store,
    peer_transport* transport,
    std::string own_zone,
    const operator_record_reader* reader,
    metrics* counters)
    : loop_(loop),
      store_(store),
      transport_(transport),
      own_zone_(std::move(own_zone)),
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
  loop_->Cancel(request_timer_);
  loop_->Cancel(grace_timer_);
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

bool store_config_follower::store_lost() const {
  return !store_available_ &&
         (IsReader() || loop_->Now() - store_lost_at_ < kStoreLostMemory);
}

void store_config_follower::SetReader(const std::optional<reader_turn>& turn) {
  const bool was_reader = IsReader();
  turn_ = turn;
  if (!was_reader)
    Read();
}

void store_config_follower::Read() {
  const bool read_in_progress = open_reads_ > 0 && late_timer_ != 0;
  if (IsReader() && !read_in_progress && read_timer_ == 0)
    ReadAfter(NextPollWait());
}

// Reads the newest records, or those after the ones that this node has.
void store_config_follower::ReadAfter(duration poll_wait) {
  if (applied_offset_ > 0)
    ReadNext(poll_wait);
  else
    ReadNewest();
}

duration store_config_follower::NextPollWait() const {
  if (empty_reads_ == 0)
    return kFirstPollWait;
  if (empty_reads_ > 1 || !IsReader())
    return kPollWait;
  return kPollWait * static_cast<duration::rep>(turn_->position + 1) /
         static_cast<duration::rep>(turn_->count);
}

uint64_t store_config_follower::BeginRead(duration poll_wait) {
  loop_->Cancel(late_timer_);
  late_timer_ = loop_->RunAfter(poll_wait + kLateAnswer, [this] {
    late_timer_ = 0;
    OnLateAnswer();
  });
  store_reads_.Increment();
  read_started_at_ = loop_->Now();
  read_missed_records_ = false;
  ++open_reads_;
  return ++current_read_;
}

void store_config_follower::ReadNewest() {
  const uint64_t read = BeginRead(duration::zero());
  store_->ReadNewest(
      store_topic::kOperators,
      [this, read, alive = std::weak_ptr<bool>(alive_)](const auto& result) {
        if (!alive.expired())
          OnRead(read, result, true);
      });
}

void store_config_follower::ReadNext(duration poll_wait) {
  const uint64_t read = BeginRead(poll_wait);
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
  if (IsReader() || !ready())
    ReadAfter(duration::zero());
}

void store_config_follower::ScheduleNextRead() {
  if (!IsReader())
    return;
  read_timer_ = loop_->RunAfter(kReadPause, [this] {
    read_timer_ = 0;
    ReadNext(NextPollWait());
  });
}

void store_config_follower::OnRead(
    uint64_t read,
    const tl::expected<keyed_batch, store_failure>& result,
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
    if (result.error().error == store_error::kTrimmed)
      ReadNewest();
    else
      ScheduleRetry(result.error().error);
    return;
  }
  SetStoreAnswered();
  retry_delay_ = duration::zero();
  empty_reads_ = result->records.empty() ? empty_reads_ + 1 : 0;
  keyed_batch batch = *result;
  if (full_read) {
    for (keyed_record& deleted : records_.DeletedBy(batch))
      batch.records.push_back(std::move(deleted));
  }
  const uint64_t previous_offset = applied_offset_;
  const bool was_complete = is_complete_;
  Apply(batch, full_read ? "store_newest" : "store", full_read);
  if (IsReader() && (applied_offset_ > previous_offset || !was_complete) &&
      new_records_callback_)
    new_records_callback_();
  if (!superseded)
    ScheduleNextRead();
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
  const bool changed = std::exchange(store_available_, false);
  store_lost_at_ = loop_->Now();
  if (changed && store_change_callback_)
    store_change_callback_(true);
}

void store_config_follower::SetStoreAnswered() {
  if (!store_available_)
    LogStateChange("state", "store_regained",
                   {{"applied", std::to_string(applied_offset_)},
                    {"store_age_ms", std::to_string(StoreAgeMs())}});
  const bool changed = !std::exchange(store_available_, true);
  has_read_store_ = true;
  last_store_answer_ = loop_->Now();
  if (changed && store_change_callback_)
    store_change_callback_(false);
}

void store_config_follower::ScheduleRetry(store_error error) {
  store_read_failures_.Increment();
  SetStoreLost(error == store_error::kRefused ? "refused" : "no_answer");
  // The other nodes get the records from their peers.
  if (!IsReader() && ready())
    return;
  retry_delay_ = std::clamp(retry_delay_ * 2, kMinRetryDelay,
                            IsReader() ? kMaxReaderRetryDelay : kMaxRetryDelay);
  read_timer_ = loop_->RunAfter(retry_delay_, [this] {
    read_timer_ = 0;
    if (IsReader() || !ready())
      ReadAfter(NextPollWait());
  });
}

void store_config_follower::Apply(const keyed_batch& batch,
                                  const char* source,
                                  bool full_read) {
  bool changed = false;
  for (const keyed_record& record : batch.records)
    changed = ApplyRecord({record, store_->current()}, source) || changed;
  // It does not show zones that were out of service for a while before it.
  if (full_read && ready()) {
    ++zone_returns_[own_zone_];
    changed = true;
  }
  applied_offset_ = std::max(applied_offset_, batch.end_offset);
  is_complete_ = true;
  if (changed)
    RebuildView();
  if (grace_timer_ == 0)
    DeleteUnconfirmedRecords();
}

void store_config_follower::OnEraChange() {
  applied_offset_ = 0;
  is_complete_ = false;
  empty_reads_ = 0;
  offer_.reset();
  grace_is_over_ = false;
  loop_->Cancel(std::exchange(grace_timer_, 0));
  StartGrace();
  loop_->Cancel(read_timer_);
  read_timer_ = 0;
  ReadNewest();
}

void store_config_follower::StartGrace() {
  if (grace_timer_ != 0)
    return;
  grace_timer_ = loop_->RunAfter(kUnconfirmedGrace, [this] {
    grace_timer_ = 0;
    grace_is_over_ = true;
    if (is_complete_)
      DeleteUnconfirmedRecords();
  });
}

// A node that has waited for its own grace takes no more unconfirmed records,
// so that nodes do not prolong the grace for each other.
void store_config_follower::ApplyUnconfirmed(
    const std::vector<era_record>& records) {
  bool changed = false;
  for (const era_record& each : records) {
    if (each.era >= store_->current())
      continue;
    const auto read = reader_->Read(each.record);
    const bool is_config =
        read && std::holds_alternative<configuration_record>(*read);
    // The version in force may be newer than the one in the store, so its
    // record does not replace that one.
    if (is_config || (!grace_is_over_ && records_.Add(each)))
      changed = TakeEffect(each, "peer_unconfirmed") || changed;
  }
  if (changed)
    RebuildView();
  if (!grace_is_over_)
    StartGrace();
}

void store_config_follower::DeleteUnconfirmedRecords() {
  bool changed = false;
  for (const era_record& each : records_.Unconfirmed(store_->current())) {
    records_.Remove(each.record.key);
    changed = TakeEffect({{each.record.key, std::nullopt, each.record.offset},
                          each.era},
                         "restore") ||
              changed;
  }
  if (changed)
    RebuildView();
}

std::vector<era_record> store_config_follower::UnconfirmedRecords() const {
  std::vector<era_record> found = records_.Unconfirmed(store_->current());
  const bool has_config =
      std::any_of(found.begin(), found.end(), [this](const era_record& each) {
        return each.record.key == config_record_.record.key &&
               each.record.offset == config_record_.record.offset;
      });
  if (ready() && config_record_.era < store_->current() && !has_config)
    found.push_back(config_record_);
  return found;
}

void store_config_follower::SendUnconfirmedRecords(const std::string& address) {
  const std::vector<era_record> records = UnconfirmedRecords();
  if (records.empty())
    return;
  fbs::config_stateT state;
  state.store_era = store_->current();
  state.state = EncodeRecords(records, state.store_era);
  transport_->Send(address, MakeEnvelope(std::move(state)));
}

bool store_config_follower::ApplyRecord(const era_record& record,
                                        const char* source) {
  return records_.Add(record) && TakeEffect(record, source);
}

bool store_config_follower::TakeEffect(const era_record& added,
                                       const char* source) {
  const keyed_record& record = added.record;
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
    // The zone was out of service before this record, also if this node missed
    // the record that said so.
    if (!zone->out_of_service)
      ++zone_returns_[zone->zone];
    return changed || (!zone->out_of_service && ready());
  }
  if (const auto* rollout = std::get_if<rollout_record>(&*read)) {
    if (rollout_callback_)
      rollout_callback_(*rollout);
    return false;
  }
  const auto* config = std::get_if<configuration_record>(&*read);
  if (config == nullptr || config->version < version_)
    return false;
  if (config->version > version_ || added.era > config_record_.era)
    config_record_ = added;
  if (config->version == version_)
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
  built->zone_returns = zone_returns_;
  view_ = std::move(built);
  version_gauge_.Set(static_cast<double>(version_));
  if (change_callback_)
    change_callback_();
}

duration store_config_follower::RequestDelay(bool own_zone) const {
  // After a restore of the store, this node reads from it as well.
  if (IsReader() || (ready() && !is_complete_))
    return store_available_ ? kReaderRequestDelay : duration::zero();
  return own_zone || !ready() ? duration::zero() : kOtherZoneRequestDelay;
}

void store_config_follower::OnPeerOffset(const peer_info& from,
                                         uint64_t offset) {
  if (offset <= applied_offset_)
    return;
  const bool own_zone = from.zone == own_zone_;
  const bool is_better =
      !offer_ || offset > offer_->offset ||
      (offset == offer_->offset && own_zone && !offer_->own_zone);
  if (is_better)
    offer_ = peer_offer{from.address, own_zone, offset};
  const time_point request_at = loop_->Now() + RequestDelay(own_zone);
  if (request_timer_ != 0 && request_at_ <= request_at)
    return;
  loop_->Cancel(request_timer_);
  request_at_ = request_at;
  request_timer_ = loop_->RunAfter(request_at - loop_->Now(), [this] {
    request_timer_ = 0;
    RequestRecords();
  });
}

void store_config_follower::RequestRecords() {
  const std::optional<peer_offer> offer = std::exchange(offer_, std::nullopt);
  if (!offer || applied_offset_ >= offer->offset)
    return;
  read_missed_records_ = IsReader() && read_timer_ == 0;
  fbs::config_requestT request;
  request.from_offset = applied_offset_;
  request.store_era = store_->current();
  transport_->Send(offer->address, MakeEnvelope(request));
}

void store_config_follower::HandleRequest(const std::string& address,
                                          const fbs::config_requestT& request) {
  // A node in an earlier era lacks all records of the present one.
  const uint64_t era = store_->current();
  if (request.store_era > era) {
    store_->ObservePeer(request.store_era, request.from_offset);
    return;
  }
  const uint64_t from = request.store_era == era ? request.from_offset : 0;
  if (from >= applied_offset_)
    return;
  if (encoded_records_.empty() || encoded_era_ != era ||
      encoded_from_ != from || encoded_offset_ != applied_offset_) {
    std::vector<era_record> records;
    for (keyed_record& record : records_.Since(era, from))
      records.push_back({std::move(record), era});
    encoded_records_ = EncodeRecords(records, era);
    encoded_era_ = era;
    encoded_from_ = from;
    encoded_offset_ = applied_offset_;
  }
  fbs::config_stateT state;
  state.offset = applied_offset_;
  state.state = encoded_records_;
  state.store_era = era;
  transport_->Send(address, MakeEnvelope(std::move(state)));
}

void store_config_follower::HandleState(const peer_info& from,
                                        const fbs::config_stateT& state) {
  std::vector<era_record> records;
  if (!DecodeRecords(state.state, state.store_era, &records)) {
    malformed_records_.Increment();
    LogWarning("state", "bad_state_of_peer", {{"peer", from.address}});
    return;
  }
  if (!store_->ObservePeer(state.store_era, state.offset))
    return;
  if (state.offset == 0) {
    ApplyUnconfirmed(records);
    return;
  }
  keyed_batch batch;
  batch.end_offset = state.offset;
  for (era_record& each : records)
    batch.records.push_back(std::move(each.record));
  const uint64_t previous_offset = applied_offset_;
  Apply(batch, "peer", false);
  if (from.zone != own_zone_ && applied_offset_ > previous_offset &&
      new_records_callback_)
    new_records_callback_();
  // The store may never answer a read that missed records.
  if (IsReader() && read_missed_records_ && has_read_store_ &&
      open_reads_ == 1) {
    LogWarning("state", "read_missed_records",
               {{"applied", std::to_string(applied_offset_)},
                {"read_ms", std::to_string(ToMilliseconds(loop_->Now() -
                                                          read_started_at_))}});
    ReadNext(NextPollWait());
  }
}

}  // namespace skylarkhoist
