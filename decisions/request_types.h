#ifndef DECISIONS_REQUEST_TYPES_H_
#define DECISIONS_REQUEST_TYPES_H_

#include <cstdint>
#include <functional>
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

// In the order in which requests are shed: the last is shed last.
enum class priority_class : uint8_t { kBrowse, kNormal, kCritical };

}  // namespace skylarkhoist

#endif  // DECISIONS_REQUEST_TYPES_H_
