#ifndef TESTING_MEASUREMENT_H_
#define TESTING_MEASUREMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/json.h"
#include "kernel/registry.h"

namespace skylarkhoist {

struct measurement_options {
  uint64_t seed = 1;
  // 1.0 is the full length; CI runs shorter ones.
  double scale = 1.0;
};

// One measurement of scripts/measure. Registers itself under the name given on
// the command line:
//
//   const measurement_registry::entry kSurge("surge", [] {
//     return std::make_unique<surge_measurement>();
//   });
class measurement {
 public:
  virtual ~measurement() = default;

  // Returns one JSON object for each line to print.
  virtual std::vector<json> Run(const measurement_options& options) = 0;
};

using measurement_registry = registry<measurement>;

}  // namespace skylarkhoist

#endif  // TESTING_MEASUREMENT_H_
