#include "kernel/log.h"

#include <easylogging++.h>

#include "kernel/json.h"

INITIALIZE_EASYLOGGINGPP

namespace skylarkhoist {
namespace {

log_format g_format = log_format::kJson;

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
  line["level"] = level;
  line["component"] = component;
  line["event"] = event;
  for (const auto& [name, value] : fields)
    line[std::string(name)] = value;
  return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

void ConfigureLog(log_format format) {
  g_format = format;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(
      el::ConfigurationType::Format,
      format == log_format::kJson ? "%msg" : "%datetime %level %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(configuration);
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
