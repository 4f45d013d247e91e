#include <CppUTest/TestHarness.h>

#include "decisions/lease_holder.h"
#include "decisions/lease_witness.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr uint64_t kRosterVersion = 3;
constexpr uint64_t kFirstEpoch = kRosterVersion << kEpochCounterBits;

time_point At(int ms) {
  return kStart + milliseconds(ms);
}

TEST_GROUP(lease_witness) {
  lease_witness witness;
};

// Guards against two holders at the same time.
TEST(lease_witness, GrantsToOneHolderAtATime) {
  struct step {
    int at_ms;
    uint64_t holder;
    uint64_t round;
    uint64_t epoch;
    bool expected_granted;
    uint64_t expected_epoch;
    int remaining_ms;
  };
  const step steps[] = {
      {0, 1, 1, 0, true, kFirstEpoch, 0},
      {10, 2, 1, 0, false, 0, 990},
      {20, 1, 2, kFirstEpoch, true, kFirstEpoch, 0},
      {900, 1, 3, kFirstEpoch, true, kFirstEpoch, 0},
      // A duplicate of an earlier round does not extend the lease.
      {1500, 1, 2, kFirstEpoch, false, kFirstEpoch, 0},
      {1899, 2, 2, 0, false, kFirstEpoch, 1},
      {1900, 2, 3, 0, true, kFirstEpoch + 1, 0},
      {1910, 2, 4, kFirstEpoch + 1, true, kFirstEpoch + 1, 0},
      // The previous holder asks again with its old epoch.
      {2950, 1, 9, kFirstEpoch, false, kFirstEpoch + 1, 0},
  };
  for (const step& item : steps) {
    const lease_response response = witness.OnRequest(
        item.holder, item.round, item.epoch, kRosterVersion, At(item.at_ms));
    CHECK_EQUAL(item.expected_granted, response.granted);
    CHECK_EQUAL(item.expected_epoch, response.epoch);
    CHECK_EQUAL(item.remaining_ms, ToMilliseconds(response.remaining));
  }
}

// Guards against a delayed release that ends a lease renewed in the meantime.
TEST(lease_witness, ReleaseEndsOnlyItsOwnRound) {
  witness.OnRequest(1, 5, 0, kRosterVersion, At(0));
  witness.OnRelease(1, 4);
  witness.OnRelease(2, 9);
  CHECK_EQUAL(1, witness.CurrentHolder(At(1)));
  witness.OnRelease(1, 5);
  CHECK_EQUAL(0, witness.CurrentHolder(At(1)));
}

TEST(lease_witness, ProcessGoneEndsItsLease) {
  witness.OnRequest(1, 5, 0, kRosterVersion, At(0));
  witness.OnHolderGone(2);
  CHECK_EQUAL(1, witness.CurrentHolder(At(1)));
  witness.OnHolderGone(1);
  CHECK_TRUE(witness.OnRequest(2, 1, 0, kRosterVersion, At(1)).granted);
}

TEST(lease_witness, RemembersNonmemberBorrowersOfFormerHolders) {
  witness.RecordNonmemberBorrowers({{7, "g:1"}}, At(0));
  witness.RecordNonmemberBorrowers({}, At(3000));
  CHECK_EQUAL(1, witness.NonmemberBorrowers(At(9999)).size());
  CHECK_TRUE(witness.NonmemberBorrowers(At(10000)).empty());
}

TEST_GROUP(lease_holder) {
  // Acquires the lease from witnesses 1 and 2; takes 4 ms from `at_ms`.
  void Acquire(int at_ms) {
    const lease_round first =
        holder.StartRound(7, 2, kRosterVersion, At(at_ms));
    holder.OnGrant(1, first.round, true, kFirstEpoch, 0, At(at_ms + 1));
    CHECK_TRUE(holder.OnGrant(2, first.round, true, kFirstEpoch + 4, 0,
                              At(at_ms + 2)));
    CHECK_FALSE(holder.Holds(At(at_ms + 2)));
    const lease_round second =
        holder.StartRound(7, 2, kRosterVersion, At(at_ms + 2));
    CHECK_EQUAL(kFirstEpoch + 4, second.epoch);
    holder.OnGrant(1, second.round, true, second.epoch, 0, At(at_ms + 3));
    CHECK_TRUE(
        holder.OnGrant(2, second.round, true, second.epoch, 0, At(at_ms + 4)));
  }
  lease_holder holder;
};

TEST(lease_holder, LeaseCountsFromSending) {
  Acquire(0);
  CHECK_TRUE(holder.Holds(At(951)));
  CHECK_FALSE(holder.Holds(At(952)));
  CHECK_TRUE(holder.Expired(At(952)));
}

TEST(lease_holder, RenewalExtendsAndLateGrantDoesNot) {
  Acquire(0);
  const lease_round renewal =
      holder.StartRound(7, 2, kRosterVersion + 1, At(333));
  holder.OnGrant(1, renewal.round, true, renewal.epoch, 0, At(340));
  holder.OnGrant(1, renewal.round, true, renewal.epoch, 0, At(341));
  CHECK_FALSE(holder.Holds(At(1000)));
  // The lease has expired before the majority is complete.
  CHECK_FALSE(
      holder.OnGrant(2, renewal.round, true, renewal.epoch, 0, At(1000)));
  CHECK_TRUE(holder.Expired(At(1000)));
}

// Guards against a lease from grants that arrive after a pause of the process
// or after Reset().
TEST(lease_holder, IgnoresGrantsOfResetRounds) {
  const lease_round first = holder.StartRound(7, 1, kRosterVersion, At(0));
  holder.OnGrant(1, first.round, true, kFirstEpoch, 0, At(1));
  const lease_round second = holder.StartRound(7, 1, kRosterVersion, At(2));
  CHECK_FALSE(holder.OnGrant(1, second.round, true, second.epoch, 0, At(2000)));
  CHECK_FALSE(holder.Holds(At(2000)));
  const lease_round third = holder.StartRound(7, 1, kRosterVersion, At(2001));
  holder.Reset();
  CHECK_FALSE(holder.OnGrant(1, third.round, true, third.epoch, 0, At(2002)));
  CHECK_FALSE(holder.Holds(At(2002)));
}

TEST(lease_holder, ReportsCommittedAndPreviousHolderVersions) {
  Acquire(0);
  CHECK_EQUAL(kRosterVersion, holder.committed_roster_version());
  const lease_round renewal =
      holder.StartRound(7, 2, kRosterVersion + 1, At(300));
  holder.OnGrant(1, renewal.round, true, renewal.epoch, 9, At(301));
  CHECK_EQUAL(kRosterVersion, holder.committed_roster_version());
  holder.OnGrant(2, renewal.round, true, renewal.epoch, 0, At(302));
  CHECK_EQUAL(kRosterVersion + 1, holder.committed_roster_version());
  CHECK_EQUAL(9, holder.previous_holder_roster_version());
}

}  // namespace
}  // namespace skylarkhoist
