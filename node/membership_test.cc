#include "node/membership.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "testing/manual_loop.h"

namespace skylarkhoist {
namespace {

using std::chrono::seconds;

struct recording_transport : peer_transport {
  std::vector<std::pair<std::string, fbs::gossipT>> sent;

  void Start(peer_observer* /*observer*/) override {}
  void Send(const std::string& address,
            const fbs::envelopeT& message) override {
    if (const auto* gossip = message.body.Asgossip())
      sent.emplace_back(address, *gossip);
  }
};

membership_options Options() {
  membership_options options;
  options.node = "self";
  options.peer_address = "10.0.0.1:7000";
  options.incarnation = 1;
  return options;
}

peer_info Sender(int number) {
  peer_info sender;
  sender.address = "10.0.1." + std::to_string(number) + ":7000";
  sender.incarnation = static_cast<uint64_t>(number) + 100;
  return sender;
}

fbs::member_entryT EntryOf(int number, uint64_t version, uint32_t load) {
  fbs::member_entryT entry;
  entry.peer_address = Sender(number).address;
  entry.incarnation = Sender(number).incarnation;
  entry.version = version;
  entry.state = fbs::member_state::kServing;
  entry.applied_offset = version;
  auto target = std::make_unique<fbs::target_entryT>();
  target->service = "bookings";
  target->address = "10.0.1.1:80";
  target->state = fbs::member_state::kServing;
  target->load_permille = load;
  entry.targets.push_back(std::move(target));
  return entry;
}

TEST_GROUP(membership) {
  manual_loop clock;
  recording_transport transport;
  mt_random random{1};
  membership members{&clock, &transport, &random, Options()};

  void setup() override {
    members.Start();
    Receive(EntryOf(1, 1, 0));
    Receive(EntryOf(2, 1, 0));
    // By then, these entries have been forwarded for the last time.
    clock.Advance(seconds(20));
  }

  void Receive(const fbs::member_entryT& entry) {
    fbs::gossipT gossip;
    gossip.entries.push_back(std::make_unique<fbs::member_entryT>(entry));
    peer_info sender;
    sender.address = entry.peer_address;
    sender.incarnation = entry.incarnation;
    members.HandleGossip(sender, gossip);
  }

  // Returns how many entries of member number 1 are sent in the next 20 s.
  size_t CountForwarded() {
    transport.sent.clear();
    clock.Advance(seconds(20));
    size_t count = 0;
    for (const auto& [address, gossip] : transport.sent) {
      for (const auto& entry : gossip.entries)
        count += entry->peer_address == Sender(1).address ? 1 : 0;
    }
    return count;
  }
};

// Guards against gossip messages that grow with the fleet: each node reports
// its load every second, so forwarded reports would fill every message.
TEST(membership, LoadReportsAreNotForwarded) {
  Receive(EntryOf(1, 2, 700));
  const auto targets = members.TargetsOf("bookings");
  CHECK_EQUAL(2, targets.size());
  CHECK_EQUAL(700, targets[0].load_permille);
  CHECK_EQUAL(0, CountForwarded());
}

// Guards against a change of state that only the direct receivers of a message
// see, also when a load report follows before it is forwarded.
TEST(membership, ChangesOfStateAreForwarded) {
  fbs::member_entryT entry = EntryOf(1, 2, 700);
  entry.targets[0]->state = fbs::member_state::kDraining;
  Receive(entry);
  entry.version = 3;
  entry.targets[0]->load_permille = 600;
  Receive(entry);
  CHECK_TRUE(CountForwarded() > 0);

  entry = EntryOf(1, 4, 0);
  entry.state = fbs::member_state::kDraining;
  Receive(entry);
  CHECK_TRUE(CountForwarded() > 0);

  entry = EntryOf(1, 5, 0);
  entry.targets[0]->address = "10.0.1.9:80";
  Receive(entry);
  CHECK_TRUE(CountForwarded() > 0);
}

}  // namespace
}  // namespace skylarkhoist
