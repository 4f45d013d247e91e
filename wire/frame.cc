#include "wire/frame.h"

#include <xxhash.h>

#include <cstring>
#include <utility>

#include "wire/little_endian.h"

namespace skylarkhoist {
namespace {

constexpr std::array<uint8_t, 3> kMagic = {'S', 'k', 'H'};

// Messages of this version nest tables four levels deep. The limit is higher so
// that deeper messages of later versions are accepted.
constexpr size_t kMaxMessageDepth = 16;

// Messages of the largest size have fewer tables than this in practice. Bounds
// the work for a malformed payload that refers to the same tables many times.
constexpr size_t kMaxMessageTables = 200'000;

// FlatBuffers reads 64-bit fields in place, so payloads must be aligned to 8
// bytes.
constexpr size_t kPayloadAlignment = 8;

// The encoder releases its buffer after a payload larger than this.
constexpr size_t kMaxRetainedEncoderBytes = size_t{256} << 10U;

// Checks that the strings, byte vectors and tables of a message take at most
// `max_size` bytes once they are decoded. A malformed payload can refer to the
// same table or string many times, so that a small frame decodes to more than
// the memory of the machine. The encoder of this project never shares tables or
// strings, so its messages decode to at most their encoded size.
class decoded_size_checker {
 public:
  explicit decoded_size_checker(size_t max_size) : remaining_(max_size) {}

  bool exceeded() const { return exceeded_; }

  void Add(const fbs::envelope& message) {
    if (const auto* request = message.body_as_call_request()) {
      Add(request->headers());
      Add(request->body());
    } else if (const auto* answer = message.body_as_call_answer()) {
      Add(answer);
    } else if (const auto* state = message.body_as_call_state()) {
      Add(state->answer());
    } else if (const auto* gossip = message.body_as_gossip()) {
      Add(gossip->entries());
    } else if (const auto* update = message.body_as_config_news()) {
      Add(update->records());
    } else if (const auto* verdict = message.body_as_dedup_verdict()) {
      Add(verdict->answer());
    } else if (const auto* result = message.body_as_dedup_result()) {
      Add(result->answer());
    } else if (const auto* sync = message.body_as_dedup_sync()) {
      Add(sync->records());
    }
  }

 private:
  void Consume(size_t bytes) {
    exceeded_ = exceeded_ || bytes > remaining_;
    remaining_ -= exceeded_ ? 0 : bytes;
  }
  void Add(const flatbuffers::String* text) {
    if (text != nullptr)
      Consume(text->size());
  }
  void Add(const flatbuffers::Vector<uint8_t>* bytes) {
    if (bytes != nullptr)
      Consume(bytes->size());
  }
  template <typename table>
  void Add(const flatbuffers::Vector<flatbuffers::Offset<table>>* tables) {
    if (tables == nullptr)
      return;
    for (const table* each : *tables) {
      // 4 bytes for the offset of the table and 4 for its vtable offset.
      Consume(8);
      if (exceeded_)
        return;
      Add(each);
    }
  }
  void Add(const fbs::header* header) {
    Add(header->name());
    Add(header->value());
  }
  void Add(const fbs::load_level* level) { Add(level->service()); }
  void Add(const fbs::log_record* record) { Add(record->data()); }
  void Add(const fbs::target_entry* target) {
    Add(target->service());
    Add(target->address());
  }
  void Add(const fbs::member_entry* member) {
    Add(member->node());
    Add(member->zone());
    Add(member->peer_address());
    Add(member->public_address());
    Add(member->targets());
  }
  void Add(const fbs::call_answer* answer) {
    if (answer == nullptr)
      return;
    Add(answer->loads());
    Add(answer->headers());
    Add(answer->body());
  }
  void Add(const fbs::dedup_record* record) {
    Add(record->origin());
    Add(record->answer());
  }

  size_t remaining_;
  bool exceeded_ = false;
};

// Returns the body of a call request or answer, or null.
const flatbuffers::Vector<uint8_t>* BodyOf(const fbs::envelope& message) {
  if (const auto* request = message.body_as_call_request())
    return request->body();
  const auto* answer = message.body_as_call_answer();
  return answer == nullptr ? nullptr : answer->body();
}

}  // namespace

std::string_view LabelOf(frame_error error) {
  switch (error) {
    case frame_error::kBadMagic:
      return "bad_magic";
    case frame_error::kUnsupportedVersion:
      return "version";
    case frame_error::kPayloadTooLarge:
      return "too_large";
    case frame_error::kChecksumMismatch:
      return "checksum";
    case frame_error::kInvalidMessage:
    case frame_error::kCount:
      break;
  }
  return "invalid_message";
}

tl::expected<frame_header, frame_error> ParseFrameHeader(
    const uint8_t* bytes,
    size_t max_payload_size) {
  if (std::memcmp(bytes + 4, kMagic.data(), kMagic.size()) != 0)
    return tl::unexpected(frame_error::kBadMagic);
  if (bytes[7] != kFrameVersion && bytes[7] != kCompressedFrameVersion)
    return tl::unexpected(frame_error::kUnsupportedVersion);
  frame_header header;
  header.compressed = bytes[7] == kCompressedFrameVersion;
  header.payload_size = ReadLittleEndian<uint32_t>(bytes);
  header.checksum = ReadLittleEndian<uint64_t>(bytes + 8);
  if (header.payload_size > max_payload_size)
    return tl::unexpected(frame_error::kPayloadTooLarge);
  return header;
}

tl::expected<std::optional<fbs::envelopeT>, frame_error> DecodePayload(
    const frame_header& header,
    const uint8_t* payload) {
  if (XXH64(payload, header.payload_size, 0) != header.checksum)
    return tl::unexpected(frame_error::kChecksumMismatch);
  std::vector<uint64_t> aligned;
  if (reinterpret_cast<uintptr_t>(payload) % kPayloadAlignment != 0) {
    aligned.resize(header.payload_size / sizeof(uint64_t) + 1);
    std::memcpy(aligned.data(), payload, header.payload_size);
    payload = reinterpret_cast<const uint8_t*>(aligned.data());
  }
  flatbuffers::Verifier verifier(payload, header.payload_size, kMaxMessageDepth,
                                 kMaxMessageTables);
  if (!fbs::VerifyenvelopeBuffer(verifier))
    return tl::unexpected(frame_error::kInvalidMessage);
  const fbs::envelope* envelope = fbs::Getenvelope(payload);
  const auto type = envelope->body_type();
  if (type == fbs::payload::NONE || type > fbs::payload::MAX)
    return std::nullopt;
  if (envelope->body() == nullptr)
    return tl::unexpected(frame_error::kInvalidMessage);
  decoded_size_checker size_checker(header.payload_size);
  size_checker.Add(*envelope);
  if (size_checker.exceeded())
    return tl::unexpected(frame_error::kInvalidMessage);
  std::optional<fbs::envelopeT> message(std::in_place);
  envelope->UnPackTo(&*message);
  return message;
}

void frame_decoder::Feed(std::string_view bytes) {
  if (read_offset_ > 0 &&
      (read_offset_ == buffer_.size() || read_offset_ >= buffer_.size() / 2)) {
    buffer_.erase(0, read_offset_);
    read_offset_ = 0;
  }
  buffer_.append(bytes);
}

tl::expected<std::optional<fbs::envelopeT>, frame_error> frame_decoder::Next() {
  while (!error_) {
    if (buffered_bytes() < kFrameHeaderSize)
      return std::nullopt;
    const auto* bytes =
        reinterpret_cast<const uint8_t*>(buffer_.data()) + read_offset_;
    const auto header = ParseFrameHeader(bytes, max_payload_size_);
    if (!header) {
      error_ = header.error();
      break;
    }
    if (header->compressed) {
      error_ = frame_error::kUnsupportedVersion;
      break;
    }
    if (buffered_bytes() < kFrameHeaderSize + header->payload_size)
      return std::nullopt;
    auto message = DecodePayload(*header, bytes + kFrameHeaderSize);
    if (!message) {
      error_ = message.error();
      break;
    }
    read_offset_ += kFrameHeaderSize + header->payload_size;
    if (message->has_value())
      return message;
    ++skipped_messages_;
  }
  return tl::unexpected(*error_);
}

std::optional<frame_encoder::frame> frame_encoder::Encode(
    const fbs::envelopeT& message,
    size_t max_payload_size) {
  if (builder_.GetSize() > kMaxRetainedEncoderBytes)
    builder_ = flatbuffers::FlatBufferBuilder(4096);
  builder_.Clear();
  builder_.Finish(fbs::envelope::Pack(builder_, &message));
  if (builder_.GetSize() > max_payload_size)
    return std::nullopt;
  const uint8_t* payload = builder_.GetBufferPointer();
  const size_t size = builder_.GetSize();
  const auto* body = BodyOf(*fbs::Getenvelope(payload));
  return frame{
      MakeFrameHeader(payload, size), payload, size,
      body == nullptr ? 0 : static_cast<size_t>(body->Data() - payload),
      body == nullptr ? 0 : body->size()};
}

frame_header_bytes MakeFrameHeader(const uint8_t* payload, size_t size) {
  frame_header_bytes header;
  WriteLittleEndian<uint32_t>(static_cast<uint32_t>(size), header.data());
  std::memcpy(header.data() + 4, kMagic.data(), kMagic.size());
  header[7] = kFrameVersion;
  WriteLittleEndian<uint64_t>(XXH64(payload, size, 0), header.data() + 8);
  return header;
}

frame_header_bytes MakeCompressedFrameHeader(
    const frame_header_bytes& uncompressed,
    uint32_t compressed_size) {
  frame_header_bytes header = uncompressed;
  WriteLittleEndian<uint32_t>(compressed_size, header.data());
  header[7] = kCompressedFrameVersion;
  return header;
}

std::string EncodeFrame(const fbs::envelopeT& message) {
  frame_encoder encoder;
  const auto frame = encoder.Encode(message);
  if (!frame)
    return {};
  std::string bytes(reinterpret_cast<const char*>(frame->header.data()),
                    frame->header.size());
  bytes.append(reinterpret_cast<const char*>(frame->payload),
               frame->payload_size);
  return bytes;
}

}  // namespace skylarkhoist
