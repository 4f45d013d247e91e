#ifndef CLI_COMMANDS_H_
#define CLI_COMMANDS_H_

#include <functional>
#include <memory>
#include <ostream>
#include <string>

#include "cli/log_session.h"
#include "node/node_settings.h"

namespace skylarkhoist {

// Exit codes of all commands. Scripts rely on the numbers.
enum exit_code {
  kExitOk = 0,
  // The input has findings, or `config diff` found differences.
  kExitFindings = 1,
  kExitUsage = 2,
  // Another change was published first. Both changes were printed.
  kExitConflict = 3,
  // It is not known whether the change has taken or will take effect.
  kExitOutcomeUnknown = 4,
  // The log could not be read, or it has certainly not received the change.
  kExitLogUnreachable = 5,
};

// Dependencies of the commands, which tests replace.
struct command_environment {
  command_environment();

  std::ostream* out;
  std::ostream* error;
  std::function<std::unique_ptr<log_session>(const log_endpoint&)> connect;
  // Implements the command `node`: runs a node with these settings until it
  // stops, and returns the exit code. If empty, there is no such command.
  std::function<int(const node_settings&)> run_node;
  // Implements the command `hosted`: runs a node that uses the platform's store
  // instead of a log, with the settings of this file. If empty, there is no
  // such command.
  std::function<int(const std::string& settings_file)> run_hosted_node;
  // Names of the plug-ins that settings may select.
  known_plugins plugins;
};

// Parses the command line, runs the selected command and returns its exit code:
//
//   int main(int argc, char** argv) {
//     skylarkhoist::command_environment environment;
//     environment.run_node = &RunNode;
//     return skylarkhoist::RunCommand(argc, argv, environment);
//   }
int RunCommand(int argc, char** argv);
int RunCommand(int argc, char** argv, const command_environment& environment);

}  // namespace skylarkhoist

#endif  // CLI_COMMANDS_H_
