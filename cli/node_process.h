#ifndef CLI_NODE_PROCESS_H_
#define CLI_NODE_PROCESS_H_

#include <memory>
#include <tl/expected.hpp>

#include "kernel/event_loop.h"
#include "kernel/findings.h"
#include "kernel/metrics.h"
#include "kernel/system_random.h"
#include "node/node.h"
#include "node/node_settings.h"
#include "wire/http_log_client.h"
#include "wire/http_server.h"
#include "wire/http_target_client.h"
#include "wire/tcp_transport.h"

namespace skylarkhoist {

// The process of one node: its listeners, its clients and the node itself,
// which all run on one event loop.
class node_process {
 public:
  explicit node_process(const node_settings& settings);
  node_process(const node_process&) = delete;
  node_process& operator=(const node_process&) = delete;

  // Starts the node and opens its listeners. Reports all addresses that cannot
  // be bound.
  tl::expected<void, findings> Listen();

  // Runs until the graceful shutdown after SIGTERM, SIGINT or an eviction is
  // complete. Returns the exit code: 0, or 75 after an eviction, when the
  // process should be restarted.
  int Run();

  // For measurements, which run the node on a separate thread without the
  // signal handlers of Run.
  event_loop& run_loop() { return loop_; }

 private:
  void Serve(const http_request& request,
             const std::shared_ptr<http_exchange>& exchange,
             bool local);
  void Stop();

  uint64_t incarnation_;
  event_loop loop_;
  metrics metrics_;
  system_random random_;
  system_wall_clock wall_clock_;
  tcp_transport transport_;
  http_target_client target_client_;
  http_log_client log_client_;
  std::unique_ptr<node> node_;
  http_server public_server_;
  http_server local_server_;
  bool stopping_ = false;
  int exit_code_ = 0;
};

// Runs a node until it has stopped. Returns the exit code of the process.
int RunNode(const node_settings& settings);

}  // namespace skylarkhoist

#endif  // CLI_NODE_PROCESS_H_
