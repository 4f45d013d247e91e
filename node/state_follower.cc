#include "node/state_follower.h"

#include <algorithm>
#include <utility>

#include "kernel/json.h"
#include "kernel/log.h"

namespace skylarkhoist {
namespace {

// How long one read of a scout waits for new records: at first after a change,
// and at most. A read that reaches the store while a record is added may not be
// woken by it; that happens after a change, when all nodes read on at the same
// time and the next change comes soon. Later waits are long, since each read
// has a price; a connection that falls silent ends by its keep-alive probes.
constexpr duration kFirstReadWait = std::chrono::milliseconds(400);
constexpr duration kLongestReadWait = std::chrono::seconds(20);

// Between two reads, so that records that come in quick succession are read
// together; well below the time in which a change must be in force.
constexpr duration kReadPause = std::chrono::milliseconds(50);
// The same for a node that others tell of changes.
constexpr duration kFollowerReadPause = std::chrono::milliseconds(250);

constexpr duration kFirstRetry = std::chrono::milliseconds(200);
constexpr duration kLongestRetry = std::chrono::seconds(1);

// A node that reads the store itself sees a change within this time of its
// peers, with its pause; only after it does a peer get asked.
constexpr duration kPeerPatience = std::chrono::milliseconds(500);

}  // namespace

state_follower::state_follower(loop* loop,
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
      store_reads_(counters->Counter("skylarkhoist_store_reads_total",
                                     "Reads of operators' records")),
      store_failures_(
          counters->Counter("skylarkhoist_store_read_failures_total",
                            "Reads of operators' records that failed")),
      bad_records_(counters->Counter(
          "skylarkhoist_bad_operator_records_total",
          "Records of operators that could not be read and were passed over")) {
}

state_follower::~state_follower() {
  loop_->Cancel(retry_timer_);
  loop_->Cancel(peer_timer_);
}

void state_follower::Start() {
  ReadNewest();
}

duration state_follower::StoreAge(time_point now) const {
  return store_answered_ ? now - store_answered_at_ : duration::max();
}

void state_follower::ReadNewest() {
  store_reads_.Increment();
  store_->ReadNewest(
      store_topic::kOperators,
      [this, alive = std::weak_ptr<bool>(alive_)](const auto& result) {
        if (!alive.expired())
          OnRead(result, true);
      });
}

void state_follower::ReadOn() {
  store_reads_.Increment();
  store_->ReadFrom(
      store_topic::kOperators, applied_, read_wait_,
      [this, alive = std::weak_ptr<bool>(alive_)](const auto& result) {
        if (!alive.expired())
          OnRead(result, false);
      });
}

void state_follower::OnRead(
    const tl::expected<keyed_batch, store_error>& result,
    bool newest) {
  if (!result) {
    if (result.error() == store_error::kTrimmed)
      ReadNewest();
    else
      RetryLater(result.error());
    return;
  }
  if (!store_answers_)
    LogStateChange("state", "store_regained",
                   {{"applied", std::to_string(applied_)}});
  store_answers_ = true;
  store_answered_ = true;
  store_answered_at_ = loop_->Now();
  retry_delay_ = duration::zero();
  if (!is_scout_)
    read_wait_ = kLongestReadWait;
  else if (result->records.empty())
    read_wait_ = std::min(read_wait_ * 2, kLongestReadWait);
  else
    read_wait_ = kFirstReadWait;
  keyed_batch batch = *result;
  if (newest)
    AddDropped(&batch);
  const uint64_t before = applied_;
  Apply(batch, newest ? "store_newest" : "store");
  if (is_scout_ && applied_ > before && news_)
    news_();
  retry_timer_ =
      loop_->RunAfter(is_scout_ ? kReadPause : kFollowerReadPause, [this] {
        retry_timer_ = 0;
        ReadOn();
      });
}

// The newest records do not tell which keys were dropped since the last read.
void state_follower::AddDropped(keyed_batch* batch) const {
  std::set<std::string> present;
  for (const keyed_record& record : batch->records)
    present.insert(record.key);
  for (const auto& [key, record] : records_) {
    if (record.value && record.offset < batch->end && present.count(key) == 0)
      batch->records.push_back({key, std::nullopt, batch->end - 1});
  }
}

void state_follower::RetryLater(store_error error) {
  store_failures_.Increment();
  if (store_answers_) {
    LogWarning(
        "state", "store_lost",
        {{"error", error == store_error::kRefused ? "refused" : "no_answer"},
         {"applied", std::to_string(applied_)}});
  }
  store_answers_ = false;
  retry_delay_ = std::clamp(retry_delay_ * 2, kFirstRetry, kLongestRetry);
  retry_timer_ = loop_->RunAfter(retry_delay_, [this] {
    retry_timer_ = 0;
    if (store_answered_)
      ReadOn();
    else
      ReadNewest();
  });
}

void state_follower::Apply(const keyed_batch& batch, const char* source) {
  bool changed = false;
  for (const keyed_record& record : batch.records)
    changed = ApplyRecord(record, source) || changed;
  applied_ = std::max(applied_, batch.end);
  if (changed)
    Rebuild();
}

bool state_follower::ApplyRecord(const keyed_record& record,
                                 const char* source) {
  const auto known = records_.find(record.key);
  if (known != records_.end() && known->second.offset >= record.offset)
    return false;
  records_[record.key] = record;
  const auto read = reader_->Read(record);
  if (!read) {
    bad_records_.Increment();
    LogWarning("state", "bad_record",
               {{"key", record.key},
                {"offset", std::to_string(record.offset)},
                {"findings", read.error().ToText()}});
    return false;
  }
  if (const auto* zone = std::get_if<zone_record>(&*read)) {
    const bool changed = zone->out ? zones_out_.insert(zone->zone).second
                                   : zones_out_.erase(zone->zone) > 0;
    if (changed) {
      LogStateChange("state", zone->out ? "zone_out" : "zone_in",
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
  base_ = config->view;
  LogStateChange("state", "configuration",
                 {{"version", std::to_string(version_)},
                  {"offset", std::to_string(record.offset)},
                  {"source", source},
                  {"routes", std::to_string(base_.routes.size())},
                  {"customers", std::to_string(base_.customers.size())}});
  return true;
}

void state_follower::Rebuild() {
  auto built = std::make_shared<config_view>(base_);
  built->offset = version_;
  built->zones_out = zones_out_;
  view_ = std::move(built);
  version_gauge_.Set(static_cast<double>(version_));
  if (changed_)
    changed_();
}

void state_follower::NotePeerOffset(const std::string& address,
                                    uint64_t offset) {
  if (offset <= applied_ || offset <= ahead_offset_)
    return;
  ahead_offset_ = offset;
  ahead_peer_ = address;
  if (peer_timer_ != 0)
    return;
  peer_timer_ = loop_->RunAfter(
      store_answers_ ? kPeerPatience : duration::zero(), [this] {
        peer_timer_ = 0;
        const uint64_t wanted = std::exchange(ahead_offset_, 0);
        if (applied_ >= wanted)
          return;
        fbs::config_requestT request;
        request.from_offset = applied_;
        transport_->Send(ahead_peer_, Envelope(request));
      });
}

void state_follower::HandleRequest(const std::string& address,
                                   const fbs::config_requestT& request) {
  if (request.from_offset >= applied_)
    return;
  json records = json::array();
  for (const auto& [key, record] : records_) {
    if (record.offset < request.from_offset)
      continue;
    json item = {{"key", key}, {"offset", record.offset}};
    if (record.value)
      item["value"] = *record.value;
    records.push_back(std::move(item));
  }
  fbs::config_stateT state;
  state.offset = applied_;
  state.state = records.dump(-1, ' ', false, json::error_handler_t::replace);
  transport_->Send(address, Envelope(std::move(state)));
}

void state_follower::HandleState(const std::string& address,
                                 const fbs::config_stateT& state) {
  const auto records = ParseJson(state.state);
  keyed_batch batch;
  batch.end = state.offset;
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
    bad_records_.Increment();
    LogWarning("state", "bad_state_of_peer", {{"peer", address}});
    return;
  }
  Apply(batch, "peer");
}

}  // namespace skylarkhoist
