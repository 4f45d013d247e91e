#include "decisions/dedup_replica.h"

#include <CppUTest/TestHarness.h>

#include <initializer_list>
#include <memory>
#include <set>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{std::chrono::hours(1)};
const wall_time kWallStart{std::chrono::hours(1000)};
const dedup_key kKey{1, 1};
const request_id kFirstId{100, 1};
const request_id kSecondId{200, 1};

uint64_t UnixMs(wall_time time) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
          .count());
}

TEST_GROUP(dedup_replica) {
  std::map<uint64_t, std::unique_ptr<dedup_replica>> replicas;
  // Nodes that neither send nor receive messages.
  std::set<uint64_t> unreachable;
  time_point now = kStart;

  // A roster of up to three members is also the group of each shard.
  static roster_view Roster(uint64_t version,
                            std::initializer_list<uint64_t> members) {
    roster_view roster;
    roster.version = version;
    for (uint64_t member : members) {
      const std::string name = std::to_string(member);
      roster.members.push_back({name, "z" + name, name, member});
    }
    return roster;
  }

  dedup_replica& Replica(uint64_t node) {
    auto& replica = replicas[node];
    if (!replica) {
      dedup_replica_options options;
      options.shards = 1;
      options.new_fleet = true;
      options.max_answer_bytes = 100;
      replica = std::make_unique<dedup_replica>(node, options);
    }
    return *replica;
  }

  // Sets the roster of some nodes and then lets all nodes sync.
  void SetRosterAndSync(const roster_view& roster,
                        std::initializer_list<uint64_t> nodes) {
    for (uint64_t node : nodes)
      Replica(node).SetRoster(roster, now);
    Sync();
  }

  void Sync() {
    for (int round = 0; round < 8; ++round) {
      now += milliseconds(200);
      for (auto& [node, replica] : replicas) {
        if (unreachable.count(node) != 0)
          continue;
        for (const auto& request : replica->OnTick(now, WallNow())) {
          const uint64_t to = request.to.incarnation;
          if (unreachable.count(to) != 0 || replicas.count(to) == 0)
            continue;
          const auto state = replicas[to]->OnSyncRequest(
              request.shard, replica->roster_version(), now);
          if (state)
            replica->OnSyncState(to, *state, now);
        }
      }
    }
  }

  wall_time WallNow() const {
    return kWallStart +
           std::chrono::duration_cast<wall_time::duration>(now - kStart);
  }

  // Starts the nodes 1, 2 and 3 as a group with complete records.
  void StartCompleteGroup() {
    SetRosterAndSync(Roster(1, {1}), {1});
    SetRosterAndSync(Roster(2, {1, 2}), {1, 2});
    SetRosterAndSync(Roster(3, {1, 2, 3}), {1, 2, 3});
  }

  // Claims the key at one replica. Returns the state in its reply, or -1 if it
  // sends none.
  int ClaimAt(uint64_t node, const request_id& id, uint64_t created = 0) {
    dedup_claim_request request;
    request.id = id;
    request.key = kKey;
    request.roster_version = Replica(node).roster_version();
    request.created_unix_ms = created;
    const auto reply = Replica(node).OnClaim(request, now);
    return reply ? static_cast<int>(reply->state) : -1;
  }

  void ReportResultAt(uint64_t node, const request_id& id,
                      dedup_outcome outcome) {
    dedup_result result;
    result.id = id;
    result.round = 9;
    result.key = kKey;
    result.outcome = outcome;
    if (outcome == dedup_outcome::kAnswered) {
      result.answer = std::make_shared<int>(5);
      result.answer_bytes = 60;
    }
    CHECK_TRUE(Replica(node).OnResult(result, now));
  }

  void CheckState(dedup_state expected, int actual) {
    CHECK_EQUAL(static_cast<int>(expected), actual);
  }
};

// Guards against a replica that grants two copies, or a claim of another roster
// version.
TEST(dedup_replica, RecordsOneCopyUnderItsRosterVersion) {
  StartCompleteGroup();
  CheckState(dedup_state::kGranted, ClaimAt(1, kFirstId));
  CheckState(dedup_state::kGranted, ClaimAt(1, kFirstId));
  CheckState(dedup_state::kKnownRunning, ClaimAt(1, kSecondId));
  for (uint64_t version : {2, 4}) {
    dedup_claim_request other;
    other.id = kFirstId;
    other.roster_version = version;
    CHECK_TRUE(Replica(1).OnClaim(other, now)->state ==
               dedup_state::kStaleRoster);
  }
  Replica(1).OnNodeGone(kFirstId.incarnation);
  CheckState(dedup_state::kKnownFinished, ClaimAt(1, kSecondId));
}

// Guards against a claim that is granted although the end of its copy has
// arrived before it.
TEST(dedup_replica, ResultMayArriveBeforeItsClaim) {
  StartCompleteGroup();
  ReportResultAt(1, kFirstId, dedup_outcome::kReleased);
  CHECK_EQUAL(-1, ClaimAt(1, kFirstId));
  CheckState(dedup_state::kGranted, ClaimAt(1, kSecondId));
  ReportResultAt(2, kFirstId, dedup_outcome::kAnswered);
  CheckState(dedup_state::kKnownFinished, ClaimAt(2, kFirstId));
  CheckState(dedup_state::kKnownFinished, ClaimAt(2, kSecondId));
  // A release does not undo an answer.
  ReportResultAt(2, kFirstId, dedup_outcome::kReleased);
  CheckState(dedup_state::kKnownFinished, ClaimAt(2, kSecondId));
}

// Guards against unbounded memory for answers, and against records that are
// dropped before they expire.
TEST(dedup_replica, AnswersAreDroppedBeforeRecords) {
  StartCompleteGroup();
  ReportResultAt(1, kFirstId, dedup_outcome::kAnswered);
  dedup_result other;
  other.id = kSecondId;
  other.key = {2, 2};
  other.outcome = dedup_outcome::kAnswered;
  other.answer = std::make_shared<int>(6);
  other.answer_bytes = 60;
  Replica(1).OnResult(other, now);
  CHECK_EQUAL(60, Replica(1).answer_bytes());
  now += std::chrono::minutes(59);
  CheckState(dedup_state::kKnownFinished, ClaimAt(1, kSecondId));
  now += std::chrono::minutes(1);
  CheckState(dedup_state::kGranted, ClaimAt(1, kSecondId));
  CHECK_EQUAL(1, Replica(1).records());
  CHECK_EQUAL(0, Replica(1).answer_bytes());
}

// Guards against a new member that grants claims before it has the records, and
// against one that never serves.
TEST(dedup_replica, NewMemberServesAfterSyncWithMajorityOfOldGroup) {
  StartCompleteGroup();
  CheckState(dedup_state::kGranted, ClaimAt(1, kFirstId));
  CheckState(dedup_state::kGranted, ClaimAt(3, kFirstId));
  const roster_view next = Roster(4, {1, 2, 4});
  SetRosterAndSync(next, {1, 4});
  CheckState(dedup_state::kStaleRoster, ClaimAt(4, kSecondId));
  SetRosterAndSync(next, {2});
  CheckState(dedup_state::kKnownRunning, ClaimAt(4, kSecondId));
  CHECK_FALSE(Replica(4).IsIncomplete(0));
}

// Guards against two members that missed roster versions and together grant a
// key that another group granted in one of these. Node 2 missed versions 4 to
// 6, node 4 missed version 6, whose members 1, 6 and 7 have the record.
TEST(dedup_replica, MembersThatMissedVersionsFindTheRecords) {
  StartCompleteGroup();
  SetRosterAndSync(Roster(4, {1, 3, 4}), {1, 3, 4});
  SetRosterAndSync(Roster(5, {1, 4, 6}), {1, 3, 4, 6});
  SetRosterAndSync(Roster(6, {1, 6, 7}), {1, 3, 6, 7});
  CheckState(dedup_state::kGranted, ClaimAt(6, kFirstId));
  CheckState(dedup_state::kGranted, ClaimAt(7, kFirstId));
  unreachable = {6};
  SetRosterAndSync(Roster(7, {2, 4, 8}), {1, 2, 3, 4, 7, 8});
  CheckState(dedup_state::kKnownRunning, ClaimAt(2, kSecondId));
  CheckState(dedup_state::kKnownRunning, ClaimAt(4, kSecondId));
}

// Guards against a replica with incomplete records that takes an old key for a
// new one, or that refuses a key that is provably new.
TEST(dedup_replica, IncompleteReplicaGrantsOnlyKeysCreatedLater) {
  StartCompleteGroup();
  CheckState(dedup_state::kGranted, ClaimAt(3, kFirstId));
  unreachable = {2, 3};
  SetRosterAndSync(Roster(4, {1, 4, 5}), {1, 4, 5});
  CheckState(dedup_state::kStaleRoster, ClaimAt(4, kSecondId));
  now += seconds(15);
  Sync();
  CHECK_TRUE(Replica(4).IsServing(0) && Replica(4).IsIncomplete(0));
  CheckState(dedup_state::kIncomplete, ClaimAt(4, kSecondId));
  CheckState(dedup_state::kIncomplete,
             ClaimAt(4, kSecondId, UnixMs(WallNow())));
  now += seconds(10);
  CheckState(dedup_state::kGranted, ClaimAt(4, kSecondId, UnixMs(WallNow())));
  CheckState(dedup_state::kGranted, ClaimAt(5, kSecondId, UnixMs(WallNow())));
  now += std::chrono::hours(1);
  Sync();
  CHECK_FALSE(Replica(5).IsIncomplete(0));
}

// Guards against the loss of records when members stop one after another.
TEST(dedup_replica, NextGroupUsesHandedOverRecords) {
  StartCompleteGroup();
  CheckState(dedup_state::kGranted, ClaimAt(2, kFirstId));
  CheckState(dedup_state::kGranted, ClaimAt(3, kFirstId));
  // Finds a node that does not change the group when it joins the roster.
  const dedup_group group = Replica(1).CurrentGroup(0);
  uint64_t next = 4;
  while (!(DedupGroupOf(Roster(4, {1, 2, 3, next}), 0) == group))
    ++next;
  SetRosterAndSync(Roster(4, {1, 2, 3, next}), {1, 2, 3, next});
  for (const auto& [to, state] : Replica(3).HandOver(now))
    Replica(to.incarnation).OnHandOver(3, state, now);
  CheckState(dedup_state::kStaleRoster, ClaimAt(3, kSecondId));
  unreachable = {2, 3};
  SetRosterAndSync(Roster(5, {1, next, 1000}), {1, next, 1000});
  for (uint64_t node : {uint64_t{1}, next}) {
    CheckState(dedup_state::kKnownRunning, ClaimAt(node, kSecondId));
    CHECK_FALSE(Replica(node).IsIncomplete(0));
  }
}

// Guards against a creation time that is read from a key which is not a UUID of
// version 7.
TEST(dedup_replica, ReadsTimeOfUuidVersion7Only) {
  struct row {
    const char* text;
    uint64_t expected;
  };
  const row rows[] = {
      {"017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0x017f22e279b0},
      {"017F22E2-79B0-7CC3-98C4-DC0C0C07398F", 0x017f22e279b0},
      {"017f22e2-79b0-4cc3-98c4-dc0c0c07398f", 0},
      {"017f22e2-79b0-7cc3-18c4-dc0c0c07398f", 0},
      {"017f22e2079b0-7cc3-98c4-dc0c0c07398f", 0},
      {"017f22e2-79b0-7cc3-98c4-dc0c0c07398", 0},
      {"g17f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0},
      {"", 0},
  };
  for (const row& each : rows)
    CHECK_EQUAL_TEXT(each.expected, UuidV7UnixMs(each.text), each.text);
}

}  // namespace
}  // namespace skylarkhoist
