#ifndef NODE_NODE_SETTINGS_H_
#define NODE_NODE_SETTINGS_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "decisions/config_view.h"
#include "kernel/findings.h"
#include "kernel/log.h"
#include "kernel/time.h"

namespace skylarkhoist {

// Start-up settings of one node process, from a JSON file. Operators change
// everything else at run time through the published configuration, see
// config_schema.h.
struct node_settings {
  std::string node;
  std::string cluster;
  std::string zone;

  // Listeners, "ip:port".
  std::string public_address;
  std::string local_address;
  std::string peer_address;

  // Address of the log service, "ip:port", and name of its stream.
  std::string log_address;
  std::string log_stream = "skylarkhoist";
  duration log_timeout = std::chrono::seconds(2);

  // Peer addresses of nodes to contact at the start.
  std::vector<std::string> seed_peers;
  log_format format = log_format::kJson;

  // Plug-ins by name.
  std::string routing_policy = "zone_aware";
  std::string concurrency_limit = "gradient";
  std::string queue_order = "fair";
  std::string log_client = "http";

  // Limits for requests.
  size_t max_body_bytes = size_t{8} << 20;
  size_t max_header_bytes = size_t{64} << 10;
  int max_open_calls = 10'000;
  int retry_credit = 3;
  // Deadline of requests without a Skylark-Deadline-Ms header.
  duration default_deadline = std::chrono::seconds(10);

  // Open routes and their services, in force until the node has loaded the
  // published configuration.
  config_view bootstrap;
};

// Names of the plug-ins that settings may select. An empty list accepts any
// name.
struct known_plugins {
  std::vector<std::string> routing_policies;
  std::vector<std::string> concurrency_limits;
  std::vector<std::string> queue_orders;
  std::vector<std::string> log_clients;
};

// Parses settings. On error, returns all findings together, each with the JSON
// pointer of the setting: "/listeners/peer: must be an address ("ip:port"), got
// "x"". Unknown settings and duplicate names are findings.
tl::expected<node_settings, findings> ParseNodeSettings(
    std::string_view text,
    const known_plugins& plugins = {});

// Like ParseNodeSettings, for a file. An unreadable file is a finding.
tl::expected<node_settings, findings> ReadNodeSettings(
    const std::string& file,
    const known_plugins& plugins = {});

}  // namespace skylarkhoist

#endif  // NODE_NODE_SETTINGS_H_
