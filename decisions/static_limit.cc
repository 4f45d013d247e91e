#include <algorithm>

#include "decisions/concurrency_limit.h"

namespace skylarkhoist {
namespace {

// A limit that is always max_limit.
class static_limit : public concurrency_limit {
 public:
  explicit static_limit(const limit_options& options) : options_(options) {}

  int Limit() const override { return std::max(options_.max_limit, 1); }
  void OnFinished(const limit_sample& /*sample*/, time_point /*now*/) override {
  }
  void ResetCold(time_point /*now*/) override {}
  void Update(const limit_options& options) override { options_ = options; }
  duration Latency() const override { return duration::zero(); }

 private:
  limit_options options_;
};

const limit_registry::registration kStatic(
    "static",
    [](const limit_options& options) {
      return std::make_unique<static_limit>(options);
    });

}  // namespace
}  // namespace skylarkhoist
