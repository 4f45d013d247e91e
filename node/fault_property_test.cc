#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <functional>
#include <string>

#include "testing/fault_run.h"
#include "testing/property.h"

namespace skylarkhoist {
namespace {

// Random fault histories in one test run. The sanitizer build is several times
// slower and runs the first quarter of the same sequence.
#ifdef __SANITIZE_ADDRESS__
constexpr int kHistoryCount = 250;
#else
constexpr int kHistoryCount = 1000;
#endif

// Short histories, so that many fit into one test run.
fault_run_options ShortRunOptions(uint64_t seed) {
  fault_run_options options;
  options.seed = seed;
  options.load_duration = std::chrono::seconds(3);
  options.requests_per_second = 30;
  return options;
}

TEST_GROUP(fault_property){};

// Guards against a request path that breaks one of the invariants I1 to I12
// (testing/checkers.h), or does not give each request exactly one response,
// when components fail alone or in pairs.
TEST(fault_property, InvariantsHoldUnderFaults) {
  SetHistoriesPerProperty(kHistoryCount);
  CHECK_TRUE(rc::check("request path under faults", [](uint64_t seed) {
    const fault_run_result result = RunWithFaults(ShortRunOptions(seed));
    if (!result.violations.empty())
      RC_FAIL("seed " + std::to_string(seed) + ", " + result.ToText());
  }));
}

struct injected_fault {
  const char* invariant;
  std::function<void(fault_run_options*)> configure;
};

TEST_GROUP(fault_checkers){
    // Returns whether the checker of the invariant reports the fault with any
    // of the first seeds.
    static bool IsReported(const injected_fault& fault){
        constexpr uint64_t kMaxSeed = 10;
for (uint64_t seed = 1; seed <= kMaxSeed; ++seed) {
  // Uses more load than the property test, since some faults need overlapping
  // calls.
  fault_run_options options;
  options.seed = seed;
  options.load_duration = std::chrono::seconds(4);
  fault.configure(&options);
  if (RunWithFaults(options).violations.count(fault.invariant) > 0)
    return true;
}
return false;
}  // namespace
};  // namespace skylarkhoist

// Guards against a checker that accepts a request that ran twice.
TEST(fault_checkers, RetryAfterRunBreaksAtMostOnce) {
  CHECK_TRUE(IsReported(
      {"I9", [](fault_run_options* options) {
         options->common_node_options.entry_faults.retry_after_run = true;
         options->faults = {fault_kind::kTargetCrash,
                            fault_kind::kCrashingRequest};
       }}));
}

// Guards against a checker that accepts a false "not run".
TEST(fault_checkers, RefusalAfterRunBreaksTruthfulRefusal) {
  CHECK_TRUE(IsReported(
      {"I8", [](fault_run_options* options) {
         options->common_node_options.executor_faults.refuse_after_run = true;
         options->faults = {fault_kind::kTargetCrash,
                            fault_kind::kCrashingRequest};
       }}));
}

// Guards against a checker that accepts the answer to another request.
TEST(fault_checkers, ReusedSequenceBreaksOwnAnswer) {
  CHECK_TRUE(IsReported(
      {"I7", [](fault_run_options* options) {
         options->common_node_options.entry_faults.reuse_sequence = true;
         options->requests_per_second = 200;
         options->faults = {fault_kind::kMessageDuplication};
       }}));
}

// Guards against a checker that accepts a truncated answer.
TEST(fault_checkers, TruncatedAnswerBreaksOwnAnswer) {
  CHECK_TRUE(IsReported(
      {"I7", [](fault_run_options* options) {
         options->common_node_options.executor_faults.truncate_answers = true;
       }}));
}

// Guards against a checker that accepts more retries than the credit of the
// chain.
TEST(fault_checkers, CopiedCreditBreaksRetryBound) {
  CHECK_TRUE(IsReported(
      {"I1", [](fault_run_options* options) {
         options->common_node_options.entry_faults.copy_credit = true;
         options->machines = 6;
         options->child_calls = 8;
         options->faults.assign(8, fault_kind::kTargetSheds);
       }}));
}

}  // namespace
}  // namespace skylarkhoist
