#ifndef WIRE_FRAME_PACKER_H_
#define WIRE_FRAME_PACKER_H_

#include <zlib.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "wire/frame.h"

namespace skylarkhoist {

// Packs the frames of one direction of one connection, for links on which bytes
// are dear. Most of a call is names, header fields and numbers that the calls
// before it had too, so all frames share one deflate stream. The body of a call
// goes as it is: it would only push what repeats out of the window.
//
//   std::string bytes = packer.Pack(*encoder.Encode(message));
//
// and at the other end, for a header with `packed`:
//
//   auto payload = unpacker.Unpack(bytes, header.length);
//
// The payload of a packed frame is
//
//   bytes 0-3   place of the body in the message, little endian
//   bytes 4-7   length of the body, little endian
//   then        the body, and the rest of the message, deflated
//
// Invariant: frames are unpacked in the order in which they were packed, and
// none is left out. Both ends of a stream start with their connection.
class frame_packer {
 public:
  frame_packer();
  ~frame_packer();
  frame_packer(const frame_packer&) = delete;
  frame_packer& operator=(const frame_packer&) = delete;

  // The header and payload of the packed frame.
  std::string Pack(const frame_encoder::frame& plain);

 private:
  void Deflate(const uint8_t* bytes, size_t size, int flush, std::string* to);

  z_stream stream_{};
};

class frame_unpacker {
 public:
  frame_unpacker();
  ~frame_unpacker();
  frame_unpacker(const frame_unpacker&) = delete;
  frame_unpacker& operator=(const frame_unpacker&) = delete;

  // The plain payload, at most kMaxFramePayload bytes. An error is final for
  // the stream.
  tl::expected<std::vector<uint8_t>, frame_error> Unpack(const uint8_t* payload,
                                                         size_t size);

 private:
  bool Inflate(const uint8_t* bytes, size_t size, std::vector<uint8_t>* to);

  z_stream stream_{};
};

}  // namespace skylarkhoist

#endif  // WIRE_FRAME_PACKER_H_
