#ifndef KERNEL_SYSTEM_RANDOM_H_
#define KERNEL_SYSTEM_RANDOM_H_

#include <cstdint>
#include <random>

#include "kernel/random.h"

namespace skylarkhoist {

// The system's generator, for values that must be unpredictable. Slower than
// mt_random, whose output can be predicted from 312 earlier values.
class system_random : public random_source {
 public:
  uint64_t Next() override { return (uint64_t{device_()} << 32) ^ device_(); }

 private:
  std::random_device device_;
};

// Returns an unpredictable number that identifies one run of a process; never
// 0.
inline uint64_t GenerateIncarnation() {
  system_random random;
  uint64_t value = 0;
  while (value == 0)
    value = random.Next();
  return value;
}

}  // namespace skylarkhoist

#endif  // KERNEL_SYSTEM_RANDOM_H_
