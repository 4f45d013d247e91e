#include "testing/target_status_check.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users allow one and a half times the limit plus 5 requests in a window,
// counted from nodes that have known the limit for a while, and judge it once
// it has been in force for the adjustment time.
constexpr duration kWindow = seconds(4);
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5;
constexpr duration kNoticeTime = milliseconds(500);
constexpr duration kAdjustmentTime = seconds(3);
// Requests that are sent later than this must not reach a leaving worker.
constexpr duration kMaxDrainTime = seconds(2);

}  // namespace

void target_status_check::BeginLimit(double per_second, time_point now) {
  Clear();
  limit_ = per_second;
  limit_since_ = now;
}

void target_status_check::BeginDeparture() {
  Clear();
  leaving_ = true;
}

void target_status_check::Clear() {
  limit_.reset();
  leaving_ = false;
  limit_passed_on_.clear();
  departure_passed_on_.clear();
  runs_.clear();
}

void target_status_check::OnLimitPassedOn(size_t node, time_point now) {
  if (limit_)
    limit_passed_on_.try_emplace(node, now);
}

void target_status_check::OnDeparturePassedOn(size_t node, time_point now) {
  if (leaving_)
    departure_passed_on_.try_emplace(node, now);
}

void target_status_check::OnNodeExcused(size_t node) {
  limit_passed_on_.erase(node);
  departure_passed_on_.erase(node);
}

std::optional<std::string> target_status_check::OnRun(size_t node,
                                                      time_point sent_at,
                                                      time_point now) {
  const auto departure = departure_passed_on_.find(node);
  if (departure != departure_passed_on_.end() &&
      sent_at > departure->second + kMaxDrainTime)
    return "ran at a leaving worker, " +
           std::to_string(ToMilliseconds(sent_at - departure->second)) +
           " ms after its node had passed the departure on";
  const auto known = limit_passed_on_.find(node);
  if (known == limit_passed_on_.end() || sent_at < known->second + kNoticeTime)
    return std::nullopt;
  runs_.push_back(now);
  while (runs_.front() + kWindow < now)
    runs_.pop_front();
  const double allowed =
      kTolerance * *limit_ * std::chrono::duration<double>(kWindow).count() +
      kSlack;
  if (now < limit_since_ + kAdjustmentTime ||
      static_cast<double>(runs_.size()) <= allowed)
    return std::nullopt;
  return "ran as number " + std::to_string(runs_.size()) +
         " in 4 s at a worker that names a limit of " + std::to_string(*limit_);
}

}  // namespace skylarkhoist
