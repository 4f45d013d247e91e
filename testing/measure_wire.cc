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

constexpr uint64_t kConcurrentCalls = 64;
constexpr size_t kBodyBytes = 500;

duration ProcessCpuTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto used_us =
      (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * int64_t{1'000'000} +
      usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
  return std::chrono::microseconds(used_us);
}

// Latencies of calls in a closed loop, and the CPU time that the process spends
// on them. Caller and callee run on one thread of this process.
class closed_loop_stats {
 public:
  explicit closed_loop_stats(const loop& run_loop)
      : loop_(run_loop),
        start_(run_loop.Now()),
        cpu_at_start_(ProcessCpuTime()) {}

  void Add(duration latency) { latencies_.push_back(latency); }

  json ToJson(const std::string& part) {
    const duration elapsed = loop_.Now() - start_;
    const duration cpu = ProcessCpuTime() - cpu_at_start_;
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
  double Quantile(double quantile) const {
    if (latencies_.empty())
      return 0;
    const auto index = static_cast<size_t>(
        quantile * static_cast<double>(latencies_.size() - 1));
    return std::chrono::duration<double, std::milli>(latencies_[index]).count();
  }

  const loop& loop_;
  time_point start_;
  duration cpu_at_start_;
  std::vector<duration> latencies_;
};

// Hands all messages but heartbeats to `on_message`.
struct link_observer : peer_observer {
  std::function<void(const peer_info&, const fbs::envelopeT&)> on_message;

  void OnPeerMessage(const peer_info& from,
                     const fbs::envelopeT& message) override {
    if (message.body.Asheartbeat() == nullptr)
      on_message(from, message);
  }
  void OnLinkUp(const peer_info& /*peer*/) override {}
  void OnLinkDown(const peer_info& /*peer*/,
                  link_down_cause /*cause*/) override {}
  fbs::heartbeatT MakeHeartbeat() override { return {}; }
};

std::unique_ptr<tcp_transport> StartTransport(event_loop* loop,
                                              metrics* counters,
                                              uint64_t incarnation,
                                              link_observer* observer) {
  tcp_transport_settings settings;
  settings.listen_address = "127.0.0.1:0";
  settings.hello.cluster = "measure";
  settings.hello.incarnation = incarnation;
  auto transport = std::make_unique<tcp_transport>(loop, settings, counters);
  transport->Start(observer);
  if (!transport->Listen())
    std::abort();
  return transport;
}

// Measures calls over one peer link: the callee answers each call_request with
// a call_answer that has the same body.
json MeasurePeerLink(duration length) {
  event_loop loop;
  metrics counters;
  link_observer caller;
  link_observer callee;
  const auto caller_transport = StartTransport(&loop, &counters, 1, &caller);
  const auto callee_transport = StartTransport(&loop, &counters, 2, &callee);
  callee.on_message = [&](const peer_info& from,
                          const fbs::envelopeT& message) {
    const auto* request = message.body.Ascall_request();
    fbs::call_answerT answer;
    answer.id = std::make_unique<fbs::request_id>(*request->id);
    answer.body = request->body;
    callee_transport->Send(from.address, MakeEnvelope(std::move(answer)));
  };
  std::vector<time_point> sent_at;
  const auto start_call = [&] {
    fbs::call_requestT request;
    request.id = std::make_unique<fbs::request_id>(1, sent_at.size());
    request.service = "bookings";
    request.customer = "customer";
    request.method = "POST";
    request.path = "/bookings/1";
    request.body.assign(kBodyBytes, 'x');
    sent_at.push_back(loop.Now());
    caller_transport->Send(callee_transport->listen_address(),
                           MakeEnvelope(std::move(request)));
  };
  closed_loop_stats stats(loop);
  caller.on_message = [&](const peer_info&, const fbs::envelopeT& message) {
    stats.Add(loop.Now() -
              sent_at[message.body.Ascall_answer()->id->sequence()]);
    start_call();
  };
  for (uint64_t count = 0; count < kConcurrentCalls; ++count)
    start_call();
  RunFor(loop, length);
  return stats.ToJson("peer_link");
}

// Measures HTTP calls from an http_target_client to an http_server that echoes
// the body.
json MeasureHttp(duration length) {
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
  closed_loop_stats stats(loop);
  std::function<void()> start_call = [&] {
    const time_point sent_at = loop.Now();
    client.Call(server.listen_address(), request, std::chrono::seconds(5),
                [&, sent_at](const target_result& result) {
                  if (result.error != target_error::kNone)
                    std::abort();
                  stats.Add(loop.Now() - sent_at);
                  start_call();
                });
  };
  for (uint64_t count = 0; count < kConcurrentCalls; ++count)
    start_call();
  RunFor(loop, length);
  return stats.ToJson("http");
}

// Measures the wire layer alone. Each node must be able to handle 20,000 calls
// per second.
class wire_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    const auto length = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(5.0 * options.scale));
    return {MeasurePeerLink(length), MeasureHttp(length)};
  }
};

const measurement_registry::registration kWire("wire", [] {
  return std::make_unique<wire_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
