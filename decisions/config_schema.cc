#include "decisions/config_schema.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <sstream>

#include "kernel/json_schema.h"

namespace skylarkhoist {
namespace {

constexpr char kSubtrees[] = R"json([
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
        "description": "Share in queues relative to other customers."}
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
        "x-must": "a positive number", "description": "Requests a second."},
      "burst": {"type": "number", "minimum": 1, "maximum": 100000000,
        "x-must": "a number of at least 1", "description": "Requests at once after a pause."}
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
        "description": "Share in queues relative to other customers."}
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
    "description": "Targets of a service that operators take out of service.",
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
    "description": "Routes from paths to services. The longest matching prefix wins.",
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
        "description": "Whether running a request twice does no harm."},
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
        "description": "Calls that a target bears at the same time right after its start."},
      "max_limit": {"type": "integer", "minimum": 1, "maximum": 100000, "default": 1000,
        "x-must": "a whole number from 1 to 100000",
        "description": "Upper bound of the learned limit of a target; at least cold_capacity."},
      "queue_bound_ms": {"type": "integer", "minimum": 0, "maximum": 600000, "default": 500,
        "x-must": "whole milliseconds from 0 to 600000",
        "description": "Longest wait in the queue of a target, in milliseconds."},
      "call_timeout_ms": {"type": "integer", "minimum": 1, "maximum": 3600000, "default": 10000,
        "x-must": "whole milliseconds from 1 to 3600000",
        "description": "Longest run of one call at the target, in milliseconds."},
      "calls": {"type": "array", "uniqueItems": true, "maxItems": 64, "default": [],
        "x-must": "a list of different services",
        "items": {"type": "string", "minLength": 1, "maxLength": 64, "x-must": "the name of a service"},
        "description": "Services that a call to this one calls in turn; without cycles."}
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

// The values of one path, newest first, and the one that is used. An index past
// the end means that the path is left out.
struct candidate {
  std::vector<past_value> values;
  size_t chosen = 0;
  // The newest value had findings of its own.
  bool newest_bad = false;

  const json* value() const {
    return chosen < values.size() && values[chosen].value
               ? &*values[chosen].value
               : nullptr;
  }
  uint64_t version() const {
    return chosen < values.size() ? values[chosen].version : 0;
  }
};

using candidates = std::map<std::string, candidate>;

// Moves to the newest older value without findings of its own.
void FallBack(const std::string& path, candidate& item) {
  do {
    ++item.chosen;
  } while (item.chosen < item.values.size() && item.value() != nullptr &&
           !CheckConfigValue(path, *item.value()).empty());
}

// Findings between values, and the paths whose newest change is to blame.
struct contradiction {
  finding problem;
  std::vector<std::string> paths;
  // Follows from a finding that is reported already.
  bool secondary = false;
};

template <typename type>
type Get(const json& value, const char* name, type fallback) {
  const auto found = value.find(name);
  return found == value.end() ? fallback : found->get<type>();
}

bool HasText(const json& value, const char* name, const char* text) {
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
  route.path_prefix = Get(value, "path_prefix", std::string());
  route.methods = Get(value, "methods", std::set<std::string>());
  route.access = HasText(value, "access", "open") ? route_access::kOpen
                                                  : route_access::kKeyed;
  route.repeatable = Get(value, "repeatable", false);
  route.service = Get(value, "service", std::string());
  if (HasText(value, "class", "critical"))
    route.rank = priority_class::kCritical;
  else if (HasText(value, "class", "browse"))
    route.rank = priority_class::kBrowse;
  return route;
}

service_config ReadService(const std::string& name, const json& value) {
  service_config service;
  service.name = name;
  service.cold_capacity = Get(value, "cold_capacity", service.cold_capacity);
  service.max_limit = Get(value, "max_limit", service.max_limit);
  service.queue_bound = std::chrono::milliseconds(
      Get(value, "queue_bound_ms", ToMilliseconds(service.queue_bound)));
  service.call_timeout = std::chrono::milliseconds(
      Get(value, "call_timeout_ms", ToMilliseconds(service.call_timeout)));
  service.calls = Get(value, "calls", std::vector<std::string>());
  return service;
}

// Builds a view out of candidates. One object serves one state.
class view_assembly {
 public:
  view_assembly(candidates items, findings problems)
      : items_(std::move(items)), problems_(std::move(problems)) {}

  tolerant_config Run(uint64_t offset) {
    ResolveContradictions();
    view_.offset = offset;
    // Customers, zones and services come before the subtrees that refer to
    // them.
    ForEach("customers", [this](const auto& name, const auto& item) {
      ReadCustomer(name, item);
    });
    ForEach("zones", [this](const auto& name, const auto& item) {
      if ((item.value() != nullptr && HasText(*item.value(), "state", "out")) ||
          (item.newest_bad && HasText(Newest(item), "state", "out")))
        view_.zones_out.insert(name);
    });
    ForEach("keys", [this](const auto& name, const auto& item) {
      ReadKey(name, item);
    });
    ForEach("rates", [this](const auto& name, const auto& item) {
      const json* value = item.value();
      if (value != nullptr && RequireCustomer("/rates/" + name, name)) {
        view_.rates[name] = {value->at("per_second").template get<double>(),
                             value->at("burst").template get<double>()};
      }
    });
    ForEach("priorities", [this](const auto& name, const auto& item) {
      const json* value = item.value();
      if (value != nullptr && RequireCustomer("/priorities/" + name, name)) {
        view_.customers[name].weight =
            value->at("weight").template get<double>();
      }
    });
    ForEach("targets", [this](const auto& name, const auto& item) {
      ReadTargets(name, item);
    });
    return {std::move(view_), std::move(problems_)};
  }

 private:
  template <typename function>
  void ForEach(const std::string& subtree, const function& call) {
    const std::string prefix = "/" + subtree + "/";
    for (auto at = items_.lower_bound(prefix);
         at != items_.end() && at->first.compare(0, prefix.size(), prefix) == 0;
         ++at)
      call(at->first.substr(prefix.size()), at->second);
  }

  // The newest value, which may have findings; null when it is a deletion.
  static const json& Newest(const candidate& item) {
    static const json kNothing;
    return item.values[0].value ? *item.values[0].value : kNothing;
  }

  // True when the newest value of `path` is there, with findings or without.
  bool IsPublished(const std::string& path) const {
    const auto found = items_.find(path);
    return found != items_.end() && found->second.values[0].value;
  }

  void Report(const finding& problem) {
    if (reported_.insert({problem.place, problem.message}).second)
      problems_.Add(problem.place, problem.message);
  }

  void ReadCustomer(const std::string& name, const candidate& item) {
    const json* value = item.value();
    if (value == nullptr)
      return;
    customer_config& customer = view_.customers[name];
    customer.name = name;
    customer.enabled = Get(*value, "enabled", true) &&
                       !(item.newest_bad && IsFalse(Newest(item), "enabled"));
    customer.weight = Get(*value, "weight", 1.0);
  }

  void ReadKey(const std::string& id, const candidate& item) {
    const json* value = item.value();
    if (value == nullptr)
      return;
    key_config key;
    key.id = id;
    key.customer = value->at("customer").get<std::string>();
    key.secret_sha256 = value->at("secret_sha256").get<std::string>();
    key.withdrawn =
        HasText(*value, "state", "withdrawn") ||
        (item.newest_bad && HasText(Newest(item), "state", "withdrawn"));
    if (RequireCustomer("/keys/" + id + "/customer", key.customer))
      view_.keys[id] = std::move(key);
  }

  void ReadTargets(const std::string& name, const candidate& item) {
    const bool stopped = item.newest_bad && IsFalse(Newest(item), "in_service");
    const json* value = item.value();
    if (value == nullptr && !stopped)
      return;
    const auto service = view_.services.find(name);
    if (service == view_.services.end()) {
      if (!IsPublished("/services/" + name))
        Report({"/targets/" + name, "service \"" + name + "\" does not exist"});
      return;
    }
    if (value != nullptr) {
      service->second.in_service = Get(*value, "in_service", true);
      service->second.targets_out = Get(*value, "out", std::set<std::string>());
    }
    service->second.in_service = service->second.in_service && !stopped;
  }

  bool RequireCustomer(const std::string& place, const std::string& customer) {
    if (view_.customers.count(customer) != 0)
      return true;
    if (!IsPublished("/customers/" + customer))
      Report({place, "customer \"" + customer + "\" does not exist"});
    return false;
  }

  // Lets the newest change of each contradiction fall back. Each round removes
  // one of the finitely many values, so this ends.
  void ResolveContradictions() {
    while (true) {
      view_.routes.clear();
      view_.services.clear();
      ForEach("routes", [this](const auto& name, const auto& item) {
        if (item.value() != nullptr)
          view_.routes[name] = ReadRoute(name, *item.value());
      });
      ForEach("services", [this](const auto& name, const auto& item) {
        if (item.value() != nullptr)
          view_.services[name] = ReadService(name, *item.value());
      });
      const std::vector<contradiction> found = FindContradictions();
      if (found.empty())
        return;
      for (const contradiction& item : found) {
        if (!item.secondary)
          Report(item.problem);
      }
      const std::string* newest = nullptr;
      for (const std::string& path : found.front().paths) {
        const auto at = items_.find(path);
        if (at != items_.end() && at->second.version() != 0 &&
            (newest == nullptr ||
             at->second.version() > items_.at(*newest).version()))
          newest = &path;
      }
      // At least the value that made the claim has a version.
      if (newest == nullptr)
        return;
      FallBack(*newest, items_.at(*newest));
    }
  }

  std::vector<contradiction> FindContradictions() const {
    std::vector<contradiction> found;
    for (const auto& [name, route] : view_.routes) {
      CheckService("/routes/" + name, "/service", route.service, &found);
      CheckPrefix(route, &found);
    }
    for (const auto& [name, service] : view_.services) {
      for (size_t i = 0; i < service.calls.size(); ++i) {
        CheckService("/services/" + name, "/calls/" + std::to_string(i),
                     service.calls[i], &found);
      }
    }
    if (found.empty())
      CheckCycles(&found);
    return found;
  }

  void CheckService(const std::string& path,
                    const std::string& setting,
                    const std::string& service,
                    std::vector<contradiction>* found) const {
    if (view_.services.count(service) != 0)
      return;
    const std::string target = "/services/" + service;
    found->push_back(
        {{path + setting, "service \"" + service + "\" does not exist"},
         {path, target},
         IsPublished(target)});
  }

  void CheckPrefix(const route_config& route,
                   std::vector<contradiction>* found) const {
    for (auto at = view_.routes.upper_bound(route.name);
         at != view_.routes.end(); ++at) {
      const route_config& other = at->second;
      const bool overlap =
          route.methods.empty() || other.methods.empty() ||
          std::any_of(route.methods.begin(), route.methods.end(),
                      [&](const std::string& method) {
                        return other.methods.count(method) != 0;
                      });
      if (other.path_prefix != route.path_prefix || !overlap)
        continue;
      found->push_back({{"/routes/" + other.name + "/path_prefix",
                         "\"" + route.path_prefix +
                             "\" with overlapping methods belongs to route \"" +
                             route.name + "\" too"},
                        {"/routes/" + route.name, "/routes/" + other.name},
                        false});
    }
  }

  // Reports one cycle of calls, if there is any.
  void CheckCycles(std::vector<contradiction>* found) const {
    std::set<std::string> done;
    std::vector<std::string> open;
    for (const auto& [name, service] : view_.services) {
      if (Follow(name, &open, &done, found))
        return;
    }
  }

  bool Follow(const std::string& name,
              std::vector<std::string>* open,
              std::set<std::string>* done,
              std::vector<contradiction>* found) const {
    const auto start = std::find(open->begin(), open->end(), name);
    if (start != open->end()) {
      contradiction cycle;
      std::string text;
      for (auto at = start; at != open->end(); ++at) {
        cycle.paths.push_back("/services/" + *at);
        text += *at + " -> ";
      }
      cycle.problem = {cycle.paths.front() + "/calls",
                       "calls form a cycle: " + text + name};
      found->push_back(std::move(cycle));
      return true;
    }
    if (done->count(name) != 0)
      return false;
    open->push_back(name);
    for (const std::string& next : view_.services.at(name).calls) {
      if (Follow(next, open, done, found))
        return true;
    }
    open->pop_back();
    done->insert(name);
    return false;
  }

  candidates items_;
  config_view view_;
  findings problems_;
  std::set<std::pair<std::string, std::string>> reported_;
};

}  // namespace

const std::vector<config_subtree>& ConfigSubtrees() {
  static const auto* const kList = [] {
    auto* list = new std::vector<config_subtree>;
    for (const json& item : json::parse(kSubtrees)) {
      list->push_back({item.at("name"), item.at("names"), item.at("schema"),
                       item.at("example")});
    }
    return list;
  }();
  return *kList;
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

tolerant_config config_view_builder::Build(const config_fold& fold) {
  candidates items;
  findings problems;
  for (const auto& [path, entry] : fold.entries()) {
    candidate item;
    item.values.push_back({entry.version, entry.value});
    item.values.insert(item.values.end(), entry.past.begin(), entry.past.end());
    if (entry.value) {
      checked_value& checked = checked_[path];
      if (checked.version != entry.version)
        checked = {entry.version, CheckConfigValue(path, *entry.value)};
      if (!checked.problems.empty()) {
        problems.Append(checked.problems);
        item.newest_bad = true;
        FallBack(path, item);
      }
    }
    items.emplace(path, std::move(item));
  }
  for (auto at = checked_.begin(); at != checked_.end();) {
    const auto entry = fold.entries().find(at->first);
    at = entry == fold.entries().end() || !entry->second.value
             ? checked_.erase(at)
             : std::next(at);
  }
  return view_assembly(std::move(items), std::move(problems))
      .Run(fold.offset());
}

tl::expected<config_view, findings> BuildConfigView(const config_fold& fold) {
  tolerant_config result = config_view_builder().Build(fold);
  if (!result.problems.empty())
    return tl::unexpected(std::move(result.problems));
  return std::move(result.view);
}

tl::expected<config_view, findings> BuildConfigView(
    uint64_t offset,
    const std::map<std::string, json>& values) {
  candidates items;
  findings problems;
  for (const auto& [path, value] : values) {
    candidate item;
    item.values.push_back({1, value});
    const findings own = CheckConfigValue(path, value);
    if (!own.empty()) {
      problems.Append(own);
      item.newest_bad = true;
      item.chosen = 1;
    }
    items.emplace(path, std::move(item));
  }
  tolerant_config result =
      view_assembly(std::move(items), std::move(problems)).Run(offset);
  if (!result.problems.empty())
    return tl::unexpected(std::move(result.problems));
  return std::move(result.view);
}

std::string DescribeConfig() {
  std::ostringstream text;
  text << "# Published configuration\n\n"
          "Generated by `skylarkhoist config describe`; do not edit.\n\n"
          "Each setting stands under a path `/SUBTREE/NAME`, whose value is a "
          "JSON object. Names consist\nof 1 to 64 letters, digits, `.`, `_` "
          "and `-`. The version of a path is the log offset of its last\n"
          "change in force; a change with another base version is void.\n\n"
          "A published value that breaks a rule is reported, and nodes keep "
          "the last valid one out of the\n"
       << kPastValues
       << " values before it. An instruction to stop (a key withdrawn, a "
          "customer not enabled, a zone out, a\nservice not in service) "
          "counts even if the rest of its value breaks a rule.\n\n"
          "Rules between values: a key, a rate and a priority need their "
          "customer; a route, a call and a\ntargets entry need their service; "
          "calls between services form no cycle; two routes with the same\n"
          "prefix have no method in common; `cold_capacity` is at most "
          "`max_limit`.\n";
  for (const config_subtree& subtree : ConfigSubtrees()) {
    const json& schema = subtree.schema;
    text << "\n## /" << subtree.name << "/NAME\n\n"
         << schema.at("description").get<std::string>() << " NAME is a "
         << subtree.names << ".\n\n"
         << "| setting | must be | default | meaning |\n|---|---|---|---|\n";
    const json required = schema.value("required", json::array());
    for (const auto& [name, setting] : schema.at("properties").items()) {
      const bool needed =
          std::find(required.begin(), required.end(), name) != required.end();
      text << "| `" << name << "` | " << setting.at("x-must").get<std::string>()
           << " | "
           << (needed ? "required" : "`" + setting.at("default").dump() + "`")
           << " | " << setting.at("description").get<std::string>() << " |\n";
    }
    text << "\nExample: `" << subtree.example.dump() << "`\n";
  }
  return text.str();
}

}  // namespace skylarkhoist
