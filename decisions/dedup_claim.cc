#include "decisions/dedup_claim.h"

#include <algorithm>

namespace skylarkhoist {

dedup_claim::dedup_claim(const dedup_claim_request& request,
                         time_point deadline,
                         const dedup_claim_options& options,
                         time_point now)
    : request_(request),
      deadline_(deadline),
      options_(options),
      round_started_(now),
      next_poll_(now),
      poll_interval_(options.min_poll_interval) {}

void dedup_claim::SetGroup(uint64_t version,
                           const dedup_group& group,
                           time_point now) {
  if (resolution_ || version <= request_.roster_version)
    return;
  request_.roster_version = version;
  group_ = group;
  replies_.clear();
  round_started_ = now;
  poll_interval_ = options_.min_poll_interval;
  PollReplicas(now);
}

void dedup_claim::StartRound(bool query_only, time_point now) {
  ++request_.round;
  request_.query_only = query_only;
  replies_.clear();
  round_started_ = now;
  poll_interval_ = options_.min_poll_interval;
  PollReplicas(now);
}

void dedup_claim::PollReplicas(time_point now) {
  for (const dedup_member& member : group_) {
    const auto reply = replies_.find(member.incarnation);
    const bool granted =
        reply != replies_.end() && reply->second.state == dedup_state::kGranted;
    if (!granted && gone_members_.count(member.incarnation) == 0)
      messages_.emplace_back(member, request_);
  }
  next_poll_ = now + poll_interval_;
  poll_interval_ = std::min(2 * poll_interval_, options_.max_poll_interval);
}

void dedup_claim::OnReply(uint64_t from,
                          const dedup_claim_reply& reply,
                          time_point now) {
  const bool is_member = std::any_of(
      group_.begin(), group_.end(),
      [&](const auto& member) { return member.incarnation == from; });
  if (resolution_ || !is_member || reply.id != request_.id ||
      reply.round != request_.round ||
      reply.roster_version != request_.roster_version ||
      (request_.query_only && reply.state == dedup_state::kGranted))
    return;
  // A grant is valid for the whole round; a reply that arrives after it may
  // have been sent before it.
  const auto previous = replies_.find(from);
  if (previous != replies_.end() &&
      previous->second.state == dedup_state::kGranted)
    return;
  replies_[from] = reply;
  Evaluate(now);
}

void dedup_claim::OnMemberGone(uint64_t incarnation, time_point now) {
  gone_members_.insert(incarnation);
  Evaluate(now);
}

void dedup_claim::OnTick(time_point now) {
  Evaluate(now);
  if (!resolution_ && next_poll_ <= now)
    PollReplicas(now);
}

void dedup_claim::Evaluate(time_point now) {
  if (resolution_)
    return;
  size_t granted = 0;
  size_t unknown = 0;
  size_t incomplete = 0;
  size_t free = 0;
  size_t unanswered = 0;
  size_t gone = 0;
  std::map<request_id, size_t> holders;
  for (const dedup_member& member : group_) {
    const auto found = replies_.find(member.incarnation);
    if (found == replies_.end()) {
      ++(gone_members_.count(member.incarnation) != 0 ? gone : unanswered);
      continue;
    }
    const dedup_claim_reply& reply = found->second;
    switch (reply.state) {
      case dedup_state::kGranted:
        ++granted;
        break;
      case dedup_state::kKnownRunning:
        ++holders[reply.holder_id];
        break;
      case dedup_state::kKnownFinished:
        if (reply.outcome == dedup_outcome::kAnswered) {
          Resolve(
              reply.answer ? dedup_verdict::kAnswered : dedup_verdict::kUnknown,
              reply.answer);
          return;
        }
        ++unknown;
        break;
      case dedup_state::kIncomplete:
        ++incomplete;
        break;
      case dedup_state::kStaleRoster:
        ++unanswered;
        break;
      case dedup_state::kFree:
        ++free;
        break;
    }
  }
  if (!holders.empty() || unknown > 0)
    other_copy_seen_ = true;

  const size_t needed =
      options_.fault_single_grant ? 1 : MajorityOf(group_.size());
  if (granted >= needed) {
    // After a pause of the process, the records of the grants may have expired.
    if (now - round_started_ <= options_.max_grant_age)
      Resolve(dedup_verdict::kRun);
    else
      StartRound(false, now);
    return;
  }

  if (now >= deadline_) {
    Resolve(other_copy_seen_ ? dedup_verdict::kUnknown
                             : dedup_verdict::kUnavailable);
    return;
  }
  // That another copy never ran is only proved by a majority of replicas that
  // have complete records and none of that copy. Replicas that have not replied
  // may still be among these; those that are gone may have granted the other
  // copy.
  const bool no_majority = group_.size() < needed + unknown + incomplete + gone;
  if (holders.empty() && unknown > 0 &&
      (no_majority || now >= round_started_ + options_.undecided_timeout)) {
    Resolve(dedup_verdict::kUnknown);
    return;
  }
  if (holders.empty() && unknown == 0) {
    const bool timed_out = now >= round_started_ + options_.undecided_timeout;
    const bool undecidable = incomplete > 0 && no_majority;
    if (undecidable || (timed_out && free + granted < needed)) {
      Resolve(other_copy_seen_ ? dedup_verdict::kUnknown
                               : dedup_verdict::kUnavailable);
      return;
    }
  }

  if (request_.query_only) {
    if (!group_.empty() && free >= needed) {
      other_copy_seen_ = false;
      StartRound(false, now);
    }
    return;
  }
  if (holders.empty() ||
      (unanswered > 0 && now < round_started_ + options_.yield_delay))
    return;
  const bool lower_id_holds = holders.begin()->first < request_.id;
  const bool other_has_majority =
      std::any_of(holders.begin(), holders.end(),
                  [&](const auto& holder) { return holder.second >= needed; });
  if (lower_id_holds || other_has_majority)
    StartRound(true, now);
}

void dedup_claim::Resolve(dedup_verdict verdict, stored_answer answer) {
  resolution_ = dedup_resolution{verdict, std::move(answer),
                                 round_started_ + options_.max_grant_age};
}

std::vector<std::pair<dedup_member, dedup_claim_request>>
dedup_claim::TakeMessages() {
  return std::exchange(messages_, {});
}

time_point dedup_claim::next_wake() const {
  return std::min(next_poll_, deadline_);
}

}  // namespace skylarkhoist
