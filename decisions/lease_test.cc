#include <CppUTest/TestHarness.h>

#include "decisions/lease_holder.h"
#include "decisions/lease_witness.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr uint64_t kVersion = 3;
constexpr uint64_t kFirstEpoch = kVersion << kEpochCounterBits;

time_point At(int ms) {
  return kStart + milliseconds(ms);
}

TEST_GROUP(lease_witness) {
  lease_witness witness;
};

// Guards against two holders at a time.
TEST(lease_witness, GrantsToOneHolderAtATime) {
  struct step {
    int at;
    uint64_t holder;
    uint64_t round;
    uint64_t epoch;
    bool granted;
    uint64_t answer_epoch;
    int wait;
  };
  const step steps[] = {
      {0, 1, 1, 0, true, kFirstEpoch, 0},
      {10, 2, 1, 0, false, 0, 990},
      {20, 1, 2, kFirstEpoch, true, kFirstEpoch, 0},
      {900, 1, 3, kFirstEpoch, true, kFirstEpoch, 0},
      // A late copy of an earlier round extends nothing.
      {1500, 1, 2, kFirstEpoch, false, kFirstEpoch, 0},
      {1899, 2, 2, 0, false, kFirstEpoch, 1},
      {1900, 2, 3, 0, true, kFirstEpoch + 1, 0},
      {1910, 2, 4, kFirstEpoch + 1, true, kFirstEpoch + 1, 0},
      // The former holder comes back with its old epoch.
      {2950, 1, 9, kFirstEpoch, false, kFirstEpoch + 1, 0},
  };
  for (const step& item : steps) {
    const lease_answer answer = witness.OnRequest(
        item.holder, item.round, item.epoch, kVersion, At(item.at));
    CHECK_EQUAL(item.granted, answer.granted);
    CHECK_EQUAL(item.answer_epoch, answer.epoch);
    CHECK_EQUAL(item.wait, ToMilliseconds(answer.wait));
  }
}

// Guards against a late release that ends a lease taken again since.
TEST(lease_witness, ReleaseEndsOnlyItsOwnRound) {
  witness.OnRequest(1, 5, 0, kVersion, At(0));
  witness.OnRelease(1, 4);
  witness.OnRelease(2, 9);
  CHECK_EQUAL(1, witness.HolderAt(At(1)));
  witness.OnRelease(1, 5);
  CHECK_EQUAL(0, witness.HolderAt(At(1)));
}

TEST(lease_witness, ProcessGoneEndsItsLease) {
  witness.OnRequest(1, 5, 0, kVersion, At(0));
  witness.OnGone(2);
  CHECK_EQUAL(1, witness.HolderAt(At(1)));
  witness.OnGone(1);
  CHECK_TRUE(witness.OnRequest(2, 1, 0, kVersion, At(1)).granted);
}

TEST(lease_witness, RemembersGuestsOfFormerHolders) {
  witness.OnGuests({{7, "g:1"}}, At(0));
  witness.OnGuests({}, At(3000));
  CHECK_EQUAL(1, witness.Guests(At(9999)).size());
  CHECK_TRUE(witness.Guests(At(10000)).empty());
}

TEST_GROUP(lease_holder) {
  // Acquires from witnesses 1 and 2 within 4 ms.
  void Acquire(int at) {
    const lease_round first = holder.StartRound(7, 2, kVersion, At(at));
    holder.OnGrant(1, first.round, true, kFirstEpoch, 0, At(at + 1));
    CHECK_TRUE(
        holder.OnGrant(2, first.round, true, kFirstEpoch + 4, 0, At(at + 2)));
    CHECK_FALSE(holder.Holds(At(at + 2)));
    const lease_round second = holder.StartRound(7, 2, kVersion, At(at + 2));
    CHECK_EQUAL(kFirstEpoch + 4, second.epoch);
    holder.OnGrant(1, second.round, true, second.epoch, 0, At(at + 3));
    CHECK_TRUE(
        holder.OnGrant(2, second.round, true, second.epoch, 0, At(at + 4)));
  }
  lease_holder holder;
};

TEST(lease_holder, CountsFromSending) {
  Acquire(0);
  CHECK_TRUE(holder.Holds(At(951)));
  CHECK_FALSE(holder.Holds(At(952)));
  CHECK_TRUE(holder.Lapsed(At(952)));
}

TEST(lease_holder, RenewalExtendsAndLateGrantDoesNot) {
  Acquire(0);
  const lease_round renewal = holder.StartRound(7, 2, kVersion + 1, At(333));
  holder.OnGrant(1, renewal.round, true, renewal.epoch, 0, At(340));
  holder.OnGrant(1, renewal.round, true, renewal.epoch, 0, At(341));
  CHECK_FALSE(holder.Holds(At(1000)));
  // The lease has ended before the majority is complete.
  CHECK_FALSE(
      holder.OnGrant(2, renewal.round, true, renewal.epoch, 0, At(1000)));
  CHECK_TRUE(holder.Lapsed(At(1000)));
}

// Guards against grants that arrive after a pause or after a release.
TEST(lease_holder, IgnoresGrantsOfDroppedRounds) {
  const lease_round first = holder.StartRound(7, 1, kVersion, At(0));
  holder.OnGrant(1, first.round, true, kFirstEpoch, 0, At(1));
  const lease_round second = holder.StartRound(7, 1, kVersion, At(2));
  CHECK_FALSE(holder.OnGrant(1, second.round, true, second.epoch, 0, At(2000)));
  CHECK_FALSE(holder.Holds(At(2000)));
  const lease_round third = holder.StartRound(7, 1, kVersion, At(2001));
  holder.Drop();
  CHECK_FALSE(holder.OnGrant(1, third.round, true, third.epoch, 0, At(2002)));
  CHECK_FALSE(holder.Holds(At(2002)));
}

TEST(lease_holder, ReportsRecordedAndFormerVersions) {
  Acquire(0);
  CHECK_EQUAL(kVersion, holder.recorded_version());
  const lease_round renewal = holder.StartRound(7, 2, kVersion + 1, At(300));
  holder.OnGrant(1, renewal.round, true, renewal.epoch, 9, At(301));
  CHECK_EQUAL(kVersion, holder.recorded_version());
  holder.OnGrant(2, renewal.round, true, renewal.epoch, 0, At(302));
  CHECK_EQUAL(kVersion + 1, holder.recorded_version());
  CHECK_EQUAL(9, holder.former_version());
}

}  // namespace
}  // namespace skylarkhoist
