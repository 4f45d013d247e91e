#include "testing/memory_network.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "testing/manual_loop.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct recorder : public peer_observer {
  void OnPeerMessage(const peer_info& from,
                     const fbs::envelopeT& message) override {
    if (const auto* request = message.body.Aslease_request())
      rounds.push_back(request->round);
    else if (message.body.Asheartbeat() != nullptr)
      heartbeats.push_back(from.incarnation);
  }
  void OnLinkUp(const peer_info& peer) override {
    ups.push_back(peer.incarnation);
  }
  void OnLinkDown(const peer_info& peer, link_down_cause cause) override {
    downs.emplace_back(peer.incarnation, cause);
  }
  fbs::heartbeatT MakeHeartbeat() override { return {}; }

  std::vector<uint64_t> rounds;
  std::vector<uint64_t> heartbeats;
  std::vector<uint64_t> ups;
  std::vector<std::pair<uint64_t, link_down_cause>> downs;
};

fbs::envelopeT Numbered(uint64_t round) {
  fbs::lease_requestT request;
  request.round = round;
  return Envelope(request);
}

TEST_GROUP(memory_network) {
  void setup() override {
    a = network.AddNode({"a", "a", "z1", 1});
    a->Start(&at_a);
    network.AddNode({"b", "b", "z2", 2})->Start(&at_b);
  }
  void Connect() {
    a->Send("b", Numbered(0));
    loop.Advance(milliseconds(10));
  }

  manual_loop loop;
  mt_random random{1};
  recorder at_a;
  recorder at_b;
  memory_network network{&loop, &random};
  peer_transport* a = nullptr;
};

// Guards against lost or reordered messages on a healthy link.
TEST(memory_network, DeliversInOrderAndBeats) {
  for (uint64_t i = 0; i < 50; ++i)
    a->Send("b", Numbered(i));
  loop.Advance(seconds(3));
  CHECK_EQUAL(50, at_b.rounds.size());
  CHECK_TRUE(std::is_sorted(at_b.rounds.begin(), at_b.rounds.end()));
  CHECK_EQUAL(1, at_a.ups.size());
  CHECK_EQUAL(1, at_b.ups.size());
  CHECK_TRUE(at_a.heartbeats.size() >= 10 && at_a.downs.empty());
  CHECK_EQUAL(50, network.SentBy("a").at("lease_request").messages);
}

// Guards against calls into the observer of a process that has ended.
TEST(memory_network, StoppedNodeIsClosedThenRefusedThenNew) {
  Connect();
  network.StopNode("b");
  a->Send("b", Numbered(1));
  loop.Advance(milliseconds(10));
  CHECK_EQUAL(0, at_b.downs.size());
  a->Send("b", Numbered(2));
  loop.Advance(milliseconds(10));
  CHECK_EQUAL(2, at_a.downs.size());
  CHECK_TRUE(at_a.downs[0] ==
             std::make_pair(uint64_t{2}, link_down_cause::kClosed));
  CHECK_TRUE(at_a.downs[1] ==
             std::make_pair(uint64_t{0}, link_down_cause::kRefused));
  recorder again;
  network.AddNode({"b", "b", "z2", 3})->Start(&again);
  a->Send("b", Numbered(4));
  loop.Advance(milliseconds(10));
  CHECK_EQUAL(3, at_a.ups.back());
  CHECK_EQUAL(1, again.rounds.size());
}

TEST(memory_network, PauseHoldsDeliveries) {
  Connect();
  network.PauseNode("b");
  a->Send("b", Numbered(1));
  loop.Advance(milliseconds(500));
  CHECK_EQUAL(1, at_b.rounds.size());
  network.ResumeNode("b");
  CHECK_EQUAL(2, at_b.rounds.size());
  network.PauseNode("b");
  loop.Advance(seconds(2));
  CHECK_TRUE(at_a.downs.back().second == link_down_cause::kSilent);
}

TEST(memory_network, PartitionSilencesLinksAndNewConnections) {
  Connect();
  network.Partition({"a"}, {"b"});
  loop.Advance(seconds(2));
  CHECK_TRUE(at_a.downs.back().second == link_down_cause::kSilent);
  CHECK_TRUE(at_b.downs.back().second == link_down_cause::kSilent);
  a->Send("b", Numbered(1));
  loop.Advance(seconds(2));
  CHECK_TRUE(at_a.downs.back() ==
             std::make_pair(uint64_t{0}, link_down_cause::kSilent));
  network.Heal();
  a->Send("b", Numbered(2));
  loop.Advance(seconds(2));
  CHECK_EQUAL(2, at_b.rounds.back());
}

TEST(memory_network, SilentLinkEndsAndNewOneWorks) {
  Connect();
  network.SilenceLink("a", "b");
  a->Send("b", Numbered(1));
  loop.Advance(seconds(2));
  CHECK_EQUAL(1, at_b.rounds.size());
  CHECK_TRUE(at_a.downs.back().second == link_down_cause::kSilent);
  a->Send("b", Numbered(2));
  loop.Advance(milliseconds(10));
  CHECK_EQUAL(2, at_b.rounds.back());
}

// A peer behind a partition learns of the restart from the new Hello only.
TEST(memory_network, NewIncarnationReplacesOldLink) {
  Connect();
  network.Partition({"a"}, {"b"});
  network.StopNode("b");
  loop.Advance(milliseconds(100));
  network.Heal();
  recorder again;
  peer_transport* b = network.AddNode({"b", "b", "z2", 3});
  b->Start(&again);
  b->Send("a", Numbered(9));
  loop.Advance(milliseconds(10));
  CHECK_TRUE(at_a.downs.back() ==
             std::make_pair(uint64_t{2}, link_down_cause::kReplaced));
  CHECK_EQUAL(3, at_a.ups.back());
  CHECK_EQUAL(9, at_a.rounds.back());
}

TEST(memory_network, SingleMessageFaults) {
  Connect();
  network.options().loss = 0.2;
  network.options().duplication = 0.2;
  network.options().reordering = 0.2;
  for (uint64_t i = 1; i <= 200; ++i) {
    a->Send("b", Numbered(i));
    loop.Advance(milliseconds(1));
  }
  loop.Advance(milliseconds(100));
  const std::set<uint64_t> distinct(at_b.rounds.begin(), at_b.rounds.end());
  CHECK_TRUE(distinct.size() < 195);
  CHECK_TRUE(at_b.rounds.size() > distinct.size() + 5);
  CHECK_FALSE(std::is_sorted(at_b.rounds.begin(), at_b.rounds.end()));
}

// Timers of a paused process run late, those of a stopped one never.
TEST(memory_network, NodeLoopPausesAndStops) {
  node_loop node(&loop);
  int runs = 0;
  node.RunAfter(milliseconds(10), [&] { ++runs; });
  node.Pause();
  loop.Advance(milliseconds(20));
  CHECK_EQUAL(0, runs);
  node.Resume();
  CHECK_EQUAL(1, runs);
  node.RunAfter(milliseconds(10), [&] { ++runs; });
  node.Stop();
  loop.Advance(milliseconds(20));
  CHECK_EQUAL(1, runs);
}

}  // namespace
}  // namespace skylarkhoist
