#include "decisions/dedup_claim.h"

#include <algorithm>

namespace skylarkhoist {

dedup_claim::dedup_claim(const dedup_request& request,
                         time_point deadline,
                         const dedup_claim_options& options,
                         time_point now)
    : request_(request),
      deadline_(deadline),
      options_(options),
      round_started_(now),
      next_ask_(now),
      interval_(options.first_poll) {}

void dedup_claim::SetGroup(uint64_t version,
                           const dedup_group& group,
                           time_point now) {
  if (resolution_ || version <= request_.roster_version)
    return;
  request_.roster_version = version;
  group_ = group;
  replies_.clear();
  round_started_ = now;
  interval_ = options_.first_poll;
  Ask(now);
}

void dedup_claim::StartRound(bool query_only, time_point now) {
  ++request_.round;
  request_.query_only = query_only;
  replies_.clear();
  round_started_ = now;
  interval_ = options_.first_poll;
  Ask(now);
}

void dedup_claim::Ask(time_point now) {
  for (const dedup_member& member : group_) {
    const auto reply = replies_.find(member.incarnation);
    const bool granted =
        reply != replies_.end() && reply->second.state == dedup_state::kGranted;
    if (!granted && gone_.count(member.incarnation) == 0)
      messages_.emplace_back(member, request_);
  }
  next_ask_ = now + interval_;
  interval_ = std::min(2 * interval_, options_.longest_poll);
}

void dedup_claim::OnReply(uint64_t from,
                          const dedup_reply& reply,
                          time_point now) {
  const bool member =
      std::any_of(group_.begin(), group_.end(),
                  [&](const auto& m) { return m.incarnation == from; });
  if (resolution_ || !member || reply.id != request_.id ||
      reply.round != request_.round ||
      reply.roster_version != request_.roster_version ||
      (request_.query_only && reply.state == dedup_state::kGranted))
    return;
  // A grant lasts for its round; an answer sent before it may arrive later.
  const auto known = replies_.find(from);
  if (known != replies_.end() && known->second.state == dedup_state::kGranted)
    return;
  replies_[from] = reply;
  Evaluate(now);
}

void dedup_claim::OnMemberGone(uint64_t incarnation, time_point now) {
  gone_.insert(incarnation);
  Evaluate(now);
}

void dedup_claim::OnTick(time_point now) {
  Evaluate(now);
  if (!resolution_ && next_ask_ <= now)
    Ask(now);
}

void dedup_claim::Evaluate(time_point now) {
  if (resolution_)
    return;
  size_t granted = 0;
  size_t unknown = 0;
  size_t blind = 0;
  size_t free = 0;
  size_t silent = 0;
  size_t gone = 0;
  std::map<request_id, size_t> holders;
  for (const dedup_member& member : group_) {
    const auto found = replies_.find(member.incarnation);
    if (found == replies_.end()) {
      ++(gone_.count(member.incarnation) != 0 ? gone : silent);
      continue;
    }
    const dedup_reply& reply = found->second;
    switch (reply.state) {
      case dedup_state::kGranted:
        ++granted;
        break;
      case dedup_state::kKnownRunning:
        ++holders[reply.first_id];
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
      case dedup_state::kBlind:
        ++blind;
        break;
      case dedup_state::kStaleRoster:
        ++silent;
        break;
      case dedup_state::kFree:
        ++free;
        break;
    }
  }
  if (!holders.empty() || unknown > 0)
    other_seen_ = true;

  const size_t needed =
      options_.fault_single_grant ? 1 : MajorityOf(group_.size());
  if (granted >= needed) {
    // A claimant that was paused must not use a grant whose record may have
    // expired.
    if (now - round_started_ <= options_.max_age)
      Resolve(dedup_verdict::kRun);
    else
      StartRound(false, now);
    return;
  }

  if (now >= deadline_) {
    Resolve(other_seen_ ? dedup_verdict::kUnknown
                        : dedup_verdict::kUnavailable);
    return;
  }
  // Without a majority of replicas that have not seen the other copy, it can't
  // be proved that it never ran. Those that do not answer may have granted it.
  const bool no_majority = group_.size() < needed + unknown + blind + gone;
  if (holders.empty() && unknown > 0 &&
      (no_majority || now >= round_started_ + options_.undecided)) {
    Resolve(dedup_verdict::kUnknown);
    return;
  }
  if (holders.empty() && unknown == 0) {
    const bool too_long = now >= round_started_ + options_.undecided;
    const bool undecidable = blind > 0 && no_majority;
    if (undecidable || (too_long && free + granted < needed)) {
      Resolve(other_seen_ ? dedup_verdict::kUnknown
                          : dedup_verdict::kUnavailable);
      return;
    }
  }

  if (request_.query_only) {
    if (!group_.empty() && free >= needed) {
      other_seen_ = false;
      StartRound(false, now);
    }
    return;
  }
  if (holders.empty() ||
      (silent > 0 && now < round_started_ + options_.patience))
    return;
  const bool outranked = holders.begin()->first < request_.id;
  const bool lost =
      std::any_of(holders.begin(), holders.end(),
                  [&](const auto& holder) { return holder.second >= needed; });
  if (outranked || lost)
    StartRound(true, now);
}

void dedup_claim::Resolve(dedup_verdict verdict, stored_answer answer) {
  resolution_ = dedup_resolution{verdict, std::move(answer),
                                 round_started_ + options_.max_age};
}

std::vector<std::pair<dedup_member, dedup_request>>
dedup_claim::TakeMessages() {
  return std::exchange(messages_, {});
}

time_point dedup_claim::next_wake() const {
  return std::min(next_ask_, deadline_);
}

}  // namespace skylarkhoist
