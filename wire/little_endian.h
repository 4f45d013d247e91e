#ifndef WIRE_LITTLE_ENDIAN_H_
#define WIRE_LITTLE_ENDIAN_H_

#include <cstddef>
#include <cstdint>

namespace skylarkhoist {

// Reads a number from sizeof(number) bytes, the least one first.
template <typename number>
number ReadLittleEndian(const uint8_t* bytes) {
  number value = 0;
  for (size_t index = sizeof(number); index-- > 0;)
    value = static_cast<number>(value << 8U) | bytes[index];
  return value;
}

template <typename number>
void WriteLittleEndian(number value, uint8_t* bytes) {
  for (size_t index = 0; index < sizeof(number); ++index) {
    bytes[index] = static_cast<uint8_t>(value);
    value = static_cast<number>(value >> 8U);
  }
}

}  // namespace skylarkhoist

#endif  // WIRE_LITTLE_ENDIAN_H_
