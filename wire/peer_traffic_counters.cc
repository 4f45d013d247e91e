#include "wire/peer_traffic_counters.h"

#include <string>

namespace skylarkhoist {
namespace {

constexpr std::array<const char*, 3> kZoneLabelTexts = {"same", "other",
                                                        "unknown"};

}  // namespace

peer_traffic_counters::peer_traffic_counters(metrics* counters)
    : counters_(static_cast<size_t>(fbs::payload::MAX) + 1) {
  for (size_t type = 0; type < counters_.size(); ++type) {
    for (size_t zone = 0; zone < kZoneLabels; ++zone) {
      const metric_labels labels = {
          {"message", fbs::EnumNamepayload(static_cast<fbs::payload>(type))},
          {"zone", kZoneLabelTexts[zone]}};
      counters_[type][zone] = {
          &counters->Counter("skylarkhoist_peer_sent_frames_total",
                             "Frames sent to peers by message type", labels),
          &counters->Counter("skylarkhoist_peer_sent_bytes_total",
                             "Bytes sent to peers by message type", labels)};
    }
  }
}

void peer_traffic_counters::RecordSent(fbs::payload type,
                                       bool to_other_zone,
                                       size_t frame_size) {
  Record(type, to_other_zone ? kOther : kSame, frame_size);
}

void peer_traffic_counters::RecordQueued(fbs::payload type, size_t frame_size) {
  Record(type, kUnknown, frame_size);
}

void peer_traffic_counters::Record(fbs::payload type,
                                   zone_label zone,
                                   size_t frame_size) {
  const auto index = static_cast<size_t>(type);
  if (index >= counters_.size())
    return;
  const pair& counted = counters_[index][zone];
  counted.frames->Increment();
  counted.bytes->Increment(static_cast<double>(frame_size));
}

}  // namespace skylarkhoist
