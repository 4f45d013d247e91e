#include "node/cold_check.h"

#include <utility>

namespace skylarkhoist {
namespace {

// A full target answers once a slot is free.
constexpr duration kAnswerTimeout = std::chrono::milliseconds(400);
constexpr duration kRetryDelay = std::chrono::milliseconds(100);

prometheus::Counter& CheckCounter(metrics* counters, const char* result) {
  return counters->Counter("skylarkhoist_cold_checks_total",
                           "Requests for the health of the local target",
                           {{"result", result}});
}

}  // namespace

cold_check::cold_check(loop* loop,
                       target_client* targets,
                       const request_dialect* dialect,
                       metrics* counters)
    : loop_(loop),
      targets_(targets),
      dialect_(dialect),
      answered_(CheckCounter(counters, "answered")),
      unanswered_(CheckCounter(counters, "unanswered")) {}

cold_check::~cold_check() {
  Stop();
}

void cold_check::Start(const std::string& address,
                       const std::string& id,
                       const std::string& path,
                       callback done) {
  Stop();
  address_ = address;
  id_ = id;
  path_ = path;
  done_ = std::move(done);
  Ask();
}

void cold_check::Stop() {
  if (call_ != 0)
    targets_->Cancel(std::exchange(call_, 0));
  loop_->Cancel(std::exchange(retry_timer_, 0));
}

void cold_check::Ask() {
  http_request request;
  request.method = "GET";
  request.path = path_;
  const time_point asked_at = loop_->Now();
  call_ = targets_->Call(address_, request, kAnswerTimeout,
                         [this, asked_at](const target_result& result) {
                           OnResult(asked_at, result);
                         });
}

void cold_check::OnResult(time_point asked_at, const target_result& result) {
  call_ = 0;
  const auto health = result.error == target_error::kNone
                          ? dialect_->ReadHealth(result.response)
                          : std::nullopt;
  if (health && health->target_id == id_) {
    answered_.Increment();
    // `done` may start the next check.
    const callback done = std::move(done_);
    done(asked_at, health->cold_remaining);
    return;
  }
  unanswered_.Increment();
  retry_timer_ = loop_->RunAfter(kRetryDelay, [this] {
    retry_timer_ = 0;
    Ask();
  });
}

}  // namespace skylarkhoist
