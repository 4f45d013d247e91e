#include "decisions/target_status_tracker.h"

#include <algorithm>
#include <cstddef>

namespace skylarkhoist {
namespace {

// Number of responses without a limit that end it. A faulty target may lose
// header fields of single responses.
constexpr int kResponsesToEndLimit = 3;

// Runs that are remembered. A node has few targets, but reports may name runs
// that have not announced themselves here.
constexpr size_t kMaxRuns = 16;

}  // namespace

target_status_tracker::entry& target_status_tracker::EntryOf(
    const target_run& run,
    time_point now) {
  if (entries_.count(run) == 0 && entries_.size() >= kMaxRuns) {
    entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                    [](const auto& left, const auto& right) {
                                      return left.second.updated_at <
                                             right.second.updated_at;
                                    }));
  }
  entry& found = entries_[run];
  found.updated_at = now;
  return found;
}

void target_status_tracker::OnResponse(const target_run& run,
                                       const target_status& status,
                                       time_point sent_at,
                                       time_point now) {
  entry& known = EntryOf(run, now);
  known.has_responded = true;
  known.status.leaving = known.status.leaving || status.leaving;
  if (status.max_calls_per_second) {
    known.status.max_calls_per_second = status.max_calls_per_second;
    known.limit_named_at = now;
    known.responses_without_limit = 0;
  } else if (known.status.max_calls_per_second &&
             sent_at >= known.limit_named_at &&
             ++known.responses_without_limit >= kResponsesToEndLimit) {
    known.status.max_calls_per_second.reset();
  }
}

void target_status_tracker::OnReport(const target_run& run,
                                     const target_status& status,
                                     time_point now) {
  entry& known = EntryOf(run, now);
  known.status.leaving = known.status.leaving || status.leaving;
  std::optional<double>& limit = known.status.max_calls_per_second;
  if (known.has_responded || !status.max_calls_per_second ||
      (limit && *limit <= *status.max_calls_per_second))
    return;
  limit = status.max_calls_per_second;
  known.limit_named_at = now;
  known.responses_without_limit = 0;
}

target_status target_status_tracker::StatusOf(const target_run& run) const {
  const auto found = entries_.find(run);
  return found == entries_.end() ? target_status() : found->second.status;
}

}  // namespace skylarkhoist
