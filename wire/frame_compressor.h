#ifndef WIRE_FRAME_COMPRESSOR_H_
#define WIRE_FRAME_COMPRESSOR_H_

#include <zlib.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "wire/frame.h"

namespace skylarkhoist {

// Compresses the frames of one direction of one connection, for links on which
// bandwidth is expensive. Most of a call is names, header fields and numbers
// that earlier calls had too, so all frames share one deflate stream. The body
// of a call or answer is sent uncompressed, since it would push this repeated
// content out of the deflate window. Hello and the metrics call a compressed
// frame "packed".
//
//   std::string bytes = compressor.Compress(*encoder.Encode(message));
//
// At the other end, for a header with `compressed` set:
//
//   auto payload = decompressor.Decompress(bytes, header.payload_size);
//
// The payload of a compressed frame is
//
//   bytes 0-3   offset of the body in the uncompressed payload, little endian
//   bytes 4-7   length of the body, little endian
//   then        the body, followed by the rest of the payload, deflated
//
// Frames must be decompressed in the order in which they were compressed, and
// none may be left out. The streams of both ends start with their connection.
class frame_compressor {
 public:
  frame_compressor();
  ~frame_compressor();
  frame_compressor(const frame_compressor&) = delete;
  frame_compressor& operator=(const frame_compressor&) = delete;

  // Returns the header and payload of the compressed frame.
  std::string Compress(const frame_encoder::frame& uncompressed);

 private:
  void Deflate(const uint8_t* bytes,
               size_t size,
               int flush,
               std::string* output);

  z_stream stream_{};
};

class frame_decompressor {
 public:
  frame_decompressor();
  ~frame_decompressor();
  frame_decompressor(const frame_decompressor&) = delete;
  frame_decompressor& operator=(const frame_decompressor&) = delete;

  // Returns the uncompressed payload, at most kMaxFramePayloadSize bytes. After
  // an error, the decompressor must not be used again.
  tl::expected<std::vector<uint8_t>, frame_error> Decompress(
      const uint8_t* payload,
      size_t size);

 private:
  bool Inflate(const uint8_t* bytes, size_t size, std::vector<uint8_t>* output);

  z_stream stream_{};
};

}  // namespace skylarkhoist

#endif  // WIRE_FRAME_COMPRESSOR_H_
