#ifndef KERNEL_JSON_SCHEMA_H_
#define KERNEL_JSON_SCHEMA_H_

#include <memory>
#include <string>

#include "kernel/findings.h"
#include "kernel/json.h"

namespace skylarkhoist {

// A JSON schema (draft 7) that reports all violations with their places.
//
// Besides the standard keywords a schema node may carry
//   "x-must":   what a value must be, for the finding: "a positive number"
//   "x-secret": true when a finding must not repeat the value
//
//   const json_schema schema(json::parse(kRateSchema));
//   findings problems;
//   schema.Check(value, "/rates/acme", &problems);
//   // "/rates/acme/burst: must be a number of at least 1, got 0"
class json_schema {
 public:
  // `schema` must be a valid schema; it is part of the program.
  explicit json_schema(json schema);
  ~json_schema();
  json_schema(const json_schema&) = delete;
  json_schema& operator=(const json_schema&) = delete;

  // Adds a finding for each violation of `value`, which stands at `place`.
  void Check(const json& value,
             const std::string& place,
             findings* problems) const;

  const json& definition() const { return definition_; }

 private:
  struct compiled;

  json definition_;
  std::unique_ptr<compiled> compiled_;
};

// `value` as JSON text, cut to a length that fits into a message.
std::string ShortText(const json& value);

}  // namespace skylarkhoist

#endif  // KERNEL_JSON_SCHEMA_H_
