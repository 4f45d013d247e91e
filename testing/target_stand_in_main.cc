#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

#include "testing/target_stand_in.h"

int main(int argc, char** argv) {
  using std::chrono::milliseconds;
  CLI::App app("HTTP stand-in for a target");
  skylarkhoist::target_stand_in_settings settings;
  int64_t service_time_ms = 10;
  int64_t cold_time_ms = 50;
  int64_t min_leave_time_ms = 500;
  app.add_option("--listen", settings.listen_address,
                 "Address to listen on, as ip:port")
      ->required();
  app.add_option("--service", settings.service, "Name of the service")
      ->required();
  app.add_option("--node", settings.node_address,
                 "Address of the node's local listener, as ip:port");
  app.add_option("--slots", settings.slots,
                 "Calls that run at the same time; further ones are shed");
  app.add_option("--service-time-ms", service_time_ms,
                 "Service time of a call");
  app.add_option("--cold-calls", settings.cold_calls,
                 "Calls until the target is warm; 0 starts it warm");
  app.add_option("--cold-slots", settings.cold_slots,
                 "Calls that run at the same time while cold");
  app.add_option("--cold-time-ms", cold_time_ms,
                 "Service time of a call while cold");
  app.add_option(
      "--child-path", settings.child_path,
      "Path of the child call that each call makes through the node");
  app.add_option("--child-method", settings.child_method,
                 "HTTP method of the child call");
  app.add_option("--exit-on-body", settings.exit_on_body,
                 "Exit when the body of a request contains this text");
  app.add_option(
      "--leave-time-ms", min_leave_time_ms,
      "Minimum time between announcing that the target leaves and exiting");
  CLI11_PARSE(app, argc, argv);
  settings.service_time = milliseconds(service_time_ms);
  settings.cold_service_time = milliseconds(cold_time_ms);
  settings.min_leave_time = milliseconds(min_leave_time_ms);

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
