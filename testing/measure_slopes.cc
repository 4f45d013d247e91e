#include <malloc.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

#include "kernel/event_loop.h"
#include "kernel/metrics.h"
#include "testing/deployments.h"
#include "testing/measurement.h"
#include "testing/run_until.h"
#include "wire/tcp_transport.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Size of the simulated fleet. Each slope varies one of these and leaves the
// others at their defaults.
struct fleet_dimensions {
  int nodes = 12;
  int customers = 8;
  int services = 2;
  int config_paths = 100;
};

// Cost of control (membership, configuration, rate limits and deduplication)
// for one node.
struct control_cost {
  double bytes_per_second = 0;
  double messages_per_second = 0;
  // CPU time in percent of one core, with the cost of the in-memory network.
  double core_percent = 0;
  double heap_kib = 0;
  double fleet_appends_per_second = 0;
  double fleet_log_reads_per_second = 0;
  // Longest time until a configuration change is in force on every node.
  double max_change_ms = 0;
  // By message type.
  std::map<std::string, double> bytes_per_second_by_type;
  std::map<std::string, double> messages_per_second_by_type;
};

// Time until all nodes have joined and almost every pair of nodes has a link.
// Each new link carries the full member table once, which must not be measured.
constexpr auto kSettleTime = seconds(60);
constexpr int kChangeCount = 8;
// Not a multiple of the 250 ms between log reads, so that the changes come at
// different times after a read.
constexpr auto kChangeInterval = milliseconds(1030);
constexpr auto kChangePollInterval = milliseconds(10);
constexpr auto kChangeTimeout = seconds(20);
// Heartbeat interval of MeasureLinks. Heartbeats are more frequent than in a
// node, so that their cost is measurable.
constexpr auto kLinkHeartbeatInterval = milliseconds(20);
constexpr auto kLinkMeasureTime = seconds(3);

double ProcessCpuSeconds() {
  timespec cpu_time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &cpu_time);
  return static_cast<double>(cpu_time.tv_sec) +
         static_cast<double>(cpu_time.tv_nsec) * 1e-9;
}

double AllocatedHeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

std::vector<fleet_machine> MakeMachines(const fleet_dimensions& dimensions) {
  std::vector<fleet_machine> machines;
  for (int i = 0; i < dimensions.nodes; ++i) {
    fleet_machine machine;
    machine.name = "node-" + std::to_string(i);
    machine.zone = "zone-" + std::to_string(i % 3);
    fleet_target target;
    target.service = "service-" + std::to_string(i % dimensions.services);
    target.options.starts_cold = false;
    machine.targets.push_back(target);
    machines.push_back(machine);
  }
  return machines;
}

// Links stop sending heartbeats when unused, after the same times as TCP links.
memory_network_options NetworkOptions() {
  memory_network_options options;
  options.activity = tcp_transport_settings().activity;
  return options;
}

void PublishAll(fleet* cluster, const fleet_dimensions& dimensions) {
  for (int i = 0; i < dimensions.services; ++i) {
    cluster->Publish("/services/service-" + std::to_string(i),
                     {{"cold_capacity", 8}});
  }
  for (int i = 0; i < dimensions.customers; ++i) {
    const std::string name = "customer-" + std::to_string(i);
    cluster->Publish("/customers/" + name, {{"enabled", true}});
    cluster->Publish("/rates/" + name, {{"per_second", 100}, {"burst", 200}});
  }
  const int published_paths = dimensions.services + 2 * dimensions.customers;
  for (int i = published_paths; i < dimensions.config_paths; ++i) {
    const std::string name = "route-" + std::to_string(i);
    cluster->Publish("/routes/" + name, {{"path_prefix", "/" + name},
                                         {"access", "open"},
                                         {"repeatable", true},
                                         {"service", "service-0"}});
  }
}

// Publishes a change and returns the time until it is in force on every node.
double MeasureChangeMs(fleet* cluster, const std::string& path, int value) {
  cluster->Publish(path, {{"cold_capacity", value}});
  const uint64_t offset = cluster->log().end_offset() - 1;
  duration elapsed = duration::zero();
  const auto applied_everywhere = [&] {
    for (size_t i = 0; i < cluster->size(); ++i) {
      if (cluster->node_of(i)->config().applied_offset() < offset)
        return false;
    }
    return true;
  };
  while (!applied_everywhere() && elapsed < kChangeTimeout) {
    cluster->Advance(kChangePollInterval);
    elapsed += kChangePollInterval;
  }
  return std::chrono::duration<double, std::milli>(elapsed).count();
}

// Sends requests round robin to all nodes, at a constant rate.
class traffic_generator {
 public:
  // Requests with an idempotency key go to a route that is not repeatable, so
  // that they are deduplicated.
  traffic_generator(fleet* cluster, int per_second, bool with_idempotency_key)
      : cluster_(cluster),
        per_second_(per_second),
        with_idempotency_key_(with_idempotency_key) {}

  void Advance(duration length) {
    const time_point end = cluster_->clock().Now() + length;
    const auto interval = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1.0 / std::max(1, per_second_)));
    while (cluster_->clock().Now() < end) {
      if (per_second_ > 0)
        SendOne();
      cluster_->Advance(per_second_ > 0 ? interval
                                        : end - cluster_->clock().Now());
    }
  }
  // Responses by reason: "ok" for a response of the target, "lost" when the
  // connection broke.
  const std::map<std::string, uint64_t>& outcomes() const { return *outcomes_; }
  uint64_t sent() const { return sent_; }
  void ResetCounts() {
    sent_ = 0;
    outcomes_->clear();
  }

 private:
  void SendOne() {
    http_request request = MakeRequest(
        "POST", with_idempotency_key_ ? "/bookings/1" : "/calendar/1",
        ApiKeyOf(static_cast<int>(next_request_ % kCustomerCount)), "x");
    if (with_idempotency_key_)
      request.headers.Add("Idempotency-Key", NewIdempotencyKey());
    cluster_->Send(next_request_ % cluster_->size(), request,
                   [outcomes = outcomes_](const auto& response) {
                     if (!response)
                       ++(*outcomes)["lost"];
                     else if (response->status == 200)
                       ++(*outcomes)["ok"];
                     else
                       ++(*outcomes)[HeaderValue(*response, "Skylark-Reason")];
                   });
    ++next_request_;
    ++sent_;
  }

  // Returns a UUID of version 7. It contains its creation time, which shows
  // replicas that started less than an hour ago that the key is new. They
  // refuse keys of other forms.
  std::string NewIdempotencyKey() const {
    const auto unix_ms = static_cast<uint64_t>(
        ToMilliseconds(cluster_->clock().Now().time_since_epoch()));
    char text[37];
    std::snprintf(text, sizeof(text),
                  "%08" PRIx64 "-%04" PRIx64 "-7000-8000-%012" PRIx64,
                  (unix_ms >> 16U) & 0xffffffffU, unix_ms & 0xffffU,
                  next_request_ & 0xffffffffffffU);
    return text;
  }

  fleet* cluster_;
  int per_second_;
  bool with_idempotency_key_;
  uint64_t next_request_ = 0;
  uint64_t sent_ = 0;
  std::shared_ptr<std::map<std::string, uint64_t>> outcomes_ =
      std::make_shared<std::map<std::string, uint64_t>>();

 public:
  static constexpr int kCustomerCount = 8;
};

// Measures the cost per node while `run_load` runs, which must take `length` of
// simulated time.
control_cost MeasureCost(fleet* cluster,
                         duration length,
                         const std::function<void()>& run_load) {
  control_cost cost;
  const double span_seconds = std::chrono::duration<double>(length).count();
  const auto nodes = static_cast<double>(cluster->size());
  cluster->network().ResetCounts();
  const uint64_t appends_at_start = cluster->log().appends();
  const uint64_t reads_at_start = cluster->log().reads();
  const double cpu_at_start = ProcessCpuSeconds();
  run_load();
  cost.core_percent =
      (ProcessCpuSeconds() - cpu_at_start) / span_seconds / nodes * 100;
  cost.fleet_appends_per_second =
      static_cast<double>(cluster->log().appends() - appends_at_start) /
      span_seconds;
  cost.fleet_log_reads_per_second =
      static_cast<double>(cluster->log().reads() - reads_at_start) /
      span_seconds;
  for (size_t i = 0; i < cluster->size(); ++i) {
    for (const auto& [type, count] :
         cluster->network().SentBy(cluster->PeerAddress(i))) {
      const double bytes =
          static_cast<double>(count.bytes) / span_seconds / nodes;
      const double messages =
          static_cast<double>(count.messages) / span_seconds / nodes;
      cost.bytes_per_second_by_type[type] += bytes;
      cost.messages_per_second_by_type[type] += messages;
      cost.bytes_per_second += bytes;
      cost.messages_per_second += messages;
    }
  }
  return cost;
}

duration ScaledDuration(double span_seconds, double scale) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(span_seconds * scale));
}

// Measures a fleet without requests.
control_cost MeasureIdle(const fleet_dimensions& dimensions,
                         uint64_t seed,
                         double scale) {
  const double heap_before = AllocatedHeapBytes();
  fleet cluster(MakeMachines(dimensions), seed, NetworkOptions());
  PublishAll(&cluster, dimensions);
  cluster.Advance(kSettleTime);
  const double heap_kib_per_node =
      (AllocatedHeapBytes() - heap_before) / 1024 / dimensions.nodes;
  const duration length = ScaledDuration(10, scale);
  control_cost cost =
      MeasureCost(&cluster, length, [&] { cluster.Advance(length); });
  cost.heap_kib = heap_kib_per_node;
  for (int i = 0; i < kChangeCount; ++i) {
    cluster.Advance(kChangeInterval);
    cost.max_change_ms =
        std::max(cost.max_change_ms,
                 MeasureChangeMs(&cluster, "/services/service-0", 9 + i));
  }
  return cost;
}

// Measures a fleet of 12 nodes under `per_second` requests. Counts the
// responses by reason in `outcomes`.
control_cost MeasureTraffic(int per_second,
                            bool with_idempotency_key,
                            uint64_t seed,
                            double scale,
                            std::map<std::string, uint64_t>* outcomes) {
  std::vector<fleet_machine> machines = SmallDeployment(12);
  for (fleet_machine& machine : machines) {
    // Without child calls, so that claims and rate tokens count per request.
    for (fleet_target& target : machine.targets)
      target.child_path.clear();
  }
  fleet cluster(machines, seed, NetworkOptions());
  PublishSmallDeployment(&cluster, traffic_generator::kCustomerCount);
  cluster.Advance(kSettleTime);
  traffic_generator generator(&cluster, per_second, with_idempotency_key);
  generator.Advance(seconds(3));
  generator.ResetCounts();
  const duration length = ScaledDuration(10, scale);
  control_cost cost =
      MeasureCost(&cluster, length, [&] { generator.Advance(length); });
  *outcomes = generator.outcomes();
  (*outcomes)["sent"] = generator.sent();
  return cost;
}

struct link_cost {
  double frames_per_second = 0;
  double core_percent = 0;
};

// Ignores messages. Its heartbeats are as large as those of a node.
struct heartbeat_observer : peer_observer {
  void OnPeerMessage(const peer_info& /*from*/,
                     const fbs::envelopeT& /*message*/) override {}
  void OnLinkUp(const peer_info& /*peer*/) override {}
  void OnLinkDown(const peer_info& /*peer*/,
                  link_down_cause /*cause*/) override {}
  fbs::heartbeatT MakeHeartbeat() override {
    fbs::heartbeatT heartbeat;
    heartbeat.applied_offset = 100'000;
    heartbeat.roster_version = 100'000;
    return heartbeat;
  }
};

// Measures the heartbeats of one transport, the hub, on `links` links over TCP.
// The CPU time includes both ends of each link.
link_cost MeasureLinks(int links) {
  event_loop loop;
  metrics counters;
  metrics hub_counters;
  heartbeat_observer observer;
  std::vector<std::unique_ptr<tcp_transport>> transports;
  for (int i = 0; i <= links; ++i) {
    tcp_transport_settings settings;
    settings.listen_address = "127.0.0.1:0";
    settings.hello.cluster = "measure";
    settings.hello.incarnation = static_cast<uint64_t>(i) + 1;
    settings.heartbeat_interval = kLinkHeartbeatInterval;
    transports.push_back(std::make_unique<tcp_transport>(
        &loop, settings, i == 0 ? &hub_counters : &counters));
    transports.back()->Start(&observer);
    if (!transports.back()->Listen())
      std::abort();
  }
  for (int i = 1; i <= links; ++i)
    transports[0]->Send(transports[i]->listen_address(),
                        MakeEnvelope(fbs::gossipT{}));
  RunFor(loop, milliseconds(500));
  auto& frames_received =
      hub_counters.Counter("skylark_peer_frames_received_total", "");
  const double frames_at_start = frames_received.Value();
  const double cpu_at_start = ProcessCpuSeconds();
  RunFor(loop, kLinkMeasureTime);
  const double span_seconds =
      std::chrono::duration<double>(kLinkMeasureTime).count();
  return {(frames_received.Value() - frames_at_start) / span_seconds,
          (ProcessCpuSeconds() - cpu_at_start) / span_seconds * 100};
}

// Slope of the least-squares line through the points.
double Slope(const std::vector<double>& x, const std::vector<double>& y) {
  const auto n = static_cast<double>(x.size());
  const double mean_x = std::accumulate(x.begin(), x.end(), 0.0) / n;
  const double mean_y = std::accumulate(y.begin(), y.end(), 0.0) / n;
  double covariance_sum = 0;
  double variance_sum = 0;
  for (size_t i = 0; i < x.size(); ++i) {
    covariance_sum += (x[i] - mean_x) * (y[i] - mean_y);
    variance_sum += (x[i] - mean_x) * (x[i] - mean_x);
  }
  return covariance_sum / variance_sum;
}

// Measures how the cost of control grows with the size of the fleet and with
// the load. scripts/capacity extrapolates from these slopes.
class slopes_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    std::vector<json> lines;
    // More than 20 nodes, so that only a few of them read the log and send
    // updates (config_news) to the others along the distribution tree.
    lines.push_back(VaryDimension("nodes", {24, 48, 72, 96},
                                  &fleet_dimensions::nodes, options));
    lines.push_back(VaryDimension("customers", {8, 16, 32, 64},
                                  &fleet_dimensions::customers, options));
    lines.push_back(VaryDimension("services", {2, 4, 8, 12},
                                  &fleet_dimensions::services, options));
    lines.push_back(VaryDimension("config_paths", {100, 300, 1000, 3000},
                                  &fleet_dimensions::config_paths, options));
    lines.push_back(VaryTraffic("requests_per_second", false, options));
    lines.push_back(VaryTraffic("claims_per_second", true, options));
    lines.push_back(VaryLinks());
    return lines;
  }

 private:
  // For each figure by name, one value per size.
  using values_by_figure = std::map<std::string, std::vector<double>>;

  static void AddCost(const control_cost& cost,
                      size_t index,
                      values_by_figure* figures) {
    (*figures)["bytes_per_second"].push_back(cost.bytes_per_second);
    (*figures)["messages_per_second"].push_back(cost.messages_per_second);
    (*figures)["core_percent"].push_back(cost.core_percent);
    (*figures)["fleet_appends_per_second"].push_back(
        cost.fleet_appends_per_second);
    (*figures)["fleet_log_reads_per_second"].push_back(
        cost.fleet_log_reads_per_second);
    const auto add_types = [&](const char* prefix, const auto& by_type) {
      for (const auto& [type, value] : by_type) {
        // Fills up with 0 for smaller sizes at which this type was not sent.
        auto& figure_values = (*figures)[prefix + type];
        figure_values.resize(index);
        figure_values.push_back(value);
      }
    };
    add_types("bytes_of_", cost.bytes_per_second_by_type);
    add_types("messages_of_", cost.messages_per_second_by_type);
  }

  static json MakeLine(const char* name,
                       const std::vector<int>& sizes,
                       const values_by_figure& figures) {
    const std::vector<double> x(sizes.begin(), sizes.end());
    json line{{"measurement", "slopes"}, {"against", name}, {"sizes", sizes}};
    for (const auto& [figure, figure_values] : figures) {
      std::vector<double> measured_values = figure_values;
      measured_values.resize(x.size());
      line[figure] = measured_values;
      line[figure + "_slope"] = Slope(x, measured_values);
    }
    return line;
  }

  static json VaryDimension(const char* name,
                            const std::vector<int>& sizes,
                            int fleet_dimensions::*field,
                            const measurement_options& options) {
    values_by_figure figures;
    for (size_t i = 0; i < sizes.size(); ++i) {
      fleet_dimensions dimensions;
      dimensions.*field = sizes[i];
      dimensions.config_paths =
          std::max(dimensions.config_paths,
                   dimensions.services + 2 * dimensions.customers);
      const control_cost cost =
          MeasureIdle(dimensions, options.seed, options.scale);
      AddCost(cost, i, &figures);
      figures["heap_kib"].push_back(cost.heap_kib);
      figures["change_ms"].push_back(cost.max_change_ms);
    }
    return MakeLine(name, sizes, figures);
  }

  // The sizes are requests per second to the whole fleet of 12 nodes; the
  // figures are per node.
  static json VaryTraffic(const char* name,
                          bool with_idempotency_key,
                          const measurement_options& options) {
    const std::vector<int> sizes = {0, 60, 120, 240};
    values_by_figure figures;
    json outcomes = json::array();
    for (size_t i = 0; i < sizes.size(); ++i) {
      std::map<std::string, uint64_t> counts;
      AddCost(MeasureTraffic(sizes[i], with_idempotency_key, options.seed,
                             options.scale, &counts),
              i, &figures);
      outcomes.push_back(counts);
    }
    json line = MakeLine(name, sizes, figures);
    line["outcomes"] = outcomes;
    return line;
  }

  static json VaryLinks() {
    const std::vector<int> sizes = {8, 16, 32, 64};
    values_by_figure figures;
    for (const int links : sizes) {
      const link_cost cost = MeasureLinks(links);
      figures["frames_per_second"].push_back(cost.frames_per_second);
      figures["core_percent"].push_back(cost.core_percent);
      figures["core_us_per_frame"].push_back(cost.core_percent / 100 * 1e6 /
                                             (2 * cost.frames_per_second));
    }
    return MakeLine("links", sizes, figures);
  }
};

const measurement_registry::registration kSlopes("slopes", [] {
  return std::make_unique<slopes_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
