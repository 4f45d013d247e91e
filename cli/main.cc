#include "cli/commands.h"
#include "cli/node_process.h"

int main(int argc, char** argv) {
  skylarkhoist::command_environment environment;
  environment.run_node = skylarkhoist::RunNode;
  return skylarkhoist::RunCommand(argc, argv, environment);
}
