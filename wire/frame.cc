#include "wire/frame.h"

#include <xxhash.h>

#include <cstring>
#include <utility>

#include "wire/little_endian.h"

namespace skylarkhoist {
namespace {

constexpr std::array<uint8_t, 3> kMagic = {'S', 'k', 'H'};

// Messages nest four levels deep; the rest is room for later versions.
constexpr size_t kMaxDepth = 16;

// A frame of the largest size holds fewer useful tables than this. The bound
// keeps the work for a frame whose tables refer to each other many times small.
constexpr size_t kMaxTables = 200'000;

// FlatBuffers reads 64-bit fields in place, so payloads must lie on this
// boundary.
constexpr size_t kAlignment = 8;

// Payloads that once needed more than this give the memory back.
constexpr size_t kKeptEncoderBytes = size_t{256} << 10U;

// Adds up what a message needs once it is unpacked. Tables and strings of a
// faulty payload may refer to the same bytes many times, so that a small frame
// unpacks to more than the memory of the machine; an encoder of this project
// never shares them, and its messages unpack to at most their encoded size.
class unpacked_size {
 public:
  explicit unpacked_size(size_t limit) : left_(limit) {}

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
    } else if (const auto* news = message.body_as_config_news()) {
      Add(news->records());
    } else if (const auto* verdict = message.body_as_dedup_verdict()) {
      Add(verdict->answer());
    } else if (const auto* result = message.body_as_dedup_result()) {
      Add(result->answer());
    } else if (const auto* sync = message.body_as_dedup_sync()) {
      Add(sync->records());
    }
  }

 private:
  void Take(size_t bytes) {
    exceeded_ = exceeded_ || bytes > left_;
    left_ -= exceeded_ ? 0 : bytes;
  }
  void Add(const flatbuffers::String* text) {
    if (text != nullptr)
      Take(text->size());
  }
  void Add(const flatbuffers::Vector<uint8_t>* bytes) {
    if (bytes != nullptr)
      Take(bytes->size());
  }
  template <typename table>
  void Add(const flatbuffers::Vector<flatbuffers::Offset<table>>* tables) {
    if (tables == nullptr)
      return;
    for (const table* each : *tables) {
      // The offset of the table and its link to its fields.
      Take(8);
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

  size_t left_;
  bool exceeded_ = false;
};

// The body of a call or of its answer, or null.
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
    case frame_error::kVersion:
      return "version";
    case frame_error::kTooLarge:
      return "too_large";
    case frame_error::kChecksum:
      return "checksum";
    case frame_error::kInvalidMessage:
    case frame_error::kCount:
      break;
  }
  return "invalid_message";
}

tl::expected<frame_header, frame_error> ParseFrameHeader(const uint8_t* bytes,
                                                         size_t max_payload) {
  if (std::memcmp(bytes + 4, kMagic.data(), kMagic.size()) != 0)
    return tl::unexpected(frame_error::kBadMagic);
  if (bytes[7] != kFrameVersion && bytes[7] != kPackedFrameVersion)
    return tl::unexpected(frame_error::kVersion);
  frame_header header;
  header.packed = bytes[7] == kPackedFrameVersion;
  header.length = ReadLittleEndian<uint32_t>(bytes);
  header.checksum = ReadLittleEndian<uint64_t>(bytes + 8);
  if (header.length > max_payload)
    return tl::unexpected(frame_error::kTooLarge);
  return header;
}

tl::expected<std::optional<fbs::envelopeT>, frame_error> DecodePayload(
    const frame_header& header,
    const uint8_t* payload) {
  if (XXH64(payload, header.length, 0) != header.checksum)
    return tl::unexpected(frame_error::kChecksum);
  std::vector<uint64_t> aligned;
  if (reinterpret_cast<uintptr_t>(payload) % kAlignment != 0) {
    aligned.resize(header.length / sizeof(uint64_t) + 1);
    std::memcpy(aligned.data(), payload, header.length);
    payload = reinterpret_cast<const uint8_t*>(aligned.data());
  }
  flatbuffers::Verifier verifier(payload, header.length, kMaxDepth, kMaxTables);
  if (!fbs::VerifyenvelopeBuffer(verifier))
    return tl::unexpected(frame_error::kInvalidMessage);
  const fbs::envelope* envelope = fbs::Getenvelope(payload);
  const auto type = envelope->body_type();
  if (type == fbs::payload::NONE || type > fbs::payload::MAX)
    return std::nullopt;
  if (envelope->body() == nullptr)
    return tl::unexpected(frame_error::kInvalidMessage);
  unpacked_size size(header.length);
  size.Add(*envelope);
  if (size.exceeded())
    return tl::unexpected(frame_error::kInvalidMessage);
  std::optional<fbs::envelopeT> message(std::in_place);
  envelope->UnPackTo(&*message);
  return message;
}

void frame_decoder::Feed(std::string_view bytes) {
  if (start_ > 0 &&
      (start_ == buffer_.size() || start_ >= buffer_.size() / 2)) {
    buffer_.erase(0, start_);
    start_ = 0;
  }
  buffer_.append(bytes);
}

tl::expected<std::optional<fbs::envelopeT>, frame_error> frame_decoder::Next() {
  while (!failed_) {
    if (buffered() < kFrameHeaderSize)
      return std::nullopt;
    const auto* bytes =
        reinterpret_cast<const uint8_t*>(buffer_.data()) + start_;
    const auto header = ParseFrameHeader(bytes, max_payload_);
    if (!header) {
      failed_ = header.error();
      break;
    }
    if (header->packed) {
      failed_ = frame_error::kVersion;
      break;
    }
    if (buffered() < kFrameHeaderSize + header->length)
      return std::nullopt;
    auto message = DecodePayload(*header, bytes + kFrameHeaderSize);
    if (!message) {
      failed_ = message.error();
      break;
    }
    start_ += kFrameHeaderSize + header->length;
    if (message->has_value())
      return message;
    ++skipped_;
  }
  return tl::unexpected(*failed_);
}

std::optional<frame_encoder::frame> frame_encoder::Encode(
    const fbs::envelopeT& message,
    size_t max_payload) {
  if (builder_.GetSize() > kKeptEncoderBytes)
    builder_ = flatbuffers::FlatBufferBuilder(4096);
  builder_.Clear();
  builder_.Finish(fbs::envelope::Pack(builder_, &message));
  if (builder_.GetSize() > max_payload)
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

frame_header_bytes MakePackedHeader(const frame_header_bytes& plain,
                                    uint32_t size) {
  frame_header_bytes header = plain;
  WriteLittleEndian<uint32_t>(size, header.data());
  header[7] = kPackedFrameVersion;
  return header;
}

std::string EncodeFrame(const fbs::envelopeT& message) {
  frame_encoder encoder;
  const auto frame = encoder.Encode(message);
  if (!frame)
    return {};
  std::string bytes(reinterpret_cast<const char*>(frame->header.data()),
                    frame->header.size());
  bytes.append(reinterpret_cast<const char*>(frame->payload), frame->size);
  return bytes;
}

}  // namespace skylarkhoist
