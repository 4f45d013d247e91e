#include "cli/commands.h"
#include "cli/node_process.h"
#include "kernel/log.h"
#include "platform/platform_process.h"

int main(int argc, char** argv) {
  // Commands print their results; only a running node writes log lines.
  skylarkhoist::ConfigureLog(skylarkhoist::log_format::kOff);
  skylarkhoist::command_environment environment;
  environment.run_node = skylarkhoist::RunNode;
  environment.run_hosted_node = skylarkhoist::RunPlatformNode;
  return skylarkhoist::RunCommand(argc, argv, environment);
}
