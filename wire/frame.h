#ifndef WIRE_FRAME_H_
#define WIRE_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "wire/messages_generated.h"

namespace skylarkhoist {

// A frame is a header of 16 bytes and a FlatBuffers payload:
//
//   bytes 0-3   payload length, little endian
//   bytes 4-6   magic "SkH"
//   byte  7     frame version
//   bytes 8-15  XXH64 of the payload, little endian
constexpr size_t kFrameHeaderSize = 16;
constexpr uint8_t kFrameVersion = 1;
// Version of packed frames (wire/frame_packer.h). Their checksum is that of the
// plain payload.
constexpr uint8_t kPackedFrameVersion = 2;

// The largest HTTP body that a node accepts is 8 MiB; 64 KiB are for the rest
// of the message.
constexpr size_t kMaxFramePayload = (8U << 20U) + (64U << 10U);

enum class frame_error {
  // The bytes are not the start of a frame.
  kBadMagic,
  kVersion,
  kTooLarge,
  // The payload is not the one that was sent.
  kChecksum,
  // The checksum is right, but the payload is not a valid message.
  kInvalidMessage,
  kCount,
};

std::string_view LabelOf(frame_error error);

using frame_header_bytes = std::array<uint8_t, kFrameHeaderSize>;

struct frame_header {
  uint32_t length = 0;
  uint64_t checksum = 0;
  bool packed = false;
};

// Reads a header from kFrameHeaderSize bytes. Fails on a payload length above
// `max_payload`, before anything is allocated for it.
tl::expected<frame_header, frame_error> ParseFrameHeader(
    const uint8_t* bytes,
    size_t max_payload = kMaxFramePayload);

// Checks and unpacks a payload of `header.length` bytes. Returns nothing for a
// message type that this version does not know. Id structs of the message may
// be missing, since FlatBuffers has no required structs.
tl::expected<std::optional<fbs::envelopeT>, frame_error> DecodePayload(
    const frame_header& header,
    const uint8_t* payload);

// Decodes a stream of plain frames that arrives in pieces of any size:
//
//   decoder.Feed(piece);
//   while (true) {
//     auto next = decoder.Next();
//     if (!next) { close the stream; next.error() is final }
//     if (!*next) break;  // more bytes are needed
//     Handle(**next);
//   }
class frame_decoder {
 public:
  explicit frame_decoder(size_t max_payload = kMaxFramePayload)
      : max_payload_(max_payload) {}

  void Feed(std::string_view bytes);

  // The next message, nothing when more bytes are needed, or the error that
  // ends the stream. Messages of unknown type are skipped and counted.
  tl::expected<std::optional<fbs::envelopeT>, frame_error> Next();

  uint64_t skipped() const { return skipped_; }
  size_t buffered() const { return buffer_.size() - start_; }

 private:
  size_t max_payload_;
  std::string buffer_;
  size_t start_ = 0;
  uint64_t skipped_ = 0;
  std::optional<frame_error> failed_;
};

// Encodes messages; reuses one buffer.
class frame_encoder {
 public:
  struct frame {
    frame_header_bytes header;
    // Valid until the next Encode.
    const uint8_t* payload;
    size_t size;
    // Where the body of a call or answer lies in the payload; 0 and 0 when
    // there is none.
    size_t body_at;
    size_t body_size;
  };

  // Returns nothing when the message is larger than `max_payload`.
  std::optional<frame> Encode(const fbs::envelopeT& message,
                              size_t max_payload = kMaxFramePayload);

 private:
  flatbuffers::FlatBufferBuilder builder_{4096};
};

// The header for a payload.
frame_header_bytes MakeFrameHeader(const uint8_t* payload, size_t size);

// The same for a frame that was packed to a payload of `size` bytes.
frame_header_bytes MakePackedHeader(const frame_header_bytes& plain,
                                    uint32_t size);

// One frame as a string; empty when the message is too large.
std::string EncodeFrame(const fbs::envelopeT& message);

}  // namespace skylarkhoist

#endif  // WIRE_FRAME_H_
