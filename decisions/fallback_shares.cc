#include "decisions/fallback_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkhoist {
namespace {

// Time constant of the average use.
constexpr double kAverageSeconds = 1.0;

// A node with a watched share that is silent for longer is cut off or paused.
// Allows for one contact that is delayed by a busy node.
constexpr duration kMaxContactGap = std::chrono::milliseconds(700);

// Nodes with watched shares call more often than this. A longer time without
// any call means that this process did not run.
constexpr duration kMaxCallGap = std::chrono::milliseconds(500);

// Bounds the work of looking at all nodes.
constexpr duration kTakeInterval = std::chrono::milliseconds(50);

// A new owner learns the shares under the former one within this time.
constexpr duration kTakeoverTime = std::chrono::seconds(3);

// Nodes out of reach may hold this many times their even part of the rate.
constexpr double kMaxInheritedParts = 3.0;

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

double Decay(duration elapsed) {
  return std::exp(-Seconds(elapsed) / kAverageSeconds);
}

}  // namespace

double fallback_shares::DecayedUse(const entry& each, time_point now) {
  return each.use_per_second * Decay(now - each.averaged_at);
}

void fallback_shares::AddUse(entry* to, double tokens, time_point now) {
  to->use_per_second = DecayedUse(*to, now) + tokens / kAverageSeconds;
  to->averaged_at = now;
  total_use_ =
      total_use_ * Decay(now - total_averaged_at_) + tokens / kAverageSeconds;
  total_averaged_at_ = now;
}

void fallback_shares::SetShare(entry* of, double share) {
  total_shares_ += share - of->share;
  of->share = share;
}

// The nodes were not silent while this process did not run: their messages are
// still to be read.
void fallback_shares::ForgetStall(time_point now) {
  const duration gap = now - std::exchange(called_at_, now);
  if (gap <= kMaxCallGap)
    return;
  for (auto& [address, each] : entries_) {
    each.silent_since = std::min(now, each.silent_since + gap);
  }
}

double fallback_shares::OnContact(const std::string& node,
                                  uint64_t incarnation,
                                  const fallback_share& held,
                                  uint64_t generated,
                                  time_point now) {
  ForgetStall(now);
  const auto [found, inserted] = entries_.try_emplace(node);
  entry& known = found->second;
  double to_charge = 0;
  if (inserted || known.incarnation != incarnation) {
    SetShare(&known, 0);
    known = entry();
    known.incarnation = incarnation;
    known.averaged_at = now;
    if (held.granted_by != 0 && now - created_at_ < kTakeoverTime) {
      SetShare(&known, held.per_second);
      known.former_share = held.per_second;
      AddUse(&known, held.per_second * kAverageSeconds, now);
      former_total_ = std::max(former_total_, held.total_per_second);
      former_reported_ += held.per_second;
    }
  } else if ((held.granted_by == owner_incarnation_ || held.granted_by == 0) &&
             generated >= known.generated) {
    // Without a grantor, the node has given up its share.
    if (held.granted_by == 0)
      SetShare(&known, 0);
    const auto used = static_cast<double>(generated - known.generated);
    to_charge = used - known.charged;
    AddUse(&known, used, now);
  }
  known.confirmed = held.granted_by == owner_incarnation_;
  known.generated = generated;
  known.charged = 0;
  known.heard_at = now;
  known.silent_since = now;
  known.charged_until = now;
  return to_charge;
}

double fallback_shares::ChargeSilence(entry* silent,
                                      node_reach reach,
                                      time_point now) {
  const bool is_lost = reach == node_reach::kLost;
  const bool is_watched =
      silent->confirmed && silent->share >= kMinWatchedShare;
  const time_point since = is_lost ? silent->heard_at : silent->silent_since;
  if (reach == node_reach::kOwn || now - since <= kMaxContactGap ||
      (!is_lost && !is_watched))
    return 0;
  // A node that stays in reach for longer is paused.
  const time_point end = is_lost ? now : std::min(now, since + kDetectionTime);
  time_point begin = std::max(silent->charged_until, since);
  // A node without a watched share may have been idle for long when it got out
  // of reach.
  if (!is_watched)
    begin = std::max(begin, now - kDetectionTime - reach_history::kMinLossTime);
  if (end <= begin)
    return 0;
  const double tokens = silent->share * Seconds(end - begin);
  silent->charged += tokens;
  silent->charged_until = end;
  reserved_per_second_ += silent->share;
  return tokens;
}

double fallback_shares::TakeReserved(
    const std::function<node_reach(const std::string&)>& reach_of,
    reach_counts counts,
    double rate,
    double min_per_second,
    time_point now) {
  ForgetStall(now);
  if (now - taken_at_ < kTakeInterval && taken_at_ != created_at_)
    return 0;
  taken_at_ = now;
  double reserved = 0;
  reserved_per_second_ = 0;
  total_use_ = 0;
  total_averaged_at_ = now;
  total_shares_ = 0;
  size_t lost_with_share = 0;
  for (auto each = entries_.begin(); each != entries_.end();) {
    entry& known = each->second;
    const duration silence = now - known.heard_at;
    const node_reach reach = reach_of(each->first);
    if (silence >= kRetention ||
        (reach == node_reach::kEnded && silence > kMaxContactGap) ||
        (reach != node_reach::kLost &&
         silence >= kMaxIdleTime + kDetectionTime)) {
      each = entries_.erase(each);
      continue;
    }
    reserved += ChargeSilence(&known, reach, now);
    total_use_ += DecayedUse(known, now);
    total_shares_ += known.share;
    if (reach == node_reach::kLost && known.share > 0)
      ++lost_with_share;
    ++each;
  }
  const auto lost = static_cast<double>(counts.lost);
  inherited_ = min_per_second *
               std::max(0.0, lost - static_cast<double>(lost_with_share));
  if (now - created_at_ < kRetention) {
    // The owner changes with the first nodes that get out of reach.
    const double lost_part = static_cast<double>(counts.out_of_reach) /
                             static_cast<double>(counts.known);
    inherited_ = std::max(
        inherited_,
        std::clamp(former_total_ - former_reported_, 0.0,
                   rate * std::min(1.0, lost_part * kMaxInheritedParts)));
  }
  reserved += inherited_ * Seconds(now - inherited_charged_until_);
  inherited_charged_until_ = now;
  reserved_per_second_ += inherited_;
  return reserved;
}

fallback_share fallback_shares::ShareAfterGrant(const std::string& node,
                                                int64_t granted,
                                                double rate,
                                                double min_per_second,
                                                time_point now) {
  entry& own = entries_[node];
  AddUse(&own, static_cast<double>(granted), now);
  own.heard_at = now;
  own.silent_since = now;
  own.charged_until = now;
  const double use = own.use_per_second;
  const double total_use = std::max(use, total_use_);
  const double shares_of_others =
      std::max(0.0, total_shares_ - own.share) + inherited_;
  const double even_use = total_use > rate ? rate * use / total_use : use;
  double share = std::max(even_use, min_per_second);
  // The former owner may not know that this one gives a larger share.
  if (inherited_ > 0 && own.former_share > 0 &&
      now - created_at_ < kTakeoverTime)
    share = std::min(share, own.former_share);
  SetShare(&own,
           std::clamp(share, 0.0, std::max(0.0, rate - shares_of_others)));
  return {own.share, own.share + shares_of_others, owner_incarnation_};
}

}  // namespace skylarkhoist
