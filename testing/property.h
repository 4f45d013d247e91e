#ifndef TESTING_PROPERTY_H_
#define TESTING_PROPERTY_H_

namespace skylarkhoist {

// Sets the number of random histories that each property test of this process
// runs, with a fixed seed so that each CI run gives the same result. RC_PARAMS
// in the environment takes precedence, for longer runs and to reproduce a
// failure:
//
//   RC_PARAMS="max_success=5000" build/debug/skylarkhoist_tests -sg GROUP
//
// rapidcheck reads the parameters once per process.
void SetHistoriesPerProperty(int history_count);

}  // namespace skylarkhoist

#endif  // TESTING_PROPERTY_H_
