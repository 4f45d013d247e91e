#include <cmath>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "testing/manual_loop.h"
#include "testing/measurement.h"
#include "testing/rate_fleet.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kZoneCount = 3;
constexpr size_t kNodesPerZone = 5;
constexpr size_t kNodeCount = kZoneCount * kNodesPerZone;

struct customer_load {
  const char* name;
  // Rate limit in requests per second, and its burst.
  double per_second;
  double burst;
  // Mean load as a share of the rate limit.
  double load_share;
};

constexpr customer_load kLoads[] = {
    {"acme", 2000, 1000, 0.9}, {"birch", 1200, 600, 0.8},
    {"cedar", 600, 300, 0.9},  {"dune", 400, 200, 0.7},
    {"elm", 200, 100, 0.9},    {"fjord", 100, 50, 0.8},
    {"grove", 60, 30, 0.6},    {"heath", 40, 20, 0.9},
};
// Sends five times its usual load in the phase "unfair".
constexpr size_t kUnfairCustomer = 3;

struct phase_counts {
  std::string name;
  uint64_t offered = 0;
  uint64_t granted = 0;
  // Allowed by one exact token bucket for the whole fleet.
  uint64_t exact_allowed = 0;
  // Refused although the exact bucket allowed them.
  uint64_t wrongly_refused = 0;
  // Those of them that were refused with rate_unavailable.
  uint64_t refused_unavailable = 0;
  // Allowed by the exact bucket but not by the node's own bucket, if each node
  // had a fixed and equal share of the rate limit.
  uint64_t fixed_share_wrongly_refused = 0;
  // Counts of the unfair customer while it is above its rate limit. The other
  // counts leave it out.
  uint64_t unfair_exact_allowed = 0;
  uint64_t unfair_granted = 0;
};

struct customer_state {
  const customer_load* load = nullptr;
  time_point next_call;
  // Share of the customer's calls that each node gets. ShiftLoad changes it.
  std::vector<double> node_weights;
  std::unique_ptr<rate_window_checker> exact_bucket;
  std::unique_ptr<rate_window_checker> grant_checker;
  std::vector<rate_window_checker> fixed_share_buckets;
};

// Simulates 15 nodes in 3 zones with the load of kLoads, and compares their
// grants with one exact bucket for each customer.
class rate_limit_simulation {
 public:
  explicit rate_limit_simulation(uint64_t seed) : random_(seed) {
    for (size_t zone = 0; zone < kZoneCount; ++zone) {
      for (size_t other = zone; other < kZoneCount; ++other)
        network_.SetZoneDelay(
            "z" + std::to_string(zone), "z" + std::to_string(other),
            zone == other ? link_delay{std::chrono::microseconds(250),
                                       std::chrono::microseconds(150)}
                          : link_delay{std::chrono::microseconds(1500),
                                       std::chrono::microseconds(300)});
    }
    for (size_t i = 0; i < kNodeCount; ++i)
      fleet_.AddNode("n" + std::to_string(i),
                     "z" + std::to_string(i % kZoneCount));
    for (const customer_load& load : kLoads) {
      fleet_.SetRate(load.name, load.per_second, load.burst);
      customer_state& state = customers_.emplace_back();
      state.load = &load;
      state.next_call = loop_.Now();
      state.exact_bucket =
          std::make_unique<rate_window_checker>(load.per_second, load.burst);
      state.grant_checker =
          std::make_unique<rate_window_checker>(load.per_second, load.burst);
      for (size_t i = 0; i < kNodeCount; ++i)
        state.fixed_share_buckets.emplace_back(load.per_second / kNodeCount,
                                               load.burst / kNodeCount);
    }
    fleet_.Publish(milliseconds(100));
    loop_.Advance(seconds(15));
  }

  // Runs the load for `length` and adds the counts to the phase of this name.
  void RunPhase(const std::string& phase_name,
                duration length,
                double unfair_load_factor = 1) {
    phase_ = nullptr;
    for (const auto& existing : phases_) {
      if (existing->name == phase_name)
        phase_ = existing.get();
    }
    if (phase_ == nullptr) {
      phase_ = phases_.emplace_back(std::make_unique<phase_counts>()).get();
      phase_->name = phase_name;
    }
    const time_point end = loop_.Now() + length;
    for (customer_state& customer : customers_)
      customer.next_call =
          loop_.Now() + DrawInterval(customer, unfair_load_factor);
    while (true) {
      customer_state* earliest = &customers_.front();
      for (customer_state& customer : customers_) {
        if (customer.next_call < earliest->next_call)
          earliest = &customer;
      }
      if (earliest->next_call >= end)
        break;
      loop_.Advance(earliest->next_call - loop_.Now());
      if (loop_.Now() >= next_shift_at_)
        ShiftLoad();
      Call(*earliest, unfair_load_factor > 1);
      earliest->next_call += DrawInterval(*earliest, unfair_load_factor);
    }
    loop_.Advance(end - loop_.Now());
  }

  json PhaseResult(const std::string& name) {
    for (const auto& phase : phases_) {
      if (phase->name == name)
        return ToJson(*phase);
    }
    return {};
  }

  json WorstWindowResult() {
    double max_excess = 0;
    for (const customer_state& customer : customers_)
      max_excess = std::max(max_excess, customer.grant_checker->MaxExcess());
    return {
        {"phase", "all"},
        {"worst_window_over", max_excess},
        {"early_starts", fleet_.CounterSum("skylarkhoist_rate_takeovers_total",
                                           {{"start", "early"}})},
        {"waited_starts", fleet_.CounterSum("skylarkhoist_rate_takeovers_total",
                                            {{"start", "waited"}})}};
  }

  // Rates of peer messages and bytes per node. `length` is the time since
  // ResetCounts of the network.
  json ControlTraffic(duration length) {
    const double length_seconds = std::chrono::duration<double>(length).count();
    std::map<std::string, message_count> total_by_type;
    double max_node_bytes = 0;
    double total_bytes = 0;
    for (size_t i = 0; i < kNodeCount; ++i) {
      double node_bytes = 0;
      for (const auto& [type, count] : network_.SentBy(fleet_.address(i))) {
        total_by_type[type].messages += count.messages;
        total_by_type[type].bytes += count.bytes;
        node_bytes += static_cast<double>(count.bytes);
      }
      total_bytes += node_bytes;
      max_node_bytes = std::max(max_node_bytes, node_bytes);
    }
    json types = json::object();
    for (const auto& [type, count] : total_by_type) {
      types[type] = {{"messages_per_second_per_node",
                      Rounded(static_cast<double>(count.messages) /
                              length_seconds / kNodeCount)},
                     {"bytes_per_second_per_node",
                      Rounded(static_cast<double>(count.bytes) /
                              length_seconds / kNodeCount)}};
    }
    return {{"control_bytes_per_second_mean_node",
             Rounded(total_bytes / length_seconds / kNodeCount)},
            {"control_bytes_per_second_busiest_node",
             Rounded(max_node_bytes / length_seconds)},
            {"types", types}};
  }

  rate_fleet& fleet() { return fleet_; }
  memory_network& network() { return network_; }

 private:
  static double Rounded(double value) { return std::round(value * 10) / 10; }

  static json ToJson(const phase_counts& phase) {
    const auto percent = [&](uint64_t refusals) {
      return phase.exact_allowed == 0
                 ? 0.0
                 : 100.0 * static_cast<double>(refusals) /
                       static_cast<double>(phase.exact_allowed);
    };
    json line = {{"phase", phase.name},
                 {"offered", phase.offered},
                 {"granted", phase.granted},
                 {"exact_bucket", phase.exact_allowed},
                 {"wrongful", phase.wrongly_refused},
                 {"wrongful_percent", percent(phase.wrongly_refused)},
                 {"of_these_unavailable", phase.refused_unavailable},
                 {"fixed_share_wrongful_percent",
                  percent(phase.fixed_share_wrongly_refused)}};
    if (phase.unfair_exact_allowed > 0) {
      line["unfair_customer_granted"] = phase.unfair_granted;
      line["unfair_customer_exact_bucket"] = phase.unfair_exact_allowed;
    }
    return line;
  }

  duration DrawInterval(const customer_state& customer,
                        double unfair_load_factor) {
    double per_second = customer.load->per_second * customer.load->load_share;
    if (customer.load == &kLoads[kUnfairCustomer])
      per_second *= unfair_load_factor;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        -std::log(1 - random_.Fraction()) / per_second));
  }

  // Draws new node weights. They are uneven: a few nodes get most of a
  // customer's calls, and others almost none.
  void ShiftLoad() {
    next_shift_at_ = loop_.Now() + seconds(5);
    for (customer_state& customer : customers_) {
      customer.node_weights.assign(kNodeCount, 0);
      double weight_sum = 0;
      for (double& weight : customer.node_weights) {
        weight = std::pow(random_.Fraction(), 4);
        weight_sum += weight;
      }
      for (double& weight : customer.node_weights)
        weight /= weight_sum;
    }
  }

  void Call(customer_state& customer, bool unfair_phase) {
    double draw = random_.Fraction();
    size_t node = 0;
    while (node + 1 < kNodeCount && draw >= customer.node_weights[node])
      draw -= customer.node_weights[node++];
    // Callers of a node that is down use the next one.
    while (!fleet_.IsAvailable(node))
      node = (node + 1) % kNodeCount;
    const time_point now = loop_.Now();
    const bool exact_allowed = customer.exact_bucket->TryTake(now);
    const bool fixed_share_allowed =
        customer.fixed_share_buckets[node].TryTake(now);
    phase_counts* phase = phase_;
    if (unfair_phase && customer.load == &kLoads[kUnfairCustomer]) {
      phase->unfair_exact_allowed += exact_allowed ? 1 : 0;
      fleet_.service(node).Acquire(
          customer.load->name, now + seconds(1),
          [this, &customer, phase](reason result) {
            if (result != reason::kOk)
              return;
            ++phase->unfair_granted;
            customer.grant_checker->OnGranted(loop_.Now());
          });
      return;
    }
    ++phase->offered;
    phase->exact_allowed += exact_allowed ? 1 : 0;
    phase->fixed_share_wrongly_refused +=
        exact_allowed && !fixed_share_allowed ? 1 : 0;
    fleet_.service(node).Acquire(
        customer.load->name, now + seconds(1),
        [this, &customer, phase, exact_allowed](reason result) {
          if (result == reason::kOk) {
            ++phase->granted;
            customer.grant_checker->OnGranted(loop_.Now());
            return;
          }
          phase->wrongly_refused += exact_allowed ? 1 : 0;
          phase->refused_unavailable +=
              exact_allowed && result == reason::kRateUnavailable ? 1 : 0;
        });
  }

  manual_loop loop_;
  mt_random random_;
  memory_network network_{&loop_, &random_};
  rate_fleet fleet_{&loop_, &random_, &network_};
  std::vector<customer_state> customers_;
  std::vector<std::unique_ptr<phase_counts>> phases_;
  phase_counts* phase_ = nullptr;
  time_point next_shift_at_;
};

// Measures wrong refusals, control traffic and the worst overrun of a rate
// limit, in normal operation, with one customer above its limit, after kills of
// shard owners, and without the log.
class rate_limit_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    const auto scaled = [&](int full_seconds) {
      return std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(full_seconds * options.scale));
    };
    std::vector<json> lines;
    rate_limit_simulation simulation(options.seed);
    simulation.RunPhase("warm-up", seconds(5));
    simulation.network().ResetCounts();
    simulation.RunPhase("calm", scaled(120));
    json calm = simulation.PhaseResult("calm");
    calm.update(simulation.ControlTraffic(scaled(120)));
    lines.push_back(std::move(calm));
    simulation.network().ResetCounts();
    simulation.RunPhase("unfair", scaled(30), 5);
    json unfair = simulation.PhaseResult("unfair");
    unfair.update(simulation.ControlTraffic(scaled(30)));
    lines.push_back(std::move(unfair));
    simulation.RunPhase("between", seconds(5));

    const int kill_count = std::max(1, static_cast<int>(16 * options.scale));
    for (int i = 0; i < kill_count; ++i) {
      const int owner = simulation.fleet().OwnerOf(kLoads[i % 8].name);
      if (owner < 0)
        continue;
      simulation.fleet().Crash(static_cast<size_t>(owner));
      simulation.RunPhase("10 s after the kill of an owner", seconds(10));
      simulation.fleet().Restart(static_cast<size_t>(owner));
      simulation.fleet().Publish();
      simulation.RunPhase("between", seconds(12));
    }
    lines.push_back(simulation.PhaseResult("10 s after the kill of an owner"));

    // Publishes no roster, as if the log were unreachable: a shard owner is
    // killed, and the new process at its address cannot join.
    simulation.RunPhase("120 s without the log", seconds(30));
    const int owner = simulation.fleet().OwnerOf(kLoads[0].name);
    if (owner >= 0) {
      simulation.fleet().Crash(static_cast<size_t>(owner));
      simulation.RunPhase("120 s without the log", seconds(10));
      simulation.fleet().Restart(static_cast<size_t>(owner));
    }
    simulation.RunPhase("120 s without the log", seconds(80));
    lines.push_back(simulation.PhaseResult("120 s without the log"));
    simulation.RunPhase("between", seconds(1));
    lines.push_back(simulation.WorstWindowResult());
    for (json& line : lines)
      line["measurement"] = "rate-limit";
    return lines;
  }
};

const measurement_registry::registration kRateLimit("rate-limit", [] {
  return std::make_unique<rate_limit_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
