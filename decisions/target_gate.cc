#include "decisions/target_gate.h"

#include <algorithm>
#include <utility>

namespace skylarkhoist {
namespace {

// Waiting calls for each slot of the limit. More would only wait until their
// bound; the spare ones let a target in its cold state hold a short burst.
constexpr size_t kQueuePerSlot = 4;
constexpr size_t kSpareQueue = 32;

// Runs over which the usual time is averaged.
constexpr int kRunAverage = 20;

limit_options LimitOptions(const service_config& settings) {
  return {settings.cold_capacity, settings.max_limit};
}

}  // namespace

target_gate::target_gate(const service_config& settings,
                         time_point /*now*/,
                         const gate_plugins& plugins)
    : settings_(settings),
      admitted_wait_(plugins.admitted_wait),
      new_share_(plugins.new_share),
      limit_(limit_registry::Create(plugins.limit, LimitOptions(settings))),
      queue_(queue_registry::Create(plugins.order, queue_options())) {
  if (limit_ == nullptr)
    limit_ = limit_registry::Create("gradient", LimitOptions(settings));
  if (queue_ == nullptr)
    queue_ = queue_registry::Create("fair", queue_options());
  BoundQueue();
}

void target_gate::BoundQueue() {
  queue_options options;
  options.bound = settings_.queue_bound;
  options.admitted_wait = admitted_wait_;
  options.new_share = new_share_;
  options.max_length =
      static_cast<size_t>(limit_->Limit()) * kQueuePerSlot + kSpareQueue;
  queue_->Update(options);
}

std::optional<reason> target_gate::Enqueue(gate_call call, time_point now) {
  if (call.deadline <= now)
    return reason::kDeadlineBeforeRun;
  return queue_->Push(std::move(call), now);
}

std::optional<gate_call> target_gate::TakeNext(time_point now) {
  if (running_.size() >= static_cast<size_t>(limit_->Limit()) ||
      !cold_.HasRoom(now))
    return std::nullopt;
  // Half of the usual time leaves room for calls that are quicker than most.
  std::optional<gate_call> next = queue_->Pop(now, limit_->Latency() / 2);
  if (next) {
    cold_.Take(now);
    running_[next->id] = {now, static_cast<int>(running_.size()) + 1};
  }
  return next;
}

std::vector<gate_refusal> target_gate::TakeRefused(time_point now) {
  return queue_->TakeRefused(now);
}

void target_gate::OnFinished(const request_id& id,
                             gate_result result,
                             time_point now,
                             duration elsewhere) {
  const auto found = running_.find(id);
  if (found == running_.end())
    return;
  limit_sample sample;
  sample.result = result;
  sample.started = found->second.started;
  sample.latency = std::max(now - sample.started - elsewhere, duration::zero());
  sample.running = found->second.running;
  if (result == gate_result::kSuccess) {
    const duration run = now - sample.started;
    usual_run_ = usual_run_ == duration::zero()
                     ? run
                     : usual_run_ + (run - usual_run_) / kRunAverage;
  }
  running_.erase(found);
  limit_->OnFinished(sample, now);
  BoundQueue();
}

bool target_gate::Remove(const request_id& id) {
  return queue_->Remove(id);
}

std::vector<request_id> target_gate::RemoveAll() {
  return queue_->RemoveAll();
}

void target_gate::ResetCold(time_point now) {
  limit_->ResetCold(now);
  BoundQueue();
}

void target_gate::UpdateSettings(const service_config& settings) {
  settings_ = settings;
  cold_.SetRate(settings.cold_per_second);
  limit_->Update(LimitOptions(settings));
  BoundQueue();
}

std::optional<time_point> target_gate::NextDeadline(time_point now) const {
  const std::optional<time_point> expiry = queue_->NextDeadline();
  if (!expiry || running_.size() >= static_cast<size_t>(limit_->Limit()))
    return expiry;
  return std::min(*expiry, cold_.NextAt(now).value_or(*expiry));
}

uint32_t target_gate::LoadPermille() const {
  const size_t used = running_.size() + queue_->size();
  return static_cast<uint32_t>(used * 1000 /
                               static_cast<size_t>(limit_->Limit()));
}

uint32_t target_gate::PressurePermille(time_point now) const {
  const auto waiting = static_cast<double>(queue_->size());
  const double drain = std::chrono::duration<double>(kDrainTime).count();
  double used = 0;
  if (cold_.IsCold(now)) {
    used = (cold_.HasRoom(now) ? 0.0 : 1.0) +
           waiting / (settings_.cold_per_second * drain);
  } else {
    // Before the first run a waiting call counts as much as a running one.
    const double run = usual_run_ == duration::zero()
                           ? drain
                           : std::chrono::duration<double>(usual_run_).count();
    used = (static_cast<double>(running_.size()) + waiting * run / drain) /
           limit_->Limit();
  }
  return static_cast<uint32_t>(used * 1000);
}

}  // namespace skylarkhoist
