#ifndef DECISIONS_COLD_STATE_H_
#define DECISIONS_COLD_STATE_H_

#include <algorithm>

#include "kernel/time.h"

namespace skylarkhoist {

// What is known about whether one run of a target is cold, that is at reduced
// capacity for some time after its start.
//
// A target announces how long it stays cold. It may have turned cold since its
// last announcement, for example while its zone was out of service, and an
// announcement may be late. After such a moment the target counts as cold until
// its health check or enough further announcements have told more.
//
//   state.OnAnnouncement(cold_remaining, now);
//   state.Suspect();
//   state.OnHealth(asked_at, cold_remaining, now);
//   if (!state.is_suspected())
//     limiter.SetLimit(rate, state.cold_until(), now);
class cold_state {
 public:
  // The target may have turned cold by now.
  void Suspect() { announcements_needed_ = kAnnouncementsNeeded; }

  void OnAnnouncement(duration cold_remaining, time_point now);

  // The target has answered a health check that was sent at `asked_at`, after
  // the last call of Suspect. This ends the suspicion, but not a cold state
  // that the target has announced, since health checks may be out of date. A
  // later announcement that was sent before the check does not end the cold
  // state.
  void OnHealth(time_point asked_at, duration cold_remaining, time_point now);

  // Whether it is unknown if the target has turned cold.
  bool is_suspected() const { return announcements_needed_ > 0; }

  // Not to be used while the target is suspected.
  time_point cold_until() const {
    return std::max(announced_until_, proved_until_);
  }

 private:
  // Without a health check, this announcement after a suspicion is believed;
  // an earlier one may have been sent before it.
  static constexpr int kAnnouncementsNeeded = 2;

  // Announcements that are needed to end the suspicion; 0 without one.
  int announcements_needed_ = 0;
  time_point announced_until_;
  // The health check proves that the target is cold until then.
  time_point proved_until_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_COLD_STATE_H_
