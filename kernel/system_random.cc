#include "kernel/system_random.h"

#include <sys/random.h>
#include <cerrno>
#include <system_error>

namespace skylarkhoist {

uint64_t system_random::Next() {
  if (unused_ == 0)
    Refill();
  --unused_;
  // Not kept, so that a memory dump doesn't show values that are in use.
  const uint64_t number = numbers_[unused_];
  numbers_[unused_] = 0;
  return number;
}

void system_random::Refill() {
  const size_t size = sizeof(numbers_);
  ssize_t read = 0;
  do {
    read = getrandom(numbers_.data(), size, 0);
  } while (read < 0 && errno == EINTR);
  if (read != static_cast<ssize_t>(size))
    throw std::system_error(errno, std::generic_category(), "getrandom");
  unused_ = kBufferedNumbers;
}

uint64_t GenerateIncarnation() {
  system_random random;
  uint64_t value = 0;
  while (value == 0)
    value = random.Next();
  return value;
}

}  // namespace skylarkhoist
