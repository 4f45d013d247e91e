#include "decisions/weighted_round_robin.h"

#include <algorithm>

namespace skylarkhoist {

const std::string& weighted_round_robin::Pick(
    const std::vector<weighted_service>& parts) {
  double total = 0;
  const weighted_service* best = &parts.front();
  double best_current_weight = 0;
  bool found = false;
  for (const weighted_service& part : parts) {
    const double weight = std::max(part.weight, 0.0);
    if (weight <= 0)
      continue;
    total += weight;
    double& current_weight = current_weights_[part.service];
    current_weight += weight;
    if (!found || current_weight > best_current_weight) {
      best = &part;
      best_current_weight = current_weight;
      found = true;
    }
  }
  current_weights_[best->service] -= total;
  // Weights change with the configuration, so values of removed services must
  // not stay.
  if (current_weights_.size() > parts.size()) {
    for (auto each = current_weights_.begin();
         each != current_weights_.end();) {
      const bool listed = std::any_of(parts.begin(), parts.end(),
                                      [&](const weighted_service& part) {
                                        return part.service == each->first;
                                      });
      each = listed ? std::next(each) : current_weights_.erase(each);
    }
  }
  return best->service;
}

}  // namespace skylarkhoist
