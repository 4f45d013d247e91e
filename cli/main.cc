#include <cstdio>
#include <string>

#include "cli/node_process.h"
#include "node/node_settings.h"

int main(int argc, char** argv) {
  if (argc != 3 || std::string(argv[1]) != "node") {
    std::fputs("usage: skylarkhoist node SETTINGS\n", stderr);
    return 2;
  }
  const auto settings = skylarkhoist::ReadNodeSettings(argv[2]);
  if (!settings) {
    std::fputs(settings.error().ToText().c_str(), stderr);
    return 2;
  }
  return skylarkhoist::RunNode(*settings);
}
