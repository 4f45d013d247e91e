#ifndef DECISIONS_REQUEST_TYPES_H_
#define DECISIONS_REQUEST_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>

namespace skylarkhoist {

// Globally unique ID of a request: the incarnation of the process that created
// it (a number that identifies one start of the process) and a sequence number
// that this incarnation never reuses.
struct request_id {
  uint64_t incarnation = 0;
  uint64_t sequence = 0;

  bool operator==(const request_id& other) const {
    return incarnation == other.incarnation && sequence == other.sequence;
  }
  bool operator!=(const request_id& other) const { return !(*this == other); }
  bool operator<(const request_id& other) const {
    return std::tie(incarnation, sequence) <
           std::tie(other.incarnation, other.sequence);
  }
};

struct request_id_hash {
  size_t operator()(const request_id& id) const {
    return id.incarnation ^ (id.sequence * 0x9e3779b97f4a7c15ULL);
  }
};

// Priority of a request; under overload, lower values are shed first. The named
// values are the classes of routes and customers. When a customer has a class,
// it determines the order first, and the class of the route orders the
// customer's requests among themselves; EffectivePriority returns the values
// between the named ones for this.
enum class priority_class : uint8_t { kBrowse = 0, kNormal = 4, kCritical = 8 };

constexpr size_t kPriorityLevels = 9;

// Returns the priority of a request from the class of its customer, if the
// customer has one, and the class of its route. Both must be named values.
constexpr priority_class EffectivePriority(
    std::optional<priority_class> customer,
    priority_class route) {
  constexpr uint8_t kClassStep = static_cast<uint8_t>(priority_class::kNormal);
  constexpr uint8_t kClassCount = 3;
  const auto index = [](priority_class named) {
    return static_cast<uint8_t>(static_cast<uint8_t>(named) / kClassStep);
  };
  return static_cast<priority_class>(
      index(customer.value_or(route)) * kClassCount + index(route));
}

// Returns whether a request of this priority belongs to a critical route.
constexpr bool IsCriticalRoute(priority_class priority) {
  return priority == EffectivePriority(priority_class::kBrowse,
                                       priority_class::kCritical) ||
         priority == EffectivePriority(priority_class::kNormal,
                                       priority_class::kCritical) ||
         priority == priority_class::kCritical;
}

}  // namespace skylarkhoist

#endif  // DECISIONS_REQUEST_TYPES_H_
