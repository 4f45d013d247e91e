#include "node/hosted_settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

#include "kernel/json.h"
#include "kernel/json_schema.h"
#include "wire/address.h"

namespace skylarkhoist {
namespace {

constexpr char kSchema[] = R"json({
"type": "object", "additionalProperties": false,
"required": ["node", "zone", "zones", "listeners", "target", "store"],
"properties": {
  "node": {"type": "string", "minLength": 1, "x-must": "a non-empty name"},
  "zone": {"type": "string", "minLength": 1, "x-must": "the name of a zone"},
  "zones": {"type": "object", "additionalProperties": {"type": "string"},
    "x-must": "an object with the region of each zone"},
  "listeners": {
    "type": "object", "additionalProperties": false,
    "required": ["requests", "ready", "announcements", "peer", "metrics"],
    "properties": {
      "requests": {"type": "string", "x-must": "an address (\"ip:port\")"},
      "ready": {"type": "string", "x-must": "an address (\"ip:port\")"},
      "announcements": {"type": "string", "x-must": "an address (\"ip:port\")"},
      "peer": {"type": "string", "x-must": "an address (\"ip:port\")"},
      "metrics": {"type": "string", "x-must": "an address (\"ip:port\")"}
    }
  },
  "target": {
    "type": "object", "additionalProperties": false, "required": ["service", "address"],
    "properties": {
      "service": {"type": "string", "x-must": "the name of a service"},
      "address": {"type": "string", "x-must": "an address (\"ip:port\")"}
    }
  },
  "store": {
    "type": "object", "additionalProperties": false, "required": ["address"],
    "properties": {"address": {"type": "string", "x-must": "an address (\"ip:port\")"}}
  },
  "limits": {
    "type": "object", "additionalProperties": false,
    "properties": {
      "max_header_bytes": {"type": "integer", "minimum": 1024, "maximum": 262144,
        "x-must": "a whole number from 1024 to 262144"},
      "max_body_bytes": {"type": "integer", "minimum": 0, "maximum": 1073741824,
        "x-must": "a whole number from 0 to 1073741824"},
      "memory_mb": {"type": "integer", "minimum": 32, "maximum": 1048576,
        "x-must": "a whole number from 32 to 1048576"},
      "max_descriptors": {"type": "integer", "minimum": 256, "maximum": 1048576,
        "x-must": "a whole number from 256 to 1048576"},
      "max_buffered_bytes": {"type": "integer", "minimum": 1048576, "maximum": 1099511627776,
        "x-must": "a whole number from 1048576 to 1099511627776"},
      "max_connections": {"type": "integer", "minimum": 16, "maximum": 1048576,
        "x-must": "a whole number from 16 to 1048576"},
      "head_timeout_s": {"type": "number", "minimum": 0.1, "maximum": 3600,
        "x-must": "seconds from 0.1 to 3600"},
      "body_timeout_s": {"type": "number", "minimum": 0.1, "maximum": 3600,
        "x-must": "seconds from 0.1 to 3600"}
    }
  },
  "routing": {"type": "string", "enum": ["zone_aware", "zone_balanced"],
    "x-must": "\"zone_aware\" or \"zone_balanced\""},
  "retry_ratio": {"type": "number", "minimum": 0, "maximum": 1,
    "x-must": "a ratio from 0 to 1"},
  "rollouts": {
    "type": "object", "additionalProperties": false,
    "properties": {
      "exposure_share": {"type": "number", "minimum": 0, "maximum": 1,
        "x-must": "a number from 0 to 1"},
      "exposure_slack": {"type": "number", "minimum": 0, "maximum": 1000000,
        "x-must": "a number from 0 to 1000000"},
      "rollback_ms": {"type": "number", "minimum": 1, "maximum": 3600000,
        "x-must": "milliseconds from 1 to 3600000"}
    }
  },
  "announcement_interval_ms": {"type": "number", "minimum": 100, "maximum": 60000,
    "x-must": "milliseconds from 100 to 60000"},
  "stop_grace_s": {"type": "number", "minimum": 0.5, "maximum": 600,
    "x-must": "seconds from 0.5 to 600"}
}})json";

const json_schema& Schema() {
  static const auto* const kCompiled = new json_schema(json::parse(kSchema));
  return *kCompiled;
}

void CheckAddress(const std::string& place,
                  const std::string& address,
                  findings* problems) {
  const auto parts = SplitAddress(address);
  if (!parts || parts->port == 0)
    problems->Add(place, "must be an address (\"ip:port\"), got " +
                             TruncatedJsonText(json(address)));
}

// Sets the limits, with defaults that follow from the memory and the
// descriptors of the process.
void ReadLimits(const json& limits, hosted_settings* result) {
  result->max_header_bytes =
      limits.value("max_header_bytes", result->max_header_bytes);
  result->max_body_bytes =
      limits.value("max_body_bytes", result->max_body_bytes);
  result->memory_mb = limits.value("memory_mb", result->memory_mb);
  result->max_descriptors =
      limits.value("max_descriptors", result->max_descriptors);
  result->max_buffered_bytes = limits.value(
      "max_buffered_bytes",
      DefaultMaxBufferedBytes(result->memory_mb, result->max_body_bytes));
  result->max_connections =
      limits.value("max_connections", result->max_descriptors / 2);
  const auto read_time = [&limits](const char* name, duration* time) {
    using seconds = std::chrono::duration<double>;
    if (limits.contains(name))
      *time = std::chrono::duration_cast<duration>(
          seconds(limits.at(name).get<double>()));
  };
  read_time("head_timeout_s", &result->head_timeout);
  read_time("body_timeout_s", &result->body_timeout);
}

}  // namespace

// A body is received in buffers that are up to an eighth larger than it.
size_t DefaultMaxBufferedBytes(size_t memory_mb, size_t max_body_bytes) {
  return std::max((memory_mb << 20U) / 2,
                  max_body_bytes + max_body_bytes / 8 + (size_t{8} << 20U));
}

tl::expected<hosted_settings, findings> ParseHostedSettings(
    std::string_view text) {
  const auto value = ParseJson(text);
  if (!value)
    return tl::unexpected(value.error());
  findings problems;
  Schema().Check(*value, "", &problems);
  if (!problems.empty())
    return tl::unexpected(problems);
  hosted_settings result;
  result.node = value->at("node");
  result.zone = value->at("zone");
  result.regions = value->at("zones").get<std::map<std::string, std::string>>();
  result.target_service = value->at("target").at("service");
  const struct {
    const char* place;
    std::string* field;
  } addresses[] = {
      {"/listeners/requests", &result.request_address},
      {"/listeners/ready", &result.ready_address},
      {"/listeners/announcements", &result.announcement_address},
      {"/listeners/peer", &result.peer_address},
      {"/listeners/metrics", &result.metrics_address},
      {"/target/address", &result.target_address},
      {"/store/address", &result.store_address},
  };
  std::set<std::string> used_addresses;
  for (const auto& each : addresses) {
    *each.field = value->at(json::json_pointer(each.place));
    CheckAddress(each.place, *each.field, &problems);
    if (!used_addresses.insert(*each.field).second)
      problems.Add(each.place, "must differ from the other addresses");
  }
  if (result.regions.count(result.zone) == 0)
    problems.Add("/zone", "must be one of the zones in /zones");
  if (value->contains("limits"))
    ReadLimits(value->at("limits"), &result);
  using milliseconds = std::chrono::duration<double, std::milli>;
  using seconds = std::chrono::duration<double>;
  result.routing = value->value("routing", result.routing);
  result.retry_ratio = value->value("retry_ratio", result.retry_ratio);
  if (value->contains("rollouts")) {
    const json& rollouts = value->at("rollouts");
    result.exposure_share =
        rollouts.value("exposure_share", result.exposure_share);
    result.exposure_slack =
        rollouts.value("exposure_slack", result.exposure_slack);
    if (rollouts.contains("rollback_ms"))
      result.rollback_time = std::chrono::duration_cast<duration>(
          milliseconds(rollouts.at("rollback_ms").get<double>()));
  }
  if (value->contains("announcement_interval_ms"))
    result.announcement_interval = std::chrono::duration_cast<duration>(
        milliseconds(value->at("announcement_interval_ms").get<double>()));
  if (value->contains("stop_grace_s"))
    result.stop_grace = std::chrono::duration_cast<duration>(
        seconds(value->at("stop_grace_s").get<double>()));
  if (!problems.empty())
    return tl::unexpected(problems);
  return result;
}

tl::expected<hosted_settings, findings> ReadHostedSettings(
    const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(stream),
                         std::istreambuf_iterator<char>()};
  if (!stream) {
    findings problems;
    problems.Add(file, "cannot be read");
    return tl::unexpected(problems);
  }
  return ParseHostedSettings(text);
}

}  // namespace skylarkhoist
