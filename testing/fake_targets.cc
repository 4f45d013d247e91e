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
                       child_call child) {
  target& added = targets_[address];
  added.options = options;
  added.child = std::move(child);
  if (options.starts_cold)
    BecomeCold(added);
}

void fake_targets::BecomeCold(target& at) {
  at.cold = true;
  at.shown_cold = false;
  at.cold_since = loop_.Now();
  at.cold_successes = 0;
}

void fake_targets::SlowDown(const std::string& address,
                            double factor,
                            duration length) {
  target& at = targets_.at(address);
  at.slow_factor = factor;
  at.slow_until = loop_.Now() + length;
}

void fake_targets::Shed(const std::string& address, duration length) {
  targets_.at(address).shed_until = loop_.Now() + length;
}

void fake_targets::TurnCold(const std::string& address) {
  BecomeCold(targets_.at(address));
}

void fake_targets::Crash(const std::string& address) {
  target& at = targets_.at(address);
  at.up = false;
  ++at.counters.crashes;
  std::vector<target_call_id> broken;
  for (const auto& [id, each] : calls_) {
    if (each.at == &at && each.in_target)
      broken.push_back(id);
  }
  for (const target_call_id id : broken) {
    call& each = calls_.at(id);
    Release(each, false);
    if (each.cancel_child)
      std::exchange(each.cancel_child, nullptr)();
    loop_.Cancel(each.work_timer);
    target_result lost;
    lost.error = target_error::kConnectionLost;
    Answer(id, lost);
  }
  loop_.Cancel(at.restart);
  at.restart = loop_.RunAfter(at.options.restart_time, [this, &at] {
    at.up = true;
    BecomeCold(at);
    // A restart is a sign in itself: connections were refused.
    at.shown_cold = true;
  });
}

void fake_targets::Close(const std::string& address) {
  target& at = targets_.at(address);
  at.up = false;
  loop_.Cancel(at.restart);
}

bool fake_targets::IsUp(const std::string& address) const {
  return targets_.at(address).up;
}

bool fake_targets::IsCold(const std::string& address) const {
  return targets_.at(address).cold;
}

int fake_targets::running(const std::string& address) const {
  return targets_.at(address).running;
}

const fake_target_counters& fake_targets::counters(
    const std::string& address) const {
  return targets_.at(address).counters;
}

duration fake_targets::ServiceTime(target& at) {
  const fake_target_options& options = at.options;
  double factor = 1.0 + options.spread * (2 * random_.Fraction() - 1);
  factor *= std::max(1.0, 1.0 * at.running / options.slots);
  if (loop_.Now() < at.slow_until)
    factor *= at.slow_factor;
  if (at.cold) {
    const double by_time =
        std::chrono::duration<double>(loop_.Now() - at.cold_since) /
        options.warm_time;
    const double by_successes =
        1.0 * at.cold_successes / std::max(options.warm_successes, 1);
    const double warmth = std::min({by_time, by_successes, 1.0});
    factor *= 1 + (options.cold_factor - 1) * (1 - warmth);
  }
  return Scaled(options.service_time, factor);
}

bool fake_targets::Takes(const target& at) const {
  return at.up && at.running < at.options.connections &&
         loop_.Now() >= at.shed_until;
}

target_call_id fake_targets::Call(const std::string& address,
                                  const http_request& request,
                                  duration timeout,
                                  callback done) {
  const target_call_id id = next_id_++;
  call& added = calls_[id];
  added.address = address;
  added.request = request;
  added.done = std::move(done);
  const auto found = targets_.find(address);
  if (run_observer_ != nullptr)
    run_observer_->OnHandedOver(
        address, request, found != targets_.end() && Takes(found->second));
  if (found == targets_.end() || !found->second.up) {
    target_result refused;
    refused.error = target_error::kConnectRefused;
    refused.may_have_run = false;
    Answer(id, refused);
    return id;
  }
  target& at = found->second;
  added.at = &at;
  if (request.path == "/health") {
    const bool good = at.options.health == fake_health::kTrue
                          ? !at.cold && at.running <= at.options.slots
                          : at.options.health == fake_health::kAlwaysGood;
    Answer(id, Response(good ? 200 : 503));
    return id;
  }
  if (!Takes(at)) {
    ++at.counters.shed;
    Answer(id, Response(503));
    return id;
  }
  ++at.counters.runs;
  ++at.running;
  at.counters.peak = std::max(at.counters.peak, at.running);
  added.in_target = true;
  added.started = loop_.Now();
  if (run_observer_ != nullptr) {
    added.body = "run " + std::to_string(++runs_) + " of " + request.body;
    run_observer_->OnRunStarted(address, request);
  }
  added.timeout_timer = loop_.RunAfter(
      timeout, [this, id] { OnTimeout(id, target_error::kTimeout); });
  added.work_timer =
      loop_.RunAfter(ServiceTime(at), [this, id] { OnWorkDone(id); });
  if (at.cold) {
    at.counters.cold_peak = std::max(at.counters.cold_peak, at.running);
    if (at.running > at.options.cold_capacity) {
      ++at.counters.cold_over;
      if (at.shown_cold)
        ++at.counters.cold_over_after_sign;
      Crash(address);
      return id;
    }
  }
  if (request.body.find(at.options.crash_mark) != std::string::npos) {
    Crash(address);
    return id;
  }
  const std::string* deadline = request.headers.Find("Skylark-Deadline-Ms");
  if (at.options.accepts_cancellation && deadline != nullptr) {
    const std::chrono::milliseconds left(std::atoll(deadline->c_str()));
    if (left < timeout) {
      loop_.Cancel(added.timeout_timer);
      added.timeout_timer =
          loop_.RunAfter(left, [this, id] { Finish(id, 504); });
    }
  }
  return id;
}

void fake_targets::Answer(target_call_id id, const target_result& result) {
  call& ended = calls_.at(id);
  loop_.Cancel(ended.timeout_timer);
  // The timer takes the place of the work timer, so that Cancel drops it.
  ended.work_timer = loop_.RunAfter(duration::zero(), [this, id, result] {
    const auto found = calls_.find(id);
    const callback done = std::move(found->second.done);
    calls_.erase(found);
    if (done)
      done(result);
  });
}

void fake_targets::OnWorkDone(target_call_id id) {
  call& each = calls_.at(id);
  if (!each.at->child) {
    Finish(id, 200);
    return;
  }
  each.child_since = loop_.Now();
  each.cancel_child =
      each.at->child(each.address, each.request, [this, id](int status) {
        const auto found = calls_.find(id);
        if (found == calls_.end() || !found->second.in_target)
          return;
        found->second.cancel_child = nullptr;
        Finish(id, status < 300 ? 200 : 502);
      });
}

void fake_targets::Finish(target_call_id id, int status) {
  call& ended = calls_.at(id);
  Release(ended, status == 200);
  if (ended.cancel_child)
    std::exchange(ended.cancel_child, nullptr)();
  loop_.Cancel(ended.work_timer);
  target_result result = Response(status);
  result.response.body = ended.body;
  Answer(id, result);
}

void fake_targets::Release(call& ended, bool succeeded) {
  target& at = *ended.at;
  ended.in_target = false;
  if (run_observer_ != nullptr)
    run_observer_->OnRunEnded(ended.address, ended.request, ended.body);
  --at.running;
  const bool useful = succeeded && ended.done;
  if (ended.child_since != time_point())
    ended.child_time = loop_.Now() - ended.child_since;
  const duration work = loop_.Now() - ended.started - ended.child_time;
  at.counters.work += work;
  if (!useful)
    at.counters.wasted += work;
  if (succeeded)
    ++at.counters.succeeded;
  if (at.cold && ended.started >= at.cold_since) {
    at.shown_cold = true;
    if (succeeded)
      ++at.cold_successes;
    if (at.cold_successes >= at.options.warm_successes &&
        loop_.Now() - at.cold_since >= at.options.warm_time)
      at.cold = false;
  }
  if (observer_)
    observer_(ended.request, work, useful);
}

void fake_targets::OnTimeout(target_call_id id, target_error error) {
  call& late = calls_.at(id);
  target_result result;
  result.error = error;
  const callback done = std::move(late.done);
  late.done = nullptr;
  Cancel(id);
  if (done)
    done(result);
}

void fake_targets::Cancel(target_call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  call& each = found->second;
  each.done = nullptr;
  loop_.Cancel(each.timeout_timer);
  each.timeout_timer = 0;
  if (!each.in_target) {
    loop_.Cancel(each.work_timer);
    calls_.erase(found);
    return;
  }
  if (!each.at->options.accepts_cancellation)
    return;
  Release(each, false);
  if (each.cancel_child)
    std::exchange(each.cancel_child, nullptr)();
  loop_.Cancel(each.work_timer);
  calls_.erase(found);
}

}  // namespace skylarkhoist
