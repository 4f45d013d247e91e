#include "testing/target_stand_in.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "kernel/json.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

constexpr auto kLeavePollInterval = milliseconds(20);
constexpr int kExitOnBodyStatus = 3;

http_server_settings ServerSettings(const target_stand_in_settings& settings) {
  http_server_settings result;
  result.listen_address = settings.listen_address;
  result.name = "target";
  return result;
}

http_response JsonResponse(int status, const json& body) {
  http_response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  // Replaces invalid UTF-8, since a request body in the JSON need not be UTF-8.
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

}  // namespace

target_stand_in::target_stand_in(event_loop* loop,
                                 target_stand_in_settings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      client_(loop, {}, &metrics_),
      cold_calls_left_(settings_.cold_calls),
      server_(
          loop,
          ServerSettings(settings_),
          [this](const http_request& request, const auto& exchange) {
            Handle(request, exchange);
          },
          &metrics_) {}

target_stand_in::~target_stand_in() {
  loop_->Cancel(announce_timer_);
  for (const auto& [number, timer] : timers_)
    loop_->Cancel(timer);
}

tl::expected<void, findings> target_stand_in::Start() {
  auto listening = server_.Listen();
  if (listening && !settings_.node_address.empty())
    Announce();
  return listening;
}

void target_stand_in::Announce() {
  http_request request;
  request.method = "POST";
  request.path = "/v1/targets";
  request.headers.Add("Content-Type", "application/json");
  request.body = json{{"service", settings_.service},
                      {"address", listen_address()},
                      {"state", leaving_ ? "leaving" : "serving"}}
                     .dump();
  client_.Call(settings_.node_address, request, settings_.announce_interval,
               [](const target_result&) {});
  loop_->Cancel(announce_timer_);
  announce_timer_ =
      loop_->RunAfter(settings_.announce_interval, [this] { Announce(); });
}

void target_stand_in::Leave(std::function<void()> done) {
  if (leaving_)
    return;
  leaving_ = true;
  on_left_ = std::move(done);
  earliest_end_ = loop_->Now() + settings_.min_leave_time;
  if (!settings_.node_address.empty())
    Announce();
  FinishLeaveWhenIdle();
}

void target_stand_in::FinishLeaveWhenIdle() {
  if (running_calls_ == 0 && server_.open_exchanges() == 0 &&
      loop_->Now() >= earliest_end_) {
    server_.StopAccepting();
    on_left_();
    return;
  }
  Schedule(kLeavePollInterval, [this] { FinishLeaveWhenIdle(); });
}

uint64_t target_stand_in::Schedule(duration delay,
                                   std::function<void()> action) {
  const uint64_t number = next_timer_number_++;
  timers_[number] =
      loop_->RunAfter(delay, [this, number, action = std::move(action)] {
        timers_.erase(number);
        action();
      });
  return number;
}

bool target_stand_in::HandleAdmin(const http_request& request,
                                  const exchange_pointer& exchange) {
  if (request.path == "/stand-in/state") {
    exchange->Respond(JsonResponse(200, {{"run", calls_started_},
                                         {"running", running_calls_},
                                         {"most_running", peak_running_calls_},
                                         {"shed", calls_shed_},
                                         {"cold", cold()}}));
    return true;
  }
  if (request.path != "/stand-in/settings")
    return false;
  try {
    const json body = json::parse(request.body);
    settings_.slots = body.value("slots", settings_.slots);
    settings_.service_time = milliseconds(
        body.value("service_time_ms", ToMilliseconds(settings_.service_time)));
    if (body.value("cold", false))
      cold_calls_left_ = settings_.cold_calls;
    exchange->Respond(JsonResponse(200, json::object()));
  } catch (const json::exception&) {
    exchange->Respond(JsonResponse(400, {{"error", "not valid settings"}}));
  }
  return true;
}

void target_stand_in::Handle(const http_request& request,
                             const exchange_pointer& exchange) {
  if (HandleAdmin(request, exchange))
    return;
  if (!settings_.exit_on_body.empty() &&
      request.body.find(settings_.exit_on_body) != std::string::npos) {
    if (!exit_handler_)
      _exit(kExitOnBodyStatus);
    exit_handler_();
    exchange->DropConnection();
    return;
  }
  const bool is_cold = cold();
  if (running_calls_ >= (is_cold ? settings_.cold_slots : settings_.slots)) {
    ++calls_shed_;
    exchange->Respond(JsonResponse(503, {{"error", "all slots are in use"}}));
    return;
  }
  const uint64_t call_number = ++calls_started_;
  ++running_calls_;
  peak_running_calls_ = std::max(peak_running_calls_, running_calls_);
  Schedule(is_cold ? settings_.cold_service_time : settings_.service_time,
           [this, request, call_number, exchange] {
             if (settings_.child_path.empty())
               FinishCall(request, call_number, exchange, nullptr);
             else
               CallChild(request, call_number, exchange);
           });
}

void target_stand_in::CallChild(const http_request& request,
                                uint64_t call_number,
                                const exchange_pointer& exchange) {
  http_request child;
  child.method = settings_.child_method;
  child.path = settings_.child_path;
  for (const char* name :
       {"Skylark-Context", "Skylark-Deadline-Ms", "Idempotency-Key"}) {
    if (const std::string* value = request.headers.Find(name))
      child.headers.Add(name, *value);
  }
  if (child.method != "GET")
    child.body = request.body;
  client_.Call(
      settings_.node_address, child, settings_.child_timeout,
      [this, request, call_number, exchange](const target_result& result) {
        FinishCall(request, call_number, exchange, &result);
      });
}

void target_stand_in::FinishCall(const http_request& request,
                                 uint64_t call_number,
                                 const exchange_pointer& exchange,
                                 const target_result* child) {
  --running_calls_;
  if (cold())
    --cold_calls_left_;
  json body{{"service", settings_.service},
            {"method", request.method},
            {"path", request.path},
            {"body", request.body},
            {"run", call_number}};
  int status = 200;
  if (child != nullptr) {
    const http_response& child_response = child->response;
    body["child"] = {{"status", child_response.status},
                     {"body", child_response.body}};
    if (const std::string* reason =
            child_response.headers.Find("Skylark-Reason"))
      body["child"]["reason"] = *reason;
    if (child->error != target_error::kNone || child_response.status >= 400)
      status = 502;
  }
  exchange->Respond(JsonResponse(status, body));
}

}  // namespace skylarkhoist
