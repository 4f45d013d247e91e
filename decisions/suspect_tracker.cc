#include "decisions/suspect_tracker.h"

#include <xxhash.h>

#include <algorithm>

namespace skylarkhoist {

suspect_verdict suspect_tracker::Check(const std::string& service,
                                       uint64_t fingerprint,
                                       time_point now) {
  Expire(now);
  const auto found = entries_.find({service, fingerprint});
  if (found == entries_.end())
    return suspect_verdict::kNormal;
  const entry& value = found->second;
  if (value.status == suspect_status::kQuarantined) {
    // With one death it is on trial at another node.
    return value.deaths < 2 ? suspect_verdict::kWait
                            : suspect_verdict::kQuarantined;
  }
  return trials_.count(service) != 0 ? suspect_verdict::kWait
                                     : suspect_verdict::kTrialNeeded;
}

std::optional<suspect_notice> suspect_tracker::BeginTrial(
    const std::string& service,
    uint64_t fingerprint,
    time_point now) {
  if (Check(service, fingerprint, now) != suspect_verdict::kTrialNeeded)
    return std::nullopt;
  const key name{service, fingerprint};
  entry& value = Put(name, now + keep_);
  value.local_trial = true;
  trials_[service] = fingerprint;
  suspect_notice notice = Notice(name, value, now);
  notice.status = suspect_status::kQuarantined;
  notice.deaths = 1;
  return notice;
}

std::optional<suspect_notice> suspect_tracker::EndTrial(
    const std::string& service,
    uint64_t fingerprint,
    trial_end end,
    time_point now) {
  const auto trial = trials_.find(service);
  if (trial == trials_.end() || trial->second != fingerprint)
    return std::nullopt;
  if (end == trial_end::kSurvived)
    return OnSurvived(service, fingerprint);
  trials_.erase(trial);
  const auto found = entries_.find({service, fingerprint});
  if (found == entries_.end())
    return std::nullopt;
  found->second.local_trial = false;
  return Notice(found->first, found->second, now);
}

std::optional<suspect_notice> suspect_tracker::OnSurvived(
    const std::string& service,
    uint64_t fingerprint) {
  const key name{service, fingerprint};
  const auto found = entries_.find(name);
  // A quarantine after two deaths stands: one success of a request that
  // crashes its target now and then is no proof.
  if (found == entries_.end() || found->second.deaths >= 2)
    return std::nullopt;
  Erase(name);
  return suspect_notice{service, fingerprint, suspect_status::kCleared, 0,
                        keep_};
}

std::vector<suspect_notice> suspect_tracker::OnTargetDeath(
    const std::string& service,
    const std::vector<uint64_t>& in_progress,
    time_point now) {
  Expire(now);
  std::vector<uint64_t> distinct = in_progress;
  std::sort(distinct.begin(), distinct.end());
  distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
  std::vector<suspect_notice> notices;
  for (uint64_t fingerprint : distinct) {
    const key name{service, fingerprint};
    const bool known = entries_.count(name) != 0;
    entry& value = Put(name, now + keep_);
    const bool alone = distinct.size() == 1;
    if (value.local_trial || (known && alone)) {
      value.status = suspect_status::kQuarantined;
      value.deaths = 2;
    } else if (value.status != suspect_status::kQuarantined) {
      value.deaths = 1;
    }
    if (value.local_trial) {
      value.local_trial = false;
      trials_.erase(service);
    }
    notices.push_back(Notice(name, value, now));
  }
  return notices;
}

bool suspect_tracker::Merge(const suspect_notice& notice, time_point now) {
  Expire(now);
  const key name{notice.service, notice.fingerprint};
  const auto found = entries_.find(name);
  const bool known = found != entries_.end();
  if (notice.status == suspect_status::kCleared) {
    if (!known || found->second.deaths >= 2)
      return false;
    Erase(name);
    return true;
  }
  const time_point until = now + std::min(notice.time_left, keep_);
  const bool final = notice.deaths >= 2;
  if (known) {
    entry& value = found->second;
    if (value.deaths >= 2 && !final)
      return false;
    // The result of the trial here outweighs what others suspect.
    if (value.local_trial && !final)
      return false;
    if (value.status == notice.status && value.deaths == notice.deaths &&
        value.until >= until)
      return false;
  }
  entry& value = Put(name, until);
  value.status = notice.status;
  value.deaths = final ? 2 : 1;
  return true;
}

std::vector<suspect_notice> suspect_tracker::Snapshot(time_point now) {
  Expire(now);
  std::vector<suspect_notice> notices;
  for (const auto& [name, value] : entries_) {
    notices.push_back(Notice(name, value, now));
    if (value.local_trial)
      notices.back().status = suspect_status::kQuarantined;
  }
  return notices;
}

void suspect_tracker::Expire(time_point now) {
  if (next_expiry_ > now)
    return;
  next_expiry_ = time_point::max();
  for (auto each = entries_.begin(); each != entries_.end();) {
    // A trial in progress is kept until its end is reported.
    if (each->second.until <= now && !each->second.local_trial) {
      each = entries_.erase(each);
      continue;
    }
    next_expiry_ = std::min(next_expiry_, each->second.until);
    ++each;
  }
}

suspect_tracker::entry& suspect_tracker::Put(const key& name,
                                             time_point until) {
  if (entries_.size() >= max_entries_ && entries_.count(name) == 0) {
    // Makes room by dropping the entry that ends first, except a trial.
    auto oldest = entries_.end();
    for (auto each = entries_.begin(); each != entries_.end(); ++each) {
      if (!each->second.local_trial &&
          (oldest == entries_.end() ||
           each->second.until < oldest->second.until))
        oldest = each;
    }
    if (oldest != entries_.end())
      entries_.erase(oldest);
  }
  entry& value = entries_[name];
  value.until = std::max(value.until, until);
  next_expiry_ = std::min(next_expiry_, value.until);
  return value;
}

void suspect_tracker::Erase(const key& name) {
  entries_.erase(name);
  const auto trial = trials_.find(name.first);
  if (trial != trials_.end() && trial->second == name.second)
    trials_.erase(trial);
}

suspect_notice suspect_tracker::Notice(const key& name,
                                       const entry& value,
                                       time_point now) {
  return {name.first, name.second, value.status, value.deaths,
          std::max(value.until - now, duration::zero())};
}

std::optional<size_t> SuspectHome(const std::string& service,
                                  const std::vector<uint64_t>& incarnations) {
  std::optional<size_t> best;
  uint64_t best_rank = 0;
  for (size_t i = 0; i < incarnations.size(); ++i) {
    const uint64_t rank =
        XXH64(service.data(), service.size(), incarnations[i]);
    if (!best || rank > best_rank) {
      best = i;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace skylarkhoist
