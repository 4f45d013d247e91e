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

struct recording_observer : peer_observer {
  std::vector<std::pair<peer_info, fbs::envelopeT>> messages;
  uint64_t heartbeats = 0;
  uint64_t last_echo = 0;
  // "up NODE INCARNATION" or "down CAUSE INCARNATION" for each link event, in
  // order.
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

std::string DownEvent(link_down_cause cause, uint64_t incarnation) {
  return "down " + std::to_string(static_cast<int>(cause)) + " " +
         std::to_string(incarnation);
}

fbs::helloT MakeHello(const std::string& node, uint64_t incarnation) {
  fbs::helloT hello;
  hello.min_version = 1;
  hello.max_version = 1;
  hello.cluster = "test";
  hello.node = node;
  hello.zone = "zone";
  hello.incarnation = incarnation;
  return hello;
}

struct test_peer {
  metrics counters;
  recording_observer observer;
  std::unique_ptr<tcp_transport> transport;

  test_peer(event_loop* loop,
            const fbs::helloT& hello,
            const std::string& address = "127.0.0.1:0",
            size_t max_send_buffer_size = 32U << 20U,
            bool compress_between_zones = false) {
    tcp_transport_settings settings;
    settings.compress_between_zones = compress_between_zones;
    settings.listen_address = address;
    settings.hello = hello;
    settings.heartbeat_interval = milliseconds(20);
    settings.silence_timeout = milliseconds(400);
    settings.connect_timeout = milliseconds(400);
    settings.activity.message_period = milliseconds(600);
    settings.activity.max_call_time = milliseconds(3000);
    settings.max_send_buffer_size = max_send_buffer_size;
    transport = std::make_unique<tcp_transport>(loop, settings, &counters);
    transport->Start(&observer);
    CHECK_TRUE(transport->Listen().has_value());
  }
  const std::string& address() const { return transport->listen_address(); }
  double CounterValue(const std::string& name,
                      const metric_labels& labels = {}) {
    return counters.Counter(name, "", labels).Value();
  }
};

fbs::envelopeT NumberedCall(uint64_t sequence, size_t size = 0) {
  fbs::call_requestT request;
  request.id = std::make_unique<fbs::request_id>(1, sequence);
  request.body.assign(size, 'x');
  return MakeEnvelope(std::move(request));
}

uint64_t SequenceOf(const fbs::envelopeT& message) {
  return message.body.Ascall_request()->id->sequence();
}

TEST_GROUP(tcp_transport) {
  event_loop loop;
};

// Guards against compressed frames that the other end cannot decode: frames
// that were sent before the link was up are uncompressed, and heartbeats are
// sent between the calls.
TEST(tcp_transport, LinksBetweenZonesAreCompressed) {
  fbs::helloT far_hello = MakeHello("far", 2);
  far_hello.zone = "other zone";
  test_peer one(&loop, MakeHello("one", 1), "127.0.0.1:0", 32U << 20U, true);
  test_peer two(&loop, far_hello, "127.0.0.1:0", 32U << 20U, true);
  for (uint64_t sequence = 1; sequence <= 20; ++sequence)
    one.transport->Send(two.address(), NumberedCall(sequence, sequence * 100));
  CHECK_TRUE(
      RunUntil(loop, [&] { return two.observer.messages.size() == 20; }));
  for (uint64_t sequence = 21; sequence <= 40; ++sequence) {
    one.transport->Send(two.address(), NumberedCall(sequence, sequence * 100));
    two.transport->Send(one.address(), NumberedCall(sequence));
    RunFor(loop, milliseconds(5));
  }
  CHECK_TRUE(RunUntil(loop, [&] {
    return two.observer.messages.size() == 40 &&
           one.observer.messages.size() == 20;
  }));
  for (uint64_t sequence = 1; sequence <= 40; ++sequence) {
    const fbs::envelopeT& message = two.observer.messages[sequence - 1].second;
    CHECK_TRUE(message == NumberedCall(sequence, sequence * 100));
  }
  CHECK_TRUE(one.observer.heartbeats > 0 && two.observer.heartbeats > 0);
  const char* bytes_metric = "skylarkhoist_peer_packing_bytes_total";
  CHECK_TRUE(one.CounterValue(bytes_metric, {{"when", "after"}}) > 0);
  CHECK_TRUE(one.CounterValue(bytes_metric, {{"when", "after"}}) <
             one.CounterValue(bytes_metric, {{"when", "before"}}));
  DOUBLES_EQUAL(0,
                two.CounterValue("skylarkhoist_peer_links_down_total",
                                 {{"cause", "closed"}}),
                0);
}

// Guards against lost or reordered messages, and against a second connection
// for messages in the other direction.
TEST(tcp_transport, OneLinkServesBothDirectionsInOrder) {
  test_peer a(&loop, MakeHello("a", 1));
  test_peer b(&loop, MakeHello("b", 2));
  b.observer.on_message = [&](const peer_info& from) {
    b.transport->Send(from.address, b.observer.messages.back().second);
  };
  for (uint64_t sequence = 0; sequence < 500; ++sequence)
    a.transport->Send(b.address(), NumberedCall(sequence, 3000));
  CHECK_TRUE(RunUntil(loop, [&] { return a.observer.messages.size() == 500; }));
  for (uint64_t sequence = 0; sequence < 500; ++sequence)
    CHECK_EQUAL(sequence, SequenceOf(a.observer.messages[sequence].second));
  CHECK_TRUE(a.observer.events == std::vector<std::string>{"up b 2"});
  CHECK_TRUE(b.observer.events == std::vector<std::string>{"up a 1"});
  CHECK_EQUAL(b.address(), a.observer.messages[0].first.address);
}

// Guards against links that go down when both ends connect at the same time.
TEST(tcp_transport, SimultaneousConnectsMakeOneStableLink) {
  test_peer a(&loop, MakeHello("a", 1));
  test_peer b(&loop, MakeHello("b", 2));
  a.transport->Send(b.address(), NumberedCall(1));
  b.transport->Send(a.address(), NumberedCall(2));
  CHECK_TRUE(RunUntil(loop, [&] {
    return a.observer.messages.size() == 1 && b.observer.messages.size() == 1;
  }));
  RunFor(loop, milliseconds(300));
  CHECK_TRUE(a.observer.events == std::vector<std::string>{"up b 2"});
  CHECK_TRUE(b.observer.events == std::vector<std::string>{"up a 1"});
  CHECK_TRUE(a.observer.last_echo > 0);
}

// Guards against a peer that counts as alive although nothing listens at its
// address.
TEST(tcp_transport, RefusedConnectionIsReported) {
  test_peer a(&loop, MakeHello("a", 1));
  std::string unused_address;
  { unused_address = raw_socket::Listener().address(); }
  a.transport->Send(unused_address, NumberedCall(1));
  CHECK_TRUE(a.observer.events.empty());
  CHECK_TRUE(RunUntil(loop, [&] { return !a.observer.events.empty(); }));
  CHECK_EQUAL(DownEvent(link_down_cause::kRefused, 0), a.observer.events[0]);
  a.transport->Send("no address", NumberedCall(1));
  CHECK_EQUAL(1U, a.observer.events.size());
  CHECK_TRUE(RunUntil(loop, [&] { return a.observer.events.size() == 2; }));
  CHECK_EQUAL(DownEvent(link_down_cause::kClosed, 0), a.observer.events[1]);
}

// Guards against calls that wait for ever on a connection without received
// bytes, before or after Hello.
TEST(tcp_transport, SilentPeerIsReported) {
  for (const bool sends_hello : {false, true}) {
    test_peer a(&loop, MakeHello("a", 1));
    raw_socket listener = raw_socket::Listener();
    a.transport->Send(listener.address(), NumberedCall(1));
    raw_socket accepted;
    CHECK_TRUE(RunUntil(loop, [&] {
      accepted = listener.Accept();
      return accepted.is_open();
    }));
    if (sends_hello) {
      fbs::helloT hello = MakeHello("b", 2);
      hello.peer_address = listener.address();
      accepted.Write(EncodeFrame(MakeEnvelope(hello)));
    }
    const time_point start = loop.Now();
    const size_t expected = sends_hello ? 2 : 1;
    CHECK_TRUE(
        RunUntil(loop, [&] { return a.observer.events.size() == expected; }));
    CHECK_EQUAL(DownEvent(link_down_cause::kSilent, sends_hello ? 2 : 0),
                a.observer.events.back());
    CHECK_TRUE(loop.Now() - start >= milliseconds(350));
  }
}

// Guards against heartbeats on idle links, whose cost would grow with the
// number of nodes, and against an idle link that is closed as silent or no
// longer carries messages.
TEST(tcp_transport, IdleLinkSendsNoHeartbeatsAndStaysOpen) {
  test_peer a(&loop, MakeHello("a", 1));
  test_peer b(&loop, MakeHello("b", 2));
  a.transport->Send(b.address(), MakeEnvelope(fbs::gossipT{}));
  CHECK_TRUE(RunUntil(loop, [&] { return b.observer.messages.size() == 1; }));
  // The active period, the heartbeats of both ends after it, and a margin.
  RunFor(loop, milliseconds(600 + 2 * 400 + 200));
  CHECK_TRUE(a.observer.heartbeats > 0);
  const uint64_t heartbeats = a.observer.heartbeats + b.observer.heartbeats;
  RunFor(loop, milliseconds(1000));
  CHECK_EQUAL(heartbeats, a.observer.heartbeats + b.observer.heartbeats);

  b.transport->Send(a.address(), MakeEnvelope(fbs::gossipT{}));
  CHECK_TRUE(RunUntil(loop, [&] { return a.observer.messages.size() == 1; }));
  RunFor(loop, milliseconds(100));
  CHECK_TRUE(a.observer.heartbeats + b.observer.heartbeats > heartbeats);
  CHECK_TRUE(a.observer.events == std::vector<std::string>{"up b 2"});
  CHECK_TRUE(b.observer.events == std::vector<std::string>{"up a 1"});
}

// Guards against a peer that vanished without closing its connection while the
// link was idle: the next message must lead to OnLinkDown.
TEST(tcp_transport, SilenceIsReportedAfterTheNextMessage) {
  test_peer a(&loop, MakeHello("a", 1));
  raw_socket listener = raw_socket::Listener();
  a.transport->Send(listener.address(), MakeEnvelope(fbs::gossipT{}));
  raw_socket accepted;
  CHECK_TRUE(RunUntil(loop, [&] {
    accepted = listener.Accept();
    return accepted.is_open();
  }));
  fbs::helloT hello = MakeHello("b", 2);
  hello.peer_address = listener.address();
  accepted.Write(EncodeFrame(MakeEnvelope(hello)));
  // The peer sends heartbeats until the link is idle.
  const time_point end = loop.Now() + milliseconds(700);
  while (loop.Now() < end) {
    accepted.Write(EncodeFrame(MakeEnvelope(fbs::heartbeatT{})));
    RunFor(loop, milliseconds(20));
  }
  RunFor(loop, milliseconds(1500));
  CHECK_EQUAL(1, a.observer.events.size());
  const time_point sent = loop.Now();
  a.transport->Send(listener.address(), MakeEnvelope(fbs::gossipT{}));
  CHECK_TRUE(RunUntil(loop, [&] { return a.observer.events.size() == 2; }));
  CHECK_EQUAL(DownEvent(link_down_cause::kSilent, 2), a.observer.events.back());
  CHECK_TRUE(loop.Now() - sent >= milliseconds(350));
}

// Guards against a link that becomes idle while a long call runs, so that the
// loss of the executing node is noticed only at the deadline.
TEST(tcp_transport, LinkStaysActiveAfterACall) {
  test_peer a(&loop, MakeHello("a", 1));
  test_peer b(&loop, MakeHello("b", 2));
  a.transport->Send(b.address(), NumberedCall(1));
  CHECK_TRUE(RunUntil(loop, [&] { return b.observer.messages.size() == 1; }));
  // A link without calls would be idle now.
  RunFor(loop, milliseconds(600 + 400 + 200));
  const uint64_t heartbeats_at_a = a.observer.heartbeats;
  const uint64_t heartbeats_at_b = b.observer.heartbeats;
  RunFor(loop, milliseconds(200));
  CHECK_TRUE(a.observer.heartbeats > heartbeats_at_a);
  CHECK_TRUE(b.observer.heartbeats > heartbeats_at_b);
}

// Guards against messages for one run of a process that are delivered to its
// next run without a link change.
TEST(tcp_transport, NewIncarnationReplacesTheLink) {
  test_peer a(&loop, MakeHello("a", 1));
  fbs::helloT hello = MakeHello("b", 2);
  hello.peer_address = "127.0.0.1:1";
  raw_socket old_process = raw_socket::ConnectTo(a.address());
  old_process.Write(EncodeFrame(MakeEnvelope(hello)));
  CHECK_TRUE(RunUntil(loop, [&] { return a.observer.events.size() == 1; }));
  hello.incarnation = 3;
  raw_socket new_process = raw_socket::ConnectTo(a.address());
  new_process.Write(EncodeFrame(MakeEnvelope(hello)));
  CHECK_TRUE(RunUntil(loop, [&] { return a.observer.events.size() == 3; }));
  CHECK_TRUE(
      (a.observer.events ==
       std::vector<std::string>{
           "up b 2", DownEvent(link_down_cause::kReplaced, 2), "up b 3"}));
  old_process.Read();
  CHECK_TRUE(old_process.ended());
}

// Guards against a restart that peers do not notice: a node that restarts at
// the same address gets a new link.
TEST(tcp_transport, RestartedNodeGetsANewLink) {
  test_peer a(&loop, MakeHello("a", 1));
  auto b = std::make_unique<test_peer>(&loop, MakeHello("b", 2));
  const std::string address = b->address();
  a.transport->Send(address, NumberedCall(1));
  CHECK_TRUE(RunUntil(loop, [&] { return b->observer.messages.size() == 1; }));
  b.reset();
  CHECK_TRUE(RunUntil(loop, [&] { return a.observer.events.size() == 2; }));
  CHECK_EQUAL(DownEvent(link_down_cause::kClosed, 2), a.observer.events[1]);
  b = std::make_unique<test_peer>(&loop, MakeHello("b", 3), address);
  a.transport->Send(address, NumberedCall(2));
  CHECK_TRUE(RunUntil(loop, [&] { return b->observer.messages.size() == 1; }));
  CHECK_EQUAL(2U, SequenceOf(b->observer.messages[0].second));
  CHECK_EQUAL("up b 3", a.observer.events.back());
}

// Guards against links between incompatible peers, and against refusals that
// are not counted.
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
    test_peer a(&loop, MakeHello("a", 1));
    raw_socket listener = raw_socket::Listener();
    fbs::helloT hello = MakeHello("b", 2);
    hello.peer_address = listener.address();
    each.change(hello);
    a.transport->Send(listener.address(), NumberedCall(1));
    raw_socket accepted;
    CHECK_TRUE(RunUntil(loop, [&] {
      accepted = listener.Accept();
      return accepted.is_open();
    }));
    accepted.Write(EncodeFrame(MakeEnvelope(hello)));
    CHECK_TRUE(RunUntil(loop, [&] { return !a.observer.events.empty(); }));
    STRCMP_EQUAL_TEXT(DownEvent(link_down_cause::kIncompatible, 0).c_str(),
                      a.observer.events[0].c_str(), each.reason);
    CHECK_EQUAL(1.0, a.CounterValue("skylarkhoist_peer_hello_refused_total",
                                    {{"reason", each.reason}}));
    // The refused peer has received this end's Hello and no other message.
    frame_decoder decoder;
    RunUntil(loop, [&] {
      decoder.Feed(accepted.Read());
      return accepted.ended();
    });
    const auto first = decoder.Next();
    CHECK_TRUE(first.has_value() && first->has_value());
    CHECK_TRUE((*first)->body.Ashello() != nullptr);
    CHECK_EQUAL(0U, decoder.buffered_bytes());
  }
}

// Guards against a transport that keeps reading an invalid stream.
TEST(tcp_transport, InvalidStreamsCloseTheConnection) {
  fbs::helloT hello = MakeHello("b", 2);
  hello.peer_address = "127.0.0.1:1";
  const std::string hello_frame = EncodeFrame(MakeEnvelope(hello));
  std::string damaged = EncodeFrame(NumberedCall(1));
  damaged.back() = static_cast<char>(damaged.back() ^ 1);
  std::string old_frame = hello_frame;
  old_frame[7] = 0;
  struct {
    const char* counter;
    metric_labels labels;
    std::string bytes;
    size_t events;
  } const cases[] = {
      {"skylarkhoist_peer_frame_errors_total",
       {{"error", "checksum"}},
       hello_frame + damaged,
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
       EncodeFrame(NumberedCall(1)),
       0},
      {"skylarkhoist_peer_hello_refused_total",
       {{"reason", "second_hello"}},
       hello_frame + hello_frame,
       2},
  };
  for (const auto& each : cases) {
    test_peer a(&loop, MakeHello("a", 1));
    raw_socket socket = raw_socket::ConnectTo(a.address());
    socket.Write(each.bytes);
    CHECK_TRUE(RunUntil(loop, [&] {
      socket.Read();
      return socket.ended();
    }));
    CHECK_EQUAL(1.0, a.CounterValue(each.counter, each.labels));
    CHECK_EQUAL(each.events, a.observer.events.size());
    CHECK_TRUE(a.observer.messages.empty());
  }
}

// Guards against unbounded memory for messages to a peer that does not read,
// and against a call of OnLinkDown inside Send.
TEST(tcp_transport, SendBufferIsBounded) {
  test_peer a(&loop, MakeHello("a", 1), "127.0.0.1:0", 1U << 20U);
  raw_socket listener = raw_socket::Listener();
  for (int count = 0; count < 100; ++count)
    a.transport->Send(listener.address(), NumberedCall(1, 100'000));
  CHECK_TRUE(a.observer.events.empty());
  CHECK_TRUE(RunUntil(loop, [&] { return !a.observer.events.empty(); }));
  CHECK_EQUAL(DownEvent(link_down_cause::kClosed, 0), a.observer.events[0]);
  CHECK_TRUE(a.CounterValue("skylarkhoist_peer_send_overflows_total") >= 1.0);
}

// Guards against links that go down because this process was paused: bytes that
// arrived during the pause show that the peer is alive.
TEST(tcp_transport, PauseOfThisProcessIsNotSilence) {
  test_peer a(&loop, MakeHello("a", 1));
  test_peer b(&loop, MakeHello("b", 2));
  a.transport->Send(b.address(), NumberedCall(1));
  CHECK_TRUE(RunUntil(loop, [&] { return b.observer.messages.size() == 1; }));
  std::this_thread::sleep_for(milliseconds(700));
  RunFor(loop, milliseconds(100));
  CHECK_EQUAL(1U, a.observer.events.size());
  CHECK_EQUAL(1U, b.observer.events.size());
  CHECK_TRUE(a.CounterValue("skylarkhoist_peer_late_heartbeats_total") >= 1.0);
}

// Guards against a link to a newer peer that is closed because of a message
// type that this version does not know.
TEST(tcp_transport, UnknownMessageIsSkipped) {
  test_peer a(&loop, MakeHello("a", 1));
  fbs::helloT hello = MakeHello("b", 2);
  hello.peer_address = "127.0.0.1:1";
  hello.max_version = 9;
  raw_socket socket = raw_socket::ConnectTo(a.address());
  socket.Write(EncodeFrame(MakeEnvelope(hello)) +
               EncodeFrame(fbs::envelopeT()) + EncodeFrame(NumberedCall(5)));
  CHECK_TRUE(RunUntil(loop, [&] { return a.observer.messages.size() == 1; }));
  CHECK_EQUAL(1.0, a.CounterValue("skylarkhoist_peer_messages_skipped_total"));
}

// Guards against a failed outgoing connection that closes the link of an
// accepted connection from the same peer.
TEST(tcp_transport, FailedConnectKeepsTheAcceptedLink) {
  test_peer a(&loop, MakeHello("a", 1));
  raw_socket listener = raw_socket::Listener();
  a.transport->Send(listener.address(), NumberedCall(1));
  fbs::helloT hello = MakeHello("b", 2);
  hello.peer_address = listener.address();
  raw_socket socket = raw_socket::ConnectTo(a.address());
  frame_decoder decoder;
  socket.Write(EncodeFrame(MakeEnvelope(hello)));
  raw_socket accepted;
  CHECK_TRUE(RunUntil(loop, [&] {
    if (!accepted.is_open())
      accepted = listener.Accept();
    return accepted.is_open() && !a.observer.events.empty();
  }));
  accepted.Close();
  // Expects Hello, the message that waited for a connection, then heartbeats.
  std::vector<fbs::envelopeT> received;
  CHECK_TRUE(RunUntil(loop, [&] {
    socket.Write(EncodeFrame(MakeEnvelope(fbs::heartbeatT())));
    decoder.Feed(socket.Read());
    while (auto next = *decoder.Next())
      received.push_back(std::move(*next));
    return received.size() >= 6;
  }));
  CHECK_TRUE(received[0].body.Ashello() != nullptr);
  CHECK_TRUE(received[1].body.Ascall_request() != nullptr);
  CHECK_EQUAL(1U, a.observer.events.size());
}

// Guards against use of freed memory when the observer closes a link by a call
// of Send while messages of that link are being delivered.
TEST(tcp_transport, ObserverMayCloseTheLinkDuringDelivery) {
  test_peer a(&loop, MakeHello("a", 1), "127.0.0.1:0", 200'000);
  test_peer b(&loop, MakeHello("b", 2));
  a.observer.on_message = [&](const peer_info& from) {
    const std::string address = from.address;
    for (int count = 0; count < 3; ++count)
      a.transport->Send(address, NumberedCall(9, 100'000));
  };
  for (uint64_t sequence = 0; sequence < 20; ++sequence)
    b.transport->Send(a.address(), NumberedCall(sequence));
  CHECK_TRUE(RunUntil(loop, [&] { return a.observer.events.size() >= 2; }));
  CHECK_EQUAL(DownEvent(link_down_cause::kClosed, 2), a.observer.events[1]);
}

}  // namespace
}  // namespace skylarkhoist
