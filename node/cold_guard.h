#ifndef NODE_COLD_GUARD_H_
#define NODE_COLD_GUARD_H_

#include <functional>
#include <string>

#include "decisions/cold_state.h"
#include "decisions/target_scheduler.h"
#include "node/cold_check.h"

namespace skylarkhoist {

// Keeps one target to its cold rate while it is cold, or may be and has not
// told yet.
//
//   guard.OnNewRun("t1");
//   guard.OnAnnouncement(cold_remaining);
//   guard.Suspect("/health");
class cold_guard {
 public:
  // Limits `scheduler`, which must outlive the guard. `on_answer` runs when the
  // target has told whether it is cold, so that waiting calls may start.
  cold_guard(loop* loop,
             target_client* targets,
             const request_dialect* dialect,
             metrics* counters,
             std::string address,
             target_scheduler* scheduler,
             std::function<void()> on_answer);

  // Another run of the target with the id `id` has announced itself.
  void OnNewRun(const std::string& id);
  void OnAnnouncement(duration cold_remaining);

  // The target may have turned cold by now: asks for its health at
  // `health_path`.
  void Suspect(const std::string& health_path);

  // Ends a health check in progress, because the target gets no calls.
  void StopAsking() { check_.Stop(); }

  // When the target last told whether it is cold, or was asked.
  time_point known_at() const { return known_at_; }

 private:
  void OnHealth(time_point asked_at, duration cold_remaining);
  void ApplyState();

  loop* loop_;
  cold_check check_;
  std::string address_;
  target_scheduler* scheduler_;
  std::function<void()> on_answer_;
  std::string id_;
  cold_state state_;
  time_point known_at_;
};

}  // namespace skylarkhoist

#endif  // NODE_COLD_GUARD_H_
