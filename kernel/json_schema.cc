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

constexpr size_t kMaxShownBytes = 80;

// A value with its path and its subschema. The subschema is null if the schema
// does not define the value.
struct located_value {
  std::string place;
  const json* value;
  const json* schema;
};

// Finds the value that a valijson error refers to. The context of the error is
// "<root>", followed by "[NAME]" or "[INDEX]" for each level.
located_value LocateError(const std::vector<std::string>& context,
                          const std::string& place,
                          const json& value,
                          const json& schema) {
  located_value location{place, &value, &schema};
  for (size_t i = 1; i < context.size(); ++i) {
    const std::string name = context[i].substr(1, context[i].size() - 2);
    location.place += "/" + name;
    const json* child_schema = nullptr;
    if (location.value->is_object()) {
      const auto found = location.value->find(name);
      if (found == location.value->end())
        return location;
      location.value = &*found;
      if (location.schema != nullptr &&
          location.schema->contains("properties")) {
        const json& properties = location.schema->at("properties");
        const auto property = properties.find(name);
        child_schema = property == properties.end() ? nullptr : &*property;
      }
      if (child_schema == nullptr && location.schema != nullptr &&
          location.schema->contains("additionalProperties") &&
          location.schema->at("additionalProperties").is_object())
        child_schema = &location.schema->at("additionalProperties");
    } else if (location.value->is_array()) {
      const size_t index = std::strtoul(name.c_str(), nullptr, 10);
      if (index >= location.value->size())
        return location;
      location.value = &location.value->at(index);
      if (location.schema != nullptr && location.schema->contains("items"))
        child_schema = &location.schema->at("items");
    }
    location.schema = child_schema;
  }
  return location;
}

void AddPropertyFindings(const located_value& location, findings* problems) {
  if (location.schema->contains("required")) {
    for (const json& name : location.schema->at("required")) {
      if (!location.value->contains(name.get<std::string>()))
        problems->Add(location.place + "/" + name.get<std::string>(),
                      "is missing");
    }
  }
  if (!location.schema->contains("additionalProperties") ||
      location.schema->at("additionalProperties").is_object())
    return;
  for (const auto& [name, value] : location.value->items()) {
    if (!location.schema->at("properties").contains(name))
      problems->Add(location.place + "/" + name, "unknown setting");
  }
}

std::string DescribeExpected(const json& schema) {
  if (schema.contains("x-must"))
    return schema.at("x-must").get<std::string>();
  const std::string type = schema.value("type", "");
  return type == "object" || type == "array" ? "an " + type : "";
}

}  // namespace

struct json_schema::compiled_schema {
  valijson::Schema schema;
};

json_schema::json_schema(json schema)
    : definition_(std::move(schema)),
      compiled_(std::make_unique<compiled_schema>()) {
  valijson::SchemaParser parser;
  const valijson::adapters::NlohmannJsonAdapter adapter(definition_);
  parser.populateSchema(adapter, compiled_->schema);
}

json_schema::~json_schema() = default;

void json_schema::Check(const json& value,
                        const std::string& place,
                        findings* problems) const {
  // With weak types, valijson accepts the string "10" as a number.
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter adapter(value);
  if (validator.validate(compiled_->schema, adapter, &results))
    return;
  findings found;
  std::set<std::string> reported;
  std::string fallback = "does not match its schema";
  for (const auto& error : results) {
    const located_value location =
        LocateError(error.context, place, value, definition_);
    fallback = error.description;
    if (!reported.insert(location.place).second || location.schema == nullptr)
      continue;
    if (location.value->is_object() &&
        location.schema->contains("properties")) {
      AddPropertyFindings(location, &found);
      continue;
    }
    // valijson also reports the arrays and objects that contain an invalid
    // value.
    const bool has_nested_error =
        location.value->is_structured() &&
        std::any_of(results.begin(), results.end(), [&](const auto& other) {
          return other.context.size() > error.context.size() &&
                 std::equal(error.context.begin(), error.context.end(),
                            other.context.begin());
        });
    const std::string expected = DescribeExpected(*location.schema);
    if (has_nested_error || expected.empty())
      continue;
    std::string message = "must be " + expected;
    if (!location.schema->value("x-secret", false))
      message += ", got " + TruncatedJsonText(*location.value);
    found.Add(location.place, message);
  }
  if (found.empty())
    found.Add(place, fallback);
  // Sorted by path, since the order of valijson's errors depends on its order
  // of checking keywords.
  found.SortByPlace();
  problems->Append(found);
}

std::string TruncatedJsonText(const json& value) {
  std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
  if (text.size() > kMaxShownBytes)
    text = text.substr(0, kMaxShownBytes) + "...";
  return text;
}

}  // namespace skylarkhoist
