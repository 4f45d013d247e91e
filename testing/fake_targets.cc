#include "testing/fake_targets.h"

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

namespace skylarkhoist {
namespace {

duration Scaled(duration value, double factor) {
  return std::chrono::duration_cast<duration>(value * factor);
}

target_result Response(int status) {
  target_result result;
  result.response.status = status;
  if (status == 503)
    result.response.headers.Add("Retry-After", "1");
  return result;
}

}  // namespace

void fake_targets::Add(const std::string& address,
                       const fake_target_options& options,
                       child_call_function child) {
  target_state& target = targets_[address];
  target.options = options;
  target.child = std::move(child);
  if (options.starts_cold)
    MarkCold(target);
}

void fake_targets::MarkCold(target_state& target) {
  target.is_cold = true;
  target.cold_detectable = false;
  target.cold_since = loop_.Now();
  target.cold_successes = 0;
}

void fake_targets::SlowDown(const std::string& address,
                            double factor,
                            duration length) {
  target_state& target = targets_.at(address);
  target.slow_factor = factor;
  target.slow_until = loop_.Now() + length;
}

void fake_targets::Shed(const std::string& address, duration length) {
  targets_.at(address).shed_until = loop_.Now() + length;
}

void fake_targets::TurnCold(const std::string& address) {
  MarkCold(targets_.at(address));
}

void fake_targets::TurnCold(const std::string& address, duration cold_time) {
  targets_.at(address).cold_until = loop_.Now() + cold_time;
}

void fake_targets::SpoilHealth(const std::string& address, bool spoiled) {
  targets_.at(address).health_spoiled = spoiled;
}

int fake_targets::HealthChecks(const std::string& address) const {
  return targets_.at(address).health_checks;
}

target_result fake_targets::HealthResponse(const target_state& target) const {
  target_result result = Response(200);
  if (target.health_spoiled)
    return result;
  const duration cold_time =
      std::max(duration::zero(), target.cold_until - loop_.Now());
  result.response.headers.Add("X-Instance-Id", target.options.id);
  result.response.headers.Add("X-Cold-Remaining-Ms",
                              std::to_string(ToMilliseconds(cold_time)));
  return result;
}

void fake_targets::Crash(const std::string& address,
                         std::optional<duration> restart_time) {
  target_state& target = targets_.at(address);
  target.is_up = false;
  ++target.counters.crashes;
  std::vector<target_call_id> broken_calls;
  for (const auto& [id, call] : calls_) {
    if (call.target == &target && call.is_running)
      broken_calls.push_back(id);
  }
  for (const target_call_id id : broken_calls) {
    call_state& call = calls_.at(id);
    EndRun(call, false);
    if (call.cancel_child)
      std::exchange(call.cancel_child, nullptr)();
    loop_.Cancel(call.work_timer);
    target_result lost;
    lost.error = target_error::kConnectionLost;
    Deliver(id, lost);
  }
  loop_.Cancel(target.restart_timer);
  target.restart_timer = loop_.RunAfter(
      restart_time.value_or(target.options.restart_time), [this, &target] {
        target.is_up = true;
        MarkCold(target);
        // Nodes can tell from the refused connections that the target
        // restarted.
        target.cold_detectable = true;
      });
}

void fake_targets::RefuseConnections(const std::string& address) {
  target_state& target = targets_.at(address);
  target.is_up = false;
  loop_.Cancel(target.restart_timer);
}

bool fake_targets::IsUp(const std::string& address) const {
  return targets_.at(address).is_up;
}

bool fake_targets::IsCold(const std::string& address) const {
  return targets_.at(address).is_cold;
}

int fake_targets::running_calls(const std::string& address) const {
  return targets_.at(address).running_calls;
}

const fake_target_counters& fake_targets::counters(
    const std::string& address) const {
  return targets_.at(address).counters;
}

duration fake_targets::ServiceTime(target_state& target) {
  const fake_target_options& options = target.options;
  double factor =
      1.0 + options.service_time_spread * (2 * random_.Fraction() - 1);
  factor *= std::max(1.0, 1.0 * target.running_calls / options.slots);
  if (loop_.Now() < target.slow_until)
    factor *= target.slow_factor;
  if (target.is_cold) {
    const double time_progress =
        std::chrono::duration<double>(loop_.Now() - target.cold_since) /
        options.min_warm_up_time;
    const double success_progress =
        1.0 * target.cold_successes / std::max(options.successes_to_warm, 1);
    const double warm_progress =
        std::min({time_progress, success_progress, 1.0});
    factor *= 1 + (options.cold_slowdown - 1) * (1 - warm_progress);
  }
  return Scaled(options.service_time, factor);
}

bool fake_targets::Accepts(const target_state& target) const {
  return target.is_up && target.running_calls < target.options.max_calls &&
         loop_.Now() >= target.shed_until;
}

target_call_id fake_targets::Call(const std::string& address,
                                  const http_request& request,
                                  duration timeout,
                                  callback done) {
  const target_call_id id = next_id_++;
  call_state& call = calls_[id];
  call.address = address;
  call.request = request;
  call.done = std::move(done);
  const auto found = targets_.find(address);
  if (run_observer_ != nullptr)
    run_observer_->OnHandedOver(
        address, request, found != targets_.end() && Accepts(found->second));
  if (found == targets_.end() || !found->second.is_up) {
    target_result refused;
    refused.error = target_error::kConnectRefused;
    refused.may_have_run = false;
    Deliver(id, refused);
    return id;
  }
  target_state& target = found->second;
  call.target = &target;
  if (request.path == "/health" && !target.options.id.empty()) {
    ++target.health_checks;
    Deliver(id, HealthResponse(target));
    return id;
  }
  if (request.path == "/health") {
    const bool healthy =
        target.options.health == fake_health::kAccurate
            ? !target.is_cold && target.running_calls <= target.options.slots
            : target.options.health == fake_health::kAlwaysHealthy;
    Deliver(id, Response(healthy ? 200 : 503));
    return id;
  }
  if (!Accepts(target)) {
    ++target.counters.shed;
    Deliver(id, Response(503));
    return id;
  }
  ++target.counters.runs;
  ++target.running_calls;
  target.counters.peak_calls =
      std::max(target.counters.peak_calls, target.running_calls);
  call.is_running = true;
  call.started = loop_.Now();
  if (run_observer_ != nullptr) {
    call.body = "run " + std::to_string(++run_count_) + " of " + request.body;
    run_observer_->OnRunStarted(address, request);
  }
  call.timeout_timer = loop_.RunAfter(
      timeout, [this, id] { OnTimeout(id, target_error::kTimeout); });
  call.work_timer =
      loop_.RunAfter(ServiceTime(target), [this, id] { OnWorkDone(id); });
  if (target.is_cold) {
    target.counters.peak_cold_calls =
        std::max(target.counters.peak_cold_calls, target.running_calls);
    if (target.running_calls > target.options.cold_capacity) {
      ++target.counters.cold_overloads;
      if (target.cold_detectable)
        ++target.counters.detectable_cold_overloads;
      Crash(address);
      return id;
    }
  }
  if (request.body.find(target.options.crash_marker) != std::string::npos) {
    Crash(address);
    return id;
  }
  const std::string* deadline = request.headers.Find("Skylark-Deadline-Ms");
  if (target.options.accepts_cancellation && deadline != nullptr) {
    const std::chrono::milliseconds time_left(std::atoll(deadline->c_str()));
    if (time_left < timeout) {
      loop_.Cancel(call.timeout_timer);
      call.timeout_timer =
          loop_.RunAfter(time_left, [this, id] { Finish(id, 504); });
    }
  }
  return id;
}

void fake_targets::Deliver(target_call_id id, const target_result& result) {
  call_state& call = calls_.at(id);
  loop_.Cancel(call.timeout_timer);
  // Stored as the work timer, so that Cancel drops it too.
  call.work_timer = loop_.RunAfter(duration::zero(), [this, id, result] {
    const auto found = calls_.find(id);
    const callback done = std::move(found->second.done);
    calls_.erase(found);
    if (done)
      done(result);
  });
}

void fake_targets::OnWorkDone(target_call_id id) {
  call_state& call = calls_.at(id);
  if (!call.target->child) {
    Finish(id, 200);
    return;
  }
  call.child_started = loop_.Now();
  call.cancel_child =
      call.target->child(call.address, call.request, [this, id](int status) {
        const auto found = calls_.find(id);
        if (found == calls_.end() || !found->second.is_running)
          return;
        found->second.cancel_child = nullptr;
        Finish(id, status < 300 ? 200 : 502);
      });
}

void fake_targets::Finish(target_call_id id, int status) {
  call_state& call = calls_.at(id);
  EndRun(call, status == 200);
  if (call.cancel_child)
    std::exchange(call.cancel_child, nullptr)();
  loop_.Cancel(call.work_timer);
  target_result result = Response(status);
  result.response.body = call.body;
  if (const std::string* id = call.request.headers.Find("X-Request-Id"))
    result.response.headers.Add("X-Request-Id", *id);
  result.response.headers.Add("X-Response-Signature", "signed");
  if (call.target->replacement)
    result.response = *call.target->replacement;
  for (const auto& [name, value] : call.target->response_fields)
    result.response.headers.Add(name, value);
  Deliver(id, result);
}

void fake_targets::ReplaceResponses(const std::string& address,
                                    std::optional<http_response> response) {
  targets_.at(address).replacement = std::move(response);
}

void fake_targets::SetResponseField(const std::string& address,
                                    const std::string& name,
                                    const std::string& value) {
  std::map<std::string, std::string>& fields =
      targets_.at(address).response_fields;
  if (value.empty())
    fields.erase(name);
  else
    fields[name] = value;
}

void fake_targets::EndRun(call_state& call, bool succeeded) {
  target_state& target = *call.target;
  call.is_running = false;
  if (run_observer_ != nullptr)
    run_observer_->OnRunEnded(call.address, call.request, call.body);
  --target.running_calls;
  const bool useful = succeeded && call.done;
  if (call.child_started != time_point())
    call.child_time = loop_.Now() - call.child_started;
  const duration run_time = loop_.Now() - call.started - call.child_time;
  target.counters.run_time += run_time;
  if (!useful)
    target.counters.wasted_run_time += run_time;
  if (succeeded)
    ++target.counters.succeeded;
  if (target.is_cold && call.started >= target.cold_since) {
    target.cold_detectable = true;
    if (succeeded)
      ++target.cold_successes;
    if (target.cold_successes >= target.options.successes_to_warm &&
        loop_.Now() - target.cold_since >= target.options.min_warm_up_time)
      target.is_cold = false;
  }
  if (run_time_observer_)
    run_time_observer_(call.request, run_time, useful);
}

void fake_targets::OnTimeout(target_call_id id, target_error error) {
  call_state& call = calls_.at(id);
  target_result result;
  result.error = error;
  const callback done = std::move(call.done);
  call.done = nullptr;
  Cancel(id);
  if (done)
    done(result);
}

void fake_targets::Cancel(target_call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  call_state& call = found->second;
  call.done = nullptr;
  loop_.Cancel(call.timeout_timer);
  call.timeout_timer = 0;
  if (!call.is_running) {
    loop_.Cancel(call.work_timer);
    calls_.erase(found);
    return;
  }
  if (!call.target->options.accepts_cancellation)
    return;
  EndRun(call, false);
  if (call.cancel_child)
    std::exchange(call.cancel_child, nullptr)();
  loop_.Cancel(call.work_timer);
  calls_.erase(found);
}

}  // namespace skylarkhoist
