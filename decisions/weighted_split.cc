#include "decisions/weighted_split.h"

#include <algorithm>

namespace skylarkhoist {

const std::string& weighted_split::Pick(
    const std::vector<weighted_service>& parts) {
  double total = 0;
  const weighted_service* best = &parts.front();
  double best_owed = 0;
  bool found = false;
  for (const weighted_service& part : parts) {
    const double weight = std::max(part.weight, 0.0);
    if (weight <= 0)
      continue;
    total += weight;
    double& owed = owed_[part.service];
    owed += weight;
    if (!found || owed > best_owed) {
      best = &part;
      best_owed = owed;
      found = true;
    }
  }
  owed_[best->service] -= total;
  // Weights change with the configuration; debts of former parts must not last.
  if (owed_.size() > parts.size()) {
    for (auto each = owed_.begin(); each != owed_.end();) {
      const bool listed = std::any_of(parts.begin(), parts.end(),
                                      [&](const weighted_service& part) {
                                        return part.service == each->first;
                                      });
      each = listed ? std::next(each) : owed_.erase(each);
    }
  }
  return best->service;
}

}  // namespace skylarkhoist
