#include "cli/commands.h"
#include "cli/node_process.h"
#include "kernel/log.h"

int main(int argc, char** argv) {
  // Commands report what they find in their output; a node turns its log on.
  skylarkhoist::ConfigureLog(skylarkhoist::log_format::kOff);
  skylarkhoist::command_environment environment;
  environment.run_node = skylarkhoist::RunNode;
  return skylarkhoist::RunCommand(argc, argv, environment);
}
