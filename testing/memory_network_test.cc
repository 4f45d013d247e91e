#include "testing/memory_network.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "testing/manual_loop.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct recording_observer : public peer_observer {
  void OnPeerMessage(const peer_info& from,
                     const fbs::envelopeT& message) override {
    if (const auto* request = message.body.Aslease_request())
      received_rounds.push_back(request->round);
    else if (message.body.Asheartbeat() != nullptr)
      heartbeat_senders.push_back(from.incarnation);
  }
  void OnLinkUp(const peer_info& peer) override {
    up_incarnations.push_back(peer.incarnation);
  }
  void OnLinkDown(const peer_info& peer, link_down_cause cause) override {
    down_links.emplace_back(peer.incarnation, cause);
  }
  fbs::heartbeatT MakeHeartbeat() override { return {}; }

  std::vector<uint64_t> received_rounds;
  std::vector<uint64_t> heartbeat_senders;
  std::vector<uint64_t> up_incarnations;
  std::vector<std::pair<uint64_t, link_down_cause>> down_links;
};

fbs::envelopeT MessageWithRound(uint64_t round) {
  fbs::lease_requestT request;
  request.round = round;
  return MakeEnvelope(request);
}

TEST_GROUP(memory_network) {
  void setup() override {
    a = network.AddNode({"a", "a", "z1", 1});
    a->Start(&observer_a);
    network.AddNode({"b", "b", "z2", 2})->Start(&observer_b);
  }
  void Connect() {
    a->Send("b", MessageWithRound(0));
    loop.Advance(milliseconds(10));
  }

  manual_loop loop;
  mt_random random{1};
  recording_observer observer_a;
  recording_observer observer_b;
  memory_network network{&loop, &random};
  peer_transport* a = nullptr;
};

// Guards against lost or reordered messages on a healthy link.
TEST(memory_network, DeliversInOrderAndSendsHeartbeats) {
  for (uint64_t i = 0; i < 50; ++i)
    a->Send("b", MessageWithRound(i));
  loop.Advance(seconds(3));
  CHECK_EQUAL(50, observer_b.received_rounds.size());
  CHECK_TRUE(std::is_sorted(observer_b.received_rounds.begin(),
                            observer_b.received_rounds.end()));
  CHECK_EQUAL(1, observer_a.up_incarnations.size());
  CHECK_EQUAL(1, observer_b.up_incarnations.size());
  CHECK_TRUE(observer_a.heartbeat_senders.size() >= 10 &&
             observer_a.down_links.empty());
  CHECK_EQUAL(50, network.SentBy("a").at("lease_request").messages);
}

// Guards against calls into the observer of a process that has ended.
TEST(memory_network, StoppedNodeClosesLinksAndRefusesUntilRestart) {
  Connect();
  network.StopNode("b");
  a->Send("b", MessageWithRound(1));
  loop.Advance(milliseconds(10));
  CHECK_EQUAL(0, observer_b.down_links.size());
  a->Send("b", MessageWithRound(2));
  loop.Advance(milliseconds(10));
  CHECK_EQUAL(2, observer_a.down_links.size());
  CHECK_TRUE(observer_a.down_links[0] ==
             std::make_pair(uint64_t{2}, link_down_cause::kClosed));
  CHECK_TRUE(observer_a.down_links[1] ==
             std::make_pair(uint64_t{0}, link_down_cause::kRefused));
  recording_observer restarted_observer;
  network.AddNode({"b", "b", "z2", 3})->Start(&restarted_observer);
  a->Send("b", MessageWithRound(4));
  loop.Advance(milliseconds(10));
  CHECK_EQUAL(3, observer_a.up_incarnations.back());
  CHECK_EQUAL(1, restarted_observer.received_rounds.size());
}

TEST(memory_network, PauseHoldsBackDeliveries) {
  Connect();
  network.PauseNode("b");
  a->Send("b", MessageWithRound(1));
  loop.Advance(milliseconds(500));
  CHECK_EQUAL(1, observer_b.received_rounds.size());
  network.ResumeNode("b");
  CHECK_EQUAL(2, observer_b.received_rounds.size());
  network.PauseNode("b");
  loop.Advance(seconds(2));
  CHECK_TRUE(observer_a.down_links.back().second == link_down_cause::kSilent);
}

TEST(memory_network, PartitionSilencesLinksAndNewConnections) {
  Connect();
  network.Partition({"a"}, {"b"});
  loop.Advance(seconds(2));
  CHECK_TRUE(observer_a.down_links.back().second == link_down_cause::kSilent);
  CHECK_TRUE(observer_b.down_links.back().second == link_down_cause::kSilent);
  a->Send("b", MessageWithRound(1));
  loop.Advance(seconds(2));
  CHECK_TRUE(observer_a.down_links.back() ==
             std::make_pair(uint64_t{0}, link_down_cause::kSilent));
  network.Heal();
  a->Send("b", MessageWithRound(2));
  loop.Advance(seconds(2));
  CHECK_EQUAL(2, observer_b.received_rounds.back());
}

TEST(memory_network, SilentLinkIsClosedAndNewOneWorks) {
  Connect();
  network.SilenceLink("a", "b");
  a->Send("b", MessageWithRound(1));
  loop.Advance(seconds(2));
  CHECK_EQUAL(1, observer_b.received_rounds.size());
  CHECK_TRUE(observer_a.down_links.back().second == link_down_cause::kSilent);
  a->Send("b", MessageWithRound(2));
  loop.Advance(milliseconds(10));
  CHECK_EQUAL(2, observer_b.received_rounds.back());
}

// A peer that was partitioned during a restart learns of it only from the new
// Hello.
TEST(memory_network, NewIncarnationReplacesOldLink) {
  Connect();
  network.Partition({"a"}, {"b"});
  network.StopNode("b");
  loop.Advance(milliseconds(100));
  network.Heal();
  recording_observer restarted_observer;
  peer_transport* b = network.AddNode({"b", "b", "z2", 3});
  b->Start(&restarted_observer);
  b->Send("a", MessageWithRound(9));
  loop.Advance(milliseconds(10));
  CHECK_TRUE(observer_a.down_links.back() ==
             std::make_pair(uint64_t{2}, link_down_cause::kReplaced));
  CHECK_EQUAL(3, observer_a.up_incarnations.back());
  CHECK_EQUAL(9, observer_a.received_rounds.back());
}

TEST(memory_network, InjectsFaultsOfSingleMessages) {
  Connect();
  network.options().loss_probability = 0.2;
  network.options().duplication_probability = 0.2;
  network.options().reordering_probability = 0.2;
  for (uint64_t i = 1; i <= 200; ++i) {
    a->Send("b", MessageWithRound(i));
    loop.Advance(milliseconds(1));
  }
  loop.Advance(milliseconds(100));
  const std::set<uint64_t> distinct(observer_b.received_rounds.begin(),
                                    observer_b.received_rounds.end());
  CHECK_TRUE(distinct.size() < 195);
  CHECK_TRUE(observer_b.received_rounds.size() > distinct.size() + 5);
  CHECK_FALSE(std::is_sorted(observer_b.received_rounds.begin(),
                             observer_b.received_rounds.end()));
}

// Timers of a paused process run when it resumes, those of a stopped one never.
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
