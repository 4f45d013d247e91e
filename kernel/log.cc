#include "kernel/log.h"

#include <easylogging++.h>
#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <ctime>

#include "kernel/json.h"

INITIALIZE_EASYLOGGINGPP

namespace skylarkhoist {
namespace {

log_format g_format = log_format::kJson;
FILE* g_output = stderr;

// Returns the current UTC time in ISO 8601 format, with milliseconds.
std::string FormatCurrentTime() {
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
  line["time"] = FormatCurrentTime();
  line["level"] = level;
  line["component"] = component;
  line["event"] = event;
  for (const auto& [name, value] : fields)
    line[std::string(name)] = value;
  return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Writes each line with one system call. On non-blocking standard output, a
// line that does not fit into a full pipe is dropped.
class line_writer : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const std::string line = data->logMessage()->logger()->logBuilder()->build(
        data->logMessage(),
        data->dispatchAction() == el::base::DispatchAction::NormalLog);
    const ssize_t written = write(fileno(g_output), line.data(), line.size());
    (void)written;
  }
};

}  // namespace

void ConfigureLog(log_format format, bool to_standard_output) {
  g_format = format;
  g_output = to_standard_output ? stdout : stderr;
  if (to_standard_output)
    fcntl(fileno(g_output), F_SETFL, O_NONBLOCK);
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(
      el::ConfigurationType::Format,
      format == log_format::kJson ? "%msg" : "%datetime %level %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::installLogDispatchCallback<line_writer>("lines");
}

bool IsLogEnabled() {
  return g_format != log_format::kOff;
}

void LogJsonFields(std::string_view component,
                   std::string_view event,
                   std::string_view fields) {
  if (g_format == log_format::kOff)
    return;
  std::string line =
      "{\"time\":\"" + FormatCurrentTime() + "\",\"level\":\"info\"";
  line.append(",\"component\":\"").append(component);
  line.append("\",\"event\":\"").append(event).append("\"");
  line.append(fields).append("}");
  LOG(INFO) << line;
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
