#include "decisions/fallback_shares.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>
#include <string>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 100;
constexpr double kMinShare = 1;

TEST_GROUP(fallback_shares) {
  time_point now = time_point() + std::chrono::hours(1);
  fallback_shares shares{7, now};
  std::map<std::string, fallback_share> held;
  std::map<std::string, uint64_t> generated;
  std::set<std::string> lost;

  // A node asks for tokens and gets them. Returns what is charged.
  double Contact(fallback_shares & owner, const std::string& node,
                 int64_t granted) {
    const double charged =
        owner.OnContact(node, 1, held[node], generated[node], now);
    held[node] = owner.ShareAfterGrant(node, granted, kRate, kMinShare, now);
    return charged;
  }

  double Reserved(fallback_shares & owner) {
    return owner.TakeReserved(
        [this](const std::string& node) {
          return lost.count(node) == 0 ? node_reach::kLive : node_reach::kLost;
        },
        {lost.size(), lost.size(), 2 + lost.size()}, kRate, 0, now);
  }

  // A node tells its share and asks for nothing.
  double Tell(fallback_shares & owner, const std::string& node) {
    return owner.OnContact(node, 1, held[node], generated[node], now);
  }

  double SumOfShares() const {
    double sum = 0;
    for (const auto& [node, share] : held)
      sum += share.per_second;
    return sum;
  }

  // Nodes a and b use 60 and 20 tokens per second for a while.
  void Use(duration length) {
    for (const time_point end = now + length; now < end;
         now += milliseconds(100)) {
      Contact(shares, "a", 6);
      Contact(shares, "b", 2);
      CHECK_TRUE(SumOfShares() <= kRate + 1e-6);
      DOUBLES_EQUAL(0, Reserved(shares), 1e-6);
    }
  }
};

// Guards against shares that allow a partition more than the rate, for example
// because they are taken from a burst.
TEST(fallback_shares, SharesFollowUseAndStayWithinTheRate) {
  Contact(shares, "b", 100);
  Contact(shares, "a", 100);
  CHECK_TRUE(SumOfShares() <= kRate);
  Use(seconds(5));
  DOUBLES_EQUAL(60, held["a"].per_second, 6);
  DOUBLES_EQUAL(20, held["b"].per_second, 3);
  DOUBLES_EQUAL(SumOfShares(), held["b"].total_per_second, 3);
  // A node with little use.
  Contact(shares, "c", 0);
  DOUBLES_EQUAL(kMinShare, held["c"].per_second, 1e-6);
}

// Guards against an owner that grants what a node out of reach uses too, from
// the beginning of the partition on.
TEST(fallback_shares, ReservesTheShareOfANodeOutOfContact) {
  Use(seconds(5));
  const time_point cut = now;
  double reserved = 0;
  lost.insert("a");
  while (now - cut < seconds(6)) {
    now += milliseconds(100);
    Contact(shares, "b", 2);
    reserved += Reserved(shares);
  }
  DOUBLES_EQUAL(held["a"].per_second * 6, reserved, 7);
  // It used a part, and is back.
  lost.clear();
  generated["a"] = 200;
  DOUBLES_EQUAL(200 - reserved, Contact(shares, "a", 0), 1e-6);
  now += milliseconds(100);
  DOUBLES_EQUAL(0, Reserved(shares), 1e-6);
}

// Load pattern: a large fleet, in which each node has little demand and
// contacts the owner rarely. Guards against reservations for nodes that are in
// reach.
TEST(fallback_shares, NodesWithLittleDemandCostNothing) {
  double reserved = 0;
  for (int round = 0; round < 20; ++round) {
    for (int node = 0; node < 100; ++node) {
      now += milliseconds(15);
      const double charged = Contact(shares, "n" + std::to_string(node), 1);
      DOUBLES_EQUAL(0, charged, 1e-6);
      reserved += Reserved(shares);
    }
  }
  DOUBLES_EQUAL(0, reserved, 1e-6);
}

// Guards against a rate that is reduced without end for nodes that have no
// demand, or are gone.
TEST(fallback_shares, AReservationEnds) {
  Use(seconds(5));
  lost.insert("a");
  double idle = 0;
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(100);
    const double all = Reserved(shares);
    if (i >= 30)
      idle += all - held["a"].per_second / 10;
  }
  // b is in reach and silent, so it has no demand.
  DOUBLES_EQUAL(0, idle, 1);
  now += fallback_shares::kRetention;
  Reserved(shares);
  now += seconds(1);
  DOUBLES_EQUAL(0, Reserved(shares), 1e-6);
}

// Guards against shares of nodes in reach that a new owner reserves because
// they were not reported to it, and against a lost node that takes a large part
// of the rate.
TEST(fallback_shares, ANewOwnerInheritsOnlyForLostNodes) {
  Use(seconds(5));
  fallback_shares next{8, now};
  double reserved = 0;
  const auto run = [&](size_t lost) {
    for (int i = 0; i < 20; ++i) {
      now += milliseconds(100);
      Contact(next, "b", 2);
      reserved += next.TakeReserved(
          [](const std::string&) { return node_reach::kLive; },
          {lost, lost, 100}, kRate, 0, now);
    }
  };
  run(0);
  DOUBLES_EQUAL(0, reserved, 1e-6);
  run(1);
  DOUBLES_EQUAL(kRate * 0.03 * 2, reserved, 0.5);
}

// Guards against an owner that grants the rate to its side of a partition
// until the loss of the other side is known, and against one that takes tokens
// for nodes whose demand has ended or while it did not run itself.
TEST(fallback_shares, WatchesNodesWithLargeSharesOnly) {
  Use(seconds(5));
  double reserved = 0;
  const auto run = [&](bool a_tells) {
    for (int i = 0; i < 20; ++i) {
      now += milliseconds(100);
      if (a_tells)
        reserved += Tell(shares, "a");
      Contact(shares, "b", 2);
      reserved += Reserved(shares);
    }
  };
  run(true);
  DOUBLES_EQUAL(0, reserved, 1e-6);
  // The owner did not run.
  now += seconds(3);
  DOUBLES_EQUAL(0, Reserved(shares), 1e-6);
  run(true);
  DOUBLES_EQUAL(0, reserved, 1e-6);
  const double share_of_a = held["a"].per_second;
  run(false);
  DOUBLES_EQUAL(share_of_a * 2, reserved, share_of_a * 0.11);
  // It was paused, and gives up its share.
  held["a"] = fallback_share();
  reserved += Tell(shares, "a");
  run(false);
  DOUBLES_EQUAL(0, reserved, 1e-6);
}

// Guards against tokens that a node generated although it was in reach, since
// the owner answered too late, and that are granted again.
TEST(fallback_shares, ChargesGeneratedTokens) {
  Use(seconds(2));
  generated["a"] = 30;
  DOUBLES_EQUAL(30, Contact(shares, "a", 0), 1e-6);
  DOUBLES_EQUAL(0, Contact(shares, "a", 0), 1e-6);
}

// Guards against a new owner that grants the whole rate while nodes that it
// does not reach go on at the shares of the former one.
TEST(fallback_shares, ANewOwnerLeavesUnreachedNodesTheirShares) {
  Use(seconds(5));
  const double share_of_a = held["a"].per_second;
  now += seconds(2);
  lost.insert("a");
  fallback_shares next{8, now};
  Contact(next, "b", 0);
  Reserved(next);
  double reserved = 0;
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(100);
    Contact(next, "b", 2);
    reserved += Reserved(next);
  }
  DOUBLES_EQUAL(share_of_a * 2, reserved, 6);
  CHECK_TRUE(held["b"].per_second + share_of_a <= kRate + 1e-6);
  // A node that returns brings its share back.
  lost.clear();
  Contact(next, "a", 0);
  now += milliseconds(100);
  Contact(next, "a", 0);
  Contact(next, "b", 0);
  DOUBLES_EQUAL(0, Reserved(next), 0.5);
}

}  // namespace
}  // namespace skylarkhoist
