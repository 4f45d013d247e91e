#include "decisions/crash_detector.h"

#include <algorithm>

namespace skylarkhoist {

void crash_detector::OnRunLost(uint64_t fingerprint, time_point now) {
  if (lost_runs_.size() >= kMaxRuns)
    lost_runs_.erase(lost_runs_.begin());
  lost_runs_.push_back({fingerprint, now});
}

void crash_detector::OnResponse(time_point sent_at) {
  lost_runs_.erase(std::remove_if(lost_runs_.begin(), lost_runs_.end(),
                                  [&](const lost_run& each) {
                                    return each.lost_at <= sent_at;
                                  }),
                   lost_runs_.end());
}

std::vector<uint64_t> crash_detector::TakeRunsInCrash(time_point now) {
  std::vector<uint64_t> fingerprints;
  for (const lost_run& each : lost_runs_) {
    if (now - each.lost_at <= kMaxDowntime)
      fingerprints.push_back(each.fingerprint);
  }
  lost_runs_.clear();
  return fingerprints;
}

}  // namespace skylarkhoist
