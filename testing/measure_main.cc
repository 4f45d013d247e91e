#include <CLI/CLI.hpp>
#include <cstdio>
#include <string>

#include "kernel/log.h"
#include "testing/measurement.h"

int main(int argc, char** argv) {
  CLI::App app("Runs a measurement and prints one JSON line per result");
  std::string name;
  skylarkhoist::measurement_options options;
  app.add_option("name", name, "Name of the measurement")
      ->required()
      ->check(CLI::IsMember(skylarkhoist::measurement_registry::Names()));
  app.add_option("--seed", options.seed, "Seed of the random numbers");
  app.add_option("--scale", options.scale,
                 "Factor for the length of the run; 1 is the full length");
  CLI11_PARSE(app, argc, argv);
  skylarkhoist::ConfigureLog(skylarkhoist::log_format::kOff);
  const auto measurement = skylarkhoist::measurement_registry::Create(name);
  for (const skylarkhoist::json& line : measurement->Run(options))
    std::puts(line.dump().c_str());
  return 0;
}
