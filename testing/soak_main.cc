// Runs the fault soak over some seeds and prints one JSON line for each.

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "kernel/json.h"
#include "testing/soak.h"

int main(int argc, char** argv) {
  CLI::App app("Runs nodes as processes, harms them and checks their promises");
  skylarkhoist::soak_options options;
  int seeds = 1;
  int length_s = 10;
  std::string directory;
  app.add_option("program", options.program, "The program skylarkhoist")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--directory", directory,
                 "Where settings and logs go, a folder for each seed")
      ->required();
  app.add_option("--first-seed", options.seed)->capture_default_str();
  app.add_option("--seeds", seeds, "How many seeds, one after the other")
      ->check(CLI::Range(1, 100000))
      ->capture_default_str();
  app.add_option("--nodes", options.nodes)
      ->check(CLI::Range(1, 200))
      ->capture_default_str();
  app.add_option("--seconds", length_s, "How long faults come")
      ->check(CLI::Range(1, 3600))
      ->capture_default_str();
  app.add_option("--rate", options.requests_per_second, "Requests a second")
      ->check(CLI::Range(1, 10000))
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);

  options.length = std::chrono::seconds(length_s);
  int failed = 0;
  for (int i = 0; i < seeds; ++i, ++options.seed) {
    options.directory = directory + "/" + std::to_string(options.seed);
    std::filesystem::remove_all(options.directory);
    std::filesystem::create_directories(options.directory);
    const skylarkhoist::soak_result result = skylarkhoist::RunSoak(options);
    failed += result.violations.empty() ? 0 : 1;
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
  std::cout << failed << " of " << seeds << " seeds broke a promise\n";
  return failed == 0 ? 0 : 1;
}
