#ifndef DECISIONS_CONFIG_SCHEMA_H_
#define DECISIONS_CONFIG_SCHEMA_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "decisions/config_fold.h"
#include "decisions/config_view.h"
#include "kernel/findings.h"
#include "kernel/json.h"

namespace skylarkhoist {

// One subtree of the published configuration.
struct config_subtree {
  std::string name;
  // What the names below the subtree stand for.
  std::string names;
  // JSON schema of one value, with "description" for each setting.
  json schema;
  json example;
};

// All subtrees, in the order of the documentation.
const std::vector<config_subtree>& ConfigSubtrees();

// Checks one value by itself: its subtree, its schema and the rules within one
// value. Rules between values need BuildConfigView.
findings CheckConfigValue(const std::string& path, const json& value);

// The strict reading of a state: a typed view, or all findings together. The
// command line checks with it before it publishes.
tl::expected<config_view, findings> BuildConfigView(const config_fold& fold);
tl::expected<config_view, findings> BuildConfigView(
    uint64_t offset,
    const std::map<std::string, json>& values);

// The view that a node serves, and the findings of the published state.
struct tolerant_config {
  config_view view;
  findings problems;
};

// Builds the view that a node serves from a state that may break rules. The
// result depends on the state only, so all nodes of one version serve the same.
//
// - A value with findings of its own is replaced by the newest value of its
//   path that has none, out of the values that the fold keeps; without one, the
//   path is left out.
// - An instruction to stop counts even if the rest of its value has findings:
//   a key withdrawn, a customer not enabled, a zone out, a service not in
//   service.
// - Keys, rates, priorities and targets whose customer or service is missing
//   are left out. So a deleted customer's keys stop at once.
// - When routes and services contradict each other (a missing service, a cycle
//   of calls, two equal routes), the newest change among them falls back, until
//   no contradiction is left.
//
// The builder remembers which values it has checked; use one for each fold.
class config_view_builder {
 public:
  tolerant_config Build(const config_fold& fold);

 private:
  struct checked_value {
    uint64_t version = 0;
    findings problems;
  };

  std::map<std::string, checked_value> checked_;
};

// docs/configuration.md, generated from the subtrees.
std::string DescribeConfig();

}  // namespace skylarkhoist

#endif  // DECISIONS_CONFIG_SCHEMA_H_
