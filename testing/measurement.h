#ifndef TESTING_MEASUREMENT_H_
#define TESTING_MEASUREMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/json.h"
#include "kernel/plugin_registry.h"

namespace skylarkhoist {

struct measurement_options {
  uint64_t seed = 1;
  // Multiplies the length of the run. CI uses values below 1.
  double scale = 1.0;
};

// A measurement that scripts/measure runs. Each one is registered under its
// name on the command line:
//
//   const measurement_registry::registration kConfig("config", [] {
//     return std::make_unique<config_measurement>();
//   });
class measurement {
 public:
  virtual ~measurement() = default;

  // Returns the JSON objects to print, one per line.
  virtual std::vector<json> Run(const measurement_options& options) = 0;
};

using measurement_registry = plugin_registry<measurement>;

}  // namespace skylarkhoist

#endif  // TESTING_MEASUREMENT_H_
