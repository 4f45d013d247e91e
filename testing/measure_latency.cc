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
#include "decisions/config_state.h"
#include "testing/deployments.h"
#include "testing/log_stand_in.h"
#include "testing/measurement.h"
#include "testing/run_until.h"
#include "testing/target_stand_in.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bound on the latency that two nodes add to a call, at the 99th percentile.
constexpr double kMaxAddedP99Ms = 1.2;
constexpr double kBaseRatePerSecond = 330;
// Direct calls to the target and calls through the nodes alternate in slices of
// this length, so that other load on the machine affects both alike.
constexpr duration kSliceLength = milliseconds(500);
constexpr duration kServiceTime = milliseconds(2);
constexpr size_t kBodyBytes = 500;
// A rate is sustained when the target answers at least this share of the calls
// and the median latency is at most this many times that of direct calls at
// kBaseRatePerSecond.
constexpr double kMinAnsweredShare = 0.999;
constexpr double kMaxMedianRatio = 2;
// Calls due while this many are open are not sent; they count as unanswered.
constexpr size_t kMaxOpenCalls = 4000;

// Returns a loopback address with a port that is free now. Node settings must
// name their ports in advance, since peers and targets have to know them.
std::string FreeAddress() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* generic_address = reinterpret_cast<sockaddr*>(&address);
  if (fd < 0 || bind(fd, generic_address, length) != 0 ||
      getsockname(fd, generic_address, &length) != 0)
    std::abort();
  close(fd);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

double ThreadCpuSeconds(pthread_t thread) {
  clockid_t clock{};
  timespec cpu_time{};
  if (pthread_getcpuclockid(thread, &clock) != 0 ||
      clock_gettime(clock, &cpu_time) != 0)
    std::abort();
  return static_cast<double>(cpu_time.tv_sec) +
         static_cast<double>(cpu_time.tv_nsec) * 1e-9;
}

// Runs one component of the fleet on its own thread and event loop.
class loop_thread {
 public:
  // `body` creates the component and calls RunLoop. The constructor returns
  // when the loop runs.
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

  // Called by `body`. Runs `loop` until this object is destroyed.
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

// A log, a target, the executor node beside the target and the entry node that
// callers send to, each on its own thread.
class two_node_fleet {
 public:
  two_node_fleet() {
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
      node_settings_[i].node = "node-" + std::to_string(i);
      node_settings_[i].cluster = "measure";
      node_settings_[i].zone = "zone-0";
      node_settings_[i].public_address = FreeAddress();
      node_settings_[i].local_address = FreeAddress();
      node_settings_[i].peer_address = FreeAddress();
      node_settings_[i].log_address = log_address_;
      node_settings_[i].seed_peers = {node_settings_[0].peer_address};
    }
    for (int i = 0; i < 2; ++i) {
      nodes_[i] = std::make_unique<loop_thread>([this, i](loop_thread* self) {
        node_process process(node_settings_[i]);
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
      settings.node_address = node_settings_[1].local_address;
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
    return node_settings_[0].public_address;
  }
  const std::string& log_address() const { return log_address_; }
  const std::string& stream() const { return node_settings_[0].log_stream; }
  double EntryCpuSeconds() { return nodes_[0]->CpuSeconds(); }
  double ExecutorCpuSeconds() { return nodes_[1]->CpuSeconds(); }
  double TargetCpuSeconds() { return target_->CpuSeconds(); }

 private:
  std::string log_address_;
  std::string target_address_;
  node_settings node_settings_[2];
  std::unique_ptr<loop_thread> log_;
  std::unique_ptr<loop_thread> nodes_[2];
  std::unique_ptr<loop_thread> target_;
};

struct call_stats {
  std::vector<double> latencies_ms;
  uint64_t sent = 0;
  uint64_t answered = 0;
  // Calls left out because kMaxOpenCalls were open.
  uint64_t not_sent = 0;
  duration elapsed = duration::zero();
  double entry_cpu_seconds = 0;
  double executor_cpu_seconds = 0;
  double target_cpu_seconds = 0;
  double generator_cpu_seconds = 0;

  double Quantile(double quantile) {
    if (latencies_ms.empty())
      return 0;
    const auto index = static_cast<std::ptrdiff_t>(
        quantile * static_cast<double>(latencies_ms.size() - 1));
    std::nth_element(latencies_ms.begin(), latencies_ms.begin() + index,
                     latencies_ms.end());
    return latencies_ms[static_cast<size_t>(index)];
  }
  double AnsweredShare() const {
    const uint64_t total = sent + not_sent;
    return total == 0
               ? 0
               : static_cast<double>(answered) / static_cast<double>(total);
  }
};

// Sends calls at a constant rate, however many are open, on the caller's
// thread. A latency counts from the time when the call was due, so that delays
// of the generator itself are included.
class load_generator {
 public:
  explicit load_generator(two_node_fleet* fleet)
      : fleet_(fleet), client_(&loop_, {}, nullptr) {}

  event_loop& loop() { return loop_; }

  // Publishes the configuration and waits until calls through the nodes
  // succeed. Returns false on a timeout.
  bool Prepare() {
    http_log_client_settings settings;
    settings.address = fleet_->log_address();
    settings.stream = fleet_->stream();
    http_log_client log(&loop_, settings);
    const std::string key = ApiKeyOf(0);
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
    size_t appended_count = 0;
    for (const auto& [path, value] : changes) {
      config_record record;
      record.id = "measure" + path;
      record.author = "measure";
      record.path = path;
      record.value = value;
      log.Append(RecordToText(record),
                 [&](const auto& result) { appended_count += result ? 1 : 0; });
    }
    if (!RunUntil(loop_, [&] { return appended_count == changes.size(); }))
      return false;
    const time_point deadline = loop_.Now() + seconds(30);
    while (loop_.Now() < deadline) {
      call_stats probe;
      RunSlice(true, 20, milliseconds(500), &probe);
      if (probe.sent > 0 && probe.answered == probe.sent)
        return true;
    }
    return false;
  }

  // Sends `rate` calls per second for `length`, waits for their responses and
  // adds the results to `stats`.
  void RunSlice(bool through_nodes,
                double rate,
                duration length,
                call_stats* stats) {
    http_request request =
        MakeRequest("POST", "/bookings/1", through_nodes ? ApiKeyOf(0) : "",
                    std::string(kBodyBytes, 'x'));
    const std::string& address =
        through_nodes ? fleet_->entry_address() : fleet_->target_address();
    const double entry_cpu_at_start = fleet_->EntryCpuSeconds();
    const double executor_cpu_at_start = fleet_->ExecutorCpuSeconds();
    const double target_cpu_at_start = fleet_->TargetCpuSeconds();
    const double generator_cpu_at_start = ThreadCpuSeconds(pthread_self());
    const time_point start = loop_.Now();
    const auto total_calls = static_cast<uint64_t>(
        rate * std::chrono::duration<double>(length).count());
    uint64_t next_call = 0;
    size_t open_calls = 0;
    while (next_call < total_calls || open_calls > 0) {
      const time_point now = loop_.Now();
      for (; next_call < total_calls; ++next_call) {
        const time_point due_at =
            start +
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                static_cast<double>(next_call) / rate));
        if (due_at > now)
          break;
        if (open_calls >= kMaxOpenCalls) {
          ++stats->not_sent;
          continue;
        }
        ++open_calls;
        ++stats->sent;
        client_.Call(
            address, request, seconds(5),
            [this, stats, due_at, &open_calls](const target_result& result) {
              --open_calls;
              if (result.error != target_error::kNone ||
                  result.response.status != 200)
                return;
              ++stats->answered;
              stats->latencies_ms.push_back(
                  std::chrono::duration<double, std::milli>(loop_.Now() -
                                                            due_at)
                      .count());
            });
      }
      // Polls instead of using a timer of the loop, which can be 1 ms late.
      event_base_loop(loop_.base(), EVLOOP_NONBLOCK);
      std::this_thread::sleep_for(std::chrono::microseconds(20));
    }
    stats->elapsed += loop_.Now() - start;
    stats->entry_cpu_seconds += fleet_->EntryCpuSeconds() - entry_cpu_at_start;
    stats->executor_cpu_seconds +=
        fleet_->ExecutorCpuSeconds() - executor_cpu_at_start;
    stats->target_cpu_seconds +=
        fleet_->TargetCpuSeconds() - target_cpu_at_start;
    stats->generator_cpu_seconds +=
        ThreadCpuSeconds(pthread_self()) - generator_cpu_at_start;
  }

 private:
  two_node_fleet* fleet_;
  event_loop loop_;
  http_target_client client_;
};

// Measures the latency that two nodes add to a call, compared with direct calls
// to the same target, the CPU time of both nodes for each call, and the highest
// rate that they sustain.
class latency_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    two_node_fleet fleet;
    load_generator generator(&fleet);
    if (!generator.Prepare()) {
      return {{{"measurement", "latency"},
               {"error", "no call was answered through the nodes"}}};
    }
    const auto slice_count = std::max(2, static_cast<int>(20 * options.scale));
    std::vector<json> lines;
    lines.push_back(
        Compare(&generator, "330_per_second", kBaseRatePerSecond, slice_count));
    json steps = json::array();
    const double max_median_ms =
        kMaxMedianRatio * lines[0]["direct_p50_ms"].get<double>();
    const double max_rate =
        FindMaxSustainedRate(&generator, max_median_ms, &steps);
    lines.push_back({{"measurement", "latency"},
                     {"part", "highest_rate"},
                     {"calls_per_second", max_rate},
                     {"max_median_ms", max_median_ms},
                     {"steps", steps}});
    if (max_rate > 0)
      lines.push_back(
          Compare(&generator, "highest_rate", max_rate, slice_count));
    return lines;
  }

 private:
  static json Compare(load_generator* generator,
                      const char* part_name,
                      double rate,
                      int slice_count) {
    call_stats direct;
    call_stats proxied;
    // Not counted, since connections are opened and concurrency limits adapt.
    call_stats warm_up;
    generator->RunSlice(false, rate, kSliceLength, &warm_up);
    generator->RunSlice(true, rate, kSliceLength, &warm_up);
    for (int i = 0; i < slice_count; ++i) {
      generator->RunSlice(false, rate, kSliceLength, &direct);
      generator->RunSlice(true, rate, kSliceLength, &proxied);
    }
    const double added_p50_ms = proxied.Quantile(0.5) - direct.Quantile(0.5);
    const double added_p99_ms = proxied.Quantile(0.99) - direct.Quantile(0.99);
    const auto sent_calls =
        static_cast<double>(std::max<uint64_t>(1, proxied.sent));
    return {
        {"measurement", "latency"},
        {"part", part_name},
        {"calls_per_second", rate},
        {"calls", proxied.sent},
        {"direct_answered_share", direct.AnsweredShare()},
        {"answered_share", proxied.AnsweredShare()},
        {"direct_p50_ms", direct.Quantile(0.5)},
        {"direct_p99_ms", direct.Quantile(0.99)},
        {"p50_ms", proxied.Quantile(0.5)},
        {"p99_ms", proxied.Quantile(0.99)},
        {"added_p50_ms", added_p50_ms},
        {"added_p99_ms", added_p99_ms},
        {"entry_cpu_us_per_call", proxied.entry_cpu_seconds / sent_calls * 1e6},
        {"executor_cpu_us_per_call",
         proxied.executor_cpu_seconds / sent_calls * 1e6},
        {"bound_added_p99_ms", kMaxAddedP99Ms},
        {"within_bound", added_p99_ms <= kMaxAddedP99Ms &&
                             proxied.AnsweredShare() >= kMinAnsweredShare}};
  }

  static bool Sustains(double rate, double max_median_ms, call_stats* stats) {
    return rate > 0 && stats->AnsweredShare() >= kMinAnsweredShare &&
           stats->Quantile(0.5) <= max_median_ms;
  }

  // Tries a rate with calls through the nodes and with direct calls. When the
  // direct calls do not sustain it either, the result says nothing about the
  // nodes.
  static bool TryRate(load_generator* generator,
                      double rate,
                      double max_median_ms,
                      json* steps) {
    call_stats direct;
    call_stats proxied;
    for (int i = 0; i < 4; ++i) {
      generator->RunSlice(false, rate, kSliceLength, &direct);
      generator->RunSlice(true, rate, kSliceLength, &proxied);
    }
    const bool direct_sustained = Sustains(rate, max_median_ms, &direct);
    const bool sustained = Sustains(rate, max_median_ms, &proxied);
    const double elapsed_seconds =
        std::chrono::duration<double>(proxied.elapsed).count();
    steps->push_back(
        {{"calls_per_second", rate},
         {"answered_share", proxied.AnsweredShare()},
         {"p50_ms", proxied.Quantile(0.5)},
         {"direct_p50_ms", direct.Quantile(0.5)},
         {"entry_core_share", proxied.entry_cpu_seconds / elapsed_seconds},
         {"executor_core_share",
          proxied.executor_cpu_seconds / elapsed_seconds},
         {"target_core_share", proxied.target_cpu_seconds / elapsed_seconds},
         {"load_core_share", proxied.generator_cpu_seconds / elapsed_seconds},
         {"direct_borne", direct_sustained},
         {"borne", sustained}});
    return sustained;
  }

  // Doubles the rate until it is not sustained, then bisects the last interval.
  static double FindMaxSustainedRate(load_generator* generator,
                                     double max_median_ms,
                                     json* steps) {
    double sustained_rate = 0;
    double upper_rate = 500;
    while (upper_rate <= 32'000 &&
           TryRate(generator, upper_rate, max_median_ms, steps)) {
      sustained_rate = upper_rate;
      upper_rate *= 2;
    }
    for (int i = 0; i < 3 && sustained_rate > 0; ++i) {
      const double mid_rate = (sustained_rate + upper_rate) / 2;
      (TryRate(generator, mid_rate, max_median_ms, steps) ? sustained_rate
                                                          : upper_rate) =
          mid_rate;
    }
    return sustained_rate;
  }
};

const measurement_registry::registration kLatency("latency", [] {
  return std::make_unique<latency_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
