#include "decisions/dedup_claim.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{std::chrono::hours(1)};
const dedup_group kGroup = {{1, "a"}, {2, "b"}, {3, "c"}};
// Ids of other copies, before and after that of the copy under test.
const request_id kOwn{50, 1};
const request_id kLower{40, 1};
const request_id kHigher{60, 1};

dedup_claim MakeClaim() {
  dedup_request request;
  request.id = kOwn;
  dedup_claim claim(request, kStart + seconds(5), {}, kStart);
  claim.SetGroup(7, kGroup, kStart);
  return claim;
}

// One letter for each reply: Granted, free (F), held by a Lower or Higher
// running copy, Unknown end, Answered, Blind, Stale roster, '-' for none.
void Reply(dedup_claim& claim, uint64_t from, char letter, time_point now) {
  if (letter == '-')
    return;
  dedup_reply reply;
  reply.id = kOwn;
  reply.round = claim.request().round;
  reply.roster_version = claim.request().roster_version;
  reply.first_id = letter == 'H' ? kHigher : kLower;
  switch (letter) {
    case 'G':
      reply.state = dedup_state::kGranted;
      break;
    case 'F':
      reply.state = dedup_state::kFree;
      break;
    case 'L':
    case 'H':
      reply.state = dedup_state::kKnownRunning;
      break;
    case 'U':
      reply.state = dedup_state::kKnownFinished;
      reply.outcome = dedup_outcome::kUnknown;
      break;
    case 'A':
      reply.state = dedup_state::kKnownFinished;
      reply.outcome = dedup_outcome::kAnswered;
      reply.answer = std::make_shared<int>(5);
      break;
    case 'B':
      reply.state = dedup_state::kBlind;
      break;
    default:
      reply.state = dedup_state::kStaleRoster;
      break;
  }
  claim.OnReply(from, reply, now);
}

char VerdictOf(const dedup_claim& claim) {
  if (!claim.resolution())
    return '.';
  switch (claim.resolution()->verdict) {
    case dedup_verdict::kRun:
      return 'R';
    case dedup_verdict::kAnswered:
      return 'A';
    case dedup_verdict::kUnknown:
      return 'U';
    default:
      return 'X';
  }
}

TEST_GROUP(dedup_claim){};

// Guards against a copy that runs without a majority, that is locked out
// although the first one provably never ran, or that waits without need.
TEST(dedup_claim, VerdictsByReplies) {
  struct row {
    const char* replies;
    // Verdicts at once, after 2.1 s and at the deadline of 5 s: Run, Answered,
    // Unknown, unavailable (X), or '.' for none yet.
    const char* verdicts;
  };
  const row rows[] = {
      {"GG-", "RRR"}, {"GGU", "RRR"}, {"UGG", "RRR"}, {"LGG", "RRR"},
      {"G--", ".XX"}, {"---", ".XX"}, {"SSS", ".XX"}, {"GUS", ".UU"},
      {"GU-", ".UU"}, {"U--", ".UU"}, {"UU-", "UUU"}, {"UB-", "UUU"},
      {"BB-", "XXX"}, {"GBB", "XXX"}, {"GB-", ".XX"}, {"A--", "AAA"},
      {"LA-", "AAA"}, {"H--", "..U"}, {"GH-", "..U"}, {"LL-", "..U"},
      {"LUU", "..U"},
  };
  for (const row& each : rows) {
    dedup_claim claim = MakeClaim();
    std::string seen;
    const auto feed = [&](time_point now) {
      for (uint64_t i = 0; i < 3; ++i)
        Reply(claim, i + 1, each.replies[i], now);
      claim.OnTick(now);
      seen += VerdictOf(claim);
    };
    feed(kStart + milliseconds(1));
    feed(kStart + milliseconds(2100));
    claim.OnTick(kStart + seconds(5));
    seen += VerdictOf(claim);
    STRCMP_EQUAL_TEXT(each.verdicts, seen.c_str(), each.replies);
  }
}

// Guards against two copies that hold one replica each and wait for each other.
TEST(dedup_claim, TheHigherIdYieldsAndClaimsAgainWhenFree) {
  dedup_claim claim = MakeClaim();
  Reply(claim, 1, 'G', kStart);
  Reply(claim, 2, 'L', kStart);
  CHECK_FALSE(claim.request().query_only);
  claim.OnTick(kStart + milliseconds(150));
  CHECK_TRUE(claim.request().query_only);
  CHECK_EQUAL(2, claim.request().round);
  Reply(claim, 1, 'F', kStart + milliseconds(160));
  Reply(claim, 2, 'F', kStart + milliseconds(160));
  CHECK_FALSE(claim.request().query_only);
  CHECK_EQUAL(3, claim.request().round);

  dedup_claim lower = MakeClaim();
  Reply(lower, 1, 'G', kStart);
  Reply(lower, 2, 'H', kStart);
  lower.OnTick(kStart + milliseconds(150));
  CHECK_FALSE(lower.request().query_only);
  Reply(lower, 2, 'G', kStart + milliseconds(160));
  BYTES_EQUAL('R', VerdictOf(lower));
}

// Guards against grants that were given back, or belong to another group, and
// still count.
TEST(dedup_claim, OnlyGrantsOfThisRoundAndRosterCount) {
  dedup_claim claim = MakeClaim();
  dedup_reply late;
  late.id = kOwn;
  late.round = claim.request().round;
  late.roster_version = 7;
  late.state = dedup_state::kGranted;
  claim.OnReply(1, late, kStart);
  claim.SetGroup(8, {{1, "a"}, {2, "b"}, {4, "d"}}, kStart);
  claim.OnReply(2, late, kStart);
  BYTES_EQUAL('.', VerdictOf(claim));
  // A grant under the new version after one that was given under the old.
  Reply(claim, 4, 'G', kStart);
  BYTES_EQUAL('.', VerdictOf(claim));
  Reply(claim, 3, 'G', kStart);
  BYTES_EQUAL('.', VerdictOf(claim));
  // Yields; a grant of the round before arrives late, in a new claiming round.
  Reply(claim, 1, 'L', kStart);
  Reply(claim, 2, 'L', kStart);
  CHECK_EQUAL(2, claim.request().round);
  Reply(claim, 1, 'F', kStart);
  Reply(claim, 2, 'F', kStart);
  late.roster_version = 8;
  claim.OnReply(1, late, kStart);
  claim.OnReply(2, late, kStart);
  BYTES_EQUAL('.', VerdictOf(claim));
}

// Guards against a claimant that was paused and uses a grant whose record may
// have expired.
TEST(dedup_claim, OldGrantsAreAskedForAgain) {
  dedup_request request;
  request.id = kOwn;
  dedup_claim claim(request, kStart + std::chrono::hours(3), {}, kStart);
  claim.SetGroup(7, kGroup, kStart);
  Reply(claim, 1, 'G', kStart);
  const time_point resumed = kStart + std::chrono::hours(1);
  Reply(claim, 2, 'G', resumed);
  BYTES_EQUAL('.', VerdictOf(claim));
  CHECK_EQUAL(2, claim.request().round);
  Reply(claim, 1, 'G', resumed);
  Reply(claim, 2, 'G', resumed);
  BYTES_EQUAL('R', VerdictOf(claim));
  CHECK_TRUE(claim.resolution()->valid_until == resumed + seconds(60));
}

}  // namespace
}  // namespace skylarkhoist
