#ifndef KERNEL_SYSTEM_RANDOM_H_
#define KERNEL_SYSTEM_RANDOM_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "kernel/random.h"

namespace skylarkhoist {

// The generator of the operating system, for values that must be unpredictable.
// Slower than mt_random, whose output can be predicted from 312 earlier values.
//
// Reads several numbers with one system call. std::random_device is not used:
// on some machines it executes the processor's seed instruction for each
// number, which processes that use it at the same time wait for.
class system_random : public random_source {
 public:
  uint64_t Next() override;

 private:
  // 256 bytes: the largest read that a signal never interrupts.
  static constexpr size_t kBufferedNumbers = 32;

  void Refill();

  std::array<uint64_t, kBufferedNumbers> numbers_{};
  size_t unused_ = 0;
};

// Returns an unpredictable number that identifies one run of a process; never
// 0.
uint64_t GenerateIncarnation();

}  // namespace skylarkhoist

#endif  // KERNEL_SYSTEM_RANDOM_H_
