#include "kernel/connection_budget.h"

#include <algorithm>

namespace skylarkhoist {
namespace {

// Part of the memory limit that one pass over all connections may add.
constexpr size_t kPassShare = 8;
// Part of the memory limit that is kept for small requests, and for requests
// that are being received.
constexpr size_t kReserveShare = 8;
// Memory for one byte of a head with the shortest fields, and of a body.
constexpr size_t kHeadMemoryPerByte = 24;
constexpr size_t kBodyMemoryPerByte = 2;
constexpr size_t kMinRead = size_t{1} << 10U;
constexpr size_t kMaxHeadRead = size_t{16} << 10U;
constexpr size_t kMaxBodyRead = size_t{256} << 10U;

// Makes a connection that was just opened comparable with older ones.
constexpr duration kMinAge = std::chrono::milliseconds(10);

}  // namespace

void connection_budget::Add(connection_id id, time_point now) {
  connections_[id].last_complete_at = now;
}

void connection_budget::Remove(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end())
    return;
  Release(found->second);
  connections_.erase(found);
}

void connection_budget::Release(const connection& ended) {
  if (ended.current != stage::kStarted) {
    receiving_bytes_ -= ended.memory;
    return;
  }
  --started_requests_;
  started_bytes_ -= ended.memory;
  if (ended.memory <= kMaxSmallRequest)
    small_started_bytes_ -= ended.memory;
}

void connection_budget::OnReceived(connection_id id,
                                   size_t bytes,
                                   size_t memory,
                                   time_point now) {
  connection& receiving = connections_.at(id);
  if (receiving.current == stage::kIdle) {
    receiving.current = stage::kHead;
    receiving.request_began_at = now;
    receiving.period_began_at = now;
  }
  // The server does not read from a connection with a request in progress.
  if (receiving.current == stage::kStarted)
    return;
  receiving_bytes_ += memory - receiving.memory;
  receiving.memory = memory;
  if (receiving.current != stage::kBody)
    return;
  receiving.bytes_in_period += bytes;
  if (receiving.bytes_in_period >= kMinBodyProgress) {
    receiving.bytes_in_period = 0;
    receiving.period_began_at = now;
  }
}

void connection_budget::OnHeadComplete(connection_id id, time_point now) {
  connection& receiving = connections_.at(id);
  receiving.current = stage::kBody;
  receiving.period_began_at = now;
  receiving.bytes_in_period = 0;
}

bool connection_budget::TryStart(connection_id id, size_t memory) {
  connection& complete = connections_.at(id);
  receiving_bytes_ -= complete.memory;
  complete.memory = 0;
  const size_t reserve = settings_.max_bytes / kReserveShare;
  const bool small = memory <= kMaxSmallRequest;
  // Many requests may be complete before the connections that exceed the limit
  // are closed, so what is being received counts as well.
  const bool fits = started_requests_ == 0 ||
                    (started_bytes_ + memory <= settings_.max_bytes - reserve &&
                     receiving_bytes_ <= settings_.max_bytes + reserve -
                                             started_bytes_ - memory) ||
                    (small && small_started_bytes_ + memory <= reserve);
  if (!fits)
    return false;
  complete.current = stage::kStarted;
  complete.memory = memory;
  started_bytes_ += memory;
  if (small)
    small_started_bytes_ += memory;
  ++started_requests_;
  return true;
}

void connection_budget::OnRequestEnded(connection_id id, time_point now) {
  connection& ended = connections_.at(id);
  Release(ended);
  ended = {};
  ended.last_complete_at = now;
}

size_t connection_budget::MaxReceivingBytes() const {
  const size_t reserve = settings_.max_bytes / kReserveShare;
  return started_bytes_ >= settings_.max_bytes - reserve
             ? reserve
             : settings_.max_bytes - started_bytes_;
}

bool connection_budget::IsExceeded() const {
  return connections_.size() > settings_.max_connections ||
         receiving_bytes_ > MaxReceivingBytes();
}

connection_budget::connection_id connection_budget::ChooseVictim(
    closure_cause cause,
    time_point now) const {
  connection_id victim = 0;
  double highest = -1;
  for (const auto& [id, each] : connections_) {
    if (each.current == stage::kStarted ||
        (cause == closure_cause::kMemory && each.memory == 0))
      continue;
    const time_point since = cause == closure_cause::kMemory
                                 ? each.request_began_at
                                 : each.last_complete_at;
    const duration age = std::max(kMinAge, now - since);
    double weight = std::chrono::duration<double>(age).count();
    if (cause == closure_cause::kMemory)
      weight *= static_cast<double>(each.memory);
    if (weight > highest || (weight == highest && id < victim)) {
      highest = weight;
      victim = id;
    }
  }
  return victim;
}

std::vector<connection_budget::closure> connection_budget::TakeClosures(
    time_point now) {
  std::vector<closure> result;
  for (const auto& [id, each] : connections_) {
    const duration age = now - each.period_began_at;
    if (each.current == stage::kHead && age >= settings_.head_timeout)
      result.push_back({id, closure_cause::kHeadTimeout});
    else if (each.current == stage::kBody && age >= settings_.body_timeout)
      result.push_back({id, closure_cause::kBodyTimeout});
  }
  for (const closure& each : result)
    Remove(each.id);
  while (IsExceeded()) {
    const closure_cause cause = connections_.size() > settings_.max_connections
                                    ? closure_cause::kConnections
                                    : closure_cause::kMemory;
    const connection_id victim = ChooseVictim(cause, now);
    if (victim == 0)
      break;
    result.push_back({victim, cause});
    Remove(victim);
  }
  return result;
}

size_t connection_budget::ReadLimit(bool reading_head) const {
  const size_t share = settings_.max_bytes / kPassShare /
                       std::max<size_t>(1, connections_.size()) /
                       (reading_head ? kHeadMemoryPerByte : kBodyMemoryPerByte);
  return std::clamp(share, kMinRead,
                    reading_head ? kMaxHeadRead : kMaxBodyRead);
}

}  // namespace skylarkhoist
