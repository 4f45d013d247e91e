#include "testing/checkers.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace skylarkhoist {
namespace {

// Refusals for lack of capacity. Other reasons, such as rate_limited, do not
// depend on the priority of a request.
const std::set<std::string>& OverloadReasons() {
  static const std::set<std::string> reasons = {"overloaded", "queue_timeout",
                                                "queue_full", "shed_by_target"};
  return reasons;
}

bool IsEnd(event_kind kind) {
  return kind == event_kind::kAnswered || kind == event_kind::kRefused ||
         kind == event_kind::kFailed;
}

// Tracks outages of the log, during which changes need not take effect.
class log_outages {
 public:
  void Observe(const event& observed) {
    if (observed.kind == event_kind::kLogDown)
      is_down_ = true;
    if (observed.kind == event_kind::kLogUp) {
      is_down_ = false;
      up_since_ = observed.at;
    }
  }
  // Time from which the delay of a change made at `changed` counts; nullopt
  // while the log is down.
  std::optional<time_point> DelayStart(time_point changed) const {
    if (is_down_)
      return std::nullopt;
    return std::max(changed, up_since_);
  }

 private:
  bool is_down_ = false;
  time_point up_since_ = time_point::min();
};

// Reports each hand-over and run start that occurs more than `max_delay` after
// an event of kind `closed`. `place_field` names the closed zone or target;
// an event of kind `opened` opens it again. With `uses_log`, outages of the log
// extend the delay.
findings CheckNoNewCalls(const event_history& history,
                         const char* invariant,
                         event_kind closed,
                         event_kind opened,
                         std::string event::*place_field,
                         bool uses_log,
                         duration max_delay,
                         const std::string& message) {
  findings violations;
  log_outages log;
  std::map<std::string, time_point> closed_at;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& current = history.events()[i];
    if (uses_log)
      log.Observe(current);
    if (current.kind == closed)
      closed_at.emplace(current.*place_field, current.at);
    if (current.kind == opened)
      closed_at.erase(current.*place_field);
    if (current.kind != event_kind::kHandedOver &&
        current.kind != event_kind::kRunStarted)
      continue;
    const auto closing = closed_at.find(current.*place_field);
    if (closing == closed_at.end())
      continue;
    const auto start = log.DelayStart(closing->second);
    if (start && current.at > *start + max_delay)
      violations.Add(history.DescribeEvent(invariant, i),
                     message + " " + current.*place_field);
  }
  return violations;
}

}  // namespace

findings CheckRetries(const event_history& history, const checker_options&) {
  findings violations;
  std::map<request_id, int> credit_by_root;
  std::map<request_id, int> retries_by_root;
  std::set<std::pair<request_id, int>> counted_attempts;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& current = history.events()[i];
    if (current.kind == event_kind::kAdmitted && current.id == current.root)
      credit_by_root.emplace(current.id, current.credit);
    if (current.kind != event_kind::kHandedOver &&
        current.kind != event_kind::kRunStarted)
      continue;
    if (current.attempt == 0 ||
        !counted_attempts.emplace(current.id, current.attempt).second)
      continue;
    const int allowed_retries = credit_by_root.count(current.root) != 0
                                    ? credit_by_root[current.root]
                                    : 0;
    if (++retries_by_root[current.root] > allowed_retries) {
      violations.Add(history.DescribeEvent("I1", i),
                     "retry " + std::to_string(retries_by_root[current.root]) +
                         " of a request with retry credit " +
                         std::to_string(allowed_retries));
    }
  }
  return violations;
}

findings CheckShedOrder(const event_history& history, const checker_options&) {
  findings violations;
  std::map<request_id, time_point> sent_at;
  // Time of the last hand-over of a browse request, by service.
  std::map<std::string, time_point> browse_handed_over;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& current = history.events()[i];
    if (current.kind == event_kind::kSent)
      sent_at.emplace(current.id, current.at);
    if (current.kind == event_kind::kHandedOver &&
        current.priority == priority_class::kBrowse)
      browse_handed_over[current.service] = current.at;
    if (current.kind != event_kind::kRefused ||
        current.priority != priority_class::kCritical ||
        OverloadReasons().count(current.reason) == 0)
      continue;
    const auto served = browse_handed_over.find(current.service);
    const auto sent = sent_at.find(current.id);
    if (served != browse_handed_over.end() && sent != sent_at.end() &&
        served->second >= sent->second) {
      violations.Add(history.DescribeEvent("I2", i),
                     "critical request refused for overload while " +
                         current.service + " served a browse request");
    }
  }
  return violations;
}

findings CheckKeys(const event_history& history,
                   const checker_options& options) {
  findings violations;
  log_outages log;
  std::map<std::string, std::string> key_owners;
  std::map<std::string, time_point> withdrawn_at;
  std::map<request_id, std::string> key_by_root;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& current = history.events()[i];
    log.Observe(current);
    if (current.kind == event_kind::kKeyIssued)
      key_owners[current.key_id] = current.customer;
    if (current.kind == event_kind::kKeyWithdrawn)
      withdrawn_at.emplace(current.key_id, current.at);
    if (current.kind == event_kind::kSent && current.id == current.root)
      key_by_root[current.root] = current.key_id;
    if (current.kind != event_kind::kRunStarted)
      continue;
    if (current.target_saw_key)
      violations.Add(history.DescribeEvent("I3", i),
                     "target received an API key");
    if (current.open_route)
      continue;
    const auto key = key_by_root.find(current.root);
    const auto owner = key == key_by_root.end() ? key_owners.end()
                                                : key_owners.find(key->second);
    if (owner == key_owners.end()) {
      violations.Add(history.DescribeEvent("I3", i), "ran without an API key");
      continue;
    }
    if (owner->second != current.customer) {
      violations.Add(history.DescribeEvent("I3", i),
                     "ran for " + current.customer + " with an API key of " +
                         owner->second);
    }
    const auto withdrawal = withdrawn_at.find(key->second);
    if (withdrawal == withdrawn_at.end())
      continue;
    const auto start = log.DelayStart(withdrawal->second);
    if (start && current.at > *start + options.max_stop_delay)
      violations.Add(history.DescribeEvent("I3", i),
                     "ran with a withdrawn API key");
  }
  return violations;
}

findings CheckRates(const event_history& history,
                    const checker_options& options) {
  struct customer_bucket {
    double rate = 0;
    double burst = 0;
    double old_rate = 0;
    double old_burst = 0;
    time_point changed_at = time_point::min();
    double tokens = 0;
    time_point refilled_at;
  };
  findings violations;
  std::map<std::string, customer_bucket> buckets;
  const auto refill = [&](customer_bucket& bucket, time_point now) {
    const bool changing = bucket.changed_at != time_point::min() &&
                          now <= bucket.changed_at + options.max_stop_delay;
    const double rate =
        changing ? std::max(bucket.rate, bucket.old_rate) : bucket.rate;
    const double burst =
        changing ? std::max(bucket.burst, bucket.old_burst) : bucket.burst;
    const double elapsed_s =
        std::chrono::duration<double>(now - bucket.refilled_at).count();
    bucket.tokens = std::min(burst, bucket.tokens + rate * elapsed_s);
    bucket.refilled_at = now;
  };
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& current = history.events()[i];
    if (current.kind == event_kind::kRateSet) {
      const auto [entry, added] = buckets.try_emplace(current.customer);
      customer_bucket& bucket = entry->second;
      if (added) {
        bucket.tokens = current.burst;
        bucket.refilled_at = current.at;
      } else {
        refill(bucket, current.at);
        bucket.old_rate = bucket.rate;
        bucket.old_burst = bucket.burst;
        bucket.changed_at = current.at;
        bucket.tokens += std::max(0.0, current.burst - bucket.burst);
      }
      bucket.rate = current.rate;
      bucket.burst = current.burst;
    }
    // Child calls take no rate token.
    if (current.kind != event_kind::kAdmitted || current.id != current.root ||
        current.customer.empty())
      continue;
    customer_bucket& bucket = buckets[current.customer];
    refill(bucket, current.at);
    bucket.tokens -= 1;
    // Absorbs the rounding errors of many additions.
    constexpr double kTolerance = 1e-6;
    if (bucket.tokens < -kTolerance) {
      violations.Add(history.DescribeEvent("I4", i),
                     current.customer + " exceeds its rate and burst");
      bucket.tokens = 0;
    }
  }
  return violations;
}

findings CheckColdTargets(const event_history& history,
                          const checker_options&) {
  findings violations;
  std::map<std::string, int> cold_capacities;
  std::map<std::string, int> running_calls;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& current = history.events()[i];
    if (current.kind == event_kind::kTargetCold)
      cold_capacities[current.target] = current.capacity;
    if (current.kind == event_kind::kTargetWarm)
      cold_capacities.erase(current.target);
    if (current.kind == event_kind::kRunEnded)
      --running_calls[current.target];
    if (current.kind != event_kind::kRunStarted)
      continue;
    const int calls = ++running_calls[current.target];
    const auto capacity = cold_capacities.find(current.target);
    if (capacity != cold_capacities.end() && calls > capacity->second) {
      violations.Add(history.DescribeEvent("I5", i),
                     std::to_string(calls) + " calls at " + current.target +
                         ", which is cold with capacity " +
                         std::to_string(capacity->second));
    }
  }
  return violations;
}

findings CheckZones(const event_history& history,
                    const checker_options& options) {
  return CheckNoNewCalls(
      history, "I6", event_kind::kZoneOut, event_kind::kZoneIn, &event::zone,
      true, options.max_stop_delay, "call started in out-of-service zone");
}

findings CheckResponses(const event_history& history, const checker_options&) {
  findings violations;
  std::map<request_id, std::set<uint64_t>> responses_by_request;
  // All requests with one idempotency key get the response of the one that ran.
  std::map<std::pair<std::string, std::string>, std::set<uint64_t>>
      responses_by_key;
  std::map<request_id, size_t> ended;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& current = history.events()[i];
    if (current.kind == event_kind::kRunEnded) {
      responses_by_request[current.id].insert(current.checksum);
      if (!current.idempotency_key.empty())
        responses_by_key[{current.customer, current.idempotency_key}].insert(
            current.checksum);
    }
    if (!IsEnd(current.kind))
      continue;
    if (!ended.emplace(current.id, i).second)
      violations.Add(history.DescribeEvent("I7", i),
                     "request ended a second time");
    if (current.kind != event_kind::kAnswered)
      continue;
    const bool from_own_run =
        responses_by_request[current.id].count(current.checksum) != 0;
    const bool from_duplicate =
        !current.idempotency_key.empty() &&
        responses_by_key[{current.customer, current.idempotency_key}].count(
            current.checksum) != 0;
    if (!from_own_run && !from_duplicate) {
      violations.Add(
          history.DescribeEvent("I7", i),
          "response was not produced by this request or one with its "
          "idempotency key");
    }
  }
  return violations;
}

findings CheckRefusals(const event_history& history, const checker_options&) {
  findings violations;
  std::set<request_id> refused_requests;
  std::set<request_id> started_requests;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& current = history.events()[i];
    if (current.kind == event_kind::kRunStarted) {
      started_requests.insert(current.id);
      if (refused_requests.count(current.id) != 0)
        violations.Add(history.DescribeEvent("I8", i),
                       "ran after it was refused as \"not run\"");
    }
    if (current.kind == event_kind::kRefused) {
      refused_requests.insert(current.id);
      if (started_requests.count(current.id) != 0)
        violations.Add(history.DescribeEvent("I8", i),
                       "refused as \"not run\" after it ran");
    }
  }
  return violations;
}

findings CheckAtMostOnce(const event_history& history, const checker_options&) {
  findings violations;
  std::map<std::pair<std::string, std::string>, int> runs_by_key;
  std::map<request_id, int> runs_by_id;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& current = history.events()[i];
    if (current.kind != event_kind::kRunStarted || current.repeatable)
      continue;
    const int runs =
        current.idempotency_key.empty()
            ? ++runs_by_id[current.id]
            : ++runs_by_key[{current.customer, current.idempotency_key}];
    if (runs > 1)
      violations.Add(history.DescribeEvent("I9", i),
                     "non-repeatable request ran, run " + std::to_string(runs));
  }
  return violations;
}

findings CheckLeavingTargets(const event_history& history,
                             const checker_options& options) {
  return CheckNoNewCalls(history, "I10", event_kind::kTargetLeaving,
                         event_kind::kTargetServing, &event::target, false,
                         options.max_stop_delay,
                         "call started at leaving target");
}

findings CheckPlannedStops(const event_history& history,
                           const checker_options&) {
  struct open_work {
    std::string node;
    size_t index;
  };
  findings violations;
  // Open requests by the node that received them, and calls in progress by the
  // node beside their target.
  std::map<request_id, open_work> open_requests;
  std::map<std::pair<request_id, int>, open_work> open_runs;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& current = history.events()[i];
    if (current.kind == event_kind::kSent)
      open_requests.emplace(current.id, open_work{current.node, i});
    if (IsEnd(current.kind))
      open_requests.erase(current.id);
    if (current.kind == event_kind::kHandedOver ||
        current.kind == event_kind::kRunStarted)
      open_runs.emplace(std::make_pair(current.id, current.attempt),
                        open_work{current.node, i});
    if (current.kind == event_kind::kRunEnded)
      open_runs.erase({current.id, current.attempt});
    if (current.kind != event_kind::kNodeStopped)
      continue;
    for (auto each = open_requests.begin(); each != open_requests.end();) {
      if (each->second.node != current.node) {
        ++each;
        continue;
      }
      if (current.planned) {
        violations.Add(history.DescribeEvent("I11", each->second.index),
                       current.node + " stopped before this request ended");
      }
      each = open_requests.erase(each);
    }
    for (auto each = open_runs.begin(); each != open_runs.end();) {
      if (each->second.node != current.node) {
        ++each;
        continue;
      }
      if (current.planned) {
        violations.Add(history.DescribeEvent("I11", each->second.index),
                       current.node + " stopped before this run ended");
      }
      each = open_runs.erase(each);
    }
  }
  return violations;
}

findings CheckConfig(const event_history& history,
                     const checker_options& options) {
  struct node_state {
    uint64_t offset = 0;
    time_point started_at;
  };
  struct accepted_config {
    uint64_t offset;
    time_point accepted_at;
    size_t index;
  };
  findings violations;
  log_outages log;
  std::map<std::string, node_state> nodes;
  std::vector<accepted_config> pending;
  std::set<std::pair<std::string, uint64_t>> reported_delays;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& current = history.events()[i];
    // The delay is checked at each event, before the event takes effect.
    for (const accepted_config& config : pending) {
      for (const auto& [name, node] : nodes) {
        const auto start =
            log.DelayStart(std::max(config.accepted_at, node.started_at));
        if (node.offset >= config.offset || !start ||
            current.at <= *start + options.max_config_delay ||
            !reported_delays.emplace(name, config.offset).second)
          continue;
        violations.Add(history.DescribeEvent("I12", config.index),
                       "configuration not in force at " + name + " in time");
      }
    }
    log.Observe(current);
    if (current.kind == event_kind::kConfigAccepted)
      pending.push_back({current.offset, current.at, i});
    if (current.kind == event_kind::kNodeStarted)
      nodes[current.node] = {0, current.at};
    if (current.kind == event_kind::kNodeStopped)
      nodes.erase(current.node);
    if (current.kind == event_kind::kConfigApplied) {
      node_state& node = nodes[current.node];
      if (current.offset < node.offset) {
        violations.Add(history.DescribeEvent("I12", i),
                       current.node + " went back from configuration offset " +
                           std::to_string(node.offset) + " to " +
                           std::to_string(current.offset));
      }
      node.offset = std::max(node.offset, current.offset);
    }
    // Changes that all running nodes have applied need no further check, except
    // for the newest one, which nodes that start later must apply too.
    while (pending.size() > 1 &&
           std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
             return node.second.offset >= pending.front().offset;
           }))
      pending.erase(pending.begin());
  }
  return violations;
}

const std::vector<checker>& AllCheckers() {
  static const std::vector<checker> checkers = {
      {"I1", CheckRetries},       {"I2", CheckShedOrder},
      {"I3", CheckKeys},          {"I4", CheckRates},
      {"I5", CheckColdTargets},   {"I6", CheckZones},
      {"I7", CheckResponses},     {"I8", CheckRefusals},
      {"I9", CheckAtMostOnce},    {"I10", CheckLeavingTargets},
      {"I11", CheckPlannedStops}, {"I12", CheckConfig}};
  return checkers;
}

findings CheckAll(const event_history& history,
                  const checker_options& options) {
  findings violations;
  for (const checker& each : AllCheckers())
    violations.Append(each.check(history, options));
  return violations;
}

}  // namespace skylarkhoist
