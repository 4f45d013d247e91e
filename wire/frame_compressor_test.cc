#include "wire/frame_compressor.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <cstring>
#include <string>
#include <utility>
#include <vector>

#include "testing/property.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {
namespace {

TEST_GROUP(frame_compressor) {
  frame_encoder encoder;
  frame_compressor compressor;
  frame_decompressor decompressor;

  std::string Compress(const fbs::envelopeT& message) {
    return compressor.Compress(*encoder.Encode(message));
  }

  tl::expected<std::optional<fbs::envelopeT>, frame_error> Decompress(
      const std::string& bytes) {
    const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
    auto header = ParseFrameHeader(data);
    CHECK_TRUE(header.has_value());
    CHECK_TRUE(header->compressed);
    LONGS_EQUAL(bytes.size() - kFrameHeaderSize, header->payload_size);
    const auto uncompressed =
        decompressor.Decompress(data + kFrameHeaderSize, header->payload_size);
    if (!uncompressed)
      return tl::unexpected(uncompressed.error());
    header->payload_size = static_cast<uint32_t>(uncompressed->size());
    return DecodePayload(*header, uncompressed->data());
  }
};

fbs::envelopeT MakeRequest(uint64_t sequence, const std::string& body) {
  fbs::call_requestT request;
  request.id = std::make_unique<fbs::request_id>(7, sequence);
  request.service = "calendar";
  request.path = "/calendar/open-dates/" + std::to_string(sequence);
  request.method = "GET";
  request.route = "open-dates";
  request.caller_service = "bookings";
  for (const char* name : {"Host", "User-Agent", "Accept", "Accept-Encoding"}) {
    auto header = std::make_unique<fbs::headerT>();
    header->name = name;
    header->value = "some value of every request";
    request.headers.push_back(std::move(header));
  }
  request.body.assign(body.begin(), body.end());
  return MakeEnvelope(std::move(request));
}

// Load pattern: each request of a caller leads to many small calls of a
// downstream service in another zone. Guards against names and header fields
// that are sent in full with each of these calls.
TEST(frame_compressor, SimilarCallsTakeLessThanAThird) {
  size_t uncompressed = 0;
  size_t compressed = 0;
  for (uint64_t sequence = 1; sequence <= 100; ++sequence) {
    const fbs::envelopeT message = MakeRequest(sequence, "");
    uncompressed += EncodeFrame(message).size();
    const std::string bytes = Compress(message);
    compressed += bytes.size();
    const auto received = Decompress(bytes);
    CHECK_TRUE(received.has_value() && received->has_value());
    CHECK_TRUE(**received == message);
  }
  CHECK_TRUE(compressed * 3 < uncompressed);
}

// Guards against bodies that are lost, truncated or mixed up with the bytes
// around them, for any sequence of messages with and without bodies.
TEST(frame_compressor, DecompressedMessagesEqualTheOriginals) {
  SetHistoriesPerProperty(200);
  CHECK_TRUE(rc::check("messages with arbitrary bodies", [] {
    frame_encoder encoder;
    frame_compressor compressor;
    frame_decompressor decompressor;
    const auto bodies = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
    uint64_t sequence = 0;
    for (const std::string& body : bodies) {
      fbs::envelopeT message = MakeRequest(++sequence, body);
      if (sequence % 3 == 0) {
        fbs::call_answerT answer;
        answer.status = 200;
        answer.body.assign(body.begin(), body.end());
        message = MakeEnvelope(std::move(answer));
      } else if (sequence % 3 == 1) {
        message = MakeEnvelope(fbs::heartbeatT());
      }
      const std::string bytes = compressor.Compress(*encoder.Encode(message));
      const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
      auto header = ParseFrameHeader(data);
      const auto uncompressed = decompressor.Decompress(data + kFrameHeaderSize,
                                                        header->payload_size);
      RC_ASSERT(uncompressed.has_value());
      header->payload_size = static_cast<uint32_t>(uncompressed->size());
      const auto received = DecodePayload(*header, uncompressed->data());
      RC_ASSERT(received.has_value());
      RC_ASSERT(**received == message);
    }
  }));
}

// Guards against corrupted bytes that are decoded as a message or crash the
// process.
TEST(frame_compressor, CorruptedPayloadsAreErrors) {
  SetHistoriesPerProperty(200);
  CHECK_TRUE(rc::check("one byte changed", [] {
    frame_encoder encoder;
    frame_compressor compressor;
    std::string bytes =
        compressor.Compress(*encoder.Encode(MakeRequest(1, "a body")));
    const auto position =
        *rc::gen::inRange<size_t>(kFrameHeaderSize, bytes.size());
    bytes[position] =
        static_cast<char>(bytes[position] ^ *rc::gen::inRange(1, 256));
    const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
    auto header = ParseFrameHeader(data);
    frame_decompressor decompressor;
    const auto uncompressed =
        decompressor.Decompress(data + kFrameHeaderSize, header->payload_size);
    if (!uncompressed)
      return;
    header->payload_size = static_cast<uint32_t>(uncompressed->size());
    RC_ASSERT(!DecodePayload(*header, uncompressed->data()).has_value());
  }));
}

TEST(frame_compressor, PayloadsShorterThanThePrefixAreErrors) {
  const std::string bytes = Compress(MakeRequest(1, "a body"));
  const auto* payload =
      reinterpret_cast<const uint8_t*>(bytes.data()) + kFrameHeaderSize;
  for (size_t size = 0; size < 8; ++size)
    CHECK_FALSE(frame_decompressor().Decompress(payload, size).has_value());
}

// Guards against a small frame that decompresses to more than the memory of the
// machine.
TEST(frame_compressor, OversizedDecompressedPayloadIsAnError) {
  const std::vector<uint8_t> zeros(2 * kMaxFramePayloadSize);
  frame_encoder::frame uncompressed{};
  uncompressed.payload = zeros.data();
  uncompressed.payload_size = zeros.size();
  const std::string bytes = compressor.Compress(uncompressed);
  CHECK_TRUE(bytes.size() < 100'000);
  const auto* payload =
      reinterpret_cast<const uint8_t*>(bytes.data()) + kFrameHeaderSize;
  const auto decompressed =
      decompressor.Decompress(payload, bytes.size() - kFrameHeaderSize);
  CHECK_FALSE(decompressed.has_value());
}

}  // namespace
}  // namespace skylarkhoist
