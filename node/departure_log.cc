#include "node/departure_log.h"

#include <utility>

#include "kernel/log.h"
#include "node/departure_records.h"

namespace skylarkhoist {
namespace {

constexpr duration kRetryDelay = std::chrono::milliseconds(300);

// Targets wait 1 s for a response to their announcement.
constexpr duration kMaxWait = std::chrono::milliseconds(800);

}  // namespace

departure_log::departure_log(loop* run_loop,
                             keyed_store* store,
                             const std::string& node)
    : loop_(run_loop), store_(store), key_(DepartureKey(node)) {}

departure_log::~departure_log() {
  loop_->Cancel(retry_timer_);
  for (auto& [id, each] : waiters_)
    loop_->Cancel(each.timer);
}

void departure_log::Store(const std::vector<target_departure>& departures) {
  ++version_;
  value_ = EncodeDepartures(departures);
  Write();
}

void departure_log::OnEraChange() {
  if (value_.empty())
    return;
  ++version_;
  Write();
}

void departure_log::Write() {
  if (!loaded_ || write_pending_)
    return;
  loop_->Cancel(std::exchange(retry_timer_, 0));
  write_pending_ = true;
  store_->Put(store_topic::kNodes, key_, value_,
              [this, version = version_,
               alive = std::weak_ptr<bool>(alive_)](const auto& result) {
                if (!alive.expired())
                  OnWritten(version, result.has_value());
              });
}

void departure_log::OnWritten(uint64_t version, bool stored) {
  write_pending_ = false;
  if (!stored) {
    LogWarning("departures", "write_failed", {{"key", key_}});
    retry_timer_ = loop_->RunAfter(kRetryDelay, [this] {
      retry_timer_ = 0;
      Write();
    });
    return;
  }
  stored_version_ = version;
  if (is_behind())
    Write();
  for (auto each = waiters_.begin(); each != waiters_.end();) {
    if (each->second.version > stored_version_) {
      ++each;
      continue;
    }
    loop_->Cancel(each->second.timer);
    const auto done = std::move(each->second.done);
    each = waiters_.erase(each);
    done(true);
  }
}

void departure_log::WhenStored(std::function<void(bool)> done) {
  if (!is_behind()) {
    done(true);
    return;
  }
  const uint64_t id = next_waiter_++;
  const timer_id timer = loop_->RunAfter(kMaxWait, [this, id] {
    const auto found = waiters_.find(id);
    const auto late = std::move(found->second.done);
    waiters_.erase(found);
    late(false);
  });
  waiters_[id] = {version_, std::move(done), timer};
}

std::vector<target_departure> departure_log::Load(
    const std::vector<keyed_record>& records) {
  loaded_ = true;
  for (const keyed_record& record : records) {
    if (record.key == key_ && record.value) {
      if (value_.empty())
        value_ = *record.value;
      return DecodeDepartures(*record.value);
    }
  }
  return {};
}

}  // namespace skylarkhoist
