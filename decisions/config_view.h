#ifndef DECISIONS_CONFIG_VIEW_H_
#define DECISIONS_CONFIG_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decisions/request_types.h"
#include "kernel/time.h"

namespace skylarkhoist {

// The published configuration in typed form, as one consistent state of the
// log's fold. A view is built once for each offset and never changes.

// /customers/NAME, with /priorities/NAME folded in.
struct customer_config {
  std::string name;
  bool enabled = true;
  // Share in queues relative to other customers.
  double weight = 1.0;
  // Goes before the rank of the route, when set.
  std::optional<priority_class> rank;
};

// /keys/ID
struct key_config {
  std::string id;
  std::string customer;
  // Lower-case hex.
  std::string secret_sha256;
  bool withdrawn = false;
};

// /rates/CUSTOMER. Both count over all nodes together.
struct rate_config {
  double per_second = 0;
  double burst = 0;
};

enum class route_access { kOpen, kKeyed };

// A service and its share of the requests of a route.
struct weighted_service {
  std::string service;
  double weight = 0;
};

// /routes/NAME
struct route_config {
  std::string name;
  // Empty means all hosts.
  std::string host;
  std::string path_prefix;
  // Empty means all methods.
  std::set<std::string> methods;
  route_access access = route_access::kKeyed;
  bool repeatable = false;
  std::string service;
  // Goes before `service` when not empty.
  std::vector<weighted_service> split;
  priority_class rank = priority_class::kNormal;
  // Longest time until the final answer; zero means no bound of its own.
  duration timeout = duration::zero();
  // Time within which an answer is worth most to its caller; zero means that
  // none is known.
  duration target_latency = duration::zero();
  // Most targets that one request may be sent to; 0 leaves it to the retry
  // credit.
  int max_attempts = 0;
  // Regions whose targets may run the request; empty means all.
  std::set<std::string> regions;
};

// /services/NAME, with /targets/NAME folded in.
struct service_config {
  std::string name;
  // Calls that a target bears at the same time right after its start.
  int cold_capacity = 4;
  // Calls a second that a target bears while it is cold; 0 means that only
  // `cold_capacity` counts.
  double cold_per_second = 0;
  // Upper bound of the learned limit.
  int max_limit = 1000;
  // Longest wait in the queue of a target.
  duration queue_bound = std::chrono::milliseconds(500);
  // Longest run of one call at the target.
  duration call_timeout = std::chrono::seconds(10);
  // Services that a call to this one calls in turn.
  std::vector<std::string> calls;
  bool in_service = true;
  // Addresses of targets that operators took out of service.
  std::set<std::string> targets_out;
};

struct config_view {
  // Log offset of this state; 0 means that no configuration was seen.
  uint64_t offset = 0;
  std::map<std::string, customer_config> customers;
  std::map<std::string, key_config> keys;
  // Customers by the whole text of their keys, for keys that this project did
  // not issue.
  std::unordered_map<std::string, std::string> foreign_keys;
  std::map<std::string, rate_config> rates;
  std::map<std::string, route_config> routes;
  std::map<std::string, service_config> services;
  // Zones that operators took out of service.
  std::set<std::string> zones_out;

  // Returns the route with the longest matching path prefix that allows `host`
  // and `method`, or null. A prefix matches whole path segments; the query part
  // of `path` is ignored.
  const route_config* FindRoute(std::string_view host,
                                std::string_view method,
                                std::string_view path) const;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_CONFIG_VIEW_H_
