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
  return Envelope(std::move(request));
}

// Messages and the error, if any, that `bytes` give when fed in pieces of
// `piece` bytes.
struct decoded {
  std::vector<fbs::envelopeT> messages;
  std::optional<frame_error> error;
  uint64_t skipped = 0;
};

decoded Decode(const std::string& bytes, size_t piece) {
  frame_decoder decoder;
  decoded result;
  for (size_t start = 0; start < bytes.size() && !result.error;
       start += piece) {
    decoder.Feed(std::string_view(bytes).substr(start, piece));
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
  result.skipped = decoder.skipped();
  return result;
}

// A frame around any payload, with a right checksum.
std::string FrameAround(const std::string& payload) {
  const auto* bytes = reinterpret_cast<const uint8_t*>(payload.data());
  const auto header = MakeFrameHeader(bytes, payload.size());
  return std::string(reinterpret_cast<const char*>(header.data()),
                     header.size()) +
         payload;
}

// A message whose union member this version does not know.
std::string UnknownMember() {
  flatbuffers::FlatBufferBuilder builder;
  const auto text = builder.CreateString("later");
  const auto start = builder.StartTable();
  builder.AddOffset(fbs::envelope::VT_BODY, text);
  builder.AddElement<uint8_t>(fbs::envelope::VT_BODY_TYPE, 250, 0);
  builder.Finish(flatbuffers::Offset<fbs::envelope>(builder.EndTable(start)));
  return FrameAround(
      std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                  builder.GetSize()));
}

// Guards against messages that change on the way or depend on how the stream is
// cut.
TEST(frame, MessagesSurviveAnySplit) {
  std::string stream;
  for (uint64_t sequence = 0; sequence < 3; ++sequence)
    stream += EncodeFrame(SampleRequest(sequence, "body"));
  for (size_t piece = 1; piece <= stream.size(); ++piece) {
    const decoded result = Decode(stream, piece);
    CHECK_FALSE(result.error.has_value());
    CHECK_EQUAL(3U, result.messages.size());
    for (uint64_t sequence = 0; sequence < 3; ++sequence) {
      CHECK_TRUE(result.messages[sequence] == SampleRequest(sequence, "body"));
    }
  }
}

// Guards against a damaged or foreign stream that is taken for messages.
TEST(frame, DamageHasATypedError) {
  const std::string good = EncodeFrame(SampleRequest(1, "body"));
  const auto with = [&good](size_t position, char value) {
    std::string bytes = good;
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
      {"version 0", with(7, 0), frame_error::kVersion},
      {"later version", with(7, 99), frame_error::kVersion},
      {"length above the limit", with(3, 0x7f), frame_error::kTooLarge},
      {"payload bit", with(40, static_cast<char>(good[40] ^ 1)),
       frame_error::kChecksum},
      {"checksum bit", with(8, static_cast<char>(good[8] ^ 1)),
       frame_error::kChecksum},
      {"no message", FrameAround("not a message at all"),
       frame_error::kInvalidMessage},
      {"empty payload", FrameAround(""), frame_error::kInvalidMessage},
  };
  for (const auto& each : cases) {
    const decoded result = Decode(each.bytes, each.bytes.size());
    CHECK_TEXT(result.error.has_value(), each.name);
    CHECK_TEXT(*result.error == each.error, each.name);
    CHECK_TRUE(result.messages.empty());
  }
}

// Guards against a short frame that is delivered, and against an error for a
// frame that is still on its way.
TEST(frame, ShortFrameWaits) {
  const std::string good = EncodeFrame(SampleRequest(1, "body"));
  for (size_t size = 0; size < good.size(); ++size) {
    const decoded result = Decode(good.substr(0, size), good.size());
    CHECK_FALSE(result.error.has_value());
    CHECK_TRUE(result.messages.empty());
  }
}

// Guards against memory that a header alone can claim, and against a largest
// message that does not pass.
TEST(frame, SizeLimit) {
  const std::string largest(8U << 20U, 'x');
  const std::string frame = EncodeFrame(SampleRequest(1, largest));
  const decoded result = Decode(frame, 1U << 20U);
  CHECK_EQUAL(1U, result.messages.size());
  CHECK_TRUE(EncodeFrame(SampleRequest(1, largest + largest)).empty());
}

// Guards against a newer peer whose messages end the link.
TEST(frame, UnknownMessageTypeIsSkipped) {
  const decoded result =
      Decode(UnknownMember() + EncodeFrame(SampleRequest(1, "")), 5);
  CHECK_FALSE(result.error.has_value());
  CHECK_EQUAL(1U, result.skipped);
  CHECK_EQUAL(1U, result.messages.size());
}

// Guards against a crash on a message without its id.
TEST(frame, MissingIdIsNull) {
  const decoded result = Decode(EncodeFrame(Envelope(fbs::call_queryT())), 100);
  CHECK_EQUAL(1U, result.messages.size());
  CHECK_TRUE(result.messages[0].body.Ascall_query()->id == nullptr);
}

// Guards against a small frame that unpacks to more memory than there is: all
// its header fields are the same table.
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
  const decoded result =
      Decode(FrameAround(std::string(
                 reinterpret_cast<const char*>(builder.GetBufferPointer()),
                 builder.GetSize())),
             1U << 20U);
  CHECK_TRUE(result.error == frame_error::kInvalidMessage);
}

// Guards against whole messages that the check of their unpacked size refuses.
TEST(frame, MessagesWithManyTablesPass) {
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
  const std::string frames = EncodeFrame(Envelope(std::move(gossip))) +
                             EncodeFrame(Envelope(std::move(sync)));
  const decoded result = Decode(frames, frames.size());
  CHECK_FALSE(result.error.has_value());
  CHECK_EQUAL(2U, result.messages.size());
  CHECK_EQUAL(100U, result.messages[0].body.Asgossip()->entries.size());
  CHECK_EQUAL(100U, result.messages[1].body.Asdedup_sync()->records.size());
}

// Checks a property a fixed number of times. A failure prints the seed;
// RC_PARAMS="seed=N" repeats the run.
template <typename property>
bool Holds(const char* name, const property& checked) {
  rc::detail::TestParams parameters = rc::detail::configuration().testParams;
  parameters.maxSuccess = 2000;
  rc::detail::TestMetadata metadata;
  metadata.description = name;
  const auto result = rc::detail::checkTestable(checked, metadata, parameters);
  if (result.template is<rc::detail::SuccessResult>())
    return true;
  std::cerr << name << ", " << parameters << "\n";
  rc::detail::printResultMessage(result, std::cerr);
  return false;
}

// Guards against a crash or a message made of noise.
TEST(frame, RandomBytesNeverGiveAMessage) {
  CHECK_TRUE(Holds("random bytes", [](const std::string& bytes) {
    const auto piece = *rc::gen::inRange<size_t>(1, 64);
    RC_ASSERT(Decode(bytes, piece).messages.empty());
  }));
}

// Guards against a crash on payloads that pass the checksum, as a faulty peer
// would send them, and against reads past the payload.
TEST(frame, MutatedPayloadsNeverCrash) {
  const std::string good = EncodeFrame(SampleRequest(1, "body"));
  CHECK_TRUE(Holds("mutated payloads", [&good] {
    std::string payload = good.substr(kFrameHeaderSize);
    const auto changes =
        *rc::gen::container<std::vector<std::pair<size_t, uint8_t>>>(
            rc::gen::pair(rc::gen::inRange<size_t>(0, payload.size()),
                          rc::gen::arbitrary<uint8_t>()));
    for (const auto& [position, value] : changes)
      payload[position] = static_cast<char>(value);
    payload.resize(*rc::gen::inRange<size_t>(0, payload.size() + 1));
    const decoded result = Decode(FrameAround(payload), 1000);
    RC_ASSERT(result.messages.size() + result.skipped +
                  (result.error ? 1U : 0U) ==
              1U);
    if (!result.messages.empty())
      RC_ASSERT(!EncodeFrame(result.messages[0]).empty());
  }));
}

// Guards against damage on the way that goes unnoticed: a stream with one
// changed byte never gives more than the messages before the change.
TEST(frame, MutatedStreamGivesOnlyAPrefix) {
  std::vector<std::string> frames;
  std::string stream;
  for (uint64_t sequence = 0; sequence < 4; ++sequence) {
    frames.push_back(EncodeFrame(SampleRequest(sequence, "body")));
    stream += frames.back();
  }
  CHECK_TRUE(Holds("mutated streams", [&] {
    std::string bytes = stream;
    const auto position = *rc::gen::inRange<size_t>(0, bytes.size());
    const auto change = *rc::gen::inRange(1, 256);
    bytes[position] = static_cast<char>(bytes[position] ^ change);
    const decoded result =
        Decode(bytes, *rc::gen::inRange<size_t>(1, bytes.size() + 1));
    RC_ASSERT(result.messages.size() == position / frames[0].size());
    for (size_t index = 0; index < result.messages.size(); ++index)
      RC_ASSERT(result.messages[index] == SampleRequest(index, "body"));
  }));
}

}  // namespace
}  // namespace skylarkhoist
