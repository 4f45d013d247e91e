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

// Sizes of one run. All but one stay at their base value in each slope.
struct fleet_size {
  int nodes = 12;
  int customers = 8;
  int services = 2;
  int config_paths = 100;
};

// What one node spends on control in an idle fleet.
struct control_cost {
  double bytes_per_second = 0;
  double messages_per_second = 0;
  // Share of one core, in percent. Includes the cost of the in-memory network.
  double core_percent = 0;
  double heap_kib = 0;
  // Of the whole fleet.
  double appends_per_second = 0;
  double log_reads_per_second = 0;
  // Time until a change is in force on every node.
  double change_ms = 0;
  // By type, per node.
  std::map<std::string, double> bytes_of;
  std::map<std::string, double> messages_of;
};

// Until all nodes have joined and almost every pair has its link: a new link
// carries the whole table of members once.
constexpr auto kSettle = seconds(60);
constexpr int kChanges = 8;
constexpr auto kChangeGap = milliseconds(1030);
constexpr auto kChangeStep = milliseconds(10);
constexpr auto kChangeLimit = seconds(20);
// Interval of heartbeats in the measurement of links, and its length.
constexpr auto kLinkBeat = milliseconds(20);
constexpr auto kLinkLength = seconds(3);

double ProcessSeconds() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) +
         static_cast<double>(used.tv_nsec) * 1e-9;
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

std::vector<fleet_machine> Machines(const fleet_size& size) {
  std::vector<fleet_machine> machines;
  for (int i = 0; i < size.nodes; ++i) {
    fleet_machine machine;
    machine.name = "node-" + std::to_string(i);
    machine.zone = "zone-" + std::to_string(i % 3);
    fleet_target target;
    target.service = "service-" + std::to_string(i % size.services);
    target.options.starts_cold = false;
    machine.targets.push_back(target);
    machines.push_back(machine);
  }
  return machines;
}

// Links go out of use as those over TCP do.
memory_network_options Network() {
  memory_network_options options;
  options.use_period = tcp_transport_settings().use_period;
  options.call_use_period = tcp_transport_settings().call_use_period;
  return options;
}

void PublishAll(fleet* cluster, const fleet_size& size) {
  for (int i = 0; i < size.services; ++i) {
    cluster->Publish("/services/service-" + std::to_string(i),
                     {{"cold_capacity", 8}});
  }
  for (int i = 0; i < size.customers; ++i) {
    const std::string name = "customer-" + std::to_string(i);
    cluster->Publish("/customers/" + name, {{"enabled", true}});
    cluster->Publish("/rates/" + name, {{"per_second", 100}, {"burst", 200}});
  }
  const int written = size.services + 2 * size.customers;
  for (int i = written; i < size.config_paths; ++i) {
    const std::string name = "route-" + std::to_string(i);
    cluster->Publish("/routes/" + name, {{"path_prefix", "/" + name},
                                         {"access", "open"},
                                         {"repeatable", true},
                                         {"service", "service-0"}});
  }
}

// Time until a change is in force on every node.
double ChangeMilliseconds(fleet* cluster, const std::string& path, int value) {
  cluster->Publish(path, {{"cold_capacity", value}});
  const uint64_t offset = cluster->log().end_offset() - 1;
  duration spent = duration::zero();
  const auto everywhere = [&] {
    for (size_t i = 0; i < cluster->size(); ++i) {
      if (cluster->node_of(i)->config().applied_offset() < offset)
        return false;
    }
    return true;
  };
  while (!everywhere() && spent < kChangeLimit) {
    cluster->Advance(kChangeStep);
    spent += kChangeStep;
  }
  return std::chrono::duration<double, std::milli>(spent).count();
}

// Sends requests round robin to all nodes, at a constant rate.
class traffic {
 public:
  // `claimed` requests carry an idempotency key and may not be repeated.
  traffic(fleet* cluster, int per_second, bool claimed)
      : cluster_(cluster), per_second_(per_second), claimed_(claimed) {}

  void Advance(duration length) {
    const time_point end = cluster_->clock().Now() + length;
    const auto gap = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1.0 / std::max(1, per_second_)));
    while (cluster_->clock().Now() < end) {
      if (per_second_ > 0)
        SendOne();
      cluster_->Advance(per_second_ > 0 ? gap : end - cluster_->clock().Now());
    }
  }
  // Responses by reason, "ok" for those of the target.
  const std::map<std::string, uint64_t>& outcomes() const { return *outcomes_; }
  uint64_t sent() const { return sent_; }
  void ResetCounts() {
    sent_ = 0;
    outcomes_->clear();
  }

 private:
  void SendOne() {
    http_request request =
        MakeRequest("POST", claimed_ ? "/bookings/1" : "/calendar/1",
                    KeyOf(static_cast<int>(next_ % kCustomers)), "x");
    if (claimed_)
      request.headers.Add("Idempotency-Key", FreshKey());
    cluster_->Send(next_ % cluster_->size(), request,
                   [outcomes = outcomes_](const auto& response) {
                     if (!response)
                       ++(*outcomes)["lost"];
                     else if (response->status == 200)
                       ++(*outcomes)["ok"];
                     else
                       ++(*outcomes)[HeaderOf(*response, "Skylark-Reason")];
                   });
    ++next_;
    ++sent_;
  }

  // A UUID of version 7. Replicas that started less than an hour ago cannot
  // tell that any other form of key is new, and refuse it.
  std::string FreshKey() const {
    const auto ms = static_cast<uint64_t>(
        ToMilliseconds(cluster_->clock().Now().time_since_epoch()));
    char text[37];
    std::snprintf(
        text, sizeof(text), "%08" PRIx64 "-%04" PRIx64 "-7000-8000-%012" PRIx64,
        (ms >> 16U) & 0xffffffffU, ms & 0xffffU, next_ & 0xffffffffffffU);
    return text;
  }

  fleet* cluster_;
  int per_second_;
  bool claimed_;
  uint64_t next_ = 0;
  uint64_t sent_ = 0;
  std::shared_ptr<std::map<std::string, uint64_t>> outcomes_ =
      std::make_shared<std::map<std::string, uint64_t>>();

 public:
  static constexpr int kCustomers = 8;
};

// Counts what `run`, which takes `length`, costs the nodes of the fleet.
control_cost CountWhile(fleet* cluster,
                        duration length,
                        const std::function<void()>& run) {
  control_cost cost;
  const double span = std::chrono::duration<double>(length).count();
  const auto nodes = static_cast<double>(cluster->size());
  cluster->network().ResetCounts();
  const uint64_t appends = cluster->log().appends();
  const uint64_t reads = cluster->log().reads();
  const double used = ProcessSeconds();
  run();
  cost.core_percent = (ProcessSeconds() - used) / span / nodes * 100;
  cost.appends_per_second =
      static_cast<double>(cluster->log().appends() - appends) / span;
  cost.log_reads_per_second =
      static_cast<double>(cluster->log().reads() - reads) / span;
  for (size_t i = 0; i < cluster->size(); ++i) {
    for (const auto& [type, count] :
         cluster->network().SentBy(cluster->PeerAddress(i))) {
      const double bytes = static_cast<double>(count.bytes) / span / nodes;
      const double messages =
          static_cast<double>(count.messages) / span / nodes;
      cost.bytes_of[type] += bytes;
      cost.messages_of[type] += messages;
      cost.bytes_per_second += bytes;
      cost.messages_per_second += messages;
    }
  }
  return cost;
}

duration Scaled(double span_seconds, double scale) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(span_seconds * scale));
}

control_cost MeasureIdle(const fleet_size& size, uint64_t seed, double scale) {
  const double heap_before = HeapBytes();
  fleet cluster(Machines(size), seed, Network());
  PublishAll(&cluster, size);
  cluster.Advance(kSettle);
  const double heap = (HeapBytes() - heap_before) / 1024 / size.nodes;
  const duration length = Scaled(10, scale);
  control_cost cost =
      CountWhile(&cluster, length, [&] { cluster.Advance(length); });
  cost.heap_kib = heap;
  // The longest of several, which meet the reads of the log at other phases.
  for (int i = 0; i < kChanges; ++i) {
    cluster.Advance(kChangeGap);
    cost.change_ms =
        std::max(cost.change_ms,
                 ChangeMilliseconds(&cluster, "/services/service-0", 9 + i));
  }
  return cost;
}

// Cost of `per_second` requests in a fleet of 12 nodes.
control_cost MeasureTraffic(int per_second,
                            bool claimed,
                            uint64_t seed,
                            double scale,
                            std::map<std::string, uint64_t>* outcomes) {
  std::vector<fleet_machine> machines = SmallDeployment(12);
  for (fleet_machine& item : machines) {
    // Claims and tokens are counted for each request, not for its chain.
    for (fleet_target& target : item.targets)
      target.child_path.clear();
  }
  fleet cluster(machines, seed, Network());
  PublishSmallDeployment(&cluster, traffic::kCustomers);
  cluster.Advance(kSettle);
  traffic load(&cluster, per_second, claimed);
  load.Advance(seconds(3));
  load.ResetCounts();
  const duration length = Scaled(10, scale);
  control_cost cost =
      CountWhile(&cluster, length, [&] { load.Advance(length); });
  *outcomes = load.outcomes();
  (*outcomes)["sent"] = load.sent();
  return cost;
}

struct link_cost {
  double frames_per_second = 0;
  double core_percent = 0;
};

// Counts nothing; its heartbeats have the size of a node's.
struct idle_end : peer_observer {
  void OnPeerMessage(const peer_info& /*from*/,
                     const fbs::envelopeT& /*message*/) override {}
  void OnLinkUp(const peer_info& /*peer*/) override {}
  void OnLinkDown(const peer_info& /*peer*/,
                  link_down_cause /*cause*/) override {}
  fbs::heartbeatT MakeHeartbeat() override {
    fbs::heartbeatT beat;
    beat.applied_offset = 100'000;
    beat.roster_version = 100'000;
    return beat;
  }
};

// Heartbeats of one transport on `links` links over TCP. The processor time is
// that of both ends of each link. Heartbeats are sent more often than in a
// node, so that their cost stands out.
link_cost MeasureLinks(int links) {
  event_loop loop;
  metrics counters;
  metrics hub_counters;
  idle_end observer;
  std::vector<std::unique_ptr<tcp_transport>> ends;
  for (int i = 0; i <= links; ++i) {
    tcp_transport_settings settings;
    settings.listen_address = "127.0.0.1:0";
    settings.hello.cluster = "measure";
    settings.hello.incarnation = static_cast<uint64_t>(i) + 1;
    settings.heartbeat_interval = kLinkBeat;
    ends.push_back(std::make_unique<tcp_transport>(
        &loop, settings, i == 0 ? &hub_counters : &counters));
    ends.back()->Start(&observer);
    if (!ends.back()->Listen())
      std::abort();
  }
  for (int i = 1; i <= links; ++i)
    ends[0]->Send(ends[i]->listen_address(), Envelope(fbs::gossipT{}));
  RunFor(loop, milliseconds(500));
  auto& sent = hub_counters.Counter("skylark_peer_frames_received_total", "");
  const double frames = sent.Value();
  const double used = ProcessSeconds();
  RunFor(loop, kLinkLength);
  const double span = std::chrono::duration<double>(kLinkLength).count();
  return {(sent.Value() - frames) / span,
          (ProcessSeconds() - used) / span * 100};
}

double Slope(const std::vector<double>& x, const std::vector<double>& y) {
  const auto n = static_cast<double>(x.size());
  const double mean_x = std::accumulate(x.begin(), x.end(), 0.0) / n;
  const double mean_y = std::accumulate(y.begin(), y.end(), 0.0) / n;
  double above = 0;
  double below = 0;
  for (size_t i = 0; i < x.size(); ++i) {
    above += (x[i] - mean_x) * (y[i] - mean_y);
    below += (x[i] - mean_x) * (x[i] - mean_x);
  }
  return above / below;
}

class slopes_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    std::vector<json> lines;
    // Above 20 nodes, so that the log is read by a few of them and the news go
    // through the tree.
    lines.push_back(
        RunOne("nodes", {24, 48, 72, 96}, &fleet_size::nodes, options));
    lines.push_back(
        RunOne("customers", {8, 16, 32, 64}, &fleet_size::customers, options));
    lines.push_back(
        RunOne("services", {2, 4, 8, 12}, &fleet_size::services, options));
    lines.push_back(RunOne("config_paths", {100, 300, 1000, 3000},
                           &fleet_size::config_paths, options));
    lines.push_back(RunTraffic("requests_per_second", false, options));
    lines.push_back(RunTraffic("claims_per_second", true, options));
    lines.push_back(RunLinks());
    return lines;
  }

 private:
  // Values of one figure by size.
  using series = std::map<std::string, std::vector<double>>;

  static void Add(const control_cost& cost, size_t index, series* all) {
    (*all)["bytes_per_second"].push_back(cost.bytes_per_second);
    (*all)["messages_per_second"].push_back(cost.messages_per_second);
    (*all)["core_percent"].push_back(cost.core_percent);
    (*all)["fleet_appends_per_second"].push_back(cost.appends_per_second);
    (*all)["fleet_log_reads_per_second"].push_back(cost.log_reads_per_second);
    const auto add_types = [&](const char* what, const auto& by_type) {
      for (const auto& [type, value] : by_type) {
        // A type may be missing at smaller sizes.
        auto& values = (*all)[what + type];
        values.resize(index);
        values.push_back(value);
      }
    };
    add_types("bytes_of_", cost.bytes_of);
    add_types("messages_of_", cost.messages_of);
  }

  static json Line(const char* name,
                   const std::vector<int>& values,
                   const series& all) {
    const std::vector<double> x(values.begin(), values.end());
    json line{{"measurement", "slopes"}, {"against", name}, {"sizes", values}};
    for (const auto& [what, values_of] : all) {
      std::vector<double> measured = values_of;
      measured.resize(x.size());
      line[what] = measured;
      line[what + "_slope"] = Slope(x, measured);
    }
    return line;
  }

  static json RunOne(const char* name,
                     const std::vector<int>& values,
                     int fleet_size::*field,
                     const measurement_options& options) {
    series all;
    for (size_t i = 0; i < values.size(); ++i) {
      fleet_size size;
      size.*field = values[i];
      size.config_paths =
          std::max(size.config_paths, size.services + 2 * size.customers);
      const control_cost cost = MeasureIdle(size, options.seed, options.scale);
      Add(cost, i, &all);
      all["heap_kib"].push_back(cost.heap_kib);
      all["change_ms"].push_back(cost.change_ms);
    }
    return Line(name, values, all);
  }

  // Requests of the whole fleet of 12 nodes; the figures are those of one node.
  static json RunTraffic(const char* name,
                         bool claimed,
                         const measurement_options& options) {
    const std::vector<int> values = {0, 60, 120, 240};
    series all;
    json outcomes = json::array();
    for (size_t i = 0; i < values.size(); ++i) {
      std::map<std::string, uint64_t> counts;
      Add(MeasureTraffic(values[i], claimed, options.seed, options.scale,
                         &counts),
          i, &all);
      outcomes.push_back(counts);
    }
    json line = Line(name, values, all);
    line["outcomes"] = outcomes;
    return line;
  }

  static json RunLinks() {
    const std::vector<int> values = {8, 16, 32, 64};
    series all;
    for (const int links : values) {
      const link_cost cost = MeasureLinks(links);
      all["frames_per_second"].push_back(cost.frames_per_second);
      all["core_percent"].push_back(cost.core_percent);
      all["core_us_per_frame"].push_back(cost.core_percent / 100 * 1e6 /
                                         (2 * cost.frames_per_second));
    }
    return Line("links", values, all);
  }
};

const measurement_registry::entry kSlopes("slopes", [] {
  return std::make_unique<slopes_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
