#include <map>
#include <memory>
#include <string>

#include "testing/deployments.h"
#include "testing/measurement.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTargets = 3;
constexpr int kCopies = 50;
// Between two copies of the crashing request, so that targets restart in
// between.
constexpr duration kCopyInterval = milliseconds(200);
constexpr duration kFormation = seconds(8);
constexpr duration kRequestInterval = milliseconds(10);

struct outcome_counts {
  std::map<std::string, int64_t> other;
  std::map<std::string, int64_t> crashing;
  int64_t targets_lost = 0;
  int64_t requests = 0;
};

// Three nodes with one target of one service each.
std::vector<fleet_machine> Machines() {
  std::vector<fleet_machine> machines;
  for (int i = 0; i < kTargets; ++i) {
    fleet_machine machine;
    machine.name = "node-" + std::to_string(i);
    machine.zone = "zone-" + std::to_string(i);
    fleet_target target;
    target.service = "calendar";
    target.options.starts_cold = false;
    target.options.slots = 20;
    target.options.connections = 100;
    target.options.service_time = milliseconds(10);
    machine.targets.push_back(target);
    machines.push_back(machine);
  }
  return machines;
}

outcome_counts RunOnce(uint64_t seed, bool with_crashes) {
  fleet cluster(Machines(), seed);
  PublishSmallDeployment(&cluster, 2);
  cluster.Advance(kFormation);
  auto counts = std::make_shared<outcome_counts>();
  const auto send = [&](std::map<std::string, int64_t>* to, int customer,
                        const std::string& body) {
    cluster.Send(cluster.random().Below(kTargets),
                 MakeRequest("GET", "/calendar", KeyOf(customer), body),
                 [counts, to](const std::optional<http_response>& response) {
                   ++(*to)[!response ? "connection"
                                     : HeaderOf(*response, "Skylark-Reason")];
                 });
  };
  const int per_copy = static_cast<int>(kCopyInterval / kRequestInterval);
  for (int i = 0; i < kCopies * per_copy; ++i) {
    if (with_crashes && i % per_copy == 0) {
      send(&counts->crashing, 0, fake_target_options().crash_mark);
    }
    ++counts->requests;
    send(&counts->other, 1, "request " + std::to_string(i));
    cluster.Advance(kRequestInterval);
  }
  cluster.Advance(seconds(12));
  for (size_t i = 0; i < kTargets; ++i) {
    counts->targets_lost +=
        cluster.targets().counters(cluster.TargetAddress(i, 0)).crashes;
  }
  return *counts;
}

// One crashing request, sent 50 times by its caller against a service with 3
// targets under other load; and the same load without it.
class crash_request_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    std::vector<json> lines;
    for (const bool with_crashes : {true, false}) {
      const outcome_counts counts = RunOnce(options.seed, with_crashes);
      const auto ok = counts.other.find("ok");
      json line;
      line["measurement"] = "crash-request";
      line["seed"] = options.seed;
      line["crashing_copies"] = with_crashes ? kCopies : 0;
      line["crashing_by_reason"] = counts.crashing;
      line["targets"] = kTargets;
      line["targets_lost"] = counts.targets_lost;
      line["other_requests"] = counts.requests;
      line["other_by_reason"] = counts.other;
      line["other_refused_or_failed"] =
          counts.requests - (ok == counts.other.end() ? 0 : ok->second);
      lines.push_back(line);
    }
    return lines;
  }
};

const measurement_registry::entry kCrashRequest("crash-request", [] {
  return std::make_unique<crash_request_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
