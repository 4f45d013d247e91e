#ifndef TESTING_OVERLOAD_MODEL_H_
#define TESTING_OVERLOAD_MODEL_H_

#include <cstdint>
#include <string>

#include "kernel/json.h"

namespace skylarkhoist {

// The three ways that measurements compare: no control, a static limit tuned by
// hand for the calm state, and all decisions of this project.
enum class model_mode { kNone, kStatic, kFull };

struct model_options {
  // "nilewand" or "okonkwo".
  std::string deployment;
  // "surge", "slow-service", "cold" or "unfair".
  std::string scenario;
  model_mode mode = model_mode::kFull;
  // Stands in for the rate client: refuses what exceeds the customer's rate.
  bool rate_limiter = false;
  uint64_t seed = 1;
  // Share of the full length of the scenario's disturbance.
  double scale = 1.0;
};

// Runs one scenario on a manual loop with entries (admission and routing),
// gates and fake targets, and returns one line of figures.
json RunOverloadModel(const model_options& options);

}  // namespace skylarkhoist

#endif  // TESTING_OVERLOAD_MODEL_H_
