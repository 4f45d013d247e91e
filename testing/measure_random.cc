#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "kernel/system_random.h"
#include "kernel/time.h"
#include "testing/measurement.h"

namespace skylarkhoist {
namespace {

// Draws `count` numbers and returns the elapsed time.
template <typename draw_function>
duration TimeOf(size_t count, draw_function draw) {
  const auto start = std::chrono::steady_clock::now();
  uint64_t sum = 0;
  for (size_t i = 0; i < count; ++i)
    sum += draw();
  // Keeps the compiler from dropping the loop.
  volatile uint64_t used = sum;
  static_cast<void>(used);
  return std::chrono::steady_clock::now() - start;
}

// Time of one number from the generators for unpredictable values, while 1, 2
// and 4 threads draw at once. Nodes draw several numbers for each call, and all
// processes of a machine may share one hardware generator.
class random_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    const auto count = static_cast<size_t>(100'000 * options.scale);
    std::vector<json> results;
    for (const size_t threads : {size_t{1}, size_t{2}, size_t{4}}) {
      results.push_back(Measure("system_random", threads, count, [] {
        return [random = system_random()]() mutable { return random.Next(); };
      }));
      results.push_back(Measure("std::random_device", threads, count / 10, [] {
        return [device = std::make_shared<std::random_device>()] {
          return uint64_t{(*device)()} << 32 ^ (*device)();
        };
      }));
    }
    return results;
  }

 private:
  template <typename make_draw>
  static json Measure(const std::string& generator,
                      size_t threads,
                      size_t count,
                      make_draw make) {
    std::vector<duration> times(threads);
    std::vector<std::thread> running;
    running.reserve(threads);
    for (duration& time : times)
      running.emplace_back(
          [&time, &make, count] { time = TimeOf(count, make()); });
    for (std::thread& each : running)
      each.join();
    const duration longest = *std::max_element(times.begin(), times.end());
    return {{"measurement", "random"},
            {"generator", generator},
            {"threads", threads},
            {"ns_per_number",
             std::chrono::duration<double, std::nano>(longest).count() /
                 static_cast<double>(count)}};
  }
};

const measurement_registry::registration kRandom("random", [] {
  return std::make_unique<random_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
