#include "node/departure_records.h"

#include <string_view>

#include "kernel/json.h"

namespace skylarkhoist {
namespace {

constexpr std::string_view kKeySuffix = "/departures";

}  // namespace

std::string DepartureKey(const std::string& node) {
  return node + std::string(kKeySuffix);
}

std::optional<std::string> NodeOfDepartureKey(const std::string& key) {
  if (key.size() < kKeySuffix.size() ||
      key.compare(key.size() - kKeySuffix.size(), kKeySuffix.size(),
                  kKeySuffix) != 0)
    return std::nullopt;
  return key.substr(0, key.size() - kKeySuffix.size());
}

std::string EncodeDepartures(const std::vector<target_departure>& departures) {
  json items = json::array();
  for (const target_departure& each : departures)
    items.push_back({{"id", each.run.id},
                     {"generation", each.run.generation},
                     {"sequence", each.sequence},
                     {"gone", each.gone}});
  return JsonText({{"departures", items}});
}

std::vector<target_departure> DecodeDepartures(const std::string& value) {
  std::vector<target_departure> departures;
  const auto document = ParseJson(value);
  if (!document || !document->is_object() || !document->contains("departures"))
    return departures;
  for (const json& item : (*document)["departures"]) {
    if (!item.is_object() || !item.contains("id") || !item["id"].is_string() ||
        !item.contains("generation") ||
        !item["generation"].is_number_integer() || !item.contains("sequence") ||
        !item["sequence"].is_number_integer() || !item.contains("gone") ||
        !item["gone"].is_boolean())
      continue;
    departures.push_back(
        {{item["id"], item["generation"]}, item["sequence"], item["gone"]});
  }
  return departures;
}

}  // namespace skylarkhoist
