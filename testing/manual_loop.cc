#include "testing/manual_loop.h"

#include <algorithm>

namespace skylarkhoist {

timer_id manual_loop::RunAfter(duration delay, std::function<void()> callback) {
  const timer_id id = next_id_++;
  const time_point due = now_ + std::max(delay, duration::zero());
  timers_.emplace(timer_key{due, id}, std::move(callback));
  due_times_.emplace(id, due);
  return id;
}

void manual_loop::Cancel(timer_id id) {
  const auto found = due_times_.find(id);
  if (found == due_times_.end())
    return;
  timers_.erase({found->second, id});
  due_times_.erase(found);
}

void manual_loop::Advance(duration step) {
  const time_point end = now_ + step;
  while (RunNext(end)) {
  }
  now_ = end;
}

bool manual_loop::RunNext(time_point limit) {
  if (timers_.empty() || timers_.begin()->first.first > limit)
    return false;
  const auto first = timers_.begin();
  const auto [due, id] = first->first;
  const std::function<void()> callback = std::move(first->second);
  timers_.erase(first);
  due_times_.erase(id);
  now_ = std::max(now_, due);
  callback();
  return true;
}

}  // namespace skylarkhoist
