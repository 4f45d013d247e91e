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
    CHECK_TEXT(program != nullptr,
               "SKYLARKHOIST_PROGRAM must be set to the path of skylarkhoist");
    directory =
        (std::filesystem::temp_directory_path() / "skylarkhoist-soak-XXXXXX")
            .string();
    CHECK_TRUE(mkdtemp(directory.data()) != nullptr);
    soak_options options;
    options.program = program;
    options.directory = directory;
    options.seed = 1;
    options.nodes = 3;
    options.fault_duration = std::chrono::seconds(6);
    options.requests_per_second = 60;
    return options;
  }
};

// Guards against violations of the guarantees of RunSoak under faults, with the
// real program in separate processes. The seed is fixed; `soak --help` shows
// how to run many seeds.
TEST(soak, ShortRunHasNoViolations) {
  const soak_result result = RunSoak(Options());
  if (!result.violations.empty()) {
    FAIL(StringFromFormat("%s; node logs are in %s",
                          result.violations.front().c_str(), directory.c_str())
             .asCharString());
  }
  CHECK_TRUE(result.faults >= 6);
  CHECK_TRUE(result.served > result.sent / 2);
  std::filesystem::remove_all(directory);
}

// Guards against checks that never report a violation.
TEST(soak, ReportsWorkersThatClaimNotExecuted) {
  soak_options options = Options();
  options.claim_not_executed = true;
  options.fault_duration = std::chrono::seconds(1);
  CHECK_FALSE(RunSoak(options).violations.empty());
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace skylarkhoist
