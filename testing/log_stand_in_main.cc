#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>

#include "testing/log_stand_in.h"

int main(int argc, char** argv) {
  CLI::App app("In-memory stand-in for the platform's log service");
  skylarkhoist::log_stand_in_settings settings;
  app.add_option("--listen", settings.listen_address,
                 "Address to listen on, as ip:port")
      ->required();
  app.add_option("--retention", settings.retention,
                 "Records kept in each stream; older ones are trimmed");
  app.add_option("--max-appends", settings.max_appends_per_second,
                 "Appends accepted per second; 0 means no bound");
  CLI11_PARSE(app, argc, argv);

  skylarkhoist::event_loop loop;
  skylarkhoist::log_stand_in log(&loop, settings);
  if (const auto listening = log.Listen(); !listening) {
    std::fputs(listening.error().ToText().c_str(), stderr);
    return 1;
  }
  std::printf("%s\n", log.listen_address().c_str());
  std::fflush(stdout);
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}
