#include "decisions/dedup_claim.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kStart{std::chrono::hours(1)};
const dedup_group kGroup = {{1, "a"}, {2, "b"}, {3, "c"}};
// Ids of the copy under test and of other copies with a lower and a higher id.
const request_id kOwnId{50, 1};
const request_id kLowerId{40, 1};
const request_id kHigherId{60, 1};

dedup_claim MakeClaim() {
  dedup_claim_request request;
  request.id = kOwnId;
  dedup_claim claim(request, kStart + seconds(5), {}, kStart);
  claim.SetGroup(7, kGroup, kStart);
  return claim;
}

// Delivers the reply that `letter` stands for: G granted, F free, L or H held
// by a running copy with a lower or higher id, U finished with unknown outcome,
// A finished with an answer, B incomplete records (kBlind on the wire), S stale
// roster, '-' no reply.
void DeliverReply(dedup_claim& claim,
                  uint64_t from,
                  char letter,
                  time_point now) {
  if (letter == '-')
    return;
  dedup_claim_reply reply;
  reply.id = kOwnId;
  reply.round = claim.request().round;
  reply.roster_version = claim.request().roster_version;
  reply.holder_id = letter == 'H' ? kHigherId : kLowerId;
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
      reply.state = dedup_state::kIncomplete;
      break;
    default:
      reply.state = dedup_state::kStaleRoster;
      break;
  }
  claim.OnReply(from, reply, now);
}

// R run, A answered, U unknown, X unavailable, '.' no verdict yet.
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

// Guards against a copy that runs without a majority, that may not run although
// the other copy provably never ran, or that waits longer than necessary.
TEST(dedup_claim, VerdictFollowsFromReplies) {
  struct row {
    const char* replies;
    // Verdicts at once, after 2.1 s and at the deadline of 5 s.
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
    const auto deliver = [&](time_point now) {
      for (uint64_t i = 0; i < 3; ++i)
        DeliverReply(claim, i + 1, each.replies[i], now);
      claim.OnTick(now);
      seen += VerdictOf(claim);
    };
    deliver(kStart + milliseconds(1));
    deliver(kStart + milliseconds(2100));
    claim.OnTick(kStart + seconds(5));
    seen += VerdictOf(claim);
    STRCMP_EQUAL_TEXT(each.verdicts, seen.c_str(), each.replies);
  }
}

// Guards against two copies that each have one grant and wait for each other
// for ever.
TEST(dedup_claim, HigherIdYieldsAndClaimsAgainWhenFree) {
  dedup_claim claim = MakeClaim();
  DeliverReply(claim, 1, 'G', kStart);
  DeliverReply(claim, 2, 'L', kStart);
  CHECK_FALSE(claim.request().query_only);
  claim.OnTick(kStart + milliseconds(150));
  CHECK_TRUE(claim.request().query_only);
  CHECK_EQUAL(2, claim.request().round);
  DeliverReply(claim, 1, 'F', kStart + milliseconds(160));
  DeliverReply(claim, 2, 'F', kStart + milliseconds(160));
  CHECK_FALSE(claim.request().query_only);
  CHECK_EQUAL(3, claim.request().round);

  dedup_claim lower = MakeClaim();
  DeliverReply(lower, 1, 'G', kStart);
  DeliverReply(lower, 2, 'H', kStart);
  lower.OnTick(kStart + milliseconds(150));
  CHECK_FALSE(lower.request().query_only);
  DeliverReply(lower, 2, 'G', kStart + milliseconds(160));
  BYTES_EQUAL('R', VerdictOf(lower));
}

// Guards against grants that still count although they were returned or belong
// to another group.
TEST(dedup_claim, OnlyGrantsOfThisRoundAndRosterCount) {
  dedup_claim claim = MakeClaim();
  dedup_claim_reply late_grant;
  late_grant.id = kOwnId;
  late_grant.round = claim.request().round;
  late_grant.roster_version = 7;
  late_grant.state = dedup_state::kGranted;
  claim.OnReply(1, late_grant, kStart);
  claim.SetGroup(8, {{1, "a"}, {2, "b"}, {4, "d"}}, kStart);
  claim.OnReply(2, late_grant, kStart);
  BYTES_EQUAL('.', VerdictOf(claim));
  // Neither a grant of the former roster version nor one of a replica that left
  // the group counts for the new version.
  DeliverReply(claim, 4, 'G', kStart);
  BYTES_EQUAL('.', VerdictOf(claim));
  DeliverReply(claim, 3, 'G', kStart);
  BYTES_EQUAL('.', VerdictOf(claim));
  // The copy yields and then claims again; a grant of an earlier round arrives
  // in the new round.
  DeliverReply(claim, 1, 'L', kStart);
  DeliverReply(claim, 2, 'L', kStart);
  CHECK_EQUAL(2, claim.request().round);
  DeliverReply(claim, 1, 'F', kStart);
  DeliverReply(claim, 2, 'F', kStart);
  late_grant.roster_version = 8;
  claim.OnReply(1, late_grant, kStart);
  claim.OnReply(2, late_grant, kStart);
  BYTES_EQUAL('.', VerdictOf(claim));
}

// Guards against a claimant that, after a pause of its process, uses a grant
// whose record may have expired.
TEST(dedup_claim, ExpiredGrantsAreRequestedAgain) {
  dedup_claim_request request;
  request.id = kOwnId;
  dedup_claim claim(request, kStart + std::chrono::hours(3), {}, kStart);
  claim.SetGroup(7, kGroup, kStart);
  DeliverReply(claim, 1, 'G', kStart);
  const time_point resumed = kStart + std::chrono::hours(1);
  DeliverReply(claim, 2, 'G', resumed);
  BYTES_EQUAL('.', VerdictOf(claim));
  CHECK_EQUAL(2, claim.request().round);
  DeliverReply(claim, 1, 'G', resumed);
  DeliverReply(claim, 2, 'G', resumed);
  BYTES_EQUAL('R', VerdictOf(claim));
  CHECK_TRUE(claim.resolution()->valid_until == resumed + seconds(60));
}

}  // namespace
}  // namespace skylarkhoist
