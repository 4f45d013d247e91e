#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include "kernel/log.h"

int main(int argc, char** argv) {
  // CppUTest would report static objects of rapidcheck as leaks; the sanitizer
  // build finds real leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  skylarkhoist::ConfigureLog(skylarkhoist::log_format::kOff);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
