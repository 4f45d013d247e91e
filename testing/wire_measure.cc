#include <sys/resource.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "kernel/event_loop.h"
#include "testing/measurement.h"
#include "testing/run_until.h"
#include "wire/http_server.h"
#include "wire/http_target_client.h"
#include "wire/tcp_transport.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

// Calls that are open at the same time, and the size of each body.
constexpr uint64_t kOpenCalls = 64;
constexpr size_t kBodyBytes = 500;

duration CpuTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto micros =
      (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * int64_t{1'000'000} +
      usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
  return std::chrono::microseconds(micros);
}

// Latencies of a closed loop of calls, and what the process spent on them. Both
// ends of each call run in this process on one thread.
class call_figures {
 public:
  explicit call_figures(const loop& clock)
      : clock_(clock), started_(clock.Now()), cpu_(CpuTime()) {}

  void Add(duration latency) { latencies_.push_back(latency); }

  json Result(const std::string& part) {
    const duration elapsed = clock_.Now() - started_;
    const duration cpu = CpuTime() - cpu_;
    std::sort(latencies_.begin(), latencies_.end());
    const auto count = static_cast<double>(latencies_.size());
    return {{"measurement", "wire"},
            {"part", part},
            {"calls", latencies_.size()},
            {"calls_per_second",
             count / std::chrono::duration<double>(elapsed).count()},
            {"cpu_us_per_call",
             std::chrono::duration<double, std::micro>(cpu).count() / count},
            {"p50_ms", Quantile(0.5)},
            {"p99_ms", Quantile(0.99)}};
  }

 private:
  double Quantile(double share) const {
    if (latencies_.empty())
      return 0;
    const auto index =
        static_cast<size_t>(share * static_cast<double>(latencies_.size() - 1));
    return std::chrono::duration<double, std::milli>(latencies_[index]).count();
  }

  const loop& clock_;
  time_point started_;
  duration cpu_;
  std::vector<duration> latencies_;
};

struct link_end : peer_observer {
  std::function<void(const peer_info&, const fbs::envelopeT&)> handle;

  void OnPeerMessage(const peer_info& from,
                     const fbs::envelopeT& message) override {
    if (message.body.Asheartbeat() == nullptr)
      handle(from, message);
  }
  void OnLinkUp(const peer_info& /*peer*/) override {}
  void OnLinkDown(const peer_info& /*peer*/,
                  link_down_cause /*cause*/) override {}
  fbs::heartbeatT MakeHeartbeat() override { return {}; }
};

std::unique_ptr<tcp_transport> StartEnd(event_loop* loop,
                                        metrics* counters,
                                        uint64_t incarnation,
                                        link_end* observer) {
  tcp_transport_settings settings;
  settings.listen_address = "127.0.0.1:0";
  settings.hello.cluster = "measure";
  settings.hello.incarnation = incarnation;
  auto end = std::make_unique<tcp_transport>(loop, settings, counters);
  end->Start(observer);
  if (!end->Listen())
    std::abort();
  return end;
}

// One peer link: call_request there, call_answer with the same body back.
json MeasureLink(duration time) {
  event_loop loop;
  metrics counters;
  link_end caller;
  link_end callee;
  const auto caller_end = StartEnd(&loop, &counters, 1, &caller);
  const auto callee_end = StartEnd(&loop, &counters, 2, &callee);
  callee.handle = [&](const peer_info& from, const fbs::envelopeT& message) {
    const auto* request = message.body.Ascall_request();
    fbs::call_answerT answer;
    answer.id = std::make_unique<fbs::request_id>(*request->id);
    answer.body = request->body;
    callee_end->Send(from.address, Envelope(std::move(answer)));
  };
  std::vector<time_point> sent;
  const auto call = [&] {
    fbs::call_requestT request;
    request.id = std::make_unique<fbs::request_id>(1, sent.size());
    request.service = "bookings";
    request.customer = "customer";
    request.method = "POST";
    request.path = "/bookings/1";
    request.body.assign(kBodyBytes, 'x');
    sent.push_back(loop.Now());
    caller_end->Send(callee_end->listen_address(),
                     Envelope(std::move(request)));
  };
  call_figures figures(loop);
  caller.handle = [&](const peer_info&, const fbs::envelopeT& message) {
    figures.Add(loop.Now() -
                sent[message.body.Ascall_answer()->id->sequence()]);
    call();
  };
  for (uint64_t count = 0; count < kOpenCalls; ++count)
    call();
  RunFor(loop, time);
  return figures.Result("peer_link");
}

// One HTTP call through http_target_client to an http_server.
json MeasureHttp(duration time) {
  event_loop loop;
  metrics counters;
  http_server_settings settings;
  settings.listen_address = "127.0.0.1:0";
  settings.name = "measure";
  http_server server(
      &loop, settings,
      [](const http_request& request, const auto& exchange) {
        http_response response;
        response.status = 200;
        response.body = request.body;
        exchange->Respond(response);
      },
      &counters);
  if (!server.Listen())
    std::abort();
  http_target_client client(&loop, {}, &counters);
  http_request request;
  request.method = "POST";
  request.path = "/bookings/1";
  request.body.assign(kBodyBytes, 'x');
  call_figures figures(loop);
  std::function<void()> call = [&] {
    const time_point sent = loop.Now();
    client.Call(server.listen_address(), request, std::chrono::seconds(5),
                [&, sent](const target_result& result) {
                  if (result.error != target_error::kNone)
                    std::abort();
                  figures.Add(loop.Now() - sent);
                  call();
                });
  };
  for (uint64_t count = 0; count < kOpenCalls; ++count)
    call();
  RunFor(loop, time);
  return figures.Result("http");
}

// Cost of the wire layer alone. The stated aim is 20,000 calls a second per
// node.
class wire_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    const auto time = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(5.0 * options.scale));
    return {MeasureLink(time), MeasureHttp(time)};
  }
};

const measurement_registry::entry kWire("wire", [] {
  return std::make_unique<wire_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
