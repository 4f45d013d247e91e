#ifndef KERNEL_RANDOM_H_
#define KERNEL_RANDOM_H_

#include <cstdint>
#include <random>

namespace skylarkhoist {

// Source of random numbers. Tests pass a seed, so that a run can be repeated.
class random_source {
 public:
  virtual ~random_source() = default;
  virtual uint64_t Next() = 0;

  // Uniform in [0, bound); `bound` must be positive. The modulo bias is below
  // 2^-40 for the small bounds used here.
  uint64_t Below(uint64_t bound) { return Next() % bound; }

  // Uniform in [0, 1).
  double Fraction() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
};

// A Mersenne Twister; by default, seeded from the system's generator.
class mt_random : public random_source {
 public:
  mt_random()
      : engine_((uint64_t{std::random_device{}()} << 32) ^
                std::random_device{}()) {}
  explicit mt_random(uint64_t seed) : engine_(seed) {}
  uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace skylarkhoist

#endif  // KERNEL_RANDOM_H_
