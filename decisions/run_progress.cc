#include "decisions/run_progress.h"

#include <algorithm>
#include <cmath>

namespace skylarkhoist {

void run_progress::OnCallSucceeded(const std::string& run_id,
                                   const std::string& called_route) {
  if (runs_.size() >= kMaxRuns && runs_.count(run_id) == 0)
    runs_.clear();
  ++runs_[run_id][called_route];
}

void run_progress::OnRunEnded(const std::string& run_id,
                              const std::string& route,
                              bool succeeded) {
  const auto run = runs_.find(run_id);
  if (run == runs_.end())
    return;
  if (succeeded) {
    if (calls_per_run_.size() >= kMaxRoutes && calls_per_run_.count(route) == 0)
      calls_per_run_.clear();
    auto& averages = calls_per_run_[route];
    for (const auto& [called_route, calls] : run->second) {
      const auto [average, inserted] =
          averages.try_emplace(called_route, calls);
      if (!inserted)
        average->second += kRunWeight * (calls - average->second);
    }
  }
  runs_.erase(run);
}

int run_progress::CallsLeft(const std::string& run_id,
                            const std::string& route,
                            const std::string& called_route) const {
  const auto averages = calls_per_run_.find(route);
  if (averages == calls_per_run_.end())
    return 1;
  const auto average = averages->second.find(called_route);
  if (average == averages->second.end())
    return 1;
  int answered = 0;
  const auto run = runs_.find(run_id);
  if (run != runs_.end()) {
    const auto count = run->second.find(called_route);
    answered = count == run->second.end() ? 0 : count->second;
  }
  return std::max(1, static_cast<int>(std::lround(average->second)) - answered);
}

}  // namespace skylarkhoist
