#ifndef KERNEL_LOG_H_
#define KERNEL_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace skylarkhoist {

// kOff drops all lines, for tests and measurements.
enum class log_format { kJson, kPlain, kOff };

// Chooses the form of log lines. They go to standard output when
// `to_standard_output` is set, and to standard error otherwise, for commands
// whose output is their result. Lines that cannot be written at once are
// dropped. Call once at start.
void ConfigureLog(log_format format, bool to_standard_output = false);

bool IsLogOn();

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

// As LogStateChange, with fields that are written already as JSON: each as
// ,"NAME":VALUE.
void WriteLogFields(std::string_view component,
                    std::string_view event,
                    std::string_view fields);

}  // namespace skylarkhoist

#endif  // KERNEL_LOG_H_
