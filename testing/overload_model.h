#ifndef TESTING_OVERLOAD_MODEL_H_
#define TESTING_OVERLOAD_MODEL_H_

#include <cstdint>
#include <string>

#include "kernel/json.h"

namespace skylarkhoist {

// The overload control that measurements compare: none, a static concurrency
// limit set by hand for the baseline load, and all decisions of this project.
enum class control_mode { kNone, kStatic, kFull };

struct overload_model_options {
  // "nilewand" or "okonkwo".
  std::string deployment;
  // "surge", "slow-service", "cold" or "unfair".
  std::string scenario;
  control_mode mode = control_mode::kFull;
  // Refuses requests above the rate limit of their customer, in place of the
  // rate service.
  bool rate_limiter = false;
  uint64_t seed = 1;
  // Multiplies the length of the overload or fault that the scenario causes.
  double scale = 1.0;
};

// Simulates one scenario on a manual loop and returns its figures as one JSON
// object. Uses the real admission control, routing, request queues and
// concurrency limits, with fake targets.
json RunOverloadModel(const overload_model_options& options);

}  // namespace skylarkhoist

#endif  // TESTING_OVERLOAD_MODEL_H_
