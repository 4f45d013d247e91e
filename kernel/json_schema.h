#ifndef KERNEL_JSON_SCHEMA_H_
#define KERNEL_JSON_SCHEMA_H_

#include <memory>
#include <string>

#include "kernel/findings.h"
#include "kernel/json.h"

namespace skylarkhoist {

// A JSON schema (draft 7) that reports all violations with their paths.
//
// In addition to the standard keywords, a subschema may have
//   "x-must":   description of valid values for findings: "a positive number"
//   "x-secret": true if findings must not contain the value
//
//   const json_schema schema(json::parse(kRateSchema));
//   findings problems;
//   schema.Check(value, "/rates/acme", &problems);
//   // "/rates/acme/burst: must be a number of at least 1, got 0"
class json_schema {
 public:
  // `schema` must be valid, since it is part of the program and not an input.
  explicit json_schema(json schema);
  ~json_schema();
  json_schema(const json_schema&) = delete;
  json_schema& operator=(const json_schema&) = delete;

  // Adds a finding for each violation in `value`. Their paths begin with
  // `place`, the path of `value` itself.
  void Check(const json& value,
             const std::string& place,
             findings* problems) const;

  const json& definition() const { return definition_; }

 private:
  struct compiled_schema;

  json definition_;
  std::unique_ptr<compiled_schema> compiled_;
};

// Returns `value` as JSON text, truncated to a length suitable for messages.
std::string TruncatedJsonText(const json& value);

}  // namespace skylarkhoist

#endif  // KERNEL_JSON_SCHEMA_H_
