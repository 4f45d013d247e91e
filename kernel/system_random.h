#ifndef KERNEL_SYSTEM_RANDOM_H_
#define KERNEL_SYSTEM_RANDOM_H_

#include <cstdint>
#include <random>

#include "kernel/random.h"

namespace skylarkhoist {

// The system's generator, for values that must not be guessed. Slower than
// mt_random, whose later output follows from 312 earlier values.
class system_random : public random_source {
 public:
  uint64_t Next() override { return (uint64_t{device_()} << 32) ^ device_(); }

 private:
  std::random_device device_;
};

// A number for one run of a process: unpredictable and never 0.
inline uint64_t DrawIncarnation() {
  system_random random;
  uint64_t drawn = 0;
  while (drawn == 0)
    drawn = random.Next();
  return drawn;
}

}  // namespace skylarkhoist

#endif  // KERNEL_SYSTEM_RANDOM_H_
