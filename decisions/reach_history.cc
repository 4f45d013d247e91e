#include "decisions/reach_history.h"

#include <algorithm>

namespace skylarkhoist {

void reach_history::Update(const std::set<std::string>& live,
                           const std::set<std::string>& out_of_reach,
                           time_point now) {
  for (const std::string& address : live_) {
    if (out_of_reach.count(address) > 0 && live.count(address) == 0)
      losses_[address] = {now, time_point::max()};
  }
  for (auto each = losses_.begin(); each != losses_.end();) {
    loss& known = each->second;
    if (live.count(each->first) > 0) {
      known.returned_at = std::min(known.returned_at, now);
    } else if (out_of_reach.count(each->first) == 0) {
      each = losses_.erase(each);
      continue;
    }
    const bool is_over =
        known.returned_at != time_point::max() && !IsLost(known, now);
    each = is_over ? losses_.erase(each) : std::next(each);
  }
  live_ = live;
}

bool reach_history::IsLost(const loss& each, time_point now) {
  if (each.returned_at == time_point::max())
    return now - each.lost_at >= kMinLossTime;
  return each.returned_at - each.lost_at >= kMinLossTime &&
         now - each.returned_at < kReturnTime;
}

node_reach reach_history::ReachOf(const std::string& address,
                                  time_point now) const {
  if (address == own_address_)
    return node_reach::kOwn;
  const auto found = losses_.find(address);
  if (found != losses_.end())
    return IsLost(found->second, now) ? node_reach::kLost : node_reach::kLive;
  return live_.count(address) > 0 ? node_reach::kLive : node_reach::kEnded;
}

reach_counts reach_history::Counts(time_point now) const {
  reach_counts counts;
  counts.known = std::max<size_t>(1, live_.size());
  for (const auto& [address, each] : losses_) {
    const bool is_lost = IsLost(each, now);
    counts.lost += is_lost ? 1 : 0;
    counts.out_of_reach +=
        is_lost || each.returned_at == time_point::max() ? 1 : 0;
    counts.known += live_.count(address) > 0 ? 0 : 1;
  }
  return counts;
}

}  // namespace skylarkhoist
