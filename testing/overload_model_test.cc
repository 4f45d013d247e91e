#include "testing/overload_model.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

TEST_GROUP(overload_model){
    static json Run(const char* deployment,
                    const char* scenario,
                    double scale,
                    bool rate_limiter = false){model_options options;
options.deployment = deployment;
options.scenario = scenario;
options.scale = scale;
options.rate_limiter = rate_limiter;
json line = RunOverloadModel(options);
UT_PRINT(line.dump().c_str());
return line;
}  // namespace
};  // namespace skylarkhoist

// The bounds are the measured targets of the design page, section 1.5.

// Guards against decisions that hold one by one and lose goodput together.
TEST(overload_model, Surge) {
  const json line = Run("nilewand", "surge", 0.4);
  CHECK_TRUE(line.at("goodput") >= 0.95);
  CHECK_TRUE(line.at("recovery_s") <= 3.0);
  CHECK_EQUAL(0, line.at("critical_refused_after_browse").get<int>());
}

// Guards against targets that are killed in their cold start, and against a
// limit so careful that callers are refused: I5.
TEST(overload_model, Cold) {
  const json line = Run("okonkwo", "cold", 1.0);
  CHECK_EQUAL(0, line.at("cold_over").get<int>());
  CHECK_TRUE(line.at("served") >= 0.99);
}

// Guards against customers within their rate who pay for one that is not.
TEST(overload_model, Unfair) {
  const json line = Run("okonkwo", "unfair", 0.4, true);
  CHECK_TRUE(line.at("worst_customer") >= 0.995);
}

}  // namespace
}  // namespace skylarkhoist
