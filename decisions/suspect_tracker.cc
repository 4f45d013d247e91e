#include "decisions/suspect_tracker.h"

#include <xxhash.h>

#include <algorithm>

namespace skylarkhoist {

suspect_verdict suspect_tracker::Check(const std::string& service,
                                       uint64_t fingerprint,
                                       time_point now) {
  DropExpired(now);
  const auto found = entries_.find({service, fingerprint});
  if (found == entries_.end())
    return suspect_verdict::kNormal;
  const entry& suspect = found->second;
  if (suspect.status == suspect_status::kQuarantined) {
    // After one crash only, it is on trial at another node.
    return suspect.crashes < 2 ? suspect_verdict::kWait
                               : suspect_verdict::kQuarantined;
  }
  return local_trials_.count(service) != 0 ? suspect_verdict::kWait
                                           : suspect_verdict::kTrialNeeded;
}

std::optional<suspect_notice> suspect_tracker::BeginTrial(
    const std::string& service,
    uint64_t fingerprint,
    time_point now) {
  if (Check(service, fingerprint, now) != suspect_verdict::kTrialNeeded)
    return std::nullopt;
  const key id{service, fingerprint};
  entry& suspect = Upsert(id, now + retention_);
  suspect.local_trial = true;
  local_trials_[service] = fingerprint;
  suspect_notice notice = MakeNotice(id, suspect, now);
  notice.status = suspect_status::kQuarantined;
  notice.crashes = 1;
  return notice;
}

std::optional<suspect_notice> suspect_tracker::EndTrial(
    const std::string& service,
    uint64_t fingerprint,
    trial_result end,
    time_point now) {
  const auto trial = local_trials_.find(service);
  if (trial == local_trials_.end() || trial->second != fingerprint)
    return std::nullopt;
  if (end == trial_result::kPassed)
    return OnRunCompleted(service, fingerprint);
  local_trials_.erase(trial);
  const auto found = entries_.find({service, fingerprint});
  if (found == entries_.end())
    return std::nullopt;
  found->second.local_trial = false;
  return MakeNotice(found->first, found->second, now);
}

std::optional<suspect_notice> suspect_tracker::OnRunCompleted(
    const std::string& service,
    uint64_t fingerprint) {
  const key id{service, fingerprint};
  const auto found = entries_.find(id);
  // A quarantine after two crashes remains: the request may crash its target
  // only in some runs, so one success does not clear it.
  if (found == entries_.end() || found->second.crashes >= 2)
    return std::nullopt;
  Erase(id);
  return suspect_notice{service, fingerprint, suspect_status::kCleared, 0,
                        retention_};
}

std::vector<suspect_notice> suspect_tracker::OnTargetCrash(
    const std::string& service,
    const std::vector<uint64_t>& in_progress,
    time_point now) {
  DropExpired(now);
  std::vector<uint64_t> distinct = in_progress;
  std::sort(distinct.begin(), distinct.end());
  distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
  std::vector<suspect_notice> notices;
  for (uint64_t fingerprint : distinct) {
    const key id{service, fingerprint};
    const bool known = entries_.count(id) != 0;
    entry& suspect = Upsert(id, now + retention_);
    const bool alone = distinct.size() == 1;
    if (suspect.local_trial || (known && alone)) {
      suspect.status = suspect_status::kQuarantined;
      suspect.crashes = 2;
    } else if (suspect.status != suspect_status::kQuarantined) {
      suspect.crashes = 1;
    }
    if (suspect.local_trial) {
      suspect.local_trial = false;
      local_trials_.erase(service);
    }
    notices.push_back(MakeNotice(id, suspect, now));
  }
  return notices;
}

bool suspect_tracker::Merge(const suspect_notice& notice, time_point now) {
  DropExpired(now);
  const key id{notice.service, notice.fingerprint};
  const auto found = entries_.find(id);
  const bool known = found != entries_.end();
  if (notice.status == suspect_status::kCleared) {
    if (!known || found->second.crashes >= 2)
      return false;
    Erase(id);
    return true;
  }
  const time_point expires_at = now + std::min(notice.time_left, retention_);
  const bool final = notice.crashes >= 2;
  if (known) {
    entry& suspect = found->second;
    if (suspect.crashes >= 2 && !final)
      return false;
    // The trial at this node decides, not the suspicion of another node.
    if (suspect.local_trial && !final)
      return false;
    if (suspect.status == notice.status && suspect.crashes == notice.crashes &&
        suspect.expires_at >= expires_at)
      return false;
  }
  entry& suspect = Upsert(id, expires_at);
  suspect.status = notice.status;
  suspect.crashes = final ? 2 : 1;
  return true;
}

std::vector<suspect_notice> suspect_tracker::Snapshot(time_point now) {
  DropExpired(now);
  std::vector<suspect_notice> notices;
  for (const auto& [id, suspect] : entries_) {
    notices.push_back(MakeNotice(id, suspect, now));
    if (suspect.local_trial)
      notices.back().status = suspect_status::kQuarantined;
  }
  return notices;
}

void suspect_tracker::DropExpired(time_point now) {
  if (next_expiry_ > now)
    return;
  next_expiry_ = time_point::max();
  for (auto it = entries_.begin(); it != entries_.end();) {
    // A trial in progress is kept until its result is reported.
    if (it->second.expires_at <= now && !it->second.local_trial) {
      it = entries_.erase(it);
      continue;
    }
    next_expiry_ = std::min(next_expiry_, it->second.expires_at);
    ++it;
  }
}

suspect_tracker::entry& suspect_tracker::Upsert(const key& id,
                                                time_point expires_at) {
  if (entries_.size() >= max_entries_ && entries_.count(id) == 0) {
    // Makes room by dropping the entry that expires first, except a trial.
    auto earliest = entries_.end();
    for (auto it = entries_.begin(); it != entries_.end(); ++it) {
      if (!it->second.local_trial &&
          (earliest == entries_.end() ||
           it->second.expires_at < earliest->second.expires_at))
        earliest = it;
    }
    if (earliest != entries_.end())
      entries_.erase(earliest);
  }
  entry& suspect = entries_[id];
  suspect.expires_at = std::max(suspect.expires_at, expires_at);
  next_expiry_ = std::min(next_expiry_, suspect.expires_at);
  return suspect;
}

void suspect_tracker::Erase(const key& id) {
  entries_.erase(id);
  const auto trial = local_trials_.find(id.first);
  if (trial != local_trials_.end() && trial->second == id.second)
    local_trials_.erase(trial);
}

suspect_notice suspect_tracker::MakeNotice(const key& id,
                                           const entry& suspect,
                                           time_point now) {
  return {id.first, id.second, suspect.status, suspect.crashes,
          std::max(suspect.expires_at - now, duration::zero())};
}

std::optional<size_t> SuspectTrialNode(
    const std::string& service,
    const std::vector<uint64_t>& incarnations) {
  std::optional<size_t> best;
  uint64_t best_score = 0;
  for (size_t i = 0; i < incarnations.size(); ++i) {
    const uint64_t score =
        XXH64(service.data(), service.size(), incarnations[i]);
    if (!best || score > best_score) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

}  // namespace skylarkhoist
