#include "testing/checkers.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace skylarkhoist {
namespace {

// Refusals for lack of capacity. Others, such as rate_limited, say nothing
// about the order of shedding.
const std::set<std::string>& LoadReasons() {
  static const std::set<std::string> reasons = {"overloaded", "queue_timeout",
                                                "queue_full", "shed_by_target"};
  return reasons;
}

bool IsEnd(event_kind kind) {
  return kind == event_kind::kAnswered || kind == event_kind::kRefused ||
         kind == event_kind::kFailed;
}

// When the log was last down before or at a time, to suspend bounds.
class log_state {
 public:
  void Take(const event& at) {
    if (at.kind == event_kind::kLogDown)
      down_ = true;
    if (at.kind == event_kind::kLogUp) {
      down_ = false;
      up_at_ = at.at;
    }
  }
  // Start of the bound for a change made at `changed`; nothing while down.
  std::optional<time_point> BoundFrom(time_point changed) const {
    if (down_)
      return std::nullopt;
    return std::max(changed, up_at_);
  }

 private:
  bool down_ = false;
  time_point up_at_ = time_point::min();
};

// Work that begins at a place more than the bound after it was closed.
findings CheckClosed(const event_history& history,
                     const char* invariant,
                     event_kind closed,
                     event_kind opened,
                     std::string event::*place,
                     bool log_counts,
                     duration bound,
                     const std::string& message) {
  findings found;
  log_state log;
  std::map<std::string, time_point> since;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& at = history.events()[i];
    if (log_counts)
      log.Take(at);
    if (at.kind == closed)
      since.emplace(at.*place, at.at);
    if (at.kind == opened)
      since.erase(at.*place);
    if (at.kind != event_kind::kHandedOver &&
        at.kind != event_kind::kRunStarted)
      continue;
    const auto closing = since.find(at.*place);
    if (closing == since.end())
      continue;
    const auto from = log.BoundFrom(closing->second);
    if (from && at.at > *from + bound)
      found.Add(history.Place(invariant, i), message + " " + at.*place);
  }
  return found;
}

}  // namespace

findings CheckRetries(const event_history& history, const checker_options&) {
  findings found;
  std::map<request_id, int> credit;
  std::map<request_id, int> retries;
  std::set<std::pair<request_id, int>> counted;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& at = history.events()[i];
    if (at.kind == event_kind::kAdmitted && at.id == at.root)
      credit.emplace(at.id, at.credit);
    if (at.kind != event_kind::kHandedOver &&
        at.kind != event_kind::kRunStarted)
      continue;
    if (at.attempt == 0 || !counted.emplace(at.id, at.attempt).second)
      continue;
    const int limit = credit.count(at.root) != 0 ? credit[at.root] : 0;
    if (++retries[at.root] > limit) {
      found.Add(history.Place("I1", i),
                "retry " + std::to_string(retries[at.root]) +
                    " of a chain with credit " + std::to_string(limit));
    }
  }
  return found;
}

findings CheckShedOrder(const event_history& history, const checker_options&) {
  findings found;
  std::map<request_id, time_point> sent;
  // Last hand-over of a browsing request for each service.
  std::map<std::string, time_point> browse;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& at = history.events()[i];
    if (at.kind == event_kind::kSent)
      sent.emplace(at.id, at.at);
    if (at.kind == event_kind::kHandedOver &&
        at.rank == priority_class::kBrowse)
      browse[at.service] = at.at;
    if (at.kind != event_kind::kRefused ||
        at.rank != priority_class::kCritical ||
        LoadReasons().count(at.reason) == 0)
      continue;
    const auto served = browse.find(at.service);
    const auto since = sent.find(at.id);
    if (served != browse.end() && since != sent.end() &&
        served->second >= since->second) {
      found.Add(history.Place("I2", i), "critical request refused while " +
                                            at.service +
                                            " served a browsing one");
    }
  }
  return found;
}

findings CheckKeys(const event_history& history,
                   const checker_options& options) {
  findings found;
  log_state log;
  std::map<std::string, std::string> owners;
  std::map<std::string, time_point> withdrawn;
  std::map<request_id, std::string> key_of_chain;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& at = history.events()[i];
    log.Take(at);
    if (at.kind == event_kind::kKeyIssued)
      owners[at.key_id] = at.customer;
    if (at.kind == event_kind::kKeyWithdrawn)
      withdrawn.emplace(at.key_id, at.at);
    if (at.kind == event_kind::kSent && at.id == at.root)
      key_of_chain[at.root] = at.key_id;
    if (at.kind != event_kind::kRunStarted)
      continue;
    if (at.key_seen)
      found.Add(history.Place("I3", i), "target saw a key");
    if (at.open_route)
      continue;
    const auto key = key_of_chain.find(at.root);
    const auto owner =
        key == key_of_chain.end() ? owners.end() : owners.find(key->second);
    if (owner == owners.end()) {
      found.Add(history.Place("I3", i), "ran without a key");
      continue;
    }
    if (owner->second != at.customer) {
      found.Add(history.Place("I3", i),
                "ran for " + at.customer + " with a key of " + owner->second);
    }
    const auto gone = withdrawn.find(key->second);
    if (gone == withdrawn.end())
      continue;
    const auto from = log.BoundFrom(gone->second);
    if (from && at.at > *from + options.stop_bound)
      found.Add(history.Place("I3", i), "ran with a withdrawn key");
  }
  return found;
}

findings CheckRates(const event_history& history,
                    const checker_options& options) {
  struct bucket {
    double rate = 0;
    double burst = 0;
    double old_rate = 0;
    double old_burst = 0;
    time_point changed = time_point::min();
    double level = 0;
    time_point at;
  };
  findings found;
  std::map<std::string, bucket> buckets;
  const auto fill = [&](bucket& each, time_point now) {
    const bool changing = each.changed != time_point::min() &&
                          now <= each.changed + options.stop_bound;
    const double rate =
        changing ? std::max(each.rate, each.old_rate) : each.rate;
    const double burst =
        changing ? std::max(each.burst, each.old_burst) : each.burst;
    const double passed = std::chrono::duration<double>(now - each.at).count();
    each.level = std::min(burst, each.level + rate * passed);
    each.at = now;
  };
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& at = history.events()[i];
    if (at.kind == event_kind::kRateSet) {
      const auto [found_bucket, added] = buckets.try_emplace(at.customer);
      bucket& each = found_bucket->second;
      if (added) {
        each.level = at.burst;
        each.at = at.at;
      } else {
        fill(each, at.at);
        each.old_rate = each.rate;
        each.old_burst = each.burst;
        each.changed = at.at;
        each.level += std::max(0.0, at.burst - each.burst);
      }
      each.rate = at.rate;
      each.burst = at.burst;
    }
    // Child calls take no token.
    if (at.kind != event_kind::kAdmitted || at.id != at.root ||
        at.customer.empty())
      continue;
    bucket& each = buckets[at.customer];
    fill(each, at.at);
    each.level -= 1;
    // Rounding of many additions.
    constexpr double kTolerance = 1e-6;
    if (each.level < -kTolerance) {
      found.Add(history.Place("I4", i),
                at.customer + " is over its rate and burst");
      each.level = 0;
    }
  }
  return found;
}

findings CheckColdTargets(const event_history& history,
                          const checker_options&) {
  findings found;
  std::map<std::string, int> capacity;
  std::map<std::string, int> running;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& at = history.events()[i];
    if (at.kind == event_kind::kTargetCold)
      capacity[at.target] = at.capacity;
    if (at.kind == event_kind::kTargetWarm)
      capacity.erase(at.target);
    if (at.kind == event_kind::kRunEnded)
      --running[at.target];
    if (at.kind != event_kind::kRunStarted)
      continue;
    const int calls = ++running[at.target];
    const auto cold = capacity.find(at.target);
    if (cold != capacity.end() && calls > cold->second) {
      found.Add(history.Place("I5", i), std::to_string(calls) + " calls at " +
                                            at.target +
                                            ", which is cold with capacity " +
                                            std::to_string(cold->second));
    }
  }
  return found;
}

findings CheckZones(const event_history& history,
                    const checker_options& options) {
  return CheckClosed(history, "I6", event_kind::kZoneOut, event_kind::kZoneIn,
                     &event::zone, true, options.stop_bound,
                     "new work in zone");
}

findings CheckAnswers(const event_history& history, const checker_options&) {
  findings found;
  std::map<request_id, std::set<uint64_t>> written;
  // Copies with one idempotency key share the answer of the one that ran.
  std::map<std::pair<std::string, std::string>, std::set<uint64_t>> shared;
  std::map<request_id, size_t> ends;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& at = history.events()[i];
    if (at.kind == event_kind::kRunEnded) {
      written[at.id].insert(at.checksum);
      if (!at.idempotency_key.empty())
        shared[{at.customer, at.idempotency_key}].insert(at.checksum);
    }
    if (!IsEnd(at.kind))
      continue;
    if (!ends.emplace(at.id, i).second)
      found.Add(history.Place("I7", i), "second end of one request");
    if (at.kind != event_kind::kAnswered)
      continue;
    const bool own = written[at.id].count(at.checksum) != 0;
    const bool copy =
        !at.idempotency_key.empty() &&
        shared[{at.customer, at.idempotency_key}].count(at.checksum) != 0;
    if (!own && !copy) {
      found.Add(history.Place("I7", i),
                "the response is not one that this request produced");
    }
  }
  return found;
}

findings CheckRefusals(const event_history& history, const checker_options&) {
  findings found;
  std::set<request_id> refused;
  std::set<request_id> ran;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& at = history.events()[i];
    if (at.kind == event_kind::kRunStarted) {
      ran.insert(at.id);
      if (refused.count(at.id) != 0)
        found.Add(history.Place("I8", i), "ran after the refusal \"not run\"");
    }
    if (at.kind == event_kind::kRefused) {
      refused.insert(at.id);
      if (ran.count(at.id) != 0)
        found.Add(history.Place("I8", i), "refused as \"not run\" but it ran");
    }
  }
  return found;
}

findings CheckAtMostOnce(const event_history& history, const checker_options&) {
  findings found;
  std::map<std::pair<std::string, std::string>, int> by_key;
  std::map<request_id, int> by_id;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& at = history.events()[i];
    if (at.kind != event_kind::kRunStarted || at.repeatable)
      continue;
    const int runs = at.idempotency_key.empty()
                         ? ++by_id[at.id]
                         : ++by_key[{at.customer, at.idempotency_key}];
    if (runs > 1)
      found.Add(history.Place("I9", i), "run " + std::to_string(runs));
  }
  return found;
}

findings CheckLeavingTargets(const event_history& history,
                             const checker_options& options) {
  return CheckClosed(history, "I10", event_kind::kTargetLeaving,
                     event_kind::kTargetServing, &event::target, false,
                     options.stop_bound, "new work for leaving target");
}

findings CheckPlannedStops(const event_history& history,
                           const checker_options&) {
  struct open_request {
    std::string node;
    size_t index;
  };
  findings found;
  // Requests in progress, with the node that took them and, at a target, the
  // node beside it.
  std::map<request_id, open_request> sent;
  std::map<std::pair<request_id, int>, open_request> running;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& at = history.events()[i];
    if (at.kind == event_kind::kSent)
      sent.emplace(at.id, open_request{at.node, i});
    if (IsEnd(at.kind))
      sent.erase(at.id);
    if (at.kind == event_kind::kHandedOver ||
        at.kind == event_kind::kRunStarted)
      running.emplace(std::make_pair(at.id, at.attempt),
                      open_request{at.node, i});
    if (at.kind == event_kind::kRunEnded)
      running.erase({at.id, at.attempt});
    if (at.kind != event_kind::kNodeStopped)
      continue;
    for (auto each = sent.begin(); each != sent.end();) {
      if (each->second.node != at.node) {
        ++each;
        continue;
      }
      if (at.planned) {
        found.Add(history.Place("I11", each->second.index),
                  at.node + " stopped before this request ended");
      }
      each = sent.erase(each);
    }
    for (auto each = running.begin(); each != running.end();) {
      if (each->second.node != at.node) {
        ++each;
        continue;
      }
      if (at.planned) {
        found.Add(history.Place("I11", each->second.index),
                  at.node + " stopped before this run ended");
      }
      each = running.erase(each);
    }
  }
  return found;
}

findings CheckConfig(const event_history& history,
                     const checker_options& options) {
  struct node_state {
    uint64_t offset = 0;
    time_point started;
  };
  struct accepted_config {
    uint64_t offset;
    time_point at;
    size_t index;
  };
  findings found;
  log_state log;
  std::map<std::string, node_state> nodes;
  std::vector<accepted_config> pending;
  std::set<std::pair<std::string, uint64_t>> reported;
  for (size_t i = 0; i < history.events().size(); ++i) {
    const event& at = history.events()[i];
    // The bound is checked at each event, before the event takes effect.
    for (const accepted_config& config : pending) {
      for (const auto& [name, node] : nodes) {
        const auto from = log.BoundFrom(std::max(config.at, node.started));
        if (node.offset >= config.offset || !from ||
            at.at <= *from + options.config_bound ||
            !reported.emplace(name, config.offset).second)
          continue;
        found.Add(history.Place("I12", config.index),
                  "not in force at " + name + " in time");
      }
    }
    log.Take(at);
    if (at.kind == event_kind::kConfigAccepted)
      pending.push_back({at.offset, at.at, i});
    if (at.kind == event_kind::kNodeStarted)
      nodes[at.node] = {0, at.at};
    if (at.kind == event_kind::kNodeStopped)
      nodes.erase(at.node);
    if (at.kind == event_kind::kConfigApplied) {
      node_state& node = nodes[at.node];
      if (at.offset < node.offset) {
        found.Add(history.Place("I12", i), at.node + " went back from offset " +
                                               std::to_string(node.offset) +
                                               " to " +
                                               std::to_string(at.offset));
      }
      node.offset = std::max(node.offset, at.offset);
    }
    // Changes that are in force on all running nodes need no further check;
    // nodes that start later are behind only for the newest.
    while (pending.size() > 1 &&
           std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
             return node.second.offset >= pending.front().offset;
           }))
      pending.erase(pending.begin());
  }
  return found;
}

const std::vector<checker>& AllCheckers() {
  static const std::vector<checker> checkers = {
      {"I1", CheckRetries},       {"I2", CheckShedOrder},
      {"I3", CheckKeys},          {"I4", CheckRates},
      {"I5", CheckColdTargets},   {"I6", CheckZones},
      {"I7", CheckAnswers},       {"I8", CheckRefusals},
      {"I9", CheckAtMostOnce},    {"I10", CheckLeavingTargets},
      {"I11", CheckPlannedStops}, {"I12", CheckConfig}};
  return checkers;
}

findings CheckAll(const event_history& history,
                  const checker_options& options) {
  findings found;
  for (const checker& each : AllCheckers())
    found.Append(each.check(history, options));
  return found;
}

}  // namespace skylarkhoist
