#include "testing/soak.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <filesystem>

namespace skylarkhoist {
namespace {

TEST_GROUP(soak) {
  std::string directory;

  soak_options Options() {
    const char* program = std::getenv("SKYLARKHOIST_PROGRAM");
    CHECK_TEXT(program != nullptr, "SKYLARKHOIST_PROGRAM names the program");
    directory =
        (std::filesystem::temp_directory_path() / "skylarkhoist-soak-XXXXXX")
            .string();
    CHECK_TRUE(mkdtemp(directory.data()) != nullptr);
    soak_options options;
    options.program = program;
    options.directory = directory;
    options.seed = 1;
    options.nodes = 3;
    options.length = std::chrono::seconds(6);
    options.requests_per_second = 60;
    return options;
  }
};

// Guards against a path of the real program, as separate processes, that breaks
// a promise under faults from outside. The seed is fixed; `soak --help` tells
// how to run many.
TEST(soak, AShortRunKeepsThePromises) {
  const soak_result result = RunSoak(Options());
  if (!result.violations.empty()) {
    FAIL(StringFromFormat("%s; logs in %s", result.violations.front().c_str(),
                          directory.c_str())
             .asCharString());
  }
  CHECK_TRUE(result.faults >= 6);
  CHECK_TRUE(result.served > result.sent / 2);
  std::filesystem::remove_all(directory);
}

// Guards against checks that cannot fail.
TEST(soak, AWorkerThatDeniesItsRunsIsFound) {
  soak_options options = Options();
  options.deny_runs = true;
  options.length = std::chrono::seconds(1);
  CHECK_FALSE(RunSoak(options).violations.empty());
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace skylarkhoist
