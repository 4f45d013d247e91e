#include "decisions/concurrency_limit.h"
#include "decisions/target_capacity.h"

namespace skylarkhoist {
namespace {

// The limit that target_capacity learns.
class learned_limit : public concurrency_limit {
 public:
  explicit learned_limit(const limit_options& options)
      : capacity_(options.max_limit) {}

  int Limit() const override { return capacity_.limit(); }
  void OnStarted(const request_id& id,
                 uint64_t kind,
                 int running,
                 time_point now) override {
    capacity_.OnStarted(id, kind, running, now);
  }
  void OnChildCalls(const request_id& id,
                    bool waiting,
                    time_point now) override {
    capacity_.OnChildCalls(id, waiting, now);
  }
  void OnFinished(const limit_sample& sample, time_point now) override {
    capacity_.OnFinished(sample.id, sample.result, now);
  }
  void Advance(time_point now) override { capacity_.Advance(now); }
  void HoldAtMaximum(time_point until, time_point /*now*/) override {
    capacity_.HoldAtMaximum(until);
  }
  void ResetCold(time_point now) override { capacity_.Reset(now); }
  // A target that restarts announces itself again. A lost answer alone says
  // nothing about its capacity.
  void OnConnectionLost(time_point /*now*/) override {}
  void Update(const limit_options& options) override {
    capacity_.SetMaxLimit(options.max_limit);
  }
  // As with the announced limit, no call is refused for the expected length of
  // its run alone.
  duration Latency() const override { return duration::zero(); }
  duration WorkTime(time_point now) const override {
    return capacity_.WorkTime(now);
  }
  duration RunTime(time_point now) const override {
    return capacity_.RunTime(now);
  }
  std::string_view State() const override { return capacity_.state(); }

 private:
  target_capacity capacity_;
};

const limit_registry::registration kLearned(
    "learned",
    [](const limit_options& options) {
      return std::make_unique<learned_limit>(options);
    });

}  // namespace
}  // namespace skylarkhoist
