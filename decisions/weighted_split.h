#ifndef DECISIONS_WEIGHTED_SPLIT_H_
#define DECISIONS_WEIGHTED_SPLIT_H_

#include <map>
#include <string>
#include <vector>

#include "decisions/config_view.h"

namespace skylarkhoist {

// Spreads the requests of one route over its services by weight, evenly at
// every moment: after any number of requests, each service is within one
// request of its share.
class weighted_split {
 public:
  // `parts` must not be empty. Parts with a weight of 0 or less get nothing
  // unless there are no others.
  const std::string& Pick(const std::vector<weighted_service>& parts);

 private:
  // What each service is owed, in requests times the sum of weights.
  std::map<std::string, double> owed_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_WEIGHTED_SPLIT_H_
