#include "testing/soak_worker.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

#include "kernel/json.h"

namespace skylarkhoist {
namespace {

constexpr int kStatusMisdirectedRequest = 421;
// A run takes this time or two, three or four times as long.
constexpr duration kMinRunTime = std::chrono::milliseconds(5);
constexpr size_t kBodyPaddingBytes = 600;

constexpr char kHeartbeatCall[] = "/rpc?call=instances.heartbeat&of=";
constexpr char kDeregisterCall[] = "/rpc?call=instances.deregister&of=";
// A call without a response by then counts as failed.
constexpr duration kCallTimeout = std::chrono::seconds(1);
// A late report is delayed by this time or up to four times as long.
constexpr duration kMinReportDelay = std::chrono::milliseconds(800);

http_server_settings ServerSettings(const soak_worker_settings& worker) {
  http_server_settings settings;
  settings.listen_address = worker.listen_address;
  settings.max_body_bytes = worker.max_body_bytes;
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
          ServerSettings(settings_),
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
  return "answer to " + id + " " + std::string(kBodyPaddingBytes, '.') + " end";
}

std::string soak_worker::SignatureFor(const std::string& id) {
  return "signed-" + id;
}

void soak_worker::StartReports() {
  SendReport();
}

void soak_worker::Restart() {
  ++run_;
  report_sequence_ = 0;
  limit_.reset();
  leaving_ = false;
  deregistered_ = false;
}

void soak_worker::Deregister(std::function<void(bool confirmed)> done) {
  deregistered_ = true;
  for (int i = 0; i < 2; ++i) {
    const duration delay =
        kMinReportDelay + kMinReportDelay * random_->Below(4);
    loop_->RunAfter(delay, [this, alive = std::weak_ptr<bool>(alive_),
                            report = MakeReport()] {
      if (!alive.expired())
        Call(kHeartbeatCall + settings_.id, report, [](bool) {});
    });
  }
  Call(kDeregisterCall + settings_.id, json{{"born", run_}}.dump(),
       std::move(done));
}

void soak_worker::SendStrayReport() {
  Call(kHeartbeatCall + std::string("\xff\xfe"),
       R"({"service":"other","address":"127.0.0.1:9","zone":"z",)"
       R"("version":"v1","slots":4,"state":"draining",)"
       R"("coldRemainingMs":0,"seq":4,"born":5})",
       [](bool) {});
}

std::string soak_worker::MakeReport() {
  return json{{"service", settings_.service},
              {"address", settings_.public_address},
              {"zone", settings_.zone},
              {"version", "v1"},
              {"slots", settings_.slots},
              {"state", "ready"},
              {"coldRemainingMs", 0},
              {"seq", ++report_sequence_},
              {"born", run_}}
      .dump();
}

void soak_worker::Call(const std::string& call,
                       const std::string& body,
                       std::function<void(bool ok)> done) {
  http_request request;
  request.method = "POST";
  request.path = call;
  request.headers.Add("Content-Type", "application/json");
  request.body = body;
  client_.Call(settings_.node_address, request, kCallTimeout,
               [done = std::move(done)](const target_result& result) {
                 done(result.error == target_error::kNone &&
                      result.response.status == 200);
               });
}

void soak_worker::SendReport() {
  if (!deregistered_)
    Call(kHeartbeatCall + settings_.id, MakeReport(), [](bool) {});
  report_timer_ =
      loop_->RunAfter(settings_.report_interval, [this] { SendReport(); });
}

http_response soak_worker::MakeHealth() const {
  http_response response;
  response.status = 200;
  response.headers.Add("X-Instance-Id", settings_.id);
  response.headers.Add("X-Cold-Remaining-Ms", "0");
  return response;
}

void soak_worker::Handle(const http_request& request,
                         const std::shared_ptr<http_exchange>& exchange) {
  if (request.path == kHealthPath) {
    exchange->Respond(MakeHealth());
    return;
  }
  const std::string* id = request.headers.Find("X-Request-Id");
  const std::string* target_id = request.headers.Find("X-Target-Instance");
  http_response response;
  if (id == nullptr || target_id == nullptr || *target_id != settings_.id) {
    response.status = id == nullptr ? 400 : kStatusMisdirectedRequest;
    response.headers.Add("X-Not-Executed", "1");
    if (id != nullptr)
      response.headers.Add("X-Request-Id", *id);
    exchange->Respond(response);
    return;
  }
  on_run_(request);
  response.headers.Add("X-Request-Id", *id);
  if (limit_)
    response.headers.Add("Server-Limit", std::to_string(*limit_));
  if (leaving_)
    response.headers.Add("Server-Leaving", "1");
  if (claim_not_executed_) {
    response.status = 503;
    response.headers.Add("X-Not-Executed", "1");
    exchange->Respond(response);
    return;
  }
  response.status = 200;
  response.headers.Add("X-Response-Signature", SignatureFor(*id));
  response.body = BodyFor(*id);
  const duration run_time = kMinRunTime * (1 + random_->Below(4));
  loop_->RunAfter(run_time, [this, alive = std::weak_ptr<bool>(alive_),
                             exchange, response] {
    if (alive.expired())
      return;
    http_response spoiled;
    spoiled.status = 200;
    spoiled.body = "wrong bytes.";
    if (drop_responses_)
      exchange->DropConnection();
    else
      exchange->Respond(spoil_responses_ ? spoiled : response);
  });
}

}  // namespace skylarkhoist
