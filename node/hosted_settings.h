#ifndef NODE_HOSTED_SETTINGS_H_
#define NODE_HOSTED_SETTINGS_H_

#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "kernel/findings.h"
#include "kernel/time.h"

namespace skylarkhoist {

size_t DefaultMaxBufferedBytes(size_t memory_mb, size_t max_body_bytes);

// Start-up settings of a hosted node's process, from a JSON file. Operators
// change everything else at run time through the configuration in the store.
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

  // The local target.
  std::string target_service;
  std::string target_address;

  std::string store_address;

  // Bounds of rollouts: the share of a service's requests that a version which
  // turns out to be bad may get, the number that it may get beyond this, and
  // the time from its 50th bad answer within which it gets nothing more. While
  // the share and the slack are 0, no rollout starts.
  double exposure_share = 0;
  double exposure_slack = 0;
  duration rollback_time = std::chrono::seconds(5);

  // Size limits of one request.
  size_t max_header_bytes = size_t{64} << 10;
  size_t max_body_bytes = size_t{64} << 20;

  // Choice of targets. "zone_aware" keeps calls in their zone while a target
  // there has free slots; "zone_balanced" sends some to other zones before, for
  // zones with unequal capacity, at the price of more bytes between zones.
  std::string routing = "zone_aware";

  // Repeats that a service may get as a share of its requests, from all nodes
  // together; 0 when none is set. Services whose runs make no calls use most of
  // it; the others make few retries in any case.
  double retry_ratio = 0;

  // Memory and file descriptors that the process may use; the defaults are
  // those of the smallest VM. The two limits below follow from them.
  size_t memory_mb = 160;
  size_t max_descriptors = 4100;
  // Limit on the memory of all requests together that the request listener
  // receives or that are in progress; a request in progress counts as several
  // copies of its body. By default half of the memory, but enough to receive a
  // body of max_body_bytes. Beyond it, connections that make no progress are
  // closed, and large requests get 503.
  size_t max_buffered_bytes = DefaultMaxBufferedBytes(160, size_t{64} << 20);
  // Limit on open connections of the request listener, by default half of the
  // descriptors. Beyond it, the connections that were idle longest are closed.
  size_t max_connections = 2050;
  // Time for receiving a head, and time in which a body has to grow by 4 KB or
  // to end. A connection that takes longer is closed.
  duration head_timeout = std::chrono::seconds(15);
  duration body_timeout = std::chrono::seconds(15);

  // Time between two announcements of the target.
  duration announcement_interval = std::chrono::milliseconds(1500);
  // Time after the stop signal at which the process ends even if requests are
  // still in progress.
  duration stop_grace = std::chrono::seconds(6);
};

// Parses settings. On error, returns all findings together, each with the JSON
// pointer of the setting. Unknown settings and duplicate names are findings.
tl::expected<hosted_settings, findings> ParseHostedSettings(
    std::string_view text);

// Like ParseHostedSettings, for a file. An unreadable file is a finding.
tl::expected<hosted_settings, findings> ReadHostedSettings(
    const std::string& file);

}  // namespace skylarkhoist

#endif  // NODE_HOSTED_SETTINGS_H_
