#include "wire/frame_packer.h"

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

TEST_GROUP(frame_packer) {
  frame_encoder encoder;
  frame_packer packer;
  frame_unpacker unpacker;

  std::string Pack(const fbs::envelopeT& message) {
    return packer.Pack(*encoder.Encode(message));
  }

  tl::expected<std::optional<fbs::envelopeT>, frame_error> Unpack(
      const std::string& bytes) {
    const auto* start = reinterpret_cast<const uint8_t*>(bytes.data());
    auto header = ParseFrameHeader(start);
    CHECK_TRUE(header.has_value());
    CHECK_TRUE(header->packed);
    LONGS_EQUAL(bytes.size() - kFrameHeaderSize, header->length);
    const auto plain =
        unpacker.Unpack(start + kFrameHeaderSize, header->length);
    if (!plain)
      return tl::unexpected(plain.error());
    header->length = static_cast<uint32_t>(plain->size());
    return DecodePayload(*header, plain->data());
  }
};

fbs::envelopeT Request(uint64_t sequence, const std::string& body) {
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
  return Envelope(std::move(request));
}

// Load pattern: each request of a caller leads to many small calls of a deep
// service in another zone. Guards against names and header fields that are sent
// anew with each of them.
TEST(frame_packer, CallsThatAreAlikeTakeAThird) {
  size_t plain = 0;
  size_t packed = 0;
  for (uint64_t sequence = 1; sequence <= 100; ++sequence) {
    const fbs::envelopeT message = Request(sequence, "");
    plain += EncodeFrame(message).size();
    const std::string bytes = Pack(message);
    packed += bytes.size();
    const auto received = Unpack(bytes);
    CHECK_TRUE(received.has_value() && received->has_value());
    CHECK_TRUE(**received == message);
  }
  CHECK_TRUE(packed * 3 < plain);
}

// Guards against bodies that get lost, cut or mixed up with the bytes around
// them, whatever comes one after the other.
TEST(frame_packer, GivesBackWhatWasPacked) {
  SetPropertyCount(200);
  CHECK_TRUE(rc::check("messages of any body", [] {
    frame_encoder encoder;
    frame_packer packer;
    frame_unpacker unpacker;
    const auto bodies = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
    uint64_t sequence = 0;
    for (const std::string& body : bodies) {
      fbs::envelopeT message = Request(++sequence, body);
      if (sequence % 3 == 0) {
        fbs::call_answerT answer;
        answer.status = 200;
        answer.body.assign(body.begin(), body.end());
        message = Envelope(std::move(answer));
      } else if (sequence % 3 == 1) {
        message = Envelope(fbs::heartbeatT());
      }
      const std::string bytes = packer.Pack(*encoder.Encode(message));
      const auto* start = reinterpret_cast<const uint8_t*>(bytes.data());
      auto header = ParseFrameHeader(start);
      const auto plain =
          unpacker.Unpack(start + kFrameHeaderSize, header->length);
      RC_ASSERT(plain.has_value());
      header->length = static_cast<uint32_t>(plain->size());
      const auto received = DecodePayload(*header, plain->data());
      RC_ASSERT(received.has_value());
      RC_ASSERT(**received == message);
    }
  }));
}

// Guards against damaged bytes that pass as a message, or that end the process.
TEST(frame_packer, DamagedBytesAreErrors) {
  SetPropertyCount(200);
  CHECK_TRUE(rc::check("one byte changed", [] {
    frame_encoder encoder;
    frame_packer packer;
    std::string bytes = packer.Pack(*encoder.Encode(Request(1, "a body")));
    const auto place =
        *rc::gen::inRange<size_t>(kFrameHeaderSize, bytes.size());
    bytes[place] = static_cast<char>(bytes[place] ^ *rc::gen::inRange(1, 256));
    const auto* start = reinterpret_cast<const uint8_t*>(bytes.data());
    auto header = ParseFrameHeader(start);
    frame_unpacker unpacker;
    const auto plain =
        unpacker.Unpack(start + kFrameHeaderSize, header->length);
    if (!plain)
      return;
    header->length = static_cast<uint32_t>(plain->size());
    RC_ASSERT(!DecodePayload(*header, plain->data()).has_value());
  }));
}

TEST(frame_packer, ShortPayloadsAreErrors) {
  const std::string bytes = Pack(Request(1, "a body"));
  const auto* payload =
      reinterpret_cast<const uint8_t*>(bytes.data()) + kFrameHeaderSize;
  for (size_t size = 0; size < 8; ++size)
    CHECK_FALSE(frame_unpacker().Unpack(payload, size).has_value());
}

// Guards against a small frame that unpacks to more than the memory of the
// machine.
TEST(frame_packer, WhatUnpacksToTooMuchIsAnError) {
  const std::vector<uint8_t> zeros(2 * kMaxFramePayload);
  frame_encoder::frame plain{};
  plain.payload = zeros.data();
  plain.size = zeros.size();
  const std::string bytes = packer.Pack(plain);
  CHECK_TRUE(bytes.size() < 100'000);
  const auto* payload =
      reinterpret_cast<const uint8_t*>(bytes.data()) + kFrameHeaderSize;
  const auto unpacked =
      unpacker.Unpack(payload, bytes.size() - kFrameHeaderSize);
  CHECK_FALSE(unpacked.has_value());
}

}  // namespace
}  // namespace skylarkhoist
