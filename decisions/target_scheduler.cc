#include "decisions/target_scheduler.h"

#include <algorithm>
#include <utility>

namespace skylarkhoist {
namespace {

// Maximum number of waiting calls per slot of the limit. More calls would only
// wait until they are refused. The extra length lets a target in its cold state
// queue a short burst.
constexpr size_t kQueueLengthPerSlot = 4;
constexpr size_t kExtraQueueLength = 32;

// A target that accepts no calls at all still gets a few, because only its
// responses tell when that ends.
constexpr double kMinNamedLimit = 0.25;

// Number of runs over which the run time is averaged.
constexpr int kAveragedRuns = 20;

// For this time after a child call of an unknown run, run times may include
// waits for child calls.
constexpr duration kUnknownChildCallTime = std::chrono::seconds(10);

limit_options LimitOptions(const service_config& settings) {
  return {settings.cold_capacity, settings.max_limit};
}

}  // namespace

target_scheduler::target_scheduler(const service_config& settings,
                                   time_point /*now*/,
                                   const scheduler_plugins& plugins)
    : settings_(settings),
      exempt_admitted_(plugins.exempt_admitted),
      min_new_share_(plugins.min_new_share),
      limit_(limit_registry::Create(plugins.limit, LimitOptions(settings))),
      queue_(queue_registry::Create(plugins.order, queue_options())) {
  if (limit_ == nullptr)
    limit_ = limit_registry::Create("gradient", LimitOptions(settings));
  if (queue_ == nullptr)
    queue_ = queue_registry::Create("fair", queue_options());
  UpdateQueueOptions();
}

void target_scheduler::UpdateQueueOptions() {
  queue_options options;
  options.max_wait = settings_.queue_bound;
  options.exempt_admitted = exempt_admitted_;
  options.min_new_share = min_new_share_;
  options.max_length =
      static_cast<size_t>(limit_->Limit()) * kQueueLengthPerSlot +
      kExtraQueueLength;
  if (named_limit_) {
    const double max_waiting =
        *named_limit_ * std::chrono::duration<double>(kQueueDrainTime).count();
    if (max_waiting < static_cast<double>(options.max_length))
      options.max_length =
          std::max<size_t>(1, static_cast<size_t>(max_waiting));
  }
  queue_->Update(options);
}

std::optional<reason> target_scheduler::Enqueue(queued_call call,
                                                time_point now) {
  if (call.deadline <= now)
    return reason::kDeadlineBeforeRun;
  const auto refused = queue_->Push(std::move(call), now);
  return refused ? std::optional(RefusalReason(*refused)) : std::nullopt;
}

reason target_scheduler::RefusalReason(reason why) const {
  const bool for_length =
      why == reason::kQueueFull || why == reason::kQueueTimeout;
  return named_limit_ && for_length ? reason::kTargetLimited : why;
}

void target_scheduler::SetNamedLimit(std::optional<double> per_second,
                                     time_point now) {
  named_limit_ = per_second;
  if (named_limit_)
    named_limit_ = std::max(*named_limit_, kMinNamedLimit);
  named_limiter_.SetLimit(named_limit_.value_or(0), time_point::max(), now);
  UpdateQueueOptions();
}

std::optional<queued_call> target_scheduler::TakeNext(time_point now) {
  limit_->Advance(now);
  if (running_.size() >= static_cast<size_t>(limit_->Limit()) ||
      !cold_limiter_.CanAcquire(now) || !named_limiter_.CanAcquire(now))
    return std::nullopt;
  // Half of the average latency leaves room for calls that are faster than
  // most.
  std::optional<queued_call> next = queue_->Pop(now, limit_->Latency() / 2);
  if (next) {
    cold_limiter_.TryAcquire(now);
    named_limiter_.TryAcquire(now);
    const int running = static_cast<int>(running_.size()) + 1;
    running_[next->id] = {now, running};
    limit_->OnStarted(next->id, next->kind, running, now);
  }
  return next;
}

std::vector<refused_call> target_scheduler::TakeRefused(time_point now) {
  std::vector<refused_call> refused = queue_->TakeRefused(now);
  for (refused_call& each : refused)
    each.why = RefusalReason(each.why);
  return refused;
}

void target_scheduler::OnFinished(const request_id& id,
                                  call_outcome result,
                                  time_point now,
                                  duration child_call_wait) {
  const auto found = running_.find(id);
  if (found == running_.end())
    return;
  limit_sample sample;
  sample.id = id;
  sample.result = result;
  sample.started = found->second.started;
  sample.latency =
      std::max(now - sample.started - child_call_wait, duration::zero());
  sample.running = found->second.running;
  if (result == call_outcome::kSuccess) {
    const duration run_time = now - sample.started;
    average_run_time_ =
        average_run_time_ == duration::zero()
            ? run_time
            : average_run_time_ +
                  (run_time - average_run_time_) / kAveragedRuns;
  }
  running_.erase(found);
  limit_->OnFinished(sample, now);
  UpdateQueueOptions();
}

bool target_scheduler::Remove(const request_id& id) {
  return queue_->Remove(id);
}

std::vector<request_id> target_scheduler::RemoveAll() {
  return queue_->RemoveAll();
}

void target_scheduler::ResetCold(time_point now) {
  limit_->ResetCold(now);
  UpdateQueueOptions();
}

void target_scheduler::OnConnectionLost(time_point now) {
  limit_->OnConnectionLost(now);
  UpdateQueueOptions();
}

void target_scheduler::OnUnknownChildCall(time_point now) {
  limit_->HoldAtMaximum(now + kUnknownChildCallTime, now);
}

void target_scheduler::UpdateSettings(const service_config& settings) {
  settings_ = settings;
  cold_limiter_.SetRate(settings.cold_per_second);
  limit_->Update(LimitOptions(settings));
  UpdateQueueOptions();
}

std::optional<time_point> target_scheduler::NextWakeup(time_point now) const {
  const std::optional<time_point> expiry = queue_->NextExpiry();
  if (!expiry || running_.size() >= static_cast<size_t>(limit_->Limit()))
    return expiry;
  // A call needs both rates.
  const time_point available =
      std::max(cold_limiter_.NextAvailableAt(now).value_or(now),
               named_limiter_.NextAvailableAt(now).value_or(now));
  return available > now ? std::min(*expiry, available) : *expiry;
}

duration target_scheduler::ExpectedTime(time_point now) const {
  const duration run_time = limit_->RunTime(now);
  if (run_time == duration::zero())
    return run_time;
  // Calls that must end before a new one starts.
  const auto ahead = static_cast<double>(running_.size() + queue_->size()) + 1 -
                     limit_->Limit();
  if (ahead <= 0)
    return run_time;
  const std::chrono::duration<double> wait = run_time * ahead / limit_->Limit();
  return run_time + std::chrono::duration_cast<duration>(wait);
}

double target_scheduler::Speed(time_point now) const {
  const std::chrono::duration<double> run_time = limit_->RunTime(now);
  return run_time.count() > 0 ? limit_->Limit() / run_time.count() : 0;
}

uint32_t target_scheduler::LoadPermille(time_point now) const {
  const size_t used = running_.size() + queue_->size();
  const auto slot_load =
      static_cast<uint32_t>(used * 1000 / static_cast<size_t>(limit_->Limit()));
  const double rate_load =
      queue_->size() > 0
          ? named_limiter_.Backlog(queue_->size(), kQueueDrainTime, now)
          : named_limiter_.UsedShare(now);
  return std::max(slot_load, static_cast<uint32_t>(rate_load * 1000));
}

uint32_t target_scheduler::PressurePermille(time_point now) const {
  const double named_load =
      named_limiter_.Backlog(queue_->size(), kQueueDrainTime, now);
  const double load =
      IsCold(now) ? cold_limiter_.Backlog(queue_->size(), kQueueDrainTime, now)
                  : SlotLoad();
  return static_cast<uint32_t>(std::max(load, named_load) * 1000);
}

double target_scheduler::SlotLoad() const {
  // Before the first run ends, a waiting call counts as much as a running one.
  const double drain_seconds =
      std::chrono::duration<double>(kQueueDrainTime).count();
  const double run_seconds =
      average_run_time_ == duration::zero()
          ? drain_seconds
          : std::chrono::duration<double>(average_run_time_).count();
  // After the limit has fallen, as at a stalled target, more calls than it are
  // in progress. They don't load the service more than a full target does.
  const auto running =
      std::min<double>(static_cast<double>(running_.size()), limit_->Limit());
  return (running +
          static_cast<double>(queue_->size()) * run_seconds / drain_seconds) /
         limit_->Limit();
}

}  // namespace skylarkhoist
