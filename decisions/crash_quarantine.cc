#include "decisions/crash_quarantine.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace skylarkhoist {
namespace {

constexpr int kCrashesToQuarantine = 3;

// A request with this many crashes is quarantined even if others have as many.
constexpr int kMaxCrashes = 5;

// Runs that are kept of one request.
constexpr size_t kMaxRuns = 16;

// How long a quarantine, or a row of crashes without a further one, lasts.
constexpr duration kRetention = std::chrono::minutes(5);

}  // namespace

bool crash_quarantine::IsQuarantined(const std::string& service,
                                     uint64_t fingerprint,
                                     time_point now) {
  DropExpired(now);
  const auto found = entries_.find({service, fingerprint});
  return found != entries_.end() && found->second.quarantined;
}

int crash_quarantine::CrashesInARow(const entry& each) {
  int count = 0;
  time_point last_lost_at = time_point::min();
  for (const run_in_crash& run : each.runs) {
    if (run.started_at <= last_lost_at)
      continue;
    ++count;
    last_lost_at = run.lost_at;
  }
  return count;
}

void crash_quarantine::OnCrash(const std::string& service,
                               const std::vector<run_in_crash>& in_progress,
                               time_point now) {
  DropExpired(now);
  std::set<entry*> candidates;
  for (const run_in_crash& run : in_progress) {
    entry& each = Upsert({service, run.fingerprint}, now + kRetention);
    const auto position = std::upper_bound(
        each.runs.begin(), each.runs.end(), run,
        [](const run_in_crash& left, const run_in_crash& right) {
          return left.lost_at < right.lost_at;
        });
    each.runs.insert(position, run);
    if (each.runs.size() > kMaxRuns)
      each.runs.erase(each.runs.begin());
    if (CrashesInARow(each) >= kCrashesToQuarantine)
      candidates.insert(&each);
  }
  for (entry* each : candidates) {
    if (candidates.size() == 1 || CrashesInARow(*each) >= kMaxCrashes)
      each->quarantined = true;
  }
}

bool crash_quarantine::OnRunCompleted(const std::string& service,
                                      uint64_t fingerprint) {
  return entries_.erase({service, fingerprint}) > 0;
}

void crash_quarantine::Merge(const quarantined_request& request,
                             time_point now) {
  DropExpired(now);
  if (request.time_left <= duration::zero())
    return;
  Upsert({request.service, request.fingerprint},
         now + std::min(request.time_left, kRetention))
      .quarantined = true;
}

std::vector<quarantined_request> crash_quarantine::Quarantined(time_point now) {
  DropExpired(now);
  std::vector<quarantined_request> requests;
  for (const auto& [id, each] : entries_) {
    if (each.quarantined)
      requests.push_back({id.first, id.second, each.expires_at - now});
  }
  return requests;
}

crash_quarantine::entry& crash_quarantine::Upsert(const key& id,
                                                  time_point expires_at) {
  if (entries_.size() >= max_entries_ && entries_.count(id) == 0)
    entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                    [](const auto& left, const auto& right) {
                                      return left.second.expires_at <
                                             right.second.expires_at;
                                    }));
  entry& found = entries_[id];
  found.expires_at = std::max(found.expires_at, expires_at);
  next_expiry_ = std::min(next_expiry_, found.expires_at);
  return found;
}

void crash_quarantine::DropExpired(time_point now) {
  if (next_expiry_ > now)
    return;
  next_expiry_ = time_point::max();
  for (auto each = entries_.begin(); each != entries_.end();) {
    if (each->second.expires_at <= now) {
      each = entries_.erase(each);
      continue;
    }
    next_expiry_ = std::min(next_expiry_, each->second.expires_at);
    ++each;
  }
}

}  // namespace skylarkhoist
