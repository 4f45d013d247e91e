#include "decisions/run_progress.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

TEST_GROUP(run_progress) {
  run_progress progress;

  void Run(const std::string& id, int calls, bool succeeded) {
    for (int i = 0; i < calls; ++i)
      progress.OnCallSucceeded(id, "deep");
    progress.OnRunEnded(id, "front", succeeded);
  }
};

// Guards against a request at its start that is taken for one that is nearly
// done.
TEST(run_progress, CountsTheCallsThatARunHasLeft) {
  CHECK_EQUAL(1, progress.CallsLeft("a", "front", "deep"));
  Run("a", 4, true);
  CHECK_EQUAL(4, progress.CallsLeft("b", "front", "deep"));
  progress.OnCallSucceeded("b", "deep");
  progress.OnCallSucceeded("b", "deep");
  progress.OnCallSucceeded("b", "deep");
  CHECK_EQUAL(1, progress.CallsLeft("b", "front", "deep"));
  CHECK_EQUAL(4, progress.CallsLeft("c", "front", "deep"));
  // More calls than usual.
  progress.OnCallSucceeded("b", "deep");
  progress.OnCallSucceeded("b", "deep");
  CHECK_EQUAL(1, progress.CallsLeft("b", "front", "deep"));
  CHECK_EQUAL(1, progress.CallsLeft("b", "front", "other"));
}

// Load pattern: a service turns away most calls, so most runs fail early.
// Guards against learning from them that runs make few calls.
TEST(run_progress, FailedRunsDoNotCount) {
  Run("a", 4, true);
  for (int i = 0; i < 1000; ++i)
    Run("failed", 1, false);
  CHECK_EQUAL(4, progress.CallsLeft("b", "front", "deep"));
}

}  // namespace
}  // namespace skylarkhoist
