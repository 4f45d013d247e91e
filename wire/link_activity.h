#ifndef WIRE_LINK_ACTIVITY_H_
#define WIRE_LINK_ACTIVITY_H_

#include "kernel/time.h"
#include "wire/messages_generated.h"

namespace skylarkhoist {

struct link_activity_options {
  // A link is active for this long after a message that has no answer.
  duration message_period = std::chrono::milliseconds(1500);
  // A call or token request without an answer keeps its link active for at most
  // this long.
  duration max_call_time = std::chrono::seconds(30);
};

// Decides how long one end of a peer link sends heartbeats and checks for
// silence. An idle link needs neither: its loss matters only to the next
// message. A link is active while a call or a token request on it has no
// answer, and for a time after any other message.
//
//   activity.OnMessage(message, now);   // sent or received
//   if (now <= activity.ActiveUntil()) { send a heartbeat }
class link_activity {
 public:
  explicit link_activity(const link_activity_options& options)
      : options_(options) {}

  // The link never becomes idle from now on.
  void KeepActive() { always_ = true; }

  // The peer keeps a link active for `max_call_time` after each call and for
  // `message_period` after any other message, so this end has to send
  // heartbeats for as long.
  void SetPeerIgnoresAnswers() { peer_ignores_answers_ = true; }

  void OnLinkUp(time_point now);

  // Records a message in either direction, other than a heartbeat.
  void OnMessage(const fbs::envelopeT& message, time_point now);

  // Time until which the link is active without further messages.
  time_point ActiveUntil() const;

 private:
  link_activity_options options_;
  bool always_ = false;
  bool peer_ignores_answers_ = false;
  time_point active_until_;
  // Calls and token requests without an answer, in both directions, and when
  // the last one was sent.
  int open_requests_ = 0;
  time_point last_request_at_;
};

}  // namespace skylarkhoist

#endif  // WIRE_LINK_ACTIVITY_H_
