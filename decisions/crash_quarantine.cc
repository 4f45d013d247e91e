#include "decisions/crash_quarantine.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace skylarkhoist {
namespace {

constexpr int kCrashesToQuarantine = 3;

// A request with this many crashes is quarantined even if others have as many.
constexpr int kMaxCrashes = 5;

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

void crash_quarantine::OnCrash(const std::string& service,
                               const std::vector<uint64_t>& in_progress,
                               time_point now) {
  DropExpired(now);
  const std::set<uint64_t> distinct(in_progress.begin(), in_progress.end());
  std::vector<entry*> candidates;
  for (const uint64_t fingerprint : distinct) {
    entry& each = Upsert({service, fingerprint}, now + kRetention);
    each.crashes = std::min(each.crashes + 1, kMaxCrashes);
    if (each.crashes >= kCrashesToQuarantine)
      candidates.push_back(&each);
  }
  for (entry* each : candidates) {
    if (candidates.size() == 1 || each->crashes >= kMaxCrashes)
      each->quarantined = true;
  }
}

bool crash_quarantine::OnRunCompleted(const std::string& service,
                                      uint64_t fingerprint) {
  const auto found = entries_.find({service, fingerprint});
  // The run may have begun before the request was quarantined.
  if (found == entries_.end() || found->second.quarantined)
    return false;
  entries_.erase(found);
  return true;
}

void crash_quarantine::Merge(const crash_record& record, time_point now) {
  DropExpired(now);
  if (record.crashes <= 0 || record.time_left <= duration::zero())
    return;
  entry& known = Upsert({record.service, record.fingerprint},
                        now + std::min(record.time_left, kRetention));
  known.crashes =
      std::max(known.crashes, std::min(record.crashes, kMaxCrashes));
  known.quarantined = known.quarantined || record.quarantined;
}

std::vector<crash_record> crash_quarantine::Snapshot(time_point now) {
  DropExpired(now);
  std::vector<crash_record> records;
  for (const auto& [id, each] : entries_)
    records.push_back({id.first, id.second, each.crashes, each.quarantined,
                       each.expires_at - now});
  return records;
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
