#include "decisions/crash_detector.h"

#include <algorithm>

namespace skylarkhoist {

void crash_detector::OnRunLost(const run_in_crash& run) {
  if (lost_runs_.size() >= kMaxRuns)
    lost_runs_.erase(lost_runs_.begin());
  lost_runs_.push_back(run);
}

void crash_detector::OnResponse(time_point sent_at) {
  lost_runs_.erase(std::remove_if(lost_runs_.begin(), lost_runs_.end(),
                                  [&](const run_in_crash& each) {
                                    return each.lost_at <= sent_at;
                                  }),
                   lost_runs_.end());
}

std::vector<run_in_crash> crash_detector::TakeRunsInCrash(time_point now) {
  std::vector<run_in_crash> runs;
  for (const run_in_crash& each : lost_runs_) {
    if (now - each.lost_at <= kMaxDowntime)
      runs.push_back(each);
  }
  lost_runs_.clear();
  return runs;
}

}  // namespace skylarkhoist
