#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

#include "kernel/log.h"
#include "testing/property.h"

// Runs the tests without the leak detection of CppUTest. It would report static
// objects of rapidcheck as leaks, and static objects that are freed after it
// was turned off would leave dangling entries in its table. The sanitizer build
// finds real leaks.
int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  skylarkhoist::ConfigureLog(skylarkhoist::log_format::kOff);
  skylarkhoist::SetHistoriesPerProperty(100);
  CommandLineTestRunner runner(argc, argv, TestRegistry::getCurrentRegistry());
  return runner.runAllTestsMain();
}
