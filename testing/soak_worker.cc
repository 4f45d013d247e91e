#include "testing/soak_worker.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

#include "kernel/json.h"

namespace skylarkhoist {
namespace {

constexpr int kMisdirected = 421;
// Runs take between this and four times as long.
constexpr duration kShortRun = std::chrono::milliseconds(5);
constexpr size_t kBodyPadding = 600;

http_server_settings ServerSettings(const std::string& address) {
  http_server_settings settings;
  settings.listen_address = address;
  settings.name = "worker";
  return settings;
}

}  // namespace

soak_worker::soak_worker(event_loop* loop,
                         soak_worker_settings settings,
                         random_source* random,
                         run_callback on_run)
    : loop_(loop),
      settings_(std::move(settings)),
      random_(random),
      on_run_(std::move(on_run)),
      client_(loop, {}, nullptr),
      server_(
          loop,
          ServerSettings(settings_.listen_address),
          [this](const http_request& request,
                 const std::shared_ptr<http_exchange>& exchange) {
            Handle(request, exchange);
          },
          &counters_) {
  if (const auto listening = server_.Listen(); !listening) {
    std::fputs(listening.error().ToText().c_str(), stderr);
    std::abort();
  }
}

soak_worker::~soak_worker() {
  loop_->Cancel(report_timer_);
}

std::string soak_worker::BodyFor(const std::string& id) {
  return "answer to " + id + " " + std::string(kBodyPadding, '.') + " end";
}

std::string soak_worker::SignatureFor(const std::string& id) {
  return "signed-" + id;
}

void soak_worker::StartReports() {
  Report();
}

void soak_worker::Report() {
  http_request report;
  report.method = "POST";
  report.path = "/rpc?call=instances.heartbeat&of=" + settings_.id;
  report.headers.Add("Content-Type", "application/json");
  report.body = json{
      {"service", settings_.service},
      {"address", settings_.public_address},
      {"zone", settings_.zone},
      {"version", "v1"},
      {"slots", settings_.slots},
      {"state", "ready"},
      {"coldRemainingMs", 0},
      {"seq", ++sequence_},
      {"born", 1}}.dump();
  client_.Call(settings_.node_address, report, settings_.report_interval,
               [](const target_result&) {});
  report_timer_ =
      loop_->RunAfter(settings_.report_interval, [this] { Report(); });
}

void soak_worker::Handle(const http_request& request,
                         const std::shared_ptr<http_exchange>& exchange) {
  const std::string* id = request.headers.Find("X-Request-Id");
  const std::string* target = request.headers.Find("X-Target-Instance");
  http_response response;
  if (id == nullptr || target == nullptr || *target != settings_.id) {
    response.status = id == nullptr ? 400 : kMisdirected;
    response.headers.Add("X-Not-Executed", "1");
    exchange->Respond(response);
    return;
  }
  on_run_(request);
  if (deny_runs_) {
    response.status = 503;
    response.headers.Add("X-Not-Executed", "1");
    exchange->Respond(response);
    return;
  }
  response.status = 200;
  response.headers.Add("X-Request-Id", *id);
  response.headers.Add("X-Response-Signature", SignatureFor(*id));
  response.body = BodyFor(*id);
  const duration run = kShortRun * (1 + random_->Below(4));
  loop_->RunAfter(
      run, [this, alive = std::weak_ptr<bool>(alive_), exchange, response] {
        if (alive.expired())
          return;
        if (lose_answers_)
          exchange->Drop();
        else
          exchange->Respond(response);
      });
}

}  // namespace skylarkhoist
