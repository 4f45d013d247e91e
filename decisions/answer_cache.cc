#include "decisions/answer_cache.h"

#include <algorithm>

namespace skylarkhoist::detail {

call_arrival call_table::Arrive(const request_id& id, time_point now) {
  Expire(now);
  if (calls_.count(id) != 0)
    return call_arrival::kDuplicate;
  if (fences_.count(id) != 0)
    return call_arrival::kFenced;
  if (IsForgotten(id))
    return call_arrival::kForgotten;
  calls_.emplace(id, call{});
  return call_arrival::kNew;
}

void call_table::Start(const request_id& id) {
  const auto found = calls_.find(id);
  if (found != calls_.end() && found->second.stage == call_progress::kQueued)
    found->second.stage = call_progress::kRunning;
}

void call_table::Finish(const request_id& id,
                        std::shared_ptr<const void> answer,
                        size_t bytes,
                        time_point now) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.stage == call_progress::kFinished)
    return;
  found->second.stage = call_progress::kFinished;
  found->second.answer = std::move(answer);
  found->second.bytes = bytes;
  bytes_ += bytes;
  finished_.emplace_back(now, id);
  Expire(now);
}

std::pair<call_progress, std::shared_ptr<const void>> call_table::Query(
    const request_id& id,
    time_point now) {
  Expire(now);
  const auto found = calls_.find(id);
  if (found != calls_.end())
    return {found->second.stage, found->second.answer};
  if (fences_.count(id) != 0)
    return {call_progress::kNeverSeen, nullptr};
  if (IsForgotten(id))
    return {call_progress::kForgotten, nullptr};
  fences_.emplace(id, true);
  fence_order_.emplace_back(now, id);
  Expire(now);
  return {call_progress::kNeverSeen, nullptr};
}

void call_table::Expire(time_point now) {
  // Answers go before the records of their calls.
  next_to_drop_ = std::max(next_to_drop_, front_count_);
  while (bytes_ > limits_.max_bytes &&
         next_to_drop_ < front_count_ + finished_.size()) {
    DropAnswer(calls_.at(finished_[next_to_drop_ - front_count_].second));
    ++next_to_drop_;
  }
  while (!finished_.empty() && (finished_.front().first + limits_.keep <= now ||
                                finished_.size() > limits_.max_finished)) {
    const request_id id = finished_.front().second;
    finished_.pop_front();
    ++front_count_;
    const auto found = calls_.find(id);
    DropAnswer(found->second);
    calls_.erase(found);
    RaiseFloor(id);
  }
  // An id leaves its fence only for the floor, which refuses it as well.
  while (!fence_order_.empty() &&
         (fence_order_.front().first + limits_.fence_keep <= now ||
          fence_order_.size() > limits_.max_fences)) {
    const request_id id = fence_order_.front().second;
    fence_order_.pop_front();
    fences_.erase(id);
    RaiseFloor(id);
  }
}

bool call_table::IsForgotten(const request_id& id) const {
  const auto found = floors_.find(id.incarnation);
  return found != floors_.end() && id.sequence <= found->second.sequence;
}

void call_table::RaiseFloor(const request_id& id) {
  auto found = floors_.find(id.incarnation);
  if (found == floors_.end()) {
    floor_order_.push_back(id.incarnation);
    floors_.emplace(id.incarnation,
                    floor{id.sequence, std::prev(floor_order_.end())});
    if (floors_.size() > limits_.max_floors) {
      floors_.erase(floor_order_.front());
      floor_order_.pop_front();
    }
    return;
  }
  found->second.sequence = std::max(found->second.sequence, id.sequence);
  floor_order_.splice(floor_order_.end(), floor_order_, found->second.use);
}

void call_table::DropAnswer(call& entry) {
  bytes_ -= entry.bytes;
  entry.bytes = 0;
  entry.answer.reset();
}

}  // namespace skylarkhoist::detail
