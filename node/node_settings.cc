#include "node/node_settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

#include "decisions/config_schema.h"
#include "kernel/json.h"
#include "kernel/json_schema.h"
#include "wire/address.h"

namespace skylarkhoist {
namespace {

constexpr char kSchema[] = R"json({
"type": "object", "additionalProperties": false,
"required": ["node", "cluster", "zone", "listeners", "log"],
"properties": {
  "node": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$", "x-must": "a name of letters, digits, '.', '_', '-'"},
  "cluster": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$", "x-must": "a name of letters, digits, '.', '_', '-'"},
  "zone": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$", "x-must": "a name of letters, digits, '.', '_', '-'"},
  "listeners": {
    "type": "object", "additionalProperties": false, "required": ["public", "local", "peer"],
    "properties": {
      "public": {"type": "string", "x-must": "an address (\"ip:port\")"},
      "local": {"type": "string", "x-must": "an address (\"ip:port\")"},
      "peer": {"type": "string", "x-must": "an address (\"ip:port\")"}
    }
  },
  "log": {
    "type": "object", "additionalProperties": false, "required": ["address"],
    "properties": {
      "address": {"type": "string", "x-must": "an address (\"ip:port\")"},
      "stream": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,64}$",
        "x-must": "a name of letters, digits, '.', '_', '-'"},
      "timeout_ms": {"type": "integer", "minimum": 10, "maximum": 60000,
        "x-must": "whole milliseconds from 10 to 60000"}
    }
  },
  "seed_peers": {"type": "array", "maxItems": 64, "uniqueItems": true, "x-must": "a list of different addresses",
    "items": {"type": "string", "x-must": "an address (\"ip:port\")"}},
  "log_format": {"enum": ["json", "plain"], "x-must": "\"json\" or \"plain\""},
  "plugins": {
    "type": "object", "additionalProperties": false,
    "properties": {
      "routing_policy": {"type": "string", "x-must": "the name of a plug-in"},
      "concurrency_limit": {"type": "string", "x-must": "the name of a plug-in"},
      "queue_order": {"type": "string", "x-must": "the name of a plug-in"},
      "log_client": {"type": "string", "x-must": "the name of a plug-in"}
    }
  },
  "limits": {
    "type": "object", "additionalProperties": false,
    "properties": {
      "max_body_bytes": {"type": "integer", "minimum": 0, "maximum": 8388608,
        "x-must": "a whole number from 0 to 8388608"},
      "max_header_bytes": {"type": "integer", "minimum": 1024, "maximum": 65536,
        "x-must": "a whole number from 1024 to 65536"},
      "max_open_calls": {"type": "integer", "minimum": 1, "maximum": 1000000,
        "x-must": "a whole number from 1 to 1000000"},
      "retry_credit": {"type": "integer", "minimum": 0, "maximum": 100,
        "x-must": "a whole number from 0 to 100"},
      "default_deadline_ms": {"type": "integer", "minimum": 1, "maximum": 3600000,
        "x-must": "whole milliseconds from 1 to 3600000"}
    }
  },
  "bootstrap": {
    "type": "object", "additionalProperties": false,
    "properties": {
      "routes": {"type": "object", "additionalProperties": {"type": "object"}},
      "services": {"type": "object", "additionalProperties": {"type": "object"}}
    }
  }
}})json";

const json_schema& Schema() {
  static const auto* const kCompiled = new json_schema(json::parse(kSchema));
  return *kCompiled;
}

// Accepts "ip:port" with a port other than 0. Host names are not allowed, since
// resolving them would block the event loop.
bool IsNumericAddress(const std::string& text) {
  const auto parts = SplitAddress(text);
  return parts && parts->port != 0;
}

// Copies settings that satisfy the schema to their fields, and checks the rules
// that the schema does not express.
class settings_reader {
 public:
  settings_reader(const json& value, const known_plugins& plugins)
      : value_(value), plugins_(plugins) {}

  tl::expected<node_settings, findings> Run() {
    Copy("/node", &result_.node);
    Copy("/cluster", &result_.cluster);
    Copy("/zone", &result_.zone);
    Copy("/log/stream", &result_.log_stream);
    CopyMilliseconds("/log/timeout_ms", &result_.log_timeout);
    Copy("/seed_peers", &result_.seed_peers);
    Copy("/limits/max_body_bytes", &result_.max_body_bytes);
    Copy("/limits/max_header_bytes", &result_.max_header_bytes);
    Copy("/limits/max_open_calls", &result_.max_open_calls);
    Copy("/limits/retry_credit", &result_.retry_credit);
    CopyMilliseconds("/limits/default_deadline_ms", &result_.default_deadline);
    std::string format;
    Copy("/log_format", &format);
    if (format == "plain")
      result_.format = log_format::kPlain;
    ReadAddresses();
    CopyPlugin("routing_policy", plugins_.routing_policies,
               &result_.routing_policy);
    CopyPlugin("concurrency_limit", plugins_.concurrency_limits,
               &result_.concurrency_limit);
    CopyPlugin("queue_order", plugins_.queue_orders, &result_.queue_order);
    CopyPlugin("log_client", plugins_.log_clients, &result_.log_client);
    ReadBootstrap();
    if (!problems_.empty())
      return tl::unexpected(problems_);
    return result_;
  }

 private:
  const json* Find(const std::string& place) const {
    const json::json_pointer pointer(place);
    return value_.contains(pointer) ? &value_.at(pointer) : nullptr;
  }

  template <typename type>
  void Copy(const std::string& place, type* field) {
    if (const json* found = Find(place))
      *field = found->get<type>();
  }

  void CopyMilliseconds(const std::string& place, duration* field) {
    if (const json* found = Find(place))
      *field = std::chrono::milliseconds(found->get<int64_t>());
  }

  void CopyAddress(const std::string& place, std::string* field) {
    Copy(place, field);
    CheckAddress(place, *field);
  }

  void CheckAddress(const std::string& place, const std::string& address) {
    if (!IsNumericAddress(address)) {
      problems_.Add(place, "must be an address (\"ip:port\"), got " +
                               TruncatedJsonText(json(address)));
    }
  }

  void ReadAddresses() {
    const struct {
      const char* place;
      std::string* field;
    } listeners[] = {{"/listeners/public", &result_.public_address},
                     {"/listeners/local", &result_.local_address},
                     {"/listeners/peer", &result_.peer_address}};
    std::set<std::string> used_addresses;
    for (const auto& listener : listeners) {
      CopyAddress(listener.place, listener.field);
      if (!used_addresses.insert(*listener.field).second)
        problems_.Add(listener.place,
                      "must differ from the addresses of the other listeners");
    }
    CopyAddress("/log/address", &result_.log_address);
    for (size_t i = 0; i < result_.seed_peers.size(); ++i) {
      CheckAddress("/seed_peers/" + std::to_string(i), result_.seed_peers[i]);
    }
  }

  void CopyPlugin(const std::string& name,
                  const std::vector<std::string>& known,
                  std::string* field) {
    Copy("/plugins/" + name, field);
    if (known.empty() ||
        std::find(known.begin(), known.end(), *field) != known.end())
      return;
    std::string names;
    for (const std::string& item : known)
      names += (names.empty() ? "" : ", ") + item;
    problems_.Add("/plugins/" + name, "must be one of: " + names + ", got " +
                                          TruncatedJsonText(json(*field)));
  }

  // Checks the same rules as for the published configuration.
  void ReadBootstrap() {
    std::map<std::string, json> values;
    for (const char* subtree : {"routes", "services"}) {
      const json* items = Find(std::string("/bootstrap/") + subtree);
      if (items == nullptr)
        continue;
      for (const auto& [name, item] : items->items())
        values[std::string("/") + subtree + "/" + name] = item;
    }
    auto view = BuildConfigView(0, values);
    if (!view) {
      for (const finding& item : view.error().items())
        problems_.Add("/bootstrap" + item.place, item.message);
      return;
    }
    for (const auto& [name, route] : view->routes) {
      if (route.access != route_access::kOpen) {
        problems_.Add("/bootstrap/routes/" + name + "/access",
                      "must be \"open\": keys cannot be checked before the "
                      "published configuration is loaded");
      }
    }
    result_.bootstrap = std::move(*view);
  }

  const json& value_;
  const known_plugins& plugins_;
  node_settings result_;
  findings problems_;
};

}  // namespace

tl::expected<node_settings, findings> ParseNodeSettings(
    std::string_view text,
    const known_plugins& plugins) {
  const auto value = ParseJson(text);
  if (!value)
    return tl::unexpected(value.error());
  findings problems;
  Schema().Check(*value, "", &problems);
  if (!problems.empty())
    return tl::unexpected(problems);
  return settings_reader(*value, plugins).Run();
}

tl::expected<node_settings, findings> ReadNodeSettings(
    const std::string& file,
    const known_plugins& plugins) {
  std::ifstream stream(file, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(stream),
                         std::istreambuf_iterator<char>()};
  if (!stream) {
    findings problems;
    problems.Add(file, "cannot be read");
    return tl::unexpected(problems);
  }
  return ParseNodeSettings(text, plugins);
}

}  // namespace skylarkhoist
