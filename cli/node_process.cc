#include "cli/node_process.h"

#include <csignal>
#include <cstdio>
#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

// Exit code that makes the process supervisor restart an evicted node.
constexpr int kEvictedExitCode = 75;

// Time between the end of the drain and the exit, in which the last responses
// are written to their sockets.
constexpr duration kResponseFlushTime = std::chrono::milliseconds(500);

tcp_transport_settings TransportSettings(const node_settings& settings,
                                         uint64_t incarnation) {
  tcp_transport_settings result;
  result.listen_address = settings.peer_address;
  result.hello.min_version = kMinPeerProtocol;
  result.hello.max_version = kMaxPeerProtocol;
  result.hello.cluster = settings.cluster;
  result.hello.node = settings.node;
  result.hello.zone = settings.zone;
  result.hello.peer_address = settings.peer_address;
  result.hello.incarnation = incarnation;
  return result;
}

http_server_settings ServerSettings(const node_settings& settings,
                                    const std::string& address,
                                    const std::string& name) {
  http_server_settings result;
  result.listen_address = address;
  result.max_header_bytes = settings.max_header_bytes;
  result.max_body_bytes = settings.max_body_bytes;
  result.name = name;
  return result;
}

http_log_client_settings LogSettings(const node_settings& settings) {
  http_log_client_settings result;
  result.address = settings.log_address;
  result.stream = settings.log_stream;
  result.timeout = settings.log_timeout;
  return result;
}

node_options NodeOptions(const node_settings& settings, uint64_t incarnation) {
  node_options result;
  result.name = settings.node;
  result.cluster = settings.cluster;
  result.zone = settings.zone;
  result.public_address = settings.public_address;
  result.local_address = settings.local_address;
  result.peer_address = settings.peer_address;
  result.seed_peers = settings.seed_peers;
  result.incarnation = incarnation;
  result.routing = settings.routing_policy;
  result.plugins = {settings.concurrency_limit, settings.queue_order};
  result.retry_credit = settings.retry_credit;
  result.default_deadline = settings.default_deadline;
  result.max_open_calls = static_cast<size_t>(settings.max_open_calls);
  result.bootstrap = settings.bootstrap;
  return result;
}

}  // namespace

node_process::node_process(const node_settings& settings)
    : incarnation_(GenerateIncarnation()),
      transport_(&loop_, TransportSettings(settings, incarnation_), &metrics_),
      target_client_(&loop_, {}, &metrics_),
      log_client_(&loop_, LogSettings(settings)),
      public_server_(
          &loop_,
          ServerSettings(settings, settings.public_address, "public"),
          [this](const http_request& request,
                 const std::shared_ptr<http_exchange>& exchange) {
            Serve(request, exchange, false);
          },
          &metrics_),
      local_server_(
          &loop_,
          ServerSettings(settings, settings.local_address, "local"),
          [this](const http_request& request,
                 const std::shared_ptr<http_exchange>& exchange) {
            Serve(request, exchange, true);
          },
          &metrics_) {
  node_dependencies dependencies;
  dependencies.run_loop = &loop_;
  dependencies.transport = &transport_;
  dependencies.targets = &target_client_;
  dependencies.log = &log_client_;
  dependencies.random = &random_;
  dependencies.wall = &wall_clock_;
  dependencies.counters = &metrics_;
  node_ =
      std::make_unique<node>(NodeOptions(settings, incarnation_), dependencies);
  node_->OnEvicted([this] {
    exit_code_ = kEvictedExitCode;
    Stop();
  });
}

tl::expected<void, findings> node_process::Listen() {
  findings problems;
  node_->Start();
  const auto add_findings = [&](const tl::expected<void, findings>& result) {
    if (!result)
      problems.Append(result.error());
  };
  add_findings(transport_.Listen());
  add_findings(public_server_.Listen());
  add_findings(local_server_.Listen());
  if (!problems.empty())
    return tl::unexpected(problems);
  return {};
}

void node_process::Serve(const http_request& request,
                         const std::shared_ptr<http_exchange>& exchange,
                         bool local) {
  const auto reply = [exchange](const http_response& response) {
    exchange->Respond(response);
  };
  const entry_call_id id = local ? node_->HandleLocal(request, reply)
                                 : node_->HandlePublic(request, reply);
  if (exchange->is_open())
    exchange->OnCallerGone([this, id] { node_->HandleCallerGone(id); });
}

int node_process::Run() {
  loop_.OnSignal(SIGTERM, [this] { Stop(); });
  loop_.OnSignal(SIGINT, [this] { Stop(); });
  loop_.Run();
  return exit_code_;
}

void node_process::Stop() {
  if (stopping_)
    return;
  stopping_ = true;
  node_->Drain([this] {
    public_server_.StopAccepting();
    loop_.RunAfter(kResponseFlushTime, [this] { loop_.Stop(); });
  });
}

int RunNode(const node_settings& settings) {
  ConfigureLog(settings.format);
  std::signal(SIGPIPE, SIG_IGN);
  node_process process(settings);
  const auto listen_result = process.Listen();
  if (!listen_result) {
    std::fputs(listen_result.error().ToText().c_str(), stderr);
    return 1;
  }
  return process.Run();
}

}  // namespace skylarkhoist
