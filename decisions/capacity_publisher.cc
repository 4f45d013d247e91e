#include "decisions/capacity_publisher.h"

#include <algorithm>
#include <chrono>

namespace skylarkhoist {
namespace {

// Changes by the first factor are sent soon, those by the second one only after
// the longer interval.
constexpr double kLargeChange = 1.5;
constexpr double kSmallChange = 1.2;
constexpr duration kMinInterval = std::chrono::milliseconds(500);
constexpr duration kSmallChangeInterval = std::chrono::seconds(5);

double ChangeFactor(uint32_t before, uint32_t after) {
  if (before == after)
    return 1;
  // The first known value, and the loss of it, are large changes.
  if (before == 0 || after == 0)
    return kLargeChange;
  const double factor = static_cast<double>(after) / before;
  return std::max(factor, 1 / factor);
}

}  // namespace

bool capacity_publisher::ShouldPublish(const std::string& target_address,
                                       uint32_t limit,
                                       uint32_t speed_milli,
                                       time_point now) {
  const auto [found, inserted] = published_.try_emplace(target_address);
  published& last = found->second;
  const double change = std::max(ChangeFactor(last.limit, limit),
                                 ChangeFactor(last.speed_milli, speed_milli));
  const duration min_interval =
      change >= kLargeChange ? kMinInterval : kSmallChangeInterval;
  if (!inserted && (change < kSmallChange || now - last.at < min_interval))
    return false;
  last = {limit, speed_milli, now};
  return true;
}

}  // namespace skylarkhoist
