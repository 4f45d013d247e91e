#include "wire/frame.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <cstring>
#include <iostream>
#include <string>
#include <vector>

#include "wire/peer_transport.h"

namespace skylarkhoist {
namespace {

TEST_GROUP(frame){};

fbs::envelopeT SampleRequest(uint64_t sequence, const std::string& body) {
  fbs::call_requestT request;
  request.id = std::make_unique<fbs::request_id>(7, sequence);
  request.service = "bookings";
  request.path = "/bookings/1";
  auto header = std::make_unique<fbs::headerT>();
  header->name = "Accept";
  header->value = "*/*";
  request.headers.push_back(std::move(header));
  request.body.assign(body.begin(), body.end());
  return MakeEnvelope(std::move(request));
}

struct decode_result {
  std::vector<fbs::envelopeT> messages;
  std::optional<frame_error> error;
  uint64_t skipped_messages = 0;
};

// Decodes `bytes` in chunks of `chunk_size` bytes, up to the first error.
decode_result Decode(const std::string& bytes, size_t chunk_size) {
  frame_decoder decoder;
  decode_result result;
  for (size_t start = 0; start < bytes.size() && !result.error;
       start += chunk_size) {
    decoder.Feed(std::string_view(bytes).substr(start, chunk_size));
    while (true) {
      auto next = decoder.Next();
      if (!next) {
        result.error = next.error();
        break;
      }
      if (!*next)
        break;
      result.messages.push_back(std::move(**next));
    }
  }
  result.skipped_messages = decoder.skipped_messages();
  return result;
}

// Makes a frame with any payload and its correct checksum.
std::string FrameWithPayload(const std::string& payload) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(payload.data());
  const auto header = MakeFrameHeader(bytes, payload.size());
  return std::string(reinterpret_cast<const char*>(header.data()),
                     header.size()) +
         payload;
}

// Makes a frame with a message of a type that this version does not know.
std::string FrameWithUnknownMessageType() {
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString("later");
  const auto start = builder.StartTable();
  builder.AddOffset(fbs::envelope::VT_BODY, text);
  builder.AddElement<uint8_t>(fbs::envelope::VT_BODY_TYPE, 250, 0);
  builder.Finish(flatbuffers::Offset<fbs::envelope>(builder.EndTable(start)));
  return FrameWithPayload(
      std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                  builder.GetSize()));
}

// Guards against messages that are changed by encoding and decoding, or that
// depend on how the stream is split into chunks.
TEST(frame, MessagesDecodeForAnyChunkSize) {
  std::string stream;
  for (uint64_t sequence = 0; sequence < 3; ++sequence)
    stream += EncodeFrame(SampleRequest(sequence, "body"));
  for (size_t chunk_size = 1; chunk_size <= stream.size(); ++chunk_size) {
    const decode_result result = Decode(stream, chunk_size);
    CHECK_FALSE(result.error.has_value());
    CHECK_EQUAL(3U, result.messages.size());
    for (uint64_t sequence = 0; sequence < 3; ++sequence) {
      CHECK_TRUE(result.messages[sequence] == SampleRequest(sequence, "body"));
    }
  }
}

// Guards against a corrupted stream, or a stream of another protocol, that is
// decoded as messages.
TEST(frame, InvalidStreamsHaveTypedErrors) {
  const std::string valid_frame = EncodeFrame(SampleRequest(1, "body"));
  const auto with_byte = [&valid_frame](size_t position, char value) {
    std::string bytes = valid_frame;
    bytes[position] = value;
    return bytes;
  };
  struct {
    const char* name;
    std::string bytes;
    frame_error error;
  } const cases[] = {
      {"other protocol", "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
       frame_error::kBadMagic},
      {"version 0", with_byte(7, 0), frame_error::kUnsupportedVersion},
      {"later version", with_byte(7, 99), frame_error::kUnsupportedVersion},
      {"length above the limit", with_byte(3, 0x7f),
       frame_error::kPayloadTooLarge},
      {"payload bit", with_byte(40, static_cast<char>(valid_frame[40] ^ 1)),
       frame_error::kChecksumMismatch},
      {"checksum bit", with_byte(8, static_cast<char>(valid_frame[8] ^ 1)),
       frame_error::kChecksumMismatch},
      {"no message", FrameWithPayload("not a message at all"),
       frame_error::kInvalidMessage},
      {"empty payload", FrameWithPayload(""), frame_error::kInvalidMessage},
  };
  for (const auto& each : cases) {
    const decode_result result = Decode(each.bytes, each.bytes.size());
    CHECK_TEXT(result.error.has_value(), each.name);
    CHECK_TEXT(*result.error == each.error, each.name);
    CHECK_TRUE(result.messages.empty());
  }
}

// Guards against a message decoded from an incomplete frame, and against an
// error for a frame whose rest has not arrived yet.
TEST(frame, IncompleteFrameNeedsMoreBytes) {
  const std::string valid_frame = EncodeFrame(SampleRequest(1, "body"));
  for (size_t size = 0; size < valid_frame.size(); ++size) {
    const decode_result result =
        Decode(valid_frame.substr(0, size), valid_frame.size());
    CHECK_FALSE(result.error.has_value());
    CHECK_TRUE(result.messages.empty());
  }
}

// Guards against memory allocated for any length that a header states, and
// against a message with a body of the maximum size that is refused.
TEST(frame, MaxPayloadSizeIsEnforced) {
  const std::string max_body(8U << 20U, 'x');
  const std::string frame = EncodeFrame(SampleRequest(1, max_body));
  const decode_result result = Decode(frame, 1U << 20U);
  CHECK_EQUAL(1U, result.messages.size());
  CHECK_TRUE(EncodeFrame(SampleRequest(1, max_body + max_body)).empty());
}

// Guards against a newer peer whose unknown messages close the link.
TEST(frame, UnknownMessageTypeIsSkipped) {
  const decode_result result = Decode(
      FrameWithUnknownMessageType() + EncodeFrame(SampleRequest(1, "")), 5);
  CHECK_FALSE(result.error.has_value());
  CHECK_EQUAL(1U, result.skipped_messages);
  CHECK_EQUAL(1U, result.messages.size());
}

// Guards against a crash on a message without an id.
TEST(frame, MissingIdIsNull) {
  const decode_result result =
      Decode(EncodeFrame(MakeEnvelope(fbs::call_queryT())), 100);
  CHECK_EQUAL(1U, result.messages.size());
  CHECK_TRUE(result.messages[0].body.Ascall_query()->id == nullptr);
}

// Guards against a small frame that decodes to more than the memory of the
// machine, because all its header fields refer to the same table.
TEST(frame, SharedTablesAreRefused) {
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString(std::string(1'000'000, 'x'));
  const auto header = fbs::Createheader(builder, text, text);
  const auto headers = builder.CreateVector(
      std::vector<flatbuffers::Offset<fbs::header>>(100'000, header));
  fbs::call_requestBuilder request(builder);
  request.add_headers(headers);
  builder.Finish(fbs::Createenvelope(builder, fbs::payload::call_request,
                                     request.Finish().Union()));
  const decode_result result =
      Decode(FrameWithPayload(std::string(
                 reinterpret_cast<const char*>(builder.GetBufferPointer()),
                 builder.GetSize())),
             1U << 20U);
  CHECK_TRUE(result.error == frame_error::kInvalidMessage);
}

// Guards against valid messages that the check of the decoded size refuses.
TEST(frame, MessagesWithManyTablesAreAccepted) {
  fbs::gossipT gossip;
  fbs::dedup_syncT sync;
  for (int count = 0; count < 100; ++count) {
    gossip.entries.push_back(std::make_unique<fbs::member_entryT>());
    gossip.entries.back()->node = "node";
    gossip.entries.back()->targets.push_back(
        std::make_unique<fbs::target_entryT>());
    sync.records.push_back(std::make_unique<fbs::dedup_recordT>());
    auto& answer = sync.records.back()->answer;
    answer = std::make_unique<fbs::call_answerT>();
    answer->body.assign(count, 1);
    answer->headers.push_back(std::make_unique<fbs::headerT>());
  }
  const std::string frames = EncodeFrame(MakeEnvelope(std::move(gossip))) +
                             EncodeFrame(MakeEnvelope(std::move(sync)));
  const decode_result result = Decode(frames, frames.size());
  CHECK_FALSE(result.error.has_value());
  CHECK_EQUAL(2U, result.messages.size());
  CHECK_EQUAL(100U, result.messages[0].body.Asgossip()->entries.size());
  CHECK_EQUAL(100U, result.messages[1].body.Asdedup_sync()->records.size());
}

// Checks a property with 2000 random inputs. A failure prints the seed;
// RC_PARAMS="seed=N" repeats the run.
template <typename property>
bool CheckProperty(const char* name, const property& property_function) {
  rc::detail::TestParams parameters = rc::detail::configuration().testParams;
  parameters.maxSuccess = 2000;
  rc::detail::TestMetadata metadata;
  metadata.description = name;
  const auto result =
      rc::detail::checkTestable(property_function, metadata, parameters);
  if (result.template is<rc::detail::SuccessResult>())
    return true;
  std::cerr << name << ", " << parameters << "\n";
  rc::detail::printResultMessage(result, std::cerr);
  return false;
}

// Guards against random bytes that crash the decoder or decode as a message.
TEST(frame, RandomBytesNeverDecodeAsAMessage) {
  CHECK_TRUE(CheckProperty("random bytes", [](const std::string& bytes) {
    const auto chunk_size = *rc::gen::inRange<size_t>(1, 64);
    RC_ASSERT(Decode(bytes, chunk_size).messages.empty());
  }));
}

// Guards against a crash, or a read past the end, on malformed payloads with a
// correct checksum, as a faulty peer would send them.
TEST(frame, MutatedPayloadsNeverCrash) {
  const std::string valid_frame = EncodeFrame(SampleRequest(1, "body"));
  CHECK_TRUE(CheckProperty("mutated payloads", [&valid_frame] {
    std::string payload = valid_frame.substr(kFrameHeaderSize);
    const auto changes =
        *rc::gen::container<std::vector<std::pair<size_t, uint8_t>>>(
            rc::gen::pair(rc::gen::inRange<size_t>(0, payload.size()),
                          rc::gen::arbitrary<uint8_t>()));
    for (const auto& [position, value] : changes)
      payload[position] = static_cast<char>(value);
    payload.resize(*rc::gen::inRange<size_t>(0, payload.size() + 1));
    const decode_result result = Decode(FrameWithPayload(payload), 1000);
    RC_ASSERT(result.messages.size() + result.skipped_messages +
                  (result.error ? 1U : 0U) ==
              1U);
    if (!result.messages.empty())
      RC_ASSERT(!EncodeFrame(result.messages[0]).empty());
  }));
}

// Guards against corruption in transit that is not detected: a stream with one
// changed byte decodes only to the messages before that byte.
TEST(frame, CorruptedStreamDecodesOnlyToAPrefix) {
  std::vector<std::string> frames;
  std::string stream;
  for (uint64_t sequence = 0; sequence < 4; ++sequence) {
    frames.push_back(EncodeFrame(SampleRequest(sequence, "body")));
    stream += frames.back();
  }
  CHECK_TRUE(CheckProperty("mutated streams", [&] {
    std::string bytes = stream;
    const auto position = *rc::gen::inRange<size_t>(0, bytes.size());
    const auto change = *rc::gen::inRange(1, 256);
    bytes[position] = static_cast<char>(bytes[position] ^ change);
    const decode_result result =
        Decode(bytes, *rc::gen::inRange<size_t>(1, bytes.size() + 1));
    RC_ASSERT(result.messages.size() == position / frames[0].size());
    for (size_t index = 0; index < result.messages.size(); ++index)
      RC_ASSERT(result.messages[index] == SampleRequest(index, "body"));
  }));
}

}  // namespace
}  // namespace skylarkhoist
