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

constexpr size_t kZones = 3;
constexpr size_t kNodesPerZone = 5;
constexpr size_t kNodes = kZones * kNodesPerZone;

struct customer_load {
  const char* name;
  double per_second;
  double burst;
  // Mean load as a share of the rate.
  double share;
};

constexpr customer_load kLoads[] = {
    {"acme", 2000, 1000, 0.9}, {"birch", 1200, 600, 0.8},
    {"cedar", 600, 300, 0.9},  {"dune", 400, 200, 0.7},
    {"elm", 200, 100, 0.9},    {"fjord", 100, 50, 0.8},
    {"grove", 60, 30, 0.6},    {"heath", 40, 20, 0.9},
};
// Sends five times its rate in the phase "unfair".
constexpr size_t kUnfairCustomer = 3;

struct phase_counts {
  std::string name;
  uint64_t offered = 0;
  uint64_t granted = 0;
  // Let through by one exact bucket for the whole fleet.
  uint64_t rightful = 0;
  // Refused, although the exact bucket lets it through.
  uint64_t wrongful = 0;
  uint64_t unavailable = 0;
  // The same for fixed shares of each node.
  uint64_t fixed_wrongful = 0;
  // Of the customer above its rate.
  uint64_t unfair_rightful = 0;
  uint64_t unfair_granted = 0;
};

struct customer_run {
  const customer_load* load = nullptr;
  time_point next;
  // Share of each node in the load; moves with time.
  std::vector<double> weights;
  std::unique_ptr<rate_window_checker> exact;
  std::unique_ptr<rate_window_checker> granted;
  std::vector<rate_window_checker> fixed;
};

class rate_limit_run {
 public:
  explicit rate_limit_run(uint64_t seed) : random_(seed) {
    for (size_t zone = 0; zone < kZones; ++zone) {
      for (size_t other = zone; other < kZones; ++other)
        network_.SetZoneDelay(
            "z" + std::to_string(zone), "z" + std::to_string(other),
            zone == other ? link_delay{std::chrono::microseconds(250),
                                       std::chrono::microseconds(150)}
                          : link_delay{std::chrono::microseconds(1500),
                                       std::chrono::microseconds(300)});
    }
    for (size_t i = 0; i < kNodes; ++i)
      fleet_.AddNode("n" + std::to_string(i), "z" + std::to_string(i % kZones));
    for (const customer_load& load : kLoads) {
      fleet_.SetRate(load.name, load.per_second, load.burst);
      customer_run& run = customers_.emplace_back();
      run.load = &load;
      run.next = clock_.Now();
      run.exact =
          std::make_unique<rate_window_checker>(load.per_second, load.burst);
      run.granted =
          std::make_unique<rate_window_checker>(load.per_second, load.burst);
      for (size_t i = 0; i < kNodes; ++i)
        run.fixed.emplace_back(load.per_second / kNodes, load.burst / kNodes);
    }
    fleet_.Publish(milliseconds(100));
    clock_.Advance(seconds(15));
  }

  // Counts go to the phase of the same name until the next call.
  void Run(const std::string& phase, duration time, double unfair_factor = 1) {
    phase_ = nullptr;
    for (const auto& known : phases_) {
      if (known->name == phase)
        phase_ = known.get();
    }
    if (phase_ == nullptr) {
      phase_ = phases_.emplace_back(std::make_unique<phase_counts>()).get();
      phase_->name = phase;
    }
    const time_point end = clock_.Now() + time;
    for (customer_run& customer : customers_)
      customer.next = clock_.Now() + Gap(customer, unfair_factor);
    while (true) {
      customer_run* first = &customers_.front();
      for (customer_run& customer : customers_) {
        if (customer.next < first->next)
          first = &customer;
      }
      if (first->next >= end)
        break;
      clock_.Advance(first->next - clock_.Now());
      if (clock_.Now() >= moves_at_)
        MoveLoad();
      Call(*first, unfair_factor > 1);
      first->next += Gap(*first, unfair_factor);
    }
    clock_.Advance(end - clock_.Now());
  }

  json Result(const std::string& name) {
    for (const auto& phase : phases_) {
      if (phase->name == name)
        return ResultOf(*phase);
    }
    return {};
  }

  json WorstWindow() {
    double worst = 0;
    for (const customer_run& customer : customers_)
      worst = std::max(worst, customer.granted->WorstOver());
    return {
        {"phase", "all"},
        {"worst_window_over", worst},
        {"early_starts", fleet_.CounterSum("skylarkhoist_rate_takeovers_total",
                                           {{"start", "early"}})},
        {"waited_starts", fleet_.CounterSum("skylarkhoist_rate_takeovers_total",
                                            {{"start", "waited"}})}};
  }

  // Messages and bytes a second since ResetCounts, over the nodes.
  json Traffic(duration time) {
    const double length = std::chrono::duration<double>(time).count();
    std::map<std::string, message_count> sum;
    double most = 0;
    double total = 0;
    for (size_t i = 0; i < kNodes; ++i) {
      double own = 0;
      for (const auto& [type, count] : network_.SentBy(fleet_.address(i))) {
        sum[type].messages += count.messages;
        sum[type].bytes += count.bytes;
        own += static_cast<double>(count.bytes);
      }
      total += own;
      most = std::max(most, own);
    }
    json types = json::object();
    for (const auto& [type, count] : sum) {
      types[type] = {
          {"messages_per_second_per_node",
           Rounded(static_cast<double>(count.messages) / length / kNodes)},
          {"bytes_per_second_per_node",
           Rounded(static_cast<double>(count.bytes) / length / kNodes)}};
    }
    return {{"control_bytes_per_second_mean_node",
             Rounded(total / length / kNodes)},
            {"control_bytes_per_second_busiest_node", Rounded(most / length)},
            {"types", types}};
  }

  rate_fleet& fleet() { return fleet_; }
  memory_network& network() { return network_; }

 private:
  static double Rounded(double value) { return std::round(value * 10) / 10; }

  static json ResultOf(const phase_counts& phase) {
    const auto percent = [&](uint64_t count) {
      return phase.rightful == 0 ? 0.0
                                 : 100.0 * static_cast<double>(count) /
                                       static_cast<double>(phase.rightful);
    };
    json line = {
        {"phase", phase.name},
        {"offered", phase.offered},
        {"granted", phase.granted},
        {"exact_bucket", phase.rightful},
        {"wrongful", phase.wrongful},
        {"wrongful_percent", percent(phase.wrongful)},
        {"of_these_unavailable", phase.unavailable},
        {"fixed_share_wrongful_percent", percent(phase.fixed_wrongful)}};
    if (phase.unfair_rightful > 0) {
      line["unfair_customer_granted"] = phase.unfair_granted;
      line["unfair_customer_exact_bucket"] = phase.unfair_rightful;
    }
    return line;
  }

  duration Gap(const customer_run& customer, double unfair_factor) {
    double per_second = customer.load->per_second * customer.load->share;
    if (customer.load == &kLoads[kUnfairCustomer])
      per_second *= unfair_factor;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        -std::log(1 - random_.Fraction()) / per_second));
  }

  // Uneven: some nodes get most of a customer's calls, others none.
  void MoveLoad() {
    moves_at_ = clock_.Now() + seconds(5);
    for (customer_run& customer : customers_) {
      customer.weights.assign(kNodes, 0);
      double sum = 0;
      for (double& weight : customer.weights) {
        weight = std::pow(random_.Fraction(), 4);
        sum += weight;
      }
      for (double& weight : customer.weights)
        weight /= sum;
    }
  }

  void Call(customer_run& customer, bool unfair_phase) {
    double draw = random_.Fraction();
    size_t node = 0;
    while (node + 1 < kNodes && draw >= customer.weights[node])
      draw -= customer.weights[node++];
    // Callers of a node that is down go to another one.
    while (!fleet_.Available(node))
      node = (node + 1) % kNodes;
    const time_point now = clock_.Now();
    const bool rightful = customer.exact->TryTake(now);
    const bool fixed = customer.fixed[node].TryTake(now);
    phase_counts* phase = phase_;
    if (unfair_phase && customer.load == &kLoads[kUnfairCustomer]) {
      phase->unfair_rightful += rightful ? 1 : 0;
      fleet_.service(node).Acquire(customer.load->name, now + seconds(1),
                                   [this, &customer, phase](reason result) {
                                     if (result != reason::kOk)
                                       return;
                                     ++phase->unfair_granted;
                                     customer.granted->OnGranted(clock_.Now());
                                   });
      return;
    }
    ++phase->offered;
    phase->rightful += rightful ? 1 : 0;
    phase->fixed_wrongful += rightful && !fixed ? 1 : 0;
    fleet_.service(node).Acquire(
        customer.load->name, now + seconds(1),
        [this, &customer, phase, rightful](reason result) {
          if (result == reason::kOk) {
            ++phase->granted;
            customer.granted->OnGranted(clock_.Now());
            return;
          }
          phase->wrongful += rightful ? 1 : 0;
          phase->unavailable +=
              rightful && result == reason::kRateUnavailable ? 1 : 0;
        });
  }

  manual_loop clock_;
  mt_random random_;
  memory_network network_{&clock_, &random_};
  rate_fleet fleet_{&clock_, &random_, &network_};
  std::vector<customer_run> customers_;
  std::vector<std::unique_ptr<phase_counts>> phases_;
  phase_counts* phase_ = nullptr;
  time_point moves_at_;
};

class rate_limit_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    const auto scaled = [&](int full) {
      return std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(full * options.scale));
    };
    std::vector<json> lines;
    rate_limit_run run(options.seed);
    run.Run("warm-up", seconds(5));
    run.network().ResetCounts();
    run.Run("calm", scaled(120));
    json calm = run.Result("calm");
    calm.update(run.Traffic(scaled(120)));
    lines.push_back(std::move(calm));
    run.network().ResetCounts();
    run.Run("unfair", scaled(30), 5);
    json unfair = run.Result("unfair");
    unfair.update(run.Traffic(scaled(30)));
    lines.push_back(std::move(unfair));
    run.Run("between", seconds(5));

    const int kills = std::max(1, static_cast<int>(16 * options.scale));
    for (int i = 0; i < kills; ++i) {
      const int owner = run.fleet().OwnerOf(kLoads[i % 8].name);
      if (owner < 0)
        continue;
      run.fleet().Crash(static_cast<size_t>(owner));
      run.Run("10 s after the kill of an owner", seconds(10));
      run.fleet().Restart(static_cast<size_t>(owner));
      run.fleet().Publish();
      run.Run("between", seconds(12));
    }
    lines.push_back(run.Result("10 s after the kill of an owner"));

    // Without the log no roster changes: an owner is killed, and its successor
    // process at the same address cannot join.
    run.Run("120 s without the log", seconds(30));
    const int owner = run.fleet().OwnerOf(kLoads[0].name);
    if (owner >= 0) {
      run.fleet().Crash(static_cast<size_t>(owner));
      run.Run("120 s without the log", seconds(10));
      run.fleet().Restart(static_cast<size_t>(owner));
    }
    run.Run("120 s without the log", seconds(80));
    lines.push_back(run.Result("120 s without the log"));
    run.Run("between", seconds(1));
    lines.push_back(run.WorstWindow());
    for (json& line : lines)
      line["measurement"] = "rate-limit";
    return lines;
  }
};

const measurement_registry::entry kRateLimit("rate-limit", [] {
  return std::make_unique<rate_limit_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
