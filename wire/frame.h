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
// Version of frames with a compressed payload (see frame_compressor). The
// checksum in their header is that of the uncompressed payload.
constexpr uint8_t kCompressedFrameVersion = 2;

// 8 MiB for the largest HTTP body that a node accepts, and 64 KiB for the rest
// of the message.
constexpr size_t kMaxFramePayloadSize = (8U << 20U) + (64U << 10U);

enum class frame_error {
  // The bytes are not the start of a frame.
  kBadMagic,
  kUnsupportedVersion,
  kPayloadTooLarge,
  // The payload differs from the one that was sent.
  kChecksumMismatch,
  // The checksum matches, but the payload is not a valid message.
  kInvalidMessage,
  kCount,
};

// Returns the value of the metric label "error".
std::string_view LabelOf(frame_error error);

using frame_header_bytes = std::array<uint8_t, kFrameHeaderSize>;

struct frame_header {
  uint32_t payload_size = 0;
  uint64_t checksum = 0;
  bool compressed = false;
};

// Parses a header of kFrameHeaderSize bytes. Fails when the payload is larger
// than `max_payload_size`, so that no memory is allocated for it.
tl::expected<frame_header, frame_error> ParseFrameHeader(
    const uint8_t* bytes,
    size_t max_payload_size = kMaxFramePayloadSize);

// Verifies and decodes an uncompressed payload of `header.payload_size` bytes.
// Returns nullopt for a message type that this version does not know. The id
// struct of a message may be null, since FlatBuffers has no required structs.
tl::expected<std::optional<fbs::envelopeT>, frame_error> DecodePayload(
    const frame_header& header,
    const uint8_t* payload);

// Decodes a stream of uncompressed frames that arrives in chunks of any size:
//
//   decoder.Feed(chunk);
//   while (true) {
//     auto next = decoder.Next();
//     if (!next) { close the stream; next.error() is final }
//     if (!*next) break;  // more bytes are needed
//     Handle(**next);
//   }
class frame_decoder {
 public:
  explicit frame_decoder(size_t max_payload_size = kMaxFramePayloadSize)
      : max_payload_size_(max_payload_size) {}

  void Feed(std::string_view bytes);

  // Returns the next message, nullopt when more bytes are needed, or the error
  // that ends the stream. Messages of unknown types are skipped and counted.
  tl::expected<std::optional<fbs::envelopeT>, frame_error> Next();

  uint64_t skipped_messages() const { return skipped_messages_; }
  size_t buffered_bytes() const { return buffer_.size() - read_offset_; }

 private:
  size_t max_payload_size_;
  std::string buffer_;
  size_t read_offset_ = 0;
  uint64_t skipped_messages_ = 0;
  std::optional<frame_error> error_;
};

// Encodes messages as uncompressed frames and reuses one buffer for them.
class frame_encoder {
 public:
  struct frame {
    frame_header_bytes header;
    // Valid until the next call of Encode.
    const uint8_t* payload;
    size_t payload_size;
    // Position of the body of a call or answer in the payload; both are 0 when
    // the message has no body.
    size_t body_offset;
    size_t body_size;
  };

  // Returns nullopt when the encoded message is larger than `max_payload_size`.
  std::optional<frame> Encode(const fbs::envelopeT& message,
                              size_t max_payload_size = kMaxFramePayloadSize);

 private:
  flatbuffers::FlatBufferBuilder builder_{4096};
};

// Makes the header of a frame with this uncompressed payload.
frame_header_bytes MakeFrameHeader(const uint8_t* payload, size_t size);

// Makes the header of a compressed frame from the header of the uncompressed
// one and the size of the compressed payload.
frame_header_bytes MakeCompressedFrameHeader(
    const frame_header_bytes& uncompressed,
    uint32_t compressed_size);

// Returns one uncompressed frame, or an empty string when the message is too
// large.
std::string EncodeFrame(const fbs::envelopeT& message);

}  // namespace skylarkhoist

#endif  // WIRE_FRAME_H_
