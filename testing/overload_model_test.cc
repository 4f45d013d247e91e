#include "testing/overload_model.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

TEST_GROUP(overload_model){
    // Runs one scenario with full control and prints its figures.
    static json RunScenario(const char* deployment,
                            const char* scenario,
                            double scale,
                            bool rate_limiter = false){
        overload_model_options options;
options.deployment = deployment;
options.scenario = scenario;
options.scale = scale;
options.rate_limiter = rate_limiter;
json line = RunOverloadModel(options);
UT_PRINT(line.dump().c_str());
return line;
}  // namespace
};  // namespace skylarkhoist

// The bounds are those of section 1.5 of the design page.

// Guards against a loss of goodput that comes from decisions which work alone
// but not together.
TEST(overload_model, SurgeKeepsGoodput) {
  const json line = RunScenario("nilewand", "surge", 0.4);
  CHECK_TRUE(line.at("goodput") >= 0.95);
  CHECK_TRUE(line.at("recovery_s") <= 3.0);
  CHECK_EQUAL(0, line.at("critical_refused_after_browse").get<int>());
}

// Guards against overloading a target during its cold start, and against a cold
// limit that is so low that requests are refused (invariant I5).
TEST(overload_model, ColdTargetsAreNotOverloaded) {
  const json line = RunScenario("okonkwo", "cold", 1.0);
  CHECK_EQUAL(0, line.at("cold_over").get<int>());
  CHECK_TRUE(line.at("served") >= 0.99);
}

// Guards against refusing requests of customers within their rate limit because
// another customer exceeds its own.
TEST(overload_model, UnfairCustomerDoesNotHurtOthers) {
  const json line = RunScenario("okonkwo", "unfair", 0.4, true);
  CHECK_TRUE(line.at("worst_customer") >= 0.995);
}

}  // namespace
}  // namespace skylarkhoist
