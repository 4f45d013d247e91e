#include "kernel/process_clock.h"

#include <time.h>

namespace skylarkhoist {
namespace {

time_point Read(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

class system_clock : public process_clock {
 public:
  time_point Now() const override { return Read(CLOCK_BOOTTIME); }
  time_point NowWithoutSuspension() const override {
    return Read(CLOCK_MONOTONIC);
  }
};

}  // namespace

const process_clock& SystemClock() {
  static const system_clock kClock;
  return kClock;
}

}  // namespace skylarkhoist
