#include "decisions/target_gate.h"

#include <algorithm>

namespace skylarkhoist {

target_gate::target_gate(const service_config& settings, time_point /*now*/)
    : settings_(settings), limit_(settings.cold_capacity) {}

std::optional<reason> target_gate::Enqueue(gate_call call, time_point now) {
  if (call.deadline <= now)
    return reason::kDeadlineBeforeRun;
  queue_.push_back({std::move(call), now});
  return std::nullopt;
}

std::optional<gate_call> target_gate::TakeNext(time_point now) {
  while (!queue_.empty() && running_.size() < static_cast<size_t>(limit_)) {
    gate_call call = std::move(queue_.front().call);
    queue_.pop_front();
    if (call.deadline <= now) {
      refused_.push_back({call.id, reason::kDeadlineBeforeRun});
      continue;
    }
    running_.emplace_back(call.id, now);
    return call;
  }
  return std::nullopt;
}

std::vector<gate_refusal> target_gate::TakeRefused(time_point now) {
  while (!queue_.empty() &&
         queue_.front().since + settings_.queue_bound <= now) {
    refused_.push_back({queue_.front().call.id, reason::kQueueTimeout});
    queue_.pop_front();
  }
  return std::exchange(refused_, {});
}

void target_gate::OnFinished(const request_id& id,
                             gate_result result,
                             time_point /*now*/) {
  running_.erase(
      std::remove_if(running_.begin(), running_.end(),
                     [&](const auto& run) { return run.first == id; }),
      running_.end());
  if (result == gate_result::kSuccess)
    limit_ = std::min(limit_ + 1, settings_.max_limit);
}

bool target_gate::Remove(const request_id& id) {
  const auto found =
      std::find_if(queue_.begin(), queue_.end(),
                   [&](const auto& waiting) { return waiting.call.id == id; });
  if (found == queue_.end())
    return false;
  queue_.erase(found);
  return true;
}

std::vector<request_id> target_gate::RemoveAll() {
  std::vector<request_id> ids;
  for (const waiting_call& waiting : queue_)
    ids.push_back(waiting.call.id);
  queue_.clear();
  return ids;
}

void target_gate::ResetCold(time_point /*now*/) {
  limit_ = settings_.cold_capacity;
}

void target_gate::UpdateSettings(const service_config& settings) {
  settings_ = settings;
}

std::optional<time_point> target_gate::NextDeadline() const {
  if (queue_.empty())
    return std::nullopt;
  return queue_.front().since + settings_.queue_bound;
}

uint32_t target_gate::LoadPermille() const {
  const size_t used = running_.size() + queue_.size();
  return static_cast<uint32_t>(used * 1000 / std::max(limit_, 1));
}

}  // namespace skylarkhoist
