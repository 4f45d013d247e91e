#include <algorithm>
#include <deque>
#include <utility>

#include "decisions/request_queue.h"

namespace skylarkhoist {
namespace {

// Serves all calls in order of arrival.
class fifo_queue : public request_queue {
 public:
  explicit fifo_queue(const queue_options& options) : options_(options) {}

  std::optional<reason> Push(queued_call call, time_point now) override {
    if (waiting_.size() >= options_.max_length)
      return reason::kQueueFull;
    waiting_.push_back({std::move(call), now});
    return std::nullopt;
  }

  std::optional<queued_call> Pop(time_point now,
                                 duration /*expected_run_time*/) override {
    while (!waiting_.empty()) {
      queued_call call = std::move(waiting_.front().call);
      waiting_.pop_front();
      if (call.deadline > now)
        return call;
      refused_.push_back({call.id, reason::kDeadlineBeforeRun});
    }
    return std::nullopt;
  }

  std::vector<refused_call> TakeRefused(time_point now) override {
    while (!waiting_.empty() &&
           waiting_.front().queued_at + options_.max_wait <= now) {
      refused_.push_back({waiting_.front().call.id, reason::kQueueTimeout});
      waiting_.pop_front();
    }
    return std::exchange(refused_, {});
  }

  bool Remove(const request_id& id) override {
    const auto found =
        std::find_if(waiting_.begin(), waiting_.end(),
                     [&](const auto& each) { return each.call.id == id; });
    if (found == waiting_.end())
      return false;
    waiting_.erase(found);
    return true;
  }

  std::vector<request_id> RemoveAll() override {
    std::vector<request_id> ids;
    for (const waiting_call& each : waiting_)
      ids.push_back(each.call.id);
    waiting_.clear();
    return ids;
  }

  size_t size() const override { return waiting_.size(); }

  std::optional<time_point> NextExpiry() const override {
    if (waiting_.empty())
      return std::nullopt;
    return waiting_.front().queued_at + options_.max_wait;
  }

  void Update(const queue_options& options) override { options_ = options; }

 private:
  struct waiting_call {
    queued_call call;
    time_point queued_at;
  };

  queue_options options_;
  std::deque<waiting_call> waiting_;
  std::vector<refused_call> refused_;
};

const queue_registry::registration kFifo("fifo",
                                         [](const queue_options& options) {
                                           return std::make_unique<fifo_queue>(
                                               options);
                                         });

}  // namespace
}  // namespace skylarkhoist
