#include "node/cold_guard.h"

#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {

cold_guard::cold_guard(loop* loop,
                       target_client* targets,
                       const request_dialect* dialect,
                       metrics* counters,
                       std::string address,
                       target_scheduler* scheduler,
                       std::function<void()> on_answer)
    : loop_(loop),
      check_(loop, targets, dialect, counters),
      address_(std::move(address)),
      scheduler_(scheduler),
      on_answer_(std::move(on_answer)) {}

void cold_guard::OnNewRun(const std::string& id) {
  check_.Stop();
  id_ = id;
  state_ = cold_state();
}

void cold_guard::OnAnnouncement(duration cold_remaining) {
  known_at_ = loop_->Now();
  state_.OnAnnouncement(cold_remaining, known_at_);
  ApplyState();
}

void cold_guard::Suspect(const std::string& health_path) {
  known_at_ = loop_->Now();
  state_.Suspect();
  ApplyState();
  check_.Start(address_, id_, health_path,
               [this](time_point asked_at, duration cold_remaining) {
                 OnHealth(asked_at, cold_remaining);
               });
}

void cold_guard::OnHealth(time_point asked_at, duration cold_remaining) {
  known_at_ = loop_->Now();
  state_.OnHealth(asked_at, cold_remaining, known_at_);
  ApplyState();
  LogStateChange(
      "executor", "target_checked",
      {{"address", address_},
       {"id", id_},
       {"cold_ms", std::to_string(ToMilliseconds(cold_remaining))},
       {"took_ms", std::to_string(ToMilliseconds(known_at_ - asked_at))}});
  on_answer_();
}

void cold_guard::ApplyState() {
  const time_point now = loop_->Now();
  if (state_.is_suspected()) {
    scheduler_->LimitToColdRate(now);
    return;
  }
  check_.Stop();
  scheduler_->SetCold(state_.cold_until(), now);
}

}  // namespace skylarkhoist
