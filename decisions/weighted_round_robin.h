#ifndef DECISIONS_WEIGHTED_ROUND_ROBIN_H_
#define DECISIONS_WEIGHTED_ROUND_ROBIN_H_

#include <map>
#include <string>
#include <vector>

#include "decisions/config_view.h"

namespace skylarkhoist {

// Smooth weighted round robin over the services of one route: after any number
// of requests, each service is within one request of its share.
class weighted_round_robin {
 public:
  // `parts` must not be empty. Services with a weight of 0 or less are not
  // chosen unless there are no others.
  const std::string& Pick(const std::vector<weighted_service>& parts);

 private:
  // By service, the requests that it should have got but has not, multiplied by
  // the sum of the weights.
  std::map<std::string, double> current_weights_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_WEIGHTED_ROUND_ROBIN_H_
