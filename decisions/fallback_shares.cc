#include "decisions/fallback_shares.h"

#include <algorithm>
#include <cmath>

namespace skylarkhoist {
namespace {

// Time constant of the average use.
constexpr double kAverageSeconds = 1.0;

// A node that uses its share contacts the owner more often than this, or than
// it uses up this many tokens.
constexpr duration kMaxContactGap = std::chrono::milliseconds(700);
constexpr double kMaxTokensBetweenContacts = 5;

// A node that has been out of contact for longer, and is still in reach, has no
// demand: a partition would have been noticed.
constexpr duration kDetectionTime = std::chrono::milliseconds(2500);

// A new owner learns the shares under the former one within this time.
constexpr duration kTakeoverTime = std::chrono::seconds(3);

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

double fallback_shares::DecayedUse(const entry& each, time_point now) {
  return each.use_per_second *
         std::exp(-Seconds(now - each.averaged_at) / kAverageSeconds);
}

double fallback_shares::Inherited(time_point now) const {
  return now - created_at_ >= kRetention
             ? 0
             : std::max(0.0, former_total_ - former_reported_);
}

double fallback_shares::OnContact(const std::string& node,
                                  uint64_t incarnation,
                                  const fallback_share& held,
                                  uint64_t generated,
                                  time_point now) {
  const auto [found, inserted] = entries_.try_emplace(node);
  entry& known = found->second;
  double to_charge = 0;
  if (inserted || known.incarnation != incarnation) {
    known = entry();
    known.incarnation = incarnation;
    known.averaged_at = now;
    if (held.granted_by != 0 && held.granted_by != owner_incarnation_ &&
        now - created_at_ < kTakeoverTime) {
      known.share = held.per_second;
      known.use_per_second = held.per_second;
      former_total_ = std::max(former_total_, held.total_per_second);
      former_reported_ += held.per_second;
    }
  } else if (held.granted_by == owner_incarnation_ &&
             generated >= known.generated) {
    const auto used = static_cast<double>(generated - known.generated);
    to_charge = used - known.charged;
    known.use_per_second = DecayedUse(known, now) + used / kAverageSeconds;
    known.averaged_at = now;
  }
  known.generated = generated;
  known.charged = 0;
  known.heard_at = now;
  known.charged_until = now;
  return to_charge;
}

double fallback_shares::TakeReserved(
    const std::function<bool(const std::string&)>& is_live,
    time_point now) {
  double reserved = 0;
  for (auto each = entries_.begin(); each != entries_.end();) {
    entry& known = each->second;
    const duration silence = now - known.heard_at;
    const bool live = is_live(each->first);
    if (silence >= kRetention ||
        (live && silence >= kMaxIdleTime + kDetectionTime)) {
      each = entries_.erase(each);
      continue;
    }
    ++each;
    if (silence <= kMaxContactGap ||
        (live && known.share * Seconds(silence) <= kMaxTokensBetweenContacts))
      continue;
    const time_point end =
        live ? std::min(now, known.heard_at + kDetectionTime) : now;
    if (end <= known.charged_until)
      continue;
    const double tokens = known.share * Seconds(end - known.charged_until);
    known.charged += tokens;
    known.charged_until = end;
    reserved += tokens;
  }
  reserved += Inherited(now) * Seconds(now - inherited_charged_until_);
  inherited_charged_until_ = now;
  return reserved;
}

fallback_share fallback_shares::ShareAfterGrant(const std::string& node,
                                                int64_t granted,
                                                double rate,
                                                double min_per_second,
                                                time_point now) {
  entry& own = entries_[node];
  own.use_per_second =
      DecayedUse(own, now) + static_cast<double>(granted) / kAverageSeconds;
  own.averaged_at = now;
  own.heard_at = now;
  own.charged_until = now;
  double use_of_others = 0;
  double shares_of_others = Inherited(now);
  for (const auto& [address, each] : entries_) {
    if (&each == &own)
      continue;
    use_of_others += DecayedUse(each, now);
    shares_of_others += each.share;
  }
  const double use = own.use_per_second;
  const double even_use =
      use + use_of_others > rate ? rate * use / (use + use_of_others) : use;
  own.share = std::clamp(std::max(even_use, min_per_second), 0.0,
                         std::max(0.0, rate - shares_of_others));
  return {own.share, own.share + shares_of_others, owner_incarnation_};
}

}  // namespace skylarkhoist
