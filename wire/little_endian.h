#ifndef WIRE_LITTLE_ENDIAN_H_
#define WIRE_LITTLE_ENDIAN_H_

#include <cstddef>
#include <cstdint>

namespace skylarkhoist {

// Reads an unsigned integer from sizeof(integer) bytes, least significant byte
// first.
template <typename integer>
integer ReadLittleEndian(const uint8_t* bytes) {
  integer value = 0;
  for (size_t index = sizeof(integer); index-- > 0;)
    value = static_cast<integer>(value << 8U) | bytes[index];
  return value;
}

template <typename integer>
void WriteLittleEndian(integer value, uint8_t* bytes) {
  for (size_t index = 0; index < sizeof(integer); ++index) {
    bytes[index] = static_cast<uint8_t>(value);
    value = static_cast<integer>(value >> 8U);
  }
}

}  // namespace skylarkhoist

#endif  // WIRE_LITTLE_ENDIAN_H_
