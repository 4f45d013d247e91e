#include "wire/link_activity.h"

#include <CppUTest/TestHarness.h>

#include "wire/peer_transport.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(link_activity) {
  link_activity activity{{milliseconds(1500), seconds(30)}};
  const time_point start = time_point(seconds(100));

  void Call(time_point now) {
    activity.OnMessage(MakeEnvelope(fbs::call_requestT{}), now);
  }
  void Answer(time_point now) {
    activity.OnMessage(MakeEnvelope(fbs::call_answerT{}), now);
  }
};

// Guards against heartbeats whose number grows with the number of nodes that a
// node has ever called.
TEST(link_activity, ALinkWithoutOpenCallsBecomesIdle) {
  activity.OnLinkUp(start);
  CHECK_TRUE(activity.ActiveUntil() == start + milliseconds(1500));
  Call(start + seconds(2));
  Call(start + seconds(3));
  CHECK_TRUE(activity.ActiveUntil() == start + seconds(33));
  Answer(start + seconds(4));
  CHECK_TRUE(activity.ActiveUntil() == start + seconds(33));
  Answer(start + seconds(5));
  CHECK_TRUE(activity.ActiveUntil() == start + milliseconds(1500));
}

// Guards against a lost peer that is noticed only at the deadline of a call.
TEST(link_activity, AnAnswerToAnotherCallDoesNotEndTheActivity) {
  Answer(start);
  Call(start);
  CHECK_TRUE(activity.ActiveUntil() == start + seconds(30));
}

// Guards against heartbeats on the links with all owners of rate limits.
TEST(link_activity, ATokenRequestKeepsALinkActiveUntilItsAnswer) {
  activity.OnMessage(MakeEnvelope(fbs::token_requestT{}), start);
  CHECK_TRUE(activity.ActiveUntil() > start);
  activity.OnMessage(MakeEnvelope(fbs::token_grantT{}), start);
  CHECK_TRUE(activity.ActiveUntil() < start);
}

TEST(link_activity, MessagesOutsideOfCallsKeepALinkActiveForAWhile) {
  activity.OnMessage(MakeEnvelope(fbs::gossipT{}), start);
  CHECK_TRUE(activity.ActiveUntil() == start + milliseconds(1500));
}

// Guards against a peer of an earlier version that takes the missing heartbeats
// for silence.
TEST(link_activity, APeerThatIgnoresAnswersGetsHeartbeatsAfterThem) {
  activity.SetPeerIgnoresAnswers();
  Call(start);
  Answer(start + seconds(1));
  CHECK_TRUE(activity.ActiveUntil() == start + seconds(30));
}

TEST(link_activity, AKeptLinkIsAlwaysActive) {
  activity.KeepActive();
  CHECK_TRUE(activity.ActiveUntil() == time_point::max());
}

}  // namespace
}  // namespace skylarkhoist
