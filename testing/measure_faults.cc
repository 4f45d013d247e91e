#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include "testing/fault_run.h"
#include "testing/measurement.h"

namespace skylarkhoist {
namespace {

// Number of histories at scale 1.
constexpr int kFullHistoryCount = 5000;

// Runs many histories with consecutive seeds. A history is one run of a small
// fleet with random faults. Reports the violated invariants.
class faults_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    const int history_count =
        std::max(1, static_cast<int>(kFullHistoryCount * options.scale));
    std::map<std::string, int64_t> faults;
    std::map<std::string, int64_t> violations;
    std::map<std::string, int64_t> requests;
    std::map<std::string, int64_t> reasons;
    json histories_with_violations = json::array();
    for (int i = 0; i < history_count; ++i) {
      fault_run_options run;
      run.seed = options.seed + static_cast<uint64_t>(i);
      const fault_run_result result = RunWithFaults(run);
      for (const fault_kind kind : result.faults)
        ++faults[NameOf(kind)];
      for (const auto& [invariant, violation_list] : result.violations)
        violations[invariant] +=
            static_cast<int64_t>(violation_list.items().size());
      for (const auto& [outcome, count] : result.requests_by_outcome)
        requests[outcome] += count;
      for (const auto& [reason, count] : result.copies_by_reason)
        reasons[reason] += count;
      if (!result.violations.empty())
        histories_with_violations.push_back(
            {{"seed", run.seed}, {"found", result.ToText()}});
    }
    int64_t total_requests = 0;
    for (const auto& [outcome, count] : requests)
      total_requests += count;
    json line;
    line["measurement"] = "faults";
    line["histories"] = history_count;
    line["faults"] = faults;
    line["violations"] = violations;
    line["requests"] = requests;
    line["copies_by_reason"] = reasons;
    line["unknown_share"] = total_requests == 0
                                ? 0.0
                                : static_cast<double>(requests["unknown"]) /
                                      static_cast<double>(total_requests);
    line["histories_with_violations"] = histories_with_violations.size();
    constexpr size_t kMaxReported = 10;
    if (histories_with_violations.size() > kMaxReported)
      histories_with_violations.erase(
          histories_with_violations.begin() + kMaxReported,
          histories_with_violations.end());
    line["first_violations"] = histories_with_violations;
    return {line};
  }
};

const measurement_registry::registration kFaults("faults", [] {
  return std::make_unique<faults_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
