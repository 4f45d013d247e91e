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

// The published configuration in typed form. A view is built from the state at
// one log offset and never changes.

// /customers/NAME, merged with /priorities/NAME.
struct customer_config {
  std::string name;
  bool enabled = true;
  // Weight in fair queueing, relative to other customers.
  double weight = 1.0;
  // Priority class of the customer; takes precedence over that of the route.
  std::optional<priority_class> priority;
};

// /keys/ID
struct key_config {
  std::string id;
  std::string customer;
  // Lower-case hex.
  std::string secret_sha256;
  bool withdrawn = false;
};

// /rates/CUSTOMER. Both limits apply to the requests to all nodes together.
struct rate_config {
  double per_second = 0;
  double burst = 0;
};

// Whether the requests of a route need an API key.
enum class route_access { kOpen, kKeyed };

// A service and its share of the requests of a route.
struct weighted_service {
  std::string service;
  double weight = 0;
};

// /routes/NAME
struct route_config {
  std::string name;
  // Empty matches every host.
  std::string host;
  std::string path_prefix;
  // Empty matches every method.
  std::set<std::string> methods;
  route_access access = route_access::kKeyed;
  // Whether a request may safely run more than once.
  bool repeatable = false;
  std::string service;
  // Takes precedence over `service` when not empty.
  std::vector<weighted_service> traffic_split;
  priority_class priority = priority_class::kNormal;
  // Longest time until the final answer; zero means that the route sets no
  // bound.
  duration timeout = duration::zero();
  // Latency after which an answer is worth less to its caller; zero means that
  // none is configured.
  duration latency_objective = duration::zero();
  // Upper bound on the number of targets that one request is sent to; 0 means
  // that only the retry credit limits it.
  int max_attempts = 0;
  // Regions whose targets may run the request; empty means all.
  std::set<std::string> regions;
};

// /services/NAME, merged with /targets/NAME.
struct service_config {
  std::string name;
  // Concurrent calls that a target can handle right after its start.
  int cold_capacity = 4;
  // Calls per second that a target can handle while it is cold; 0 means that
  // only `cold_capacity` applies.
  double cold_per_second = 0;
  // Path of GET requests to which a target tells how long it stays cold; empty
  // if it does not.
  std::string health_path;
  // Upper bound of the learned concurrency limit of a target.
  int max_limit = 1000;
  // Longest wait in the queue of a target.
  duration queue_bound = std::chrono::milliseconds(500);
  // Timeout of one call at the target.
  duration call_timeout = std::chrono::seconds(10);
  // Services that this service calls.
  std::vector<std::string> calls;
  bool in_service = true;
  // Addresses of targets that operators took out of service.
  std::set<std::string> out_of_service_targets;
};

struct config_view {
  // Log offset of the state; 0 before any configuration was read.
  uint64_t offset = 0;
  std::map<std::string, customer_config> customers;
  std::map<std::string, key_config> keys;
  // Customers by the full text of their keys, for keys that were not issued by
  // IssueKey.
  std::unordered_map<std::string, std::string> external_keys;
  std::map<std::string, rate_config> rates;
  std::map<std::string, route_config> routes;
  std::map<std::string, service_config> services;
  // Zones that operators took out of service.
  std::set<std::string> out_of_service_zones;
  // For each zone, a number that grows when the zone may have been put back
  // into service. Returns of other zones than the node's own may be missing.
  std::map<std::string, uint64_t> zone_returns;

  // Returns the route with the longest matching path prefix among those that
  // match `host` and `method`, or null. A prefix matches whole path segments;
  // the query part of `path` is ignored.
  const route_config* FindRoute(std::string_view host,
                                std::string_view method,
                                std::string_view path) const;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_CONFIG_VIEW_H_
