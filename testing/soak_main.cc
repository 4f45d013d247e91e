// Runs the soak test with consecutive seeds and prints one JSON line for each.

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "kernel/json.h"
#include "testing/soak.h"

int main(int argc, char** argv) {
  CLI::App app(
      "Runs nodes as processes, injects faults and checks the guarantees of "
      "the nodes");
  skylarkhoist::soak_options options;
  int seeds = 1;
  int fault_seconds = 10;
  std::string directory;
  app.add_option("program", options.program, "Path of the program skylarkhoist")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option(
         "--directory", directory,
         "Directory for settings and logs, with a subdirectory for each seed")
      ->required();
  app.add_option("--first-seed", options.seed)->capture_default_str();
  app.add_option("--seeds", seeds, "Number of consecutive seeds to run")
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  app.add_option("--nodes", options.nodes)
      ->check(CLI::Range(1, 200))
      ->capture_default_str();
  app.add_option("--seconds", fault_seconds,
                 "Time in which faults are injected, in seconds")
      ->check(CLI::Range(1, 3600))
      ->capture_default_str();
  app.add_option("--rate", options.requests_per_second, "Requests per second")
      ->check(CLI::Range(1, 10000))
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);

  options.fault_duration = std::chrono::seconds(fault_seconds);
  int failed_seeds = 0;
  for (int i = 0; i < seeds; ++i, ++options.seed) {
    options.directory = directory + "/" + std::to_string(options.seed);
    std::filesystem::remove_all(options.directory);
    std::filesystem::create_directories(options.directory);
    const skylarkhoist::soak_result result = skylarkhoist::RunSoak(options);
    failed_seeds += result.violations.empty() ? 0 : 1;
    std::cout << skylarkhoist::json{{"seed", options.seed},
                                    {"nodes", options.nodes},
                                    {"faults", result.faults},
                                    {"sent", result.sent},
                                    {"served", result.served},
                                    {"refused", result.refused},
                                    {"unknown", result.unknown},
                                    {"violations", result.violations}}
                     .dump()
              << std::endl;
  }
  std::cout << failed_seeds << " of " << seeds << " seeds had violations\n";
  return failed_seeds == 0 ? 0 : 1;
}
