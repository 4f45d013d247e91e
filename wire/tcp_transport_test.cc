#include "wire/tcp_transport.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "testing/raw_socket.h"
#include "testing/run_until.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

struct recorder : peer_observer {
  std::vector<std::pair<peer_info, fbs::envelopeT>> messages;
  uint64_t heartbeats = 0;
  uint64_t last_echo = 0;
  // "up NODE INCARNATION" and "down CAUSE INCARNATION", in order.
  std::vector<std::string> events;
  std::function<void(const peer_info&)> on_message;

  void OnPeerMessage(const peer_info& from,
                     const fbs::envelopeT& message) override {
    if (const auto* heartbeat = message.body.Asheartbeat()) {
      ++heartbeats;
      last_echo = heartbeat->echo;
      return;
    }
    messages.emplace_back(from, message);
    if (on_message)
      on_message(from);
  }
  void OnLinkUp(const peer_info& peer) override {
    events.push_back("up " + peer.node + " " +
                     std::to_string(peer.incarnation));
  }
  void OnLinkDown(const peer_info& peer, link_down_cause cause) override {
    events.push_back("down " + std::to_string(static_cast<int>(cause)) + " " +
                     std::to_string(peer.incarnation));
  }
  fbs::heartbeatT MakeHeartbeat() override { return {}; }
};

std::string Down(link_down_cause cause, uint64_t incarnation) {
  return "down " + std::to_string(static_cast<int>(cause)) + " " +
         std::to_string(incarnation);
}

fbs::helloT HelloOf(const std::string& node, uint64_t incarnation) {
  fbs::helloT hello;
  hello.min_version = 1;
  hello.max_version = 1;
  hello.cluster = "test";
  hello.node = node;
  hello.zone = "zone";
  hello.incarnation = incarnation;
  return hello;
}

struct peer {
  metrics counters;
  recorder seen;
  std::unique_ptr<tcp_transport> transport;

  peer(event_loop* loop,
       const fbs::helloT& hello,
       const std::string& address = "127.0.0.1:0",
       size_t max_send_buffer = 32U << 20U,
       bool pack_between_zones = false) {
    tcp_transport_settings settings;
    settings.pack_between_zones = pack_between_zones;
    settings.listen_address = address;
    settings.hello = hello;
    settings.heartbeat_interval = milliseconds(20);
    settings.silence_limit = milliseconds(400);
    settings.connect_timeout = milliseconds(400);
    settings.use_period = milliseconds(600);
    settings.call_use_period = milliseconds(3000);
    settings.max_send_buffer = max_send_buffer;
    transport = std::make_unique<tcp_transport>(loop, settings, &counters);
    transport->Start(&seen);
    CHECK_TRUE(transport->Listen().has_value());
  }
  const std::string& address() const { return transport->listen_address(); }
  double Count(const std::string& name, const metric_labels& labels = {}) {
    return counters.Counter(name, "", labels).Value();
  }
};

fbs::envelopeT Numbered(uint64_t sequence, size_t size = 0) {
  fbs::call_requestT request;
  request.id = std::make_unique<fbs::request_id>(1, sequence);
  request.body.assign(size, 'x');
  return Envelope(std::move(request));
}

uint64_t SequenceOf(const fbs::envelopeT& message) {
  return message.body.Ascall_request()->id->sequence();
}

TEST_GROUP(tcp_transport) {
  event_loop loop;
};

// Guards against a peer that packs what the other end cannot follow: frames
// from before the link was up are plain, heartbeats come in between.
TEST(tcp_transport, LinksBetweenZonesArePacked) {
  fbs::helloT far = HelloOf("far", 2);
  far.zone = "other zone";
  peer one(&loop, HelloOf("one", 1), "127.0.0.1:0", 32U << 20U, true);
  peer two(&loop, far, "127.0.0.1:0", 32U << 20U, true);
  for (uint64_t sequence = 1; sequence <= 20; ++sequence)
    one.transport->Send(two.address(), Numbered(sequence, sequence * 100));
  CHECK_TRUE(RunUntil(loop, [&] { return two.seen.messages.size() == 20; }));
  for (uint64_t sequence = 21; sequence <= 40; ++sequence) {
    one.transport->Send(two.address(), Numbered(sequence, sequence * 100));
    two.transport->Send(one.address(), Numbered(sequence));
    RunFor(loop, milliseconds(5));
  }
  CHECK_TRUE(RunUntil(loop, [&] {
    return two.seen.messages.size() == 40 && one.seen.messages.size() == 20;
  }));
  for (uint64_t sequence = 1; sequence <= 40; ++sequence) {
    const fbs::envelopeT& message = two.seen.messages[sequence - 1].second;
    CHECK_TRUE(message == Numbered(sequence, sequence * 100));
  }
  CHECK_TRUE(one.seen.heartbeats > 0 && two.seen.heartbeats > 0);
  const char* bytes = "skylarkhoist_peer_packing_bytes_total";
  CHECK_TRUE(one.Count(bytes, {{"when", "after"}}) > 0);
  CHECK_TRUE(one.Count(bytes, {{"when", "after"}}) <
             one.Count(bytes, {{"when", "before"}}));
  DOUBLES_EQUAL(
      0, two.Count("skylarkhoist_peer_links_down_total", {{"cause", "closed"}}),
      0);
}

// Guards against lost or reordered messages, and against a second connection
// for the way back.
TEST(tcp_transport, OneLinkServesBothDirectionsInOrder) {
  peer a(&loop, HelloOf("a", 1));
  peer b(&loop, HelloOf("b", 2));
  b.seen.on_message = [&](const peer_info& from) {
    b.transport->Send(from.address, b.seen.messages.back().second);
  };
  for (uint64_t sequence = 0; sequence < 500; ++sequence)
    a.transport->Send(b.address(), Numbered(sequence, 3000));
  CHECK_TRUE(RunUntil(loop, [&] { return a.seen.messages.size() == 500; }));
  for (uint64_t sequence = 0; sequence < 500; ++sequence)
    CHECK_EQUAL(sequence, SequenceOf(a.seen.messages[sequence].second));
  CHECK_TRUE(a.seen.events == std::vector<std::string>{"up b 2"});
  CHECK_TRUE(b.seen.events == std::vector<std::string>{"up a 1"});
  CHECK_EQUAL(b.address(), a.seen.messages[0].first.address);
}

// Guards against links that fall when both ends dial at once.
TEST(tcp_transport, SimultaneousDialGivesOneStableLink) {
  peer a(&loop, HelloOf("a", 1));
  peer b(&loop, HelloOf("b", 2));
  a.transport->Send(b.address(), Numbered(1));
  b.transport->Send(a.address(), Numbered(2));
  CHECK_TRUE(RunUntil(loop, [&] {
    return a.seen.messages.size() == 1 && b.seen.messages.size() == 1;
  }));
  RunFor(loop, milliseconds(300));
  CHECK_TRUE(a.seen.events == std::vector<std::string>{"up b 2"});
  CHECK_TRUE(b.seen.events == std::vector<std::string>{"up a 1"});
  CHECK_TRUE(a.seen.last_echo > 0);
}

// Guards against a peer that is taken for alive although nothing listens.
TEST(tcp_transport, RefusedConnectionIsReported) {
  peer a(&loop, HelloOf("a", 1));
  std::string nobody;
  { nobody = raw_socket::Listener().address(); }
  a.transport->Send(nobody, Numbered(1));
  CHECK_TRUE(a.seen.events.empty());
  CHECK_TRUE(RunUntil(loop, [&] { return !a.seen.events.empty(); }));
  CHECK_EQUAL(Down(link_down_cause::kRefused, 0), a.seen.events[0]);
  a.transport->Send("no address", Numbered(1));
  CHECK_EQUAL(1U, a.seen.events.size());
  CHECK_TRUE(RunUntil(loop, [&] { return a.seen.events.size() == 2; }));
  CHECK_EQUAL(Down(link_down_cause::kClosed, 0), a.seen.events[1]);
}

// Guards against calls that wait for ever on a connection that went silent,
// before or after Hello.
TEST(tcp_transport, SilentPeerIsReported) {
  for (const bool says_hello : {false, true}) {
    peer a(&loop, HelloOf("a", 1));
    raw_socket listener = raw_socket::Listener();
    a.transport->Send(listener.address(), Numbered(1));
    raw_socket accepted;
    CHECK_TRUE(RunUntil(loop, [&] {
      accepted = listener.Accept();
      return accepted.open();
    }));
    if (says_hello) {
      fbs::helloT hello = HelloOf("b", 2);
      hello.peer_address = listener.address();
      accepted.Write(EncodeFrame(Envelope(hello)));
    }
    const time_point start = loop.Now();
    const size_t expected = says_hello ? 2 : 1;
    CHECK_TRUE(
        RunUntil(loop, [&] { return a.seen.events.size() == expected; }));
    CHECK_EQUAL(Down(link_down_cause::kSilent, says_hello ? 2 : 0),
                a.seen.events.back());
    CHECK_TRUE(loop.Now() - start >= milliseconds(350));
  }
}

// Guards against heartbeats on every link that was ever opened, whose cost
// would grow with the fleet, and against a quiet link that is taken for silent
// or does not carry messages any more.
TEST(tcp_transport, LinkOutOfUseIsQuietAndStaysOpen) {
  peer a(&loop, HelloOf("a", 1));
  peer b(&loop, HelloOf("b", 2));
  a.transport->Send(b.address(), Envelope(fbs::gossipT{}));
  CHECK_TRUE(RunUntil(loop, [&] { return b.seen.messages.size() == 1; }));
  // Use, heartbeats after it, and a margin.
  RunFor(loop, milliseconds(600 + 2 * 400 + 200));
  CHECK_TRUE(a.seen.heartbeats > 0);
  const uint64_t heartbeats = a.seen.heartbeats + b.seen.heartbeats;
  RunFor(loop, milliseconds(1000));
  CHECK_EQUAL(heartbeats, a.seen.heartbeats + b.seen.heartbeats);

  b.transport->Send(a.address(), Envelope(fbs::gossipT{}));
  CHECK_TRUE(RunUntil(loop, [&] { return a.seen.messages.size() == 1; }));
  RunFor(loop, milliseconds(100));
  CHECK_TRUE(a.seen.heartbeats + b.seen.heartbeats > heartbeats);
  CHECK_TRUE(a.seen.events == std::vector<std::string>{"up b 2"});
  CHECK_TRUE(b.seen.events == std::vector<std::string>{"up a 1"});
}

// Guards against a peer that went away without a trace while its link was out
// of use: the next message must lead to a report.
TEST(tcp_transport, SilenceIsReportedAfterTheNextMessage) {
  peer a(&loop, HelloOf("a", 1));
  raw_socket listener = raw_socket::Listener();
  a.transport->Send(listener.address(), Envelope(fbs::gossipT{}));
  raw_socket accepted;
  CHECK_TRUE(RunUntil(loop, [&] {
    accepted = listener.Accept();
    return accepted.open();
  }));
  fbs::helloT hello = HelloOf("b", 2);
  hello.peer_address = listener.address();
  accepted.Write(EncodeFrame(Envelope(hello)));
  // The peer keeps beating until the link is out of use.
  const time_point end = loop.Now() + milliseconds(700);
  while (loop.Now() < end) {
    accepted.Write(EncodeFrame(Envelope(fbs::heartbeatT{})));
    RunFor(loop, milliseconds(20));
  }
  RunFor(loop, milliseconds(1500));
  CHECK_EQUAL(1, a.seen.events.size());
  const time_point sent = loop.Now();
  a.transport->Send(listener.address(), Envelope(fbs::gossipT{}));
  CHECK_TRUE(RunUntil(loop, [&] { return a.seen.events.size() == 2; }));
  CHECK_EQUAL(Down(link_down_cause::kSilent, 2), a.seen.events.back());
  CHECK_TRUE(loop.Now() - sent >= milliseconds(350));
}

// Guards against a link that goes quiet while a long call runs, so that the
// loss of its executor would be noticed at the deadline only.
TEST(tcp_transport, LinkStaysInUseAfterACall) {
  peer a(&loop, HelloOf("a", 1));
  peer b(&loop, HelloOf("b", 2));
  a.transport->Send(b.address(), Numbered(1));
  CHECK_TRUE(RunUntil(loop, [&] { return b.seen.messages.size() == 1; }));
  // A link without calls would be quiet now.
  RunFor(loop, milliseconds(600 + 400 + 200));
  const uint64_t at_a = a.seen.heartbeats;
  const uint64_t at_b = b.seen.heartbeats;
  RunFor(loop, milliseconds(200));
  CHECK_TRUE(a.seen.heartbeats > at_a);
  CHECK_TRUE(b.seen.heartbeats > at_b);
}

// Guards against messages of one run of a process that reach the next one as
// if nothing had happened.
TEST(tcp_transport, NewIncarnationReplacesTheLink) {
  peer a(&loop, HelloOf("a", 1));
  fbs::helloT hello = HelloOf("b", 2);
  hello.peer_address = "127.0.0.1:1";
  raw_socket old_run = raw_socket::ConnectTo(a.address());
  old_run.Write(EncodeFrame(Envelope(hello)));
  CHECK_TRUE(RunUntil(loop, [&] { return a.seen.events.size() == 1; }));
  hello.incarnation = 3;
  raw_socket new_run = raw_socket::ConnectTo(a.address());
  new_run.Write(EncodeFrame(Envelope(hello)));
  CHECK_TRUE(RunUntil(loop, [&] { return a.seen.events.size() == 3; }));
  CHECK_TRUE((a.seen.events ==
              std::vector<std::string>{
                  "up b 2", Down(link_down_cause::kReplaced, 2), "up b 3"}));
  old_run.Read();
  CHECK_TRUE(old_run.ended());
}

// Guards against a restart that peers do not notice: a node that comes back at
// its address gets a new link.
TEST(tcp_transport, LinkReturnsAfterRestart) {
  peer a(&loop, HelloOf("a", 1));
  auto b = std::make_unique<peer>(&loop, HelloOf("b", 2));
  const std::string address = b->address();
  a.transport->Send(address, Numbered(1));
  CHECK_TRUE(RunUntil(loop, [&] { return b->seen.messages.size() == 1; }));
  b.reset();
  CHECK_TRUE(RunUntil(loop, [&] { return a.seen.events.size() == 2; }));
  CHECK_EQUAL(Down(link_down_cause::kClosed, 2), a.seen.events[1]);
  b = std::make_unique<peer>(&loop, HelloOf("b", 3), address);
  a.transport->Send(address, Numbered(2));
  CHECK_TRUE(RunUntil(loop, [&] { return b->seen.messages.size() == 1; }));
  CHECK_EQUAL(2U, SequenceOf(b->seen.messages[0].second));
  CHECK_EQUAL("up b 3", a.seen.events.back());
}

// Guards against peers that misunderstand each other, and against refusals
// that no counter shows.
TEST(tcp_transport, IncompatiblePeersAreRefused) {
  struct {
    const char* reason;
    void (*change)(fbs::helloT&);
  } const cases[] = {
      {"cluster", [](fbs::helloT& hello) { hello.cluster = "other"; }},
      {"version",
       [](fbs::helloT& hello) { hello.min_version = hello.max_version = 0; }},
      {"incarnation", [](fbs::helloT& hello) { hello.incarnation = 0; }},
      {"self", [](fbs::helloT& hello) { hello.incarnation = 1; }},
      {"address", [](fbs::helloT& hello) { hello.peer_address = "1.1.1.1:1"; }},
  };
  for (const auto& each : cases) {
    peer a(&loop, HelloOf("a", 1));
    raw_socket listener = raw_socket::Listener();
    fbs::helloT hello = HelloOf("b", 2);
    hello.peer_address = listener.address();
    each.change(hello);
    a.transport->Send(listener.address(), Numbered(1));
    raw_socket accepted;
    CHECK_TRUE(RunUntil(loop, [&] {
      accepted = listener.Accept();
      return accepted.open();
    }));
    accepted.Write(EncodeFrame(Envelope(hello)));
    CHECK_TRUE(RunUntil(loop, [&] { return !a.seen.events.empty(); }));
    STRCMP_EQUAL_TEXT(Down(link_down_cause::kIncompatible, 0).c_str(),
                      a.seen.events[0].c_str(), each.reason);
    CHECK_EQUAL(1.0, a.Count("skylarkhoist_peer_hello_refused_total",
                             {{"reason", each.reason}}));
    // The refused peer has got this end's Hello and no message.
    frame_decoder decoder;
    RunUntil(loop, [&] {
      decoder.Feed(accepted.Read());
      return accepted.ended();
    });
    const auto first = decoder.Next();
    CHECK_TRUE(first.has_value() && first->has_value());
    CHECK_TRUE((*first)->body.Ashello() != nullptr);
    CHECK_EQUAL(0U, decoder.buffered());
  }
}

// Guards against a transport that goes on with a stream it does not understand.
TEST(tcp_transport, BadStreamsCloseTheConnection) {
  fbs::helloT hello = HelloOf("b", 2);
  hello.peer_address = "127.0.0.1:1";
  const std::string greeting = EncodeFrame(Envelope(hello));
  std::string damaged = EncodeFrame(Numbered(1));
  damaged.back() = static_cast<char>(damaged.back() ^ 1);
  std::string old_frame = greeting;
  old_frame[7] = 0;
  struct {
    const char* counter;
    metric_labels labels;
    std::string bytes;
    size_t events;
  } const cases[] = {
      {"skylarkhoist_peer_frame_errors_total",
       {{"error", "checksum"}},
       greeting + damaged,
       2},
      {"skylarkhoist_peer_frame_errors_total",
       {{"error", "bad_magic"}},
       "GET / HTTP/1.1\r\n\r\n",
       0},
      {"skylarkhoist_peer_frame_errors_total",
       {{"error", "version"}},
       old_frame,
       0},
      {"skylarkhoist_peer_hello_refused_total",
       {{"reason", "not_hello"}},
       EncodeFrame(Numbered(1)),
       0},
      {"skylarkhoist_peer_hello_refused_total",
       {{"reason", "second_hello"}},
       greeting + greeting,
       2},
  };
  for (const auto& each : cases) {
    peer a(&loop, HelloOf("a", 1));
    raw_socket socket = raw_socket::ConnectTo(a.address());
    socket.Write(each.bytes);
    CHECK_TRUE(RunUntil(loop, [&] {
      socket.Read();
      return socket.ended();
    }));
    CHECK_EQUAL(1.0, a.Count(each.counter, each.labels));
    CHECK_EQUAL(each.events, a.seen.events.size());
    CHECK_TRUE(a.seen.messages.empty());
  }
}

// Guards against memory that grows without bound behind a peer that does not
// read, and against a report inside Send.
TEST(tcp_transport, SendBufferIsBounded) {
  peer a(&loop, HelloOf("a", 1), "127.0.0.1:0", 1U << 20U);
  raw_socket listener = raw_socket::Listener();
  for (int count = 0; count < 100; ++count)
    a.transport->Send(listener.address(), Numbered(1, 100'000));
  CHECK_TRUE(a.seen.events.empty());
  CHECK_TRUE(RunUntil(loop, [&] { return !a.seen.events.empty(); }));
  CHECK_EQUAL(Down(link_down_cause::kClosed, 0), a.seen.events[0]);
  CHECK_TRUE(a.Count("skylarkhoist_peer_send_overflows_total") >= 1.0);
}

// Guards against links that fall because this process was paused: bytes that
// arrived meanwhile count as life.
TEST(tcp_transport, PauseOfThisProcessIsNotSilence) {
  peer a(&loop, HelloOf("a", 1));
  peer b(&loop, HelloOf("b", 2));
  a.transport->Send(b.address(), Numbered(1));
  CHECK_TRUE(RunUntil(loop, [&] { return b.seen.messages.size() == 1; }));
  std::this_thread::sleep_for(milliseconds(700));
  RunFor(loop, milliseconds(100));
  CHECK_EQUAL(1U, a.seen.events.size());
  CHECK_EQUAL(1U, b.seen.events.size());
  CHECK_TRUE(a.Count("skylarkhoist_peer_late_heartbeats_total") >= 1.0);
}

// Guards against a peer of another version that ends the link by a message type
// that this version does not know.
TEST(tcp_transport, UnknownMessageIsSkipped) {
  peer a(&loop, HelloOf("a", 1));
  fbs::helloT hello = HelloOf("b", 2);
  hello.peer_address = "127.0.0.1:1";
  hello.max_version = 9;
  raw_socket socket = raw_socket::ConnectTo(a.address());
  socket.Write(EncodeFrame(Envelope(hello)) + EncodeFrame(fbs::envelopeT()) +
               EncodeFrame(Numbered(5)));
  CHECK_TRUE(RunUntil(loop, [&] { return a.seen.messages.size() == 1; }));
  CHECK_EQUAL(1.0, a.Count("skylarkhoist_peer_messages_skipped_total"));
}

// Guards against a dial that fails and takes down the link that the peer made.
TEST(tcp_transport, FailedDialSparesTheAcceptedLink) {
  peer a(&loop, HelloOf("a", 1));
  raw_socket listener = raw_socket::Listener();
  a.transport->Send(listener.address(), Numbered(1));
  fbs::helloT hello = HelloOf("b", 2);
  hello.peer_address = listener.address();
  raw_socket socket = raw_socket::ConnectTo(a.address());
  frame_decoder decoder;
  socket.Write(EncodeFrame(Envelope(hello)));
  raw_socket dialled;
  CHECK_TRUE(RunUntil(loop, [&] {
    if (!dialled.open())
      dialled = listener.Accept();
    return dialled.open() && !a.seen.events.empty();
  }));
  dialled.Close();
  // Hello, then the message that waited for a connection, then heartbeats.
  std::vector<fbs::envelopeT> got;
  CHECK_TRUE(RunUntil(loop, [&] {
    socket.Write(EncodeFrame(Envelope(fbs::heartbeatT())));
    decoder.Feed(socket.Read());
    while (auto next = *decoder.Next())
      got.push_back(std::move(*next));
    return got.size() >= 6;
  }));
  CHECK_TRUE(got[0].body.Ashello() != nullptr);
  CHECK_TRUE(got[1].body.Ascall_request() != nullptr);
  CHECK_EQUAL(1U, a.seen.events.size());
}

// Guards against use of a link that an observer's Send closed while its
// messages are read.
TEST(tcp_transport, ObserverMayCloseTheLinkItReadsFrom) {
  peer a(&loop, HelloOf("a", 1), "127.0.0.1:0", 200'000);
  peer b(&loop, HelloOf("b", 2));
  a.seen.on_message = [&](const peer_info& from) {
    const std::string address = from.address;
    for (int count = 0; count < 3; ++count)
      a.transport->Send(address, Numbered(9, 100'000));
  };
  for (uint64_t sequence = 0; sequence < 20; ++sequence)
    b.transport->Send(a.address(), Numbered(sequence));
  CHECK_TRUE(RunUntil(loop, [&] { return a.seen.events.size() >= 2; }));
  CHECK_EQUAL(Down(link_down_cause::kClosed, 2), a.seen.events[1]);
}

}  // namespace
}  // namespace skylarkhoist
