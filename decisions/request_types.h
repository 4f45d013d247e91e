#ifndef DECISIONS_REQUEST_TYPES_H_
#define DECISIONS_REQUEST_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>

namespace skylarkhoist {

// Names one request for good: the run of the process that created it and a
// number that this run never uses again.
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

// In the order in which requests are shed: the last is shed last. A customer
// with a class of its own goes before or behind others with all its requests,
// and among its requests the class of the route decides; RankOf gives the
// values between the named ones.
enum class priority_class : uint8_t { kBrowse = 0, kNormal = 4, kCritical = 8 };

constexpr size_t kPriorityLevels = 9;

// The rank of a request. `customer` is the class of its customer, if that has
// one; both must be named values.
constexpr priority_class RankOf(std::optional<priority_class> customer,
                                priority_class route) {
  constexpr uint8_t kStep = static_cast<uint8_t>(priority_class::kNormal);
  constexpr uint8_t kClasses = 3;
  const auto index = [](priority_class named) {
    return static_cast<uint8_t>(static_cast<uint8_t>(named) / kStep);
  };
  return static_cast<priority_class>(
      index(customer.value_or(route)) * kClasses + index(route));
}

// Whether the route of a request of this rank is critical.
constexpr bool IsCriticalRoute(priority_class rank) {
  return rank == RankOf(priority_class::kBrowse, priority_class::kCritical) ||
         rank == RankOf(priority_class::kNormal, priority_class::kCritical) ||
         rank == priority_class::kCritical;
}

}  // namespace skylarkhoist

#endif  // DECISIONS_REQUEST_TYPES_H_
