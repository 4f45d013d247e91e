#include "decisions/config_schema.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <sstream>

#include "kernel/json_schema.h"

namespace skylarkhoist {
namespace {

constexpr char kSubtreesJson[] = R"json([
{
  "name": "customers", "names": "customer",
  "example": {"enabled": true, "weight": 2},
  "schema": {
    "type": "object", "additionalProperties": false,
    "description": "Customers of the fleet. Requests of a customer that is not enabled are refused.",
    "properties": {
      "enabled": {"type": "boolean", "default": true, "x-must": "true or false",
        "description": "Whether the customer's requests are served."},
      "weight": {"type": "number", "exclusiveMinimum": 0, "maximum": 1000, "default": 1,
        "x-must": "a positive number of at most 1000",
        "description": "Weight in fair queueing, relative to other customers."}
    }
  }
},
{
  "name": "keys", "names": "key id",
  "example": {"customer": "acme", "state": "active",
    "secret_sha256": "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"},
  "schema": {
    "type": "object", "additionalProperties": false,
    "description": "Keys that callers present. `key issue` and `key withdraw` write this subtree.",
    "required": ["customer", "secret_sha256"],
    "properties": {
      "customer": {"type": "string", "minLength": 1, "maxLength": 64,
        "x-must": "the name of a customer", "description": "Customer that the key belongs to."},
      "secret_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$", "x-secret": true,
        "x-must": "64 lower-case hex digits", "description": "SHA-256 of the secret part of the key."},
      "state": {"enum": ["active", "withdrawn"], "default": "active",
        "x-must": "\"active\" or \"withdrawn\"",
        "description": "A withdrawn key is refused by every node once the change is in force."}
    }
  }
},
{
  "name": "rates", "names": "customer",
  "example": {"per_second": 250, "burst": 500},
  "schema": {
    "type": "object", "additionalProperties": false,
    "description": "Rate and burst of a customer over all nodes together.",
    "required": ["per_second", "burst"],
    "properties": {
      "per_second": {"type": "number", "exclusiveMinimum": 0, "maximum": 10000000,
        "x-must": "a positive number", "description": "Requests per second."},
      "burst": {"type": "number", "minimum": 1, "maximum": 100000000,
        "x-must": "a number of at least 1", "description": "Requests accepted at once after an idle period."}
    }
  }
},
{
  "name": "priorities", "names": "customer",
  "example": {"weight": 4},
  "schema": {
    "type": "object", "additionalProperties": false,
    "description": "Weight of a customer in queues; takes precedence over the weight under /customers.",
    "required": ["weight"],
    "properties": {
      "weight": {"type": "number", "exclusiveMinimum": 0, "maximum": 1000,
        "x-must": "a positive number of at most 1000",
        "description": "Weight in fair queueing, relative to other customers."}
    }
  }
},
{
  "name": "zones", "names": "zone",
  "example": {"state": "out"},
  "schema": {
    "type": "object", "additionalProperties": false,
    "description": "Zones. `zone out` and `zone in` write this subtree; a zone without an entry is in service.",
    "required": ["state"],
    "properties": {
      "state": {"enum": ["in", "out"], "x-must": "\"in\" or \"out\"",
        "description": "A zone that is out gets no new work; work in progress finishes."}
    }
  }
},
{
  "name": "targets", "names": "service",
  "example": {"in_service": true, "out": ["10.0.0.7:8080"]},
  "schema": {
    "type": "object", "additionalProperties": false,
    "description": "Targets that operators have taken out of service.",
    "properties": {
      "in_service": {"type": "boolean", "default": true, "x-must": "true or false",
        "description": "False takes all targets of the service out of service."},
      "out": {"type": "array", "uniqueItems": true, "maxItems": 1000, "default": [],
        "x-must": "a list of different addresses",
        "items": {"type": "string", "minLength": 1, "maxLength": 64,
          "x-must": "an address (\"ip:port\")"},
        "description": "Addresses of single targets that get no new work."}
    }
  }
},
{
  "name": "routes", "names": "route",
  "example": {"path_prefix": "/bookings", "methods": ["POST"], "access": "keyed", "repeatable": false,
    "service": "bookings", "class": "critical"},
  "schema": {
    "type": "object", "additionalProperties": false,
    "description": "Routes map paths to services. The longest matching prefix is used.",
    "required": ["path_prefix", "service"],
    "properties": {
      "path_prefix": {"type": "string", "pattern": "^/", "maxLength": 512,
        "x-must": "a path that begins with /", "description": "Matches whole segments of the path."},
      "methods": {"type": "array", "uniqueItems": true, "maxItems": 16, "default": [],
        "x-must": "a list of different HTTP methods",
        "items": {"type": "string", "pattern": "^[A-Z]{1,16}$", "x-must": "an HTTP method in capitals"},
        "description": "Methods of the route; an empty list means all."},
      "access": {"enum": ["open", "keyed"], "default": "keyed", "x-must": "\"open\" or \"keyed\"",
        "description": "Whether a request needs a key."},
      "repeatable": {"type": "boolean", "default": false, "x-must": "true or false",
        "description": "Whether a request may safely run more than once."},
      "service": {"type": "string", "minLength": 1, "maxLength": 64, "x-must": "the name of a service",
        "description": "Service that runs the requests."},
      "class": {"enum": ["critical", "normal", "browse"], "default": "normal",
        "x-must": "\"critical\", \"normal\" or \"browse\"",
        "description": "Under overload, browse is shed first and critical last."}
    }
  }
},
{
  "name": "services", "names": "service",
  "example": {"cold_capacity": 8, "max_limit": 400, "queue_bound_ms": 500, "call_timeout_ms": 10000,
    "calls": ["calendar"]},
  "schema": {
    "type": "object", "additionalProperties": false,
    "description": "Services and the bounds of their targets.",
    "properties": {
      "cold_capacity": {"type": "integer", "minimum": 1, "maximum": 100000, "default": 4,
        "x-must": "a whole number from 1 to 100000",
        "description": "Concurrent calls that a target can handle right after its start."},
      "max_limit": {"type": "integer", "minimum": 1, "maximum": 100000, "default": 1000,
        "x-must": "a whole number from 1 to 100000",
        "description": "Upper bound of the learned concurrency limit of a target; at least cold_capacity."},
      "queue_bound_ms": {"type": "integer", "minimum": 0, "maximum": 600000, "default": 500,
        "x-must": "whole milliseconds from 0 to 600000",
        "description": "Longest wait in the queue of a target, in milliseconds."},
      "call_timeout_ms": {"type": "integer", "minimum": 1, "maximum": 3600000, "default": 10000,
        "x-must": "whole milliseconds from 1 to 3600000",
        "description": "Timeout of one call at the target, in milliseconds."},
      "calls": {"type": "array", "uniqueItems": true, "maxItems": 64, "default": [],
        "x-must": "a list of different services",
        "items": {"type": "string", "minLength": 1, "maxLength": 64, "x-must": "the name of a service"},
        "description": "Services that this service calls; cycles are not allowed."}
    }
  }
}
])json";

struct compiled_subtree {
  const config_subtree* subtree;
  std::unique_ptr<json_schema> schema;
};

const std::map<std::string, compiled_subtree>& CompiledSubtrees() {
  static const auto* const kCompiled = [] {
    auto* result = new std::map<std::string, compiled_subtree>;
    for (const config_subtree& subtree : ConfigSubtrees()) {
      result->emplace(subtree.name,
                      compiled_subtree{&subtree, std::make_unique<json_schema>(
                                                     subtree.schema)});
    }
    return result;
  }();
  return *kCompiled;
}

// "/rates/acme" to {"rates", "acme"}.
std::pair<std::string, std::string> SplitPath(const std::string& path) {
  const size_t middle = path.find('/', 1);
  return {path.substr(1, middle - 1), path.substr(middle + 1)};
}

// The values of one path, newest first, and the index of the one that is used.
// An index past the end means that the path is left out.
struct value_history {
  std::vector<past_value> values;
  size_t selected = 0;
  // The newest value has findings of its own.
  bool newest_is_invalid = false;

  const json* value() const {
    return selected < values.size() && values[selected].value
               ? &*values[selected].value
               : nullptr;
  }
  uint64_t version() const {
    return selected < values.size() ? values[selected].version : 0;
  }
};

using value_histories = std::map<std::string, value_history>;

// Selects the newest value without findings among those that are older than the
// selected one.
void FallBack(const std::string& path, value_history& history) {
  do {
    ++history.selected;
  } while (history.selected < history.values.size() &&
           history.value() != nullptr &&
           !CheckConfigValue(path, *history.value()).empty());
}

// A broken rule between values, and the paths of the values involved; the
// newest of these falls back to an older value.
struct config_conflict {
  finding problem;
  std::vector<std::string> paths;
  // Caused by another value that is invalid and has been reported.
  bool is_consequence = false;
};

template <typename type>
type GetOr(const json& value, const char* name, type default_value) {
  const auto found = value.find(name);
  return found == value.end() ? default_value : found->get<type>();
}

bool StringEquals(const json& value, const char* name, const char* text) {
  const auto found = value.find(name);
  return found != value.end() && found->is_string() && *found == text;
}

bool IsFalse(const json& value, const char* name) {
  const auto found = value.find(name);
  return found != value.end() && found->is_boolean() && !found->get<bool>();
}

route_config ReadRoute(const std::string& name, const json& value) {
  route_config route;
  route.name = name;
  route.path_prefix = GetOr(value, "path_prefix", std::string());
  route.methods = GetOr(value, "methods", std::set<std::string>());
  route.access = StringEquals(value, "access", "open") ? route_access::kOpen
                                                       : route_access::kKeyed;
  route.repeatable = GetOr(value, "repeatable", false);
  route.service = GetOr(value, "service", std::string());
  if (StringEquals(value, "class", "critical"))
    route.priority = priority_class::kCritical;
  else if (StringEquals(value, "class", "browse"))
    route.priority = priority_class::kBrowse;
  return route;
}

service_config ReadService(const std::string& name, const json& value) {
  service_config service;
  service.name = name;
  service.cold_capacity = GetOr(value, "cold_capacity", service.cold_capacity);
  service.max_limit = GetOr(value, "max_limit", service.max_limit);
  service.queue_bound = std::chrono::milliseconds(
      GetOr(value, "queue_bound_ms", ToMilliseconds(service.queue_bound)));
  service.call_timeout = std::chrono::milliseconds(
      GetOr(value, "call_timeout_ms", ToMilliseconds(service.call_timeout)));
  service.calls = GetOr(value, "calls", std::vector<std::string>());
  return service;
}

// Builds one view from the values of all paths.
class view_assembler {
 public:
  view_assembler(value_histories histories, findings problems)
      : histories_(std::move(histories)), problems_(std::move(problems)) {}

  config_build_result Assemble(uint64_t offset) {
    ResolveConflicts();
    view_.offset = offset;
    // Subtrees are added after those that they refer to.
    ForEach("customers", [this](const auto& name, const auto& history) {
      AddCustomer(name, history);
    });
    ForEach("zones", [this](const auto& name, const auto& history) {
      if ((history.value() != nullptr &&
           StringEquals(*history.value(), "state", "out")) ||
          (history.newest_is_invalid &&
           StringEquals(NewestValue(history), "state", "out")))
        view_.out_of_service_zones.insert(name);
    });
    ForEach("keys", [this](const auto& name, const auto& history) {
      AddKey(name, history);
    });
    ForEach("rates", [this](const auto& name, const auto& history) {
      const json* value = history.value();
      if (value != nullptr && RequireCustomer("/rates/" + name, name)) {
        view_.rates[name] = {value->at("per_second").template get<double>(),
                             value->at("burst").template get<double>()};
      }
    });
    ForEach("priorities", [this](const auto& name, const auto& history) {
      const json* value = history.value();
      if (value != nullptr && RequireCustomer("/priorities/" + name, name)) {
        view_.customers[name].weight =
            value->at("weight").template get<double>();
      }
    });
    ForEach("targets", [this](const auto& name, const auto& history) {
      AddTargets(name, history);
    });
    return {std::move(view_), std::move(problems_)};
  }

 private:
  template <typename action_type>
  void ForEach(const std::string& subtree, const action_type& action) {
    const std::string prefix = "/" + subtree + "/";
    for (auto it = histories_.lower_bound(prefix);
         it != histories_.end() &&
         it->first.compare(0, prefix.size(), prefix) == 0;
         ++it)
      action(it->first.substr(prefix.size()), it->second);
  }

  // The newest value, which may have findings; JSON null when the path was
  // deleted.
  static const json& NewestValue(const value_history& history) {
    static const json kNull;
    return history.values[0].value ? *history.values[0].value : kNull;
  }

  // True when `path` has a newest value, with findings or without. False when
  // it was deleted or never published.
  bool IsPublished(const std::string& path) const {
    const auto found = histories_.find(path);
    return found != histories_.end() && found->second.values[0].value;
  }

  void Report(const finding& problem) {
    if (reported_.insert({problem.place, problem.message}).second)
      problems_.Add(problem.place, problem.message);
  }

  void AddCustomer(const std::string& name, const value_history& history) {
    const json* value = history.value();
    if (value == nullptr)
      return;
    customer_config& customer = view_.customers[name];
    customer.name = name;
    customer.enabled = GetOr(*value, "enabled", true) &&
                       !(history.newest_is_invalid &&
                         IsFalse(NewestValue(history), "enabled"));
    customer.weight = GetOr(*value, "weight", 1.0);
  }

  void AddKey(const std::string& id, const value_history& history) {
    const json* value = history.value();
    if (value == nullptr)
      return;
    key_config key;
    key.id = id;
    key.customer = value->at("customer").get<std::string>();
    key.secret_sha256 = value->at("secret_sha256").get<std::string>();
    key.withdrawn = StringEquals(*value, "state", "withdrawn") ||
                    (history.newest_is_invalid &&
                     StringEquals(NewestValue(history), "state", "withdrawn"));
    if (RequireCustomer("/keys/" + id + "/customer", key.customer))
      view_.keys[id] = std::move(key);
  }

  void AddTargets(const std::string& name, const value_history& history) {
    const bool taken_out = history.newest_is_invalid &&
                           IsFalse(NewestValue(history), "in_service");
    const json* value = history.value();
    if (value == nullptr && !taken_out)
      return;
    const auto service = view_.services.find(name);
    if (service == view_.services.end()) {
      if (!IsPublished("/services/" + name))
        Report({"/targets/" + name, "service \"" + name + "\" does not exist"});
      return;
    }
    if (value != nullptr) {
      service->second.in_service = GetOr(*value, "in_service", true);
      service->second.out_of_service_targets =
          GetOr(*value, "out", std::set<std::string>());
    }
    service->second.in_service = service->second.in_service && !taken_out;
  }

  bool RequireCustomer(const std::string& place, const std::string& customer) {
    if (view_.customers.count(customer) != 0)
      return true;
    if (!IsPublished("/customers/" + customer))
      Report({place, "customer \"" + customer + "\" does not exist"});
    return false;
  }

  // Makes the newest value of a conflict fall back to an older one, until no
  // conflict is left. This ends, since each round discards one of a finite
  // number of values.
  void ResolveConflicts() {
    while (true) {
      view_.routes.clear();
      view_.services.clear();
      ForEach("routes", [this](const auto& name, const auto& history) {
        if (history.value() != nullptr)
          view_.routes[name] = ReadRoute(name, *history.value());
      });
      ForEach("services", [this](const auto& name, const auto& history) {
        if (history.value() != nullptr)
          view_.services[name] = ReadService(name, *history.value());
      });
      const std::vector<config_conflict> conflicts = FindConflicts();
      if (conflicts.empty())
        return;
      for (const config_conflict& conflict : conflicts) {
        if (!conflict.is_consequence)
          Report(conflict.problem);
      }
      const std::string* newest = nullptr;
      for (const std::string& path : conflicts.front().paths) {
        const auto it = histories_.find(path);
        if (it != histories_.end() && it->second.version() != 0 &&
            (newest == nullptr ||
             it->second.version() > histories_.at(*newest).version()))
          newest = &path;
      }
      // Does not happen: the value that refers to another one has a version.
      if (newest == nullptr)
        return;
      FallBack(*newest, histories_.at(*newest));
    }
  }

  std::vector<config_conflict> FindConflicts() const {
    std::vector<config_conflict> conflicts;
    for (const auto& [name, route] : view_.routes) {
      CheckServiceExists("/routes/" + name, "/service", route.service,
                         &conflicts);
      CheckPathPrefix(route, &conflicts);
    }
    for (const auto& [name, service] : view_.services) {
      for (size_t i = 0; i < service.calls.size(); ++i) {
        CheckServiceExists("/services/" + name, "/calls/" + std::to_string(i),
                           service.calls[i], &conflicts);
      }
    }
    if (conflicts.empty())
      CheckCallCycles(&conflicts);
    return conflicts;
  }

  void CheckServiceExists(const std::string& path,
                          const std::string& setting,
                          const std::string& service,
                          std::vector<config_conflict>* conflicts) const {
    if (view_.services.count(service) != 0)
      return;
    const std::string target = "/services/" + service;
    conflicts->push_back(
        {{path + setting, "service \"" + service + "\" does not exist"},
         {path, target},
         IsPublished(target)});
  }

  void CheckPathPrefix(const route_config& route,
                       std::vector<config_conflict>* conflicts) const {
    for (auto it = view_.routes.upper_bound(route.name);
         it != view_.routes.end(); ++it) {
      const route_config& other = it->second;
      const bool overlap =
          route.methods.empty() || other.methods.empty() ||
          std::any_of(route.methods.begin(), route.methods.end(),
                      [&](const std::string& method) {
                        return other.methods.count(method) != 0;
                      });
      if (other.path_prefix != route.path_prefix || !overlap)
        continue;
      conflicts->push_back(
          {{"/routes/" + other.name + "/path_prefix",
            "\"" + route.path_prefix + "\" is also the prefix of route \"" +
                route.name + "\", which has a method in common"},
           {"/routes/" + route.name, "/routes/" + other.name},
           false});
    }
  }

  // Adds one cycle of calls between services, if there is any.
  void CheckCallCycles(std::vector<config_conflict>* conflicts) const {
    std::set<std::string> visited;
    std::vector<std::string> call_path;
    for (const auto& [name, service] : view_.services) {
      if (FindCycle(name, &call_path, &visited, conflicts))
        return;
    }
  }

  // Depth-first search from service `name`. `call_path` lists the services on
  // the current path, `visited` those that cannot be on a cycle.
  bool FindCycle(const std::string& name,
                 std::vector<std::string>* call_path,
                 std::set<std::string>* visited,
                 std::vector<config_conflict>* conflicts) const {
    const auto start = std::find(call_path->begin(), call_path->end(), name);
    if (start != call_path->end()) {
      config_conflict cycle;
      std::string cycle_text;
      for (auto it = start; it != call_path->end(); ++it) {
        cycle.paths.push_back("/services/" + *it);
        cycle_text += *it + " -> ";
      }
      cycle.problem = {cycle.paths.front() + "/calls",
                       "calls form a cycle: " + cycle_text + name};
      conflicts->push_back(std::move(cycle));
      return true;
    }
    if (visited->count(name) != 0)
      return false;
    call_path->push_back(name);
    for (const std::string& next : view_.services.at(name).calls) {
      if (FindCycle(next, call_path, visited, conflicts))
        return true;
    }
    call_path->pop_back();
    visited->insert(name);
    return false;
  }

  value_histories histories_;
  config_view view_;
  findings problems_;
  std::set<std::pair<std::string, std::string>> reported_;
};

}  // namespace

const std::vector<config_subtree>& ConfigSubtrees() {
  static const auto* const kSubtreeList = [] {
    auto* list = new std::vector<config_subtree>;
    for (const json& item : json::parse(kSubtreesJson)) {
      list->push_back({item.at("name"), item.at("names"), item.at("schema"),
                       item.at("example")});
    }
    return list;
  }();
  return *kSubtreeList;
}

findings CheckConfigValue(const std::string& path, const json& value) {
  findings problems;
  if (!IsConfigPath(path)) {
    problems.Add(path, "must have the form /SUBTREE/NAME");
    return problems;
  }
  const auto [subtree, name] = SplitPath(path);
  const auto found = CompiledSubtrees().find(subtree);
  if (found == CompiledSubtrees().end()) {
    problems.Add(path, "unknown subtree \"" + subtree + "\"");
    return problems;
  }
  found->second.schema->Check(value, path, &problems);
  if (problems.empty() && subtree == "services") {
    const service_config service = ReadService(name, value);
    if (service.cold_capacity > service.max_limit) {
      problems.Add(path + "/cold_capacity",
                   "must not be above max_limit (" +
                       std::to_string(service.max_limit) + "), got " +
                       std::to_string(service.cold_capacity));
    }
  }
  return problems;
}

config_build_result config_view_builder::Build(const config_state& state) {
  value_histories histories;
  findings problems;
  for (const auto& [path, entry] : state.entries()) {
    value_history history;
    history.values.push_back({entry.version, entry.value});
    history.values.insert(history.values.end(), entry.past.begin(),
                          entry.past.end());
    if (entry.value) {
      checked_value& checked = checked_[path];
      if (checked.version != entry.version)
        checked = {entry.version, CheckConfigValue(path, *entry.value)};
      if (!checked.problems.empty()) {
        problems.Append(checked.problems);
        history.newest_is_invalid = true;
        FallBack(path, history);
      }
    }
    histories.emplace(path, std::move(history));
  }
  for (auto it = checked_.begin(); it != checked_.end();) {
    const auto entry = state.entries().find(it->first);
    it = entry == state.entries().end() || !entry->second.value
             ? checked_.erase(it)
             : std::next(it);
  }
  return view_assembler(std::move(histories), std::move(problems))
      .Assemble(state.offset());
}

tl::expected<config_view, findings> BuildConfigView(const config_state& state) {
  config_build_result result = config_view_builder().Build(state);
  if (!result.problems.empty())
    return tl::unexpected(std::move(result.problems));
  return std::move(result.view);
}

tl::expected<config_view, findings> BuildConfigView(
    uint64_t offset,
    const std::map<std::string, json>& values) {
  value_histories histories;
  findings problems;
  for (const auto& [path, value] : values) {
    value_history history;
    history.values.push_back({1, value});
    const findings value_problems = CheckConfigValue(path, value);
    if (!value_problems.empty()) {
      problems.Append(value_problems);
      history.newest_is_invalid = true;
      history.selected = 1;
    }
    histories.emplace(path, std::move(history));
  }
  config_build_result result =
      view_assembler(std::move(histories), std::move(problems))
          .Assemble(offset);
  if (!result.problems.empty())
    return tl::unexpected(std::move(result.problems));
  return std::move(result.view);
}

std::string DescribeConfig() {
  std::ostringstream text;
  text
      << "# Published configuration\n\n"
         "Generated by `skylarkhoist config describe`; do not edit.\n\n"
         "Each value is a JSON object that is published under a path "
         "`/SUBTREE/NAME`. Names consist of 1 to\n64 letters, digits, `.`, `_` "
         "and `-`. The version of a path is the log offset of its last "
         "accepted\n"
         "change; a change with another base version is void and has no "
         "effect.\n\n"
         "A published value that breaks a rule is reported, and nodes use the "
         "last valid one of the "
      << kMaxPastValues
      << " values\nbefore it. An instruction to stop serving (a withdrawn key, "
         "a customer that is not enabled, a zone\nthat is out, a service that "
         "is not in service) takes effect even if the rest of its value "
         "breaks a\nrule.\n\n"
         "Rules between values: the customer of a key, a rate or a priority "
         "must exist; the service of a\nroute, a call or a targets entry must "
         "exist; calls between services must not form a cycle; two\nroutes "
         "with the same prefix must not have a method in common; "
         "`cold_capacity` must be at most\n`max_limit`.\n";
  for (const config_subtree& subtree : ConfigSubtrees()) {
    const json& schema = subtree.schema;
    text << "\n## /" << subtree.name << "/NAME\n\n"
         << schema.at("description").get<std::string>() << " NAME is a "
         << subtree.name_meaning << ".\n\n"
         << "| setting | must be | default | meaning |\n|---|---|---|---|\n";
    const json required = schema.value("required", json::array());
    for (const auto& [name, setting] : schema.at("properties").items()) {
      const bool is_required =
          std::find(required.begin(), required.end(), name) != required.end();
      text << "| `" << name << "` | " << setting.at("x-must").get<std::string>()
           << " | "
           << (is_required ? "required"
                           : "`" + JsonText(setting.at("default")) + "`")
           << " | " << setting.at("description").get<std::string>() << " |\n";
    }
    text << "\nExample: `" << JsonText(subtree.example) << "`\n";
  }
  return text.str();
}

}  // namespace skylarkhoist
