#ifndef WIRE_PEER_TRAFFIC_COUNTERS_H_
#define WIRE_PEER_TRAFFIC_COUNTERS_H_

#include <array>
#include <cstddef>
#include <vector>

#include "kernel/metrics.h"
#include "wire/messages_generated.h"

namespace skylarkhoist {

// Counts the frames that a node sends to its peers, and their bytes, by the
// type of the message and by whether the peer is in the same or another zone.
// The zone is unknown for frames that wait for their link to come up.
class peer_traffic_counters {
 public:
  explicit peer_traffic_counters(metrics* counters);

  // `frame_size` includes the frame header, after compression.
  void RecordSent(fbs::payload type, bool to_other_zone, size_t frame_size);
  void RecordQueued(fbs::payload type, size_t frame_size);

 private:
  enum zone_label { kSame, kOther, kUnknown, kZoneLabels };
  struct pair {
    prometheus::Counter* frames = nullptr;
    prometheus::Counter* bytes = nullptr;
  };

  void Record(fbs::payload type, zone_label zone, size_t frame_size);

  // By message type and zone label.
  std::vector<std::array<pair, kZoneLabels>> counters_;
};

}  // namespace skylarkhoist

#endif  // WIRE_PEER_TRAFFIC_COUNTERS_H_
