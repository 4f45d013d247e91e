#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include "testing/fault_run.h"
#include "testing/measurement.h"

namespace skylarkhoist {
namespace {

// Histories of a run of full length.
constexpr int kHistories = 5000;

// Runs many histories with consecutive seeds and reports what broke.
class faults_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    const int histories =
        std::max(1, static_cast<int>(kHistories * options.scale));
    std::map<std::string, int64_t> faults;
    std::map<std::string, int64_t> violations;
    std::map<std::string, int64_t> requests;
    std::map<std::string, int64_t> reasons;
    json broken = json::array();
    for (int i = 0; i < histories; ++i) {
      fault_run_options run;
      run.seed = options.seed + static_cast<uint64_t>(i);
      const fault_run_result result = RunFaults(run);
      for (const fault_kind kind : result.faults)
        ++faults[NameOf(kind)];
      for (const auto& [invariant, found] : result.violations)
        violations[invariant] += static_cast<int64_t>(found.items().size());
      for (const auto& [outcome, count] : result.requests)
        requests[outcome] += count;
      for (const auto& [reason, count] : result.reasons)
        reasons[reason] += count;
      if (!result.violations.empty())
        broken.push_back({{"seed", run.seed}, {"found", result.ToText()}});
    }
    int64_t all = 0;
    for (const auto& [outcome, count] : requests)
      all += count;
    json line;
    line["measurement"] = "faults";
    line["histories"] = histories;
    line["faults"] = faults;
    line["violations"] = violations;
    line["requests"] = requests;
    line["copies_by_reason"] = reasons;
    line["unknown_share"] = all == 0
                                ? 0.0
                                : static_cast<double>(requests["unknown"]) /
                                      static_cast<double>(all);
    line["histories_with_violations"] = broken.size();
    constexpr size_t kShown = 10;
    if (broken.size() > kShown)
      broken.erase(broken.begin() + kShown, broken.end());
    line["first_violations"] = broken;
    return {line};
  }
};

const measurement_registry::entry kFaults("faults", [] {
  return std::make_unique<faults_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
