#ifndef KERNEL_LOG_H_
#define KERNEL_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace skylarkhoist {

// kOff drops all lines, for tests and measurements.
enum class log_format { kJson, kPlain, kOff };

// Chooses the form of log lines on standard error. Call once at start.
void ConfigureLog(log_format format);

// Writes one line for a change of state, for example
//   LogStateChange("peer_link", "link_down", {{"peer", "b"}, {"cause",
//   "silent"}});
// Repeated events belong in counters. Never pass keys or bodies as fields.
void LogStateChange(
    std::string_view component,
    std::string_view event,
    std::initializer_list<std::pair<std::string_view, std::string>> fields =
        {});

// As LogStateChange, for a change that needs an operator's attention.
void LogWarning(std::string_view component,
                std::string_view event,
                std::initializer_list<std::pair<std::string_view, std::string>>
                    fields = {});

}  // namespace skylarkhoist

#endif  // KERNEL_LOG_H_
