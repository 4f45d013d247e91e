#include "decisions/answer_cache.h"

#include <algorithm>

namespace skylarkhoist::detail {

call_arrival call_table::RecordArrival(const request_id& id, time_point now) {
  Expire(now);
  if (calls_.count(id) != 0)
    return call_arrival::kDuplicate;
  if (fenced_ids_.count(id) != 0)
    return call_arrival::kFenced;
  if (IsForgotten(id))
    return call_arrival::kForgotten;
  calls_.emplace(id, call{});
  return call_arrival::kNew;
}

void call_table::MarkRunning(const request_id& id) {
  const auto found = calls_.find(id);
  if (found != calls_.end() && found->second.progress == call_progress::kQueued)
    found->second.progress = call_progress::kRunning;
}

void call_table::Finish(const request_id& id,
                        std::shared_ptr<const void> answer,
                        size_t answer_bytes,
                        time_point now) {
  const auto found = calls_.find(id);
  if (found == calls_.end() ||
      found->second.progress == call_progress::kFinished)
    return;
  found->second.progress = call_progress::kFinished;
  found->second.answer = std::move(answer);
  found->second.answer_bytes = answer_bytes;
  answer_bytes_ += answer_bytes;
  finished_.emplace_back(now, id);
  Expire(now);
}

std::pair<call_progress, std::shared_ptr<const void>> call_table::Query(
    const request_id& id,
    time_point now) {
  Expire(now);
  const auto found = calls_.find(id);
  if (found != calls_.end())
    return {found->second.progress, found->second.answer};
  if (fenced_ids_.count(id) != 0)
    return {call_progress::kNeverSeen, nullptr};
  if (IsForgotten(id))
    return {call_progress::kForgotten, nullptr};
  fenced_ids_.emplace(id, true);
  fenced_id_order_.emplace_back(now, id);
  Expire(now);
  return {call_progress::kNeverSeen, nullptr};
}

void call_table::Expire(time_point now) {
  // Drops the oldest answers first; the records of their calls stay.
  next_answer_to_drop_ = std::max(next_answer_to_drop_, removed_calls_);
  while (answer_bytes_ > limits_.max_answer_bytes &&
         next_answer_to_drop_ < removed_calls_ + finished_.size()) {
    DropAnswer(
        calls_.at(finished_[next_answer_to_drop_ - removed_calls_].second));
    ++next_answer_to_drop_;
  }
  while (!finished_.empty() &&
         (finished_.front().first + limits_.retention <= now ||
          finished_.size() > limits_.max_finished_calls)) {
    const request_id id = finished_.front().second;
    finished_.pop_front();
    ++removed_calls_;
    const auto found = calls_.find(id);
    DropAnswer(found->second);
    calls_.erase(found);
    RaiseWatermark(id);
  }
  // Raising the watermark keeps an id refused after its fence is dropped.
  while (!fenced_id_order_.empty() &&
         (fenced_id_order_.front().first + limits_.fenced_id_retention <= now ||
          fenced_id_order_.size() > limits_.max_fenced_ids)) {
    const request_id id = fenced_id_order_.front().second;
    fenced_id_order_.pop_front();
    fenced_ids_.erase(id);
    RaiseWatermark(id);
  }
}

bool call_table::IsForgotten(const request_id& id) const {
  const auto found = watermarks_.find(id.incarnation);
  return found != watermarks_.end() && id.sequence <= found->second.sequence;
}

void call_table::RaiseWatermark(const request_id& id) {
  auto found = watermarks_.find(id.incarnation);
  if (found == watermarks_.end()) {
    watermark_order_.push_back(id.incarnation);
    watermarks_.emplace(
        id.incarnation,
        watermark{id.sequence, std::prev(watermark_order_.end())});
    if (watermarks_.size() > limits_.max_watermarks) {
      watermarks_.erase(watermark_order_.front());
      watermark_order_.pop_front();
    }
    return;
  }
  found->second.sequence = std::max(found->second.sequence, id.sequence);
  watermark_order_.splice(watermark_order_.end(), watermark_order_,
                          found->second.order_position);
}

void call_table::DropAnswer(call& record) {
  answer_bytes_ -= record.answer_bytes;
  record.answer_bytes = 0;
  record.answer.reset();
}

}  // namespace skylarkhoist::detail
