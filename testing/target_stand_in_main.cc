#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

#include "testing/target_stand_in.h"

int main(int argc, char** argv) {
  using std::chrono::milliseconds;
  CLI::App app("Stand-in for a target");
  skylarkhoist::target_stand_in_settings settings;
  int64_t service_time_ms = 10;
  int64_t cold_time_ms = 50;
  int64_t leave_time_ms = 500;
  app.add_option("--listen", settings.listen_address, "ip:port to listen on")
      ->required();
  app.add_option("--service", settings.service, "Name of the service")
      ->required();
  app.add_option("--node", settings.node_address,
                 "ip:port of the node's local listener");
  app.add_option("--slots", settings.slots, "Calls that run at once");
  app.add_option("--service-time-ms", service_time_ms, "Time of one call");
  app.add_option("--cold-calls", settings.cold_calls,
                 "Calls after the start until the target is warm");
  app.add_option("--cold-slots", settings.cold_slots,
                 "Calls that run at once while cold");
  app.add_option("--cold-time-ms", cold_time_ms, "Time of one call while cold");
  app.add_option("--child-path", settings.child_path,
                 "Path to call through the node for each call");
  app.add_option("--child-method", settings.child_method,
                 "Method of the child call");
  app.add_option("--exit-on-body", settings.exit_on_body,
                 "Exit when a body contains this text");
  app.add_option("--leave-time-ms", leave_time_ms,
                 "Least time between announcing the end and the end");
  CLI11_PARSE(app, argc, argv);
  settings.service_time = milliseconds(service_time_ms);
  settings.cold_service_time = milliseconds(cold_time_ms);
  settings.leave_time = milliseconds(leave_time_ms);

  skylarkhoist::event_loop loop;
  skylarkhoist::target_stand_in target(&loop, settings);
  if (const auto listening = target.Start(); !listening) {
    std::fputs(listening.error().ToText().c_str(), stderr);
    return 1;
  }
  std::printf("%s\n", target.listen_address().c_str());
  std::fflush(stdout);
  loop.OnSignal(SIGTERM, [&] { target.Leave([&loop] { loop.Stop(); }); });
  loop.Run();
  return 0;
}
