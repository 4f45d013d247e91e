#ifndef NODE_HOSTED_SETTINGS_H_
#define NODE_HOSTED_SETTINGS_H_

#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "kernel/findings.h"
#include "kernel/time.h"

namespace skylarkhoist {

// Settings of the process of a hosted node, from a JSON file. What operators
// change at run time is the configuration in the store.
struct hosted_settings {
  std::string node;
  std::string zone;
  // Region of each zone.
  std::map<std::string, std::string> regions;

  // Listeners, "ip:port".
  std::string request_address;
  std::string ready_address;
  std::string announcement_address;
  std::string peer_address;
  std::string metrics_address;

  // The target beside this node.
  std::string target_service;
  std::string target_address;

  std::string store_address;

  // Bounds of one request.
  size_t max_header_bytes = size_t{64} << 10;
  size_t max_body_bytes = size_t{64} << 20;

  // Between two announcements of a target.
  duration announcement_interval = std::chrono::milliseconds(1500);
  // Time between the signal to stop and the end by force.
  duration stop_grace = std::chrono::seconds(6);
};

// Reads settings; all findings are reported together, with their places.
// Unknown settings and duplicate names are findings.
tl::expected<hosted_settings, findings> ParseHostedSettings(
    std::string_view text);

// As ParseHostedSettings, for a file. A file that cannot be read is a finding.
tl::expected<hosted_settings, findings> ReadHostedSettings(
    const std::string& file);

}  // namespace skylarkhoist

#endif  // NODE_HOSTED_SETTINGS_H_
