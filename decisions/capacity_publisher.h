#ifndef DECISIONS_CAPACITY_PUBLISHER_H_
#define DECISIONS_CAPACITY_PUBLISHER_H_

#include <cstdint>
#include <map>
#include <string>

#include "kernel/time.h"

namespace skylarkhoist {

// Decides when the learned limit and speed of a target have changed enough to
// be sent to the other nodes. Large changes are sent soon, small ones rarely,
// since each of them is a message to all nodes.
class capacity_publisher {
 public:
  // Returns whether to send these values now, and takes them as sent if so.
  bool ShouldPublish(const std::string& target_address,
                     uint32_t limit,
                     uint32_t speed_milli,
                     time_point now);

 private:
  struct published {
    uint32_t limit = 0;
    uint32_t speed_milli = 0;
    time_point at;
  };

  std::map<std::string, published> published_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_CAPACITY_PUBLISHER_H_
