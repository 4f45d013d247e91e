#ifndef TESTING_PROPERTY_H_
#define TESTING_PROPERTY_H_

namespace skylarkhoist {

// Sets how many histories the properties of this process generate, with a fixed
// seed so that each CI run gives the same verdict. RC_PARAMS in the environment
// goes before, for longer runs and to repeat a failure:
//
//   RC_PARAMS="max_success=5000" build/debug/skylarkhoist_tests -sg GROUP
//
// rapidcheck reads the parameters once in a process.
void SetPropertyCount(int histories);

}  // namespace skylarkhoist

#endif  // TESTING_PROPERTY_H_
