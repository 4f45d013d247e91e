#include "kernel/json_schema.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <utility>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace skylarkhoist {
namespace {

constexpr size_t kMaxShownLength = 80;

// A value with its place and the schema node that describes it. The schema is
// null below names that the schema does not know.
struct located {
  std::string place;
  const json* value;
  const json* schema;
};

// Walks from the root along the context of a valijson error: "<root>", then
// "[NAME]" or "[INDEX]" for each step.
located Locate(const std::vector<std::string>& context,
               const std::string& place,
               const json& value,
               const json& schema) {
  located at{place, &value, &schema};
  for (size_t i = 1; i < context.size(); ++i) {
    const std::string name = context[i].substr(1, context[i].size() - 2);
    at.place += "/" + name;
    const json* below = nullptr;
    if (at.value->is_object()) {
      const auto found = at.value->find(name);
      if (found == at.value->end())
        return at;
      at.value = &*found;
      if (at.schema != nullptr && at.schema->contains("properties")) {
        const json& properties = at.schema->at("properties");
        const auto known = properties.find(name);
        below = known == properties.end() ? nullptr : &*known;
      }
      if (below == nullptr && at.schema != nullptr &&
          at.schema->contains("additionalProperties") &&
          at.schema->at("additionalProperties").is_object())
        below = &at.schema->at("additionalProperties");
    } else if (at.value->is_array()) {
      const size_t index = std::strtoul(name.c_str(), nullptr, 10);
      if (index >= at.value->size())
        return at;
      at.value = &at.value->at(index);
      if (at.schema != nullptr && at.schema->contains("items"))
        below = &at.schema->at("items");
    }
    at.schema = below;
  }
  return at;
}

void ReportNames(const located& at, findings* problems) {
  if (at.schema->contains("required")) {
    for (const json& name : at.schema->at("required")) {
      if (!at.value->contains(name.get<std::string>()))
        problems->Add(at.place + "/" + name.get<std::string>(), "is missing");
    }
  }
  if (!at.schema->contains("additionalProperties") ||
      at.schema->at("additionalProperties").is_object())
    return;
  for (const auto& [name, value] : at.value->items()) {
    if (!at.schema->at("properties").contains(name))
      problems->Add(at.place + "/" + name, "unknown setting");
  }
}

std::string Must(const json& schema) {
  if (schema.contains("x-must"))
    return schema.at("x-must").get<std::string>();
  const std::string type = schema.value("type", "");
  return type == "object" || type == "array" ? "an " + type : "";
}

}  // namespace

struct json_schema::compiled {
  valijson::Schema schema;
};

json_schema::json_schema(json schema)
    : definition_(std::move(schema)), compiled_(std::make_unique<compiled>()) {
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter adapter(definition_);
  parser.populateSchema(adapter, compiled_->schema);
}

json_schema::~json_schema() = default;

void json_schema::Check(const json& value,
                        const std::string& place,
                        findings* problems) const {
  // Strong types: without them valijson takes the text "10" for a number.
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter adapter(value);
  if (validator.validate(compiled_->schema, adapter, &results))
    return;
  findings found;
  std::set<std::string> reported;
  std::string fallback = "does not match its schema";
  for (const auto& error : results) {
    const located at = Locate(error.context, place, value, definition_);
    fallback = error.description;
    if (!reported.insert(at.place).second || at.schema == nullptr)
      continue;
    if (at.value->is_object() && at.schema->contains("properties")) {
      ReportNames(at, &found);
      continue;
    }
    // valijson also reports the list or object around a bad item.
    const bool around =
        at.value->is_structured() &&
        std::any_of(results.begin(), results.end(), [&](const auto& other) {
          return other.context.size() > error.context.size() &&
                 std::equal(error.context.begin(), error.context.end(),
                            other.context.begin());
        });
    const std::string must = Must(*at.schema);
    if (around || must.empty())
      continue;
    std::string message = "must be " + must;
    if (!at.schema->value("x-secret", false))
      message += ", got " + ShortText(*at.value);
    found.Add(at.place, message);
  }
  if (found.empty())
    found.Add(place, fallback);
  // In the order of places, since valijson checks keywords in its own order.
  std::vector<finding> sorted = found.items();
  std::sort(sorted.begin(), sorted.end(),
            [](const auto& a, const auto& b) { return a.place < b.place; });
  for (finding& item : sorted)
    problems->Add(std::move(item.place), std::move(item.message));
}

std::string ShortText(const json& value) {
  std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMaxShownLength)
    text = text.substr(0, kMaxShownLength) + "...";
  return text;
}

}  // namespace skylarkhoist
