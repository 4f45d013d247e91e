#include <map>
#include <memory>
#include <string>

#include "testing/deployments.h"
#include "testing/measurement.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTargetCount = 3;
constexpr int kCrashingCopies = 50;
// Time between two copies of the crashing request, so that targets can restart
// while copies still arrive.
constexpr duration kCopyInterval = milliseconds(200);
// Time until the fleet has formed and targets are in use.
constexpr duration kFleetStartTime = seconds(8);
constexpr duration kRequestInterval = milliseconds(10);

// Requests by the Skylark-Reason of their response; "connection" without one.
struct outcome_counts {
  std::map<std::string, int64_t> other_by_reason;
  std::map<std::string, int64_t> crashing_by_reason;
  int64_t target_crashes = 0;
  int64_t other_requests = 0;
};

// Three nodes, each with one target of the service "calendar".
std::vector<fleet_machine> MakeMachines() {
  std::vector<fleet_machine> machines;
  for (int i = 0; i < kTargetCount; ++i) {
    fleet_machine machine;
    machine.name = "node-" + std::to_string(i);
    machine.zone = "zone-" + std::to_string(i);
    fleet_target target;
    target.service = "calendar";
    target.options.starts_cold = false;
    target.options.slots = 20;
    target.options.max_calls = 100;
    target.options.service_time = milliseconds(10);
    machine.targets.push_back(target);
    machines.push_back(machine);
  }
  return machines;
}

outcome_counts RunOnce(uint64_t seed, bool with_crashes) {
  fleet cluster(MakeMachines(), seed);
  PublishSmallDeployment(&cluster, 2);
  cluster.Advance(kFleetStartTime);
  auto outcomes = std::make_shared<outcome_counts>();
  const auto send = [&](std::map<std::string, int64_t>* count_by_reason,
                        int customer, const std::string& body) {
    cluster.Send(
        cluster.random().Below(kTargetCount),
        MakeRequest("GET", "/calendar", ApiKeyOf(customer), body),
        [outcomes,
         count_by_reason](const std::optional<http_response>& response) {
          ++(*count_by_reason)[!response
                                   ? "connection"
                                   : HeaderValue(*response, "Skylark-Reason")];
        });
  };
  const int requests_per_copy =
      static_cast<int>(kCopyInterval / kRequestInterval);
  for (int i = 0; i < kCrashingCopies * requests_per_copy; ++i) {
    if (with_crashes && i % requests_per_copy == 0) {
      send(&outcomes->crashing_by_reason, 0,
           fake_target_options().crash_marker);
    }
    ++outcomes->other_requests;
    send(&outcomes->other_by_reason, 1, "request " + std::to_string(i));
    cluster.Advance(kRequestInterval);
  }
  cluster.Advance(seconds(12));
  for (size_t i = 0; i < kTargetCount; ++i) {
    outcomes->target_crashes +=
        cluster.targets().counters(cluster.TargetAddress(i, 0)).crashes;
  }
  return *outcomes;
}

// Measures the damage of one request that crashes its target: its caller sends
// it 50 times to a service with 3 targets that also has other load. A second
// run has the other load alone.
class crash_request_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    std::vector<json> lines;
    for (const bool with_crashes : {true, false}) {
      const outcome_counts outcomes = RunOnce(options.seed, with_crashes);
      const auto ok = outcomes.other_by_reason.find("ok");
      json line;
      line["measurement"] = "crash-request";
      line["seed"] = options.seed;
      line["crashing_copies"] = with_crashes ? kCrashingCopies : 0;
      line["crashing_by_reason"] = outcomes.crashing_by_reason;
      line["targets"] = kTargetCount;
      line["targets_lost"] = outcomes.target_crashes;
      line["other_requests"] = outcomes.other_requests;
      line["other_by_reason"] = outcomes.other_by_reason;
      line["other_refused_or_failed"] =
          outcomes.other_requests -
          (ok == outcomes.other_by_reason.end() ? 0 : ok->second);
      lines.push_back(line);
    }
    return lines;
  }
};

const measurement_registry::registration kCrashRequest("crash-request", [] {
  return std::make_unique<crash_request_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
