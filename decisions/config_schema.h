#ifndef DECISIONS_CONFIG_SCHEMA_H_
#define DECISIONS_CONFIG_SCHEMA_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "decisions/config_state.h"
#include "decisions/config_view.h"
#include "kernel/findings.h"
#include "kernel/json.h"

namespace skylarkhoist {

// One top-level subtree of the published configuration, such as /customers.
struct config_subtree {
  std::string name;
  // What NAME in the paths /SUBTREE/NAME identifies, for example "customer".
  std::string name_meaning;
  // JSON schema of one value, with "description" for each setting.
  json schema;
  json example;
};

// All subtrees, in the order of the documentation.
const std::vector<config_subtree>& ConfigSubtrees();

// Checks one value against its subtree, its schema and the rules within a
// value. BuildConfigView also checks the rules between values.
findings CheckConfigValue(const std::string& path, const json& value);

// Returns the typed view of a state, or all findings if there are any. The
// command line runs this check before it publishes.
tl::expected<config_view, findings> BuildConfigView(const config_state& state);
tl::expected<config_view, findings> BuildConfigView(
    uint64_t offset,
    const std::map<std::string, json>& values);

// The view that a node serves, and the findings of the state it was built from.
struct config_build_result {
  config_view view;
  findings problems;
};

// Builds the view that a node serves from a state that may break rules. The
// result depends only on the state, so all nodes of one version serve the same.
//
// - A value with findings of its own is replaced by the newest past value of
//   its path that has none; if there is none, the path is left out.
// - An instruction to stop serving takes effect even if the rest of its value
//   has findings: a withdrawn key, a customer that is not enabled, a zone that
//   is out, a service that is not in service.
// - Keys, rates, priorities and targets whose customer or service is missing
//   are left out. So the keys of a deleted customer stop working at once.
// - When routes and services conflict (a missing service, a cycle of calls, two
//   routes with the same prefix and method), the newest of the values involved
//   is replaced by an older one until no conflict is left.
//
// The builder caches the findings of the values it has checked; use one builder
// for each state that is updated over time.
class config_view_builder {
 public:
  config_build_result Build(const config_state& state);

 private:
  struct checked_value {
    uint64_t version = 0;
    findings problems;
  };

  // Findings of the newest value of each path.
  std::map<std::string, checked_value> checked_;
};

// Returns the text of docs/configuration.md, generated from the subtrees.
std::string DescribeConfig();

}  // namespace skylarkhoist

#endif  // DECISIONS_CONFIG_SCHEMA_H_
