#include <event2/event.h>
#include <netinet/in.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "cli/node_process.h"
#include "decisions/api_key.h"
#include "decisions/config_fold.h"
#include "testing/deployments.h"
#include "testing/log_stand_in.h"
#include "testing/measurement.h"
#include "testing/run_until.h"
#include "testing/target_stand_in.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The stated target for the added latency at p99.
constexpr double kMaxAddedP99Ms = 1.2;
constexpr double kLowRate = 330;
// Calls to the target itself and through the nodes alternate in parts of this
// length, so that noise of the machine meets both alike.
constexpr duration kPart = milliseconds(500);
constexpr duration kServiceTime = milliseconds(2);
constexpr size_t kBodyBytes = 500;
// A rate is borne when this share of its calls is answered by the target and
// the median is at most this many times that of direct calls at 330 a second.
constexpr double kMinAnswered = 0.999;
constexpr double kMaxMedianFactor = 2;
// Bounds the open calls of the load generator.
constexpr size_t kMaxOpenCalls = 4000;

// A port that was free a moment ago. Settings of nodes name their ports, since
// peers and targets must know them.
std::string FreeAddress() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (fd < 0 || bind(fd, generic, length) != 0 ||
      getsockname(fd, generic, &length) != 0)
    std::abort();
  close(fd);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

double ThreadCpuSeconds(pthread_t thread) {
  clockid_t clock{};
  timespec used{};
  if (pthread_getcpuclockid(thread, &clock) != 0 ||
      clock_gettime(clock, &used) != 0)
    std::abort();
  return static_cast<double>(used.tv_sec) +
         static_cast<double>(used.tv_nsec) * 1e-9;
}

// A part of the fleet on a thread and an event loop of its own.
class loop_thread {
 public:
  // `body` builds its objects, sets `running` to the loop and runs it.
  explicit loop_thread(std::function<void(loop_thread*)> body)
      : thread_([this, body = std::move(body)] { body(this); }) {
    while (!ready_)
      std::this_thread::sleep_for(milliseconds(1));
  }
  ~loop_thread() {
    stop_ = true;
    thread_.join();
  }
  loop_thread(const loop_thread&) = delete;
  loop_thread& operator=(const loop_thread&) = delete;

  // Runs `loop` until this object is destroyed.
  void RunLoop(event_loop& loop) {
    ready_ = true;
    while (!stop_)
      RunFor(loop, milliseconds(100));
  }

  double CpuSeconds() { return ThreadCpuSeconds(thread_.native_handle()); }

 private:
  std::atomic<bool> ready_{false};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

// Log, target, the node beside it and the node that callers use.
class small_fleet {
 public:
  small_fleet() {
    log_address_ = FreeAddress();
    target_address_ = FreeAddress();
    log_ = std::make_unique<loop_thread>([this](loop_thread* self) {
      event_loop loop;
      log_stand_in_settings settings;
      settings.listen_address = log_address_;
      log_stand_in log(&loop, settings);
      if (!log.Listen())
        std::abort();
      self->RunLoop(loop);
    });
    for (int i = 0; i < 2; ++i) {
      settings_[i].node = "node-" + std::to_string(i);
      settings_[i].cluster = "measure";
      settings_[i].zone = "zone-0";
      settings_[i].public_address = FreeAddress();
      settings_[i].local_address = FreeAddress();
      settings_[i].peer_address = FreeAddress();
      settings_[i].log_address = log_address_;
      settings_[i].seed_peers = {settings_[0].peer_address};
    }
    for (int i = 0; i < 2; ++i) {
      nodes_[i] = std::make_unique<loop_thread>([this, i](loop_thread* self) {
        node_process process(settings_[i]);
        if (!process.Listen())
          std::abort();
        self->RunLoop(process.run_loop());
      });
    }
    target_ = std::make_unique<loop_thread>([this](loop_thread* self) {
      event_loop loop;
      target_stand_in_settings settings;
      settings.listen_address = target_address_;
      settings.service = "bookings";
      settings.node_address = settings_[1].local_address;
      settings.slots = 2000;
      settings.service_time = kServiceTime;
      target_stand_in target(&loop, settings);
      if (!target.Start())
        std::abort();
      self->RunLoop(loop);
    });
  }

  const std::string& target_address() const { return target_address_; }
  const std::string& entry_address() const {
    return settings_[0].public_address;
  }
  const std::string& log_address() const { return log_address_; }
  const std::string& stream() const { return settings_[0].log_stream; }
  double EntryCpu() { return nodes_[0]->CpuSeconds(); }
  double ExecutorCpu() { return nodes_[1]->CpuSeconds(); }
  double TargetCpu() { return target_->CpuSeconds(); }

 private:
  std::string log_address_;
  std::string target_address_;
  node_settings settings_[2];
  std::unique_ptr<loop_thread> log_;
  std::unique_ptr<loop_thread> nodes_[2];
  std::unique_ptr<loop_thread> target_;
};

struct call_series {
  std::vector<double> ms;
  uint64_t sent = 0;
  uint64_t answered = 0;
  uint64_t not_sent = 0;
  duration length = duration::zero();
  double entry_cpu = 0;
  double executor_cpu = 0;
  double target_cpu = 0;
  double load_cpu = 0;

  double Quantile(double share) {
    if (ms.empty())
      return 0;
    const auto index =
        static_cast<std::ptrdiff_t>(share * static_cast<double>(ms.size() - 1));
    std::nth_element(ms.begin(), ms.begin() + index, ms.end());
    return ms[static_cast<size_t>(index)];
  }
  double AnsweredShare() const {
    const uint64_t due = sent + not_sent;
    return due == 0 ? 0
                    : static_cast<double>(answered) / static_cast<double>(due);
  }
};

// Open-loop load on the caller's thread. Latencies count from the time when
// the call was due, so a late load generator does not hide them.
class load_generator {
 public:
  explicit load_generator(small_fleet* fleet)
      : fleet_(fleet), client_(&loop_, {}, nullptr) {}

  event_loop& loop() { return loop_; }

  // Publishes the configuration and waits until calls go through.
  bool Prepare() {
    http_log_client_settings settings;
    settings.address = fleet_->log_address();
    settings.stream = fleet_->stream();
    http_log_client log(&loop_, settings);
    const std::string key = KeyOf(0);
    const std::string secret = key.substr(key.rfind('_') + 1);
    const std::string id = key.substr(4, key.rfind('_') - 4);
    const std::vector<std::pair<std::string, json>> changes = {
        {"/customers/acme", {{"enabled", true}, {"weight", 1}}},
        {"/rates/acme", {{"per_second", 100'000}, {"burst", 100'000}}},
        {"/keys/" + id,
         {{"customer", "acme"},
          {"secret_sha256", Sha256Hex(secret)},
          {"state", "active"}}},
        {"/services/bookings", {{"cold_capacity", 500}}},
        {"/routes/bookings",
         {{"path_prefix", "/bookings"},
          {"access", "keyed"},
          {"repeatable", true},
          {"service", "bookings"},
          {"class", "normal"}}}};
    size_t appended = 0;
    for (const auto& [path, value] : changes) {
      config_record record;
      record.id = "measure" + path;
      record.author = "measure";
      record.path = path;
      record.value = value;
      log.Append(RecordToText(record),
                 [&](const auto& result) { appended += result ? 1 : 0; });
    }
    if (!RunUntil(loop_, [&] { return appended == changes.size(); }))
      return false;
    const time_point end = loop_.Now() + seconds(30);
    while (loop_.Now() < end) {
      call_series probe;
      RunPart(true, 20, milliseconds(500), &probe);
      if (probe.sent > 0 && probe.answered == probe.sent)
        return true;
    }
    return false;
  }

  // Sends `rate` calls a second for `length` and waits for their answers.
  void RunPart(bool through_nodes,
               double rate,
               duration length,
               call_series* series) {
    http_request request =
        MakeRequest("POST", "/bookings/1", through_nodes ? KeyOf(0) : "",
                    std::string(kBodyBytes, 'x'));
    const std::string& address =
        through_nodes ? fleet_->entry_address() : fleet_->target_address();
    const double entry_cpu = fleet_->EntryCpu();
    const double executor_cpu = fleet_->ExecutorCpu();
    const double target_cpu = fleet_->TargetCpu();
    const double load_cpu = ThreadCpuSeconds(pthread_self());
    const time_point start = loop_.Now();
    const auto total = static_cast<uint64_t>(
        rate * std::chrono::duration<double>(length).count());
    uint64_t next = 0;
    size_t open = 0;
    while (next < total || open > 0) {
      const time_point now = loop_.Now();
      for (; next < total; ++next) {
        const time_point due =
            start +
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                static_cast<double>(next) / rate));
        if (due > now)
          break;
        if (open >= kMaxOpenCalls) {
          ++series->not_sent;
          continue;
        }
        ++open;
        ++series->sent;
        client_.Call(
            address, request, seconds(5),
            [this, series, due, &open](const target_result& result) {
              --open;
              if (result.error != target_error::kNone ||
                  result.response.status != 200)
                return;
              ++series->answered;
              series->ms.push_back(
                  std::chrono::duration<double, std::milli>(loop_.Now() - due)
                      .count());
            });
      }
      // A timer of the loop would be up to 1 ms late.
      event_base_loop(loop_.base(), EVLOOP_NONBLOCK);
      std::this_thread::sleep_for(std::chrono::microseconds(20));
    }
    series->length += loop_.Now() - start;
    series->entry_cpu += fleet_->EntryCpu() - entry_cpu;
    series->executor_cpu += fleet_->ExecutorCpu() - executor_cpu;
    series->target_cpu += fleet_->TargetCpu() - target_cpu;
    series->load_cpu += ThreadCpuSeconds(pthread_self()) - load_cpu;
  }

 private:
  small_fleet* fleet_;
  event_loop loop_;
  http_target_client client_;
};

// Added latency of a call through two nodes, against calls to the same target,
// and the processor time of both nodes.
class latency_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    small_fleet fleet;
    load_generator load(&fleet);
    if (!load.Prepare()) {
      return {{{"measurement", "latency"},
               {"error", "no call was answered through the nodes"}}};
    }
    const auto parts = std::max(2, static_cast<int>(20 * options.scale));
    std::vector<json> lines;
    lines.push_back(Compare(&load, "330_per_second", kLowRate, parts));
    json steps = json::array();
    const double max_median =
        kMaxMedianFactor * lines[0]["direct_p50_ms"].get<double>();
    const double highest = FindHighestRate(&load, max_median, &steps);
    lines.push_back({{"measurement", "latency"},
                     {"part", "highest_rate"},
                     {"calls_per_second", highest},
                     {"max_median_ms", max_median},
                     {"steps", steps}});
    if (highest > 0)
      lines.push_back(Compare(&load, "highest_rate", highest, parts));
    return lines;
  }

 private:
  static json Compare(load_generator* load,
                      const char* part,
                      double rate,
                      int parts) {
    call_series direct;
    call_series through;
    // Not counted: connections and learned limits settle.
    call_series warm;
    load->RunPart(false, rate, kPart, &warm);
    load->RunPart(true, rate, kPart, &warm);
    for (int i = 0; i < parts; ++i) {
      load->RunPart(false, rate, kPart, &direct);
      load->RunPart(true, rate, kPart, &through);
    }
    const double added_p50 = through.Quantile(0.5) - direct.Quantile(0.5);
    const double added_p99 = through.Quantile(0.99) - direct.Quantile(0.99);
    const auto calls = static_cast<double>(std::max<uint64_t>(1, through.sent));
    return {{"measurement", "latency"},
            {"part", part},
            {"calls_per_second", rate},
            {"calls", through.sent},
            {"direct_answered_share", direct.AnsweredShare()},
            {"answered_share", through.AnsweredShare()},
            {"direct_p50_ms", direct.Quantile(0.5)},
            {"direct_p99_ms", direct.Quantile(0.99)},
            {"p50_ms", through.Quantile(0.5)},
            {"p99_ms", through.Quantile(0.99)},
            {"added_p50_ms", added_p50},
            {"added_p99_ms", added_p99},
            {"entry_cpu_us_per_call", through.entry_cpu / calls * 1e6},
            {"executor_cpu_us_per_call", through.executor_cpu / calls * 1e6},
            {"bound_added_p99_ms", kMaxAddedP99Ms},
            {"within_bound", added_p99 <= kMaxAddedP99Ms &&
                                 through.AnsweredShare() >= kMinAnswered}};
  }

  static bool Bears(double rate, double max_median_ms, call_series* series) {
    return rate > 0 && series->AnsweredShare() >= kMinAnswered &&
           series->Quantile(0.5) <= max_median_ms;
  }

  // Calls through the nodes and direct ones; a rate that the direct calls do
  // not bear says nothing about the nodes.
  static bool TryRate(load_generator* load,
                      double rate,
                      double max_median_ms,
                      json* steps) {
    call_series direct;
    call_series through;
    for (int i = 0; i < 4; ++i) {
      load->RunPart(false, rate, kPart, &direct);
      load->RunPart(true, rate, kPart, &through);
    }
    const bool direct_borne = Bears(rate, max_median_ms, &direct);
    const bool borne = Bears(rate, max_median_ms, &through);
    const double span = std::chrono::duration<double>(through.length).count();
    steps->push_back({{"calls_per_second", rate},
                      {"answered_share", through.AnsweredShare()},
                      {"p50_ms", through.Quantile(0.5)},
                      {"direct_p50_ms", direct.Quantile(0.5)},
                      {"entry_core_share", through.entry_cpu / span},
                      {"executor_core_share", through.executor_cpu / span},
                      {"target_core_share", through.target_cpu / span},
                      {"load_core_share", through.load_cpu / span},
                      {"direct_borne", direct_borne},
                      {"borne", borne}});
    return borne;
  }

  // Doubles the rate until it is not borne, then halves the interval.
  static double FindHighestRate(load_generator* load,
                                double max_median_ms,
                                json* steps) {
    double low = 0;
    double high = 500;
    while (high <= 32'000 && TryRate(load, high, max_median_ms, steps)) {
      low = high;
      high *= 2;
    }
    for (int i = 0; i < 3 && low > 0; ++i) {
      const double middle = (low + high) / 2;
      (TryRate(load, middle, max_median_ms, steps) ? low : high) = middle;
    }
    return low;
  }
};

const measurement_registry::entry kLatency("latency", [] {
  return std::make_unique<latency_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
