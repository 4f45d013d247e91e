#include "kernel/log.h"

#include <easylogging++.h>

#include <chrono>
#include <cstdio>
#include <ctime>

#include "kernel/json.h"

INITIALIZE_EASYLOGGINGPP

namespace skylarkhoist {
namespace {

log_format g_format = log_format::kJson;

// Wall-clock time in UTC, with milliseconds.
std::string TimeText() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch())
                          .count() %
                      1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char date[32];
  std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &parts);
  char text[48];
  std::snprintf(text, sizeof(text), "%s.%03dZ", date, static_cast<int>(millis));
  return text;
}

std::string FormatLine(
    std::string_view level,
    std::string_view component,
    std::string_view event,
    std::initializer_list<std::pair<std::string_view, std::string>> fields) {
  if (g_format == log_format::kPlain) {
    std::string line = std::string(component) + " " + std::string(event);
    for (const auto& [name, value] : fields)
      line += " " + std::string(name) + "=" + value;
    return line;
  }
  nlohmann::ordered_json line;
  line["time"] = TimeText();
  line["level"] = level;
  line["component"] = component;
  line["event"] = event;
  for (const auto& [name, value] : fields)
    line[std::string(name)] = value;
  return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

// easylogging++ writes to standard output, which belongs to the results of
// commands.
class stderr_writer : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const std::string line = data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(),
        data->dispatchAction() == el::base::DispatchAction::NormalLog);
    std::fputs(line.c_str(), stderr);
  }
};

}  // namespace

void ConfigureLog(log_format format) {
  g_format = format;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(
      el::ConfigurationType::Format,
      format == log_format::kJson ? "%msg" : "%datetime %level %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::installLogDispatchCallback<stderr_writer>("stderr");
}

void LogStateChange(
    std::string_view component,
    std::string_view event,
    std::initializer_list<std::pair<std::string_view, std::string>> fields) {
  if (g_format != log_format::kOff)
    LOG(INFO) << FormatLine("info", component, event, fields);
}

void LogWarning(
    std::string_view component,
    std::string_view event,
    std::initializer_list<std::pair<std::string_view, std::string>> fields) {
  if (g_format != log_format::kOff)
    LOG(WARNING) << FormatLine("warning", component, event, fields);
}

}  // namespace skylarkhoist
