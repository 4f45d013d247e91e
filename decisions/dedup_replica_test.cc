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
const wall_time kWall{std::chrono::hours(1000)};
const dedup_key kKey{1, 1};
const request_id kFirst{100, 1};
const request_id kSecond{200, 1};

uint64_t UnixMs(wall_time time) {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
          .count());
}

TEST_GROUP(dedup_replica) {
  std::map<uint64_t, std::unique_ptr<dedup_replica>> replicas;
  // Nodes that nobody reaches.
  std::set<uint64_t> lost;
  time_point now = kStart;

  // With three members, all of them are the group of each shard.
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

  dedup_replica& At(uint64_t node) {
    auto& replica = replicas[node];
    if (!replica) {
      dedup_replica_options options;
      options.shards = 1;
      options.new_fleet = true;
      options.answer_bytes = 100;
      replica = std::make_unique<dedup_replica>(node, options);
    }
    return *replica;
  }

  // Gives a roster to some nodes and lets all of them ask.
  void Set(const roster_view& roster, std::initializer_list<uint64_t> nodes) {
    for (uint64_t node : nodes)
      At(node).SetRoster(roster, now);
    Sync();
  }

  void Sync() {
    for (int round = 0; round < 8; ++round) {
      now += milliseconds(200);
      for (auto& [node, replica] : replicas) {
        if (lost.count(node) != 0)
          continue;
        for (const auto& request : replica->OnTick(now, Wall())) {
          const uint64_t to = request.to.incarnation;
          if (lost.count(to) != 0 || replicas.count(to) == 0)
            continue;
          const auto state = replicas[to]->OnSyncRequest(
              request.shard, replica->roster_version(), now);
          if (state)
            replica->OnSyncState(to, *state, now);
        }
      }
    }
  }

  wall_time Wall() const {
    return kWall +
           std::chrono::duration_cast<wall_time::duration>(now - kStart);
  }

  // The group 1, 2, 3, which holds all records.
  void Begin() {
    Set(Roster(1, {1}), {1});
    Set(Roster(2, {1, 2}), {1, 2});
    Set(Roster(3, {1, 2, 3}), {1, 2, 3});
  }

  // Claims at one replica; -1 for no answer.
  int Claim(uint64_t node, const request_id& id, uint64_t created = 0) {
    dedup_request request;
    request.id = id;
    request.key = kKey;
    request.roster_version = At(node).roster_version();
    request.created_unix_ms = created;
    const auto reply = At(node).OnClaim(request, now);
    return reply ? static_cast<int>(reply->state) : -1;
  }

  void End(uint64_t node, const request_id& id, dedup_outcome outcome) {
    dedup_end end;
    end.id = id;
    end.round = 9;
    end.key = kKey;
    end.outcome = outcome;
    if (outcome == dedup_outcome::kAnswered) {
      end.answer = std::make_shared<int>(5);
      end.answer_bytes = 60;
    }
    CHECK_TRUE(At(node).OnEnd(end, now));
  }

  void CheckState(dedup_state expected, int actual) {
    CHECK_EQUAL(static_cast<int>(expected), actual);
  }
};

// Guards against two copies at one replica, and against a claim of another
// roster version.
TEST(dedup_replica, RecordsOneCopyForItsVersion) {
  Begin();
  CheckState(dedup_state::kGranted, Claim(1, kFirst));
  CheckState(dedup_state::kGranted, Claim(1, kFirst));
  CheckState(dedup_state::kKnownRunning, Claim(1, kSecond));
  for (uint64_t version : {2, 4}) {
    dedup_request other;
    other.id = kFirst;
    other.roster_version = version;
    CHECK_TRUE(At(1).OnClaim(other, now)->state == dedup_state::kStaleRoster);
  }
  At(1).OnOriginGone(kFirst.incarnation);
  CheckState(dedup_state::kKnownFinished, Claim(1, kSecond));
}

// Guards against messages that overtake each other: an end before its claim.
TEST(dedup_replica, EndsMayArriveBeforeTheirClaim) {
  Begin();
  End(1, kFirst, dedup_outcome::kReleased);
  CHECK_EQUAL(-1, Claim(1, kFirst));
  CheckState(dedup_state::kGranted, Claim(1, kSecond));
  End(2, kFirst, dedup_outcome::kAnswered);
  CheckState(dedup_state::kKnownFinished, Claim(2, kFirst));
  CheckState(dedup_state::kKnownFinished, Claim(2, kSecond));
  // A release does not undo an answer.
  End(2, kFirst, dedup_outcome::kReleased);
  CheckState(dedup_state::kKnownFinished, Claim(2, kSecond));
}

// Guards against memory that grows with answers, and records that go early.
TEST(dedup_replica, AnswersAreDroppedBeforeRecords) {
  Begin();
  End(1, kFirst, dedup_outcome::kAnswered);
  dedup_end other;
  other.id = kSecond;
  other.key = {2, 2};
  other.outcome = dedup_outcome::kAnswered;
  other.answer = std::make_shared<int>(6);
  other.answer_bytes = 60;
  At(1).OnEnd(other, now);
  CHECK_EQUAL(60, At(1).answer_bytes());
  now += std::chrono::minutes(59);
  CheckState(dedup_state::kKnownFinished, Claim(1, kSecond));
  now += std::chrono::minutes(1);
  CheckState(dedup_state::kGranted, Claim(1, kSecond));
  CHECK_EQUAL(1, At(1).records());
  CHECK_EQUAL(0, At(1).answer_bytes());
}

// Guards against a new member that grants before it has the records, and
// against one that never gets to serve.
TEST(dedup_replica, NewMemberServesAfterAMajorityOfTheOldGroup) {
  Begin();
  CheckState(dedup_state::kGranted, Claim(1, kFirst));
  CheckState(dedup_state::kGranted, Claim(3, kFirst));
  const roster_view next = Roster(4, {1, 2, 4});
  Set(next, {1, 4});
  CheckState(dedup_state::kStaleRoster, Claim(4, kSecond));
  Set(next, {2});
  CheckState(dedup_state::kKnownRunning, Claim(4, kSecond));
  CHECK_FALSE(At(4).IsBlind(0));
}

// Guards against two members that missed versions in between, and together
// grant a key that was granted meanwhile. Node 2 missed versions 4 to 6, node 4
// missed version 6, whose members 1, 6 and 7 hold the record.
TEST(dedup_replica, MembersThatMissedVersionsFindTheRecords) {
  Begin();
  Set(Roster(4, {1, 3, 4}), {1, 3, 4});
  Set(Roster(5, {1, 4, 6}), {1, 3, 4, 6});
  Set(Roster(6, {1, 6, 7}), {1, 3, 6, 7});
  CheckState(dedup_state::kGranted, Claim(6, kFirst));
  CheckState(dedup_state::kGranted, Claim(7, kFirst));
  lost = {6};
  Set(Roster(7, {2, 4, 8}), {1, 2, 3, 4, 7, 8});
  CheckState(dedup_state::kKnownRunning, Claim(2, kSecond));
  CheckState(dedup_state::kKnownRunning, Claim(4, kSecond));
}

// Guards against a replica without memory that takes an old key as new, and
// against refusals of keys that are provably new.
TEST(dedup_replica, BlindReplicaGrantsOnlyKeysMadeLater) {
  Begin();
  CheckState(dedup_state::kGranted, Claim(3, kFirst));
  lost = {2, 3};
  Set(Roster(4, {1, 4, 5}), {1, 4, 5});
  CheckState(dedup_state::kStaleRoster, Claim(4, kSecond));
  now += seconds(15);
  Sync();
  CHECK_TRUE(At(4).IsServing(0) && At(4).IsBlind(0));
  CheckState(dedup_state::kBlind, Claim(4, kSecond));
  CheckState(dedup_state::kBlind, Claim(4, kSecond, UnixMs(Wall())));
  now += seconds(10);
  CheckState(dedup_state::kGranted, Claim(4, kSecond, UnixMs(Wall())));
  CheckState(dedup_state::kGranted, Claim(5, kSecond, UnixMs(Wall())));
  now += std::chrono::hours(1);
  Sync();
  CHECK_FALSE(At(5).IsBlind(0));
}

// Guards against records that are lost when members stop one after another.
TEST(dedup_replica, HandOverCountsForTheNextGroup) {
  Begin();
  CheckState(dedup_state::kGranted, Claim(2, kFirst));
  CheckState(dedup_state::kGranted, Claim(3, kFirst));
  // A node that is not in the group of the larger roster.
  const dedup_group group = At(1).GroupInForce(0);
  uint64_t next = 4;
  while (!(DedupGroupOf(Roster(4, {1, 2, 3, next}), 0) == group))
    ++next;
  Set(Roster(4, {1, 2, 3, next}), {1, 2, 3, next});
  for (const auto& [to, state] : At(3).HandOver(now))
    At(to.incarnation).OnHandOver(3, state, now);
  CheckState(dedup_state::kStaleRoster, Claim(3, kSecond));
  lost = {2, 3};
  Set(Roster(5, {1, next, 1000}), {1, next, 1000});
  for (uint64_t node : {uint64_t{1}, next}) {
    CheckState(dedup_state::kKnownRunning, Claim(node, kSecond));
    CHECK_FALSE(At(node).IsBlind(0));
  }
}

// Guards against a text that looks like a time and is none.
TEST(dedup_replica, ReadsTheTimeOfVersionSevenOnly) {
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
