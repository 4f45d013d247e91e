#ifndef KERNEL_LOG_H_
#define KERNEL_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace skylarkhoist {

// kOff disables logging, for tests and benchmarks.
enum class log_format { kJson, kPlain, kOff };

// Sets the format and destination of log lines. Call once at startup. By
// default they go to standard error, for commands that write their result to
// standard output. If `to_standard_output` is set, standard output becomes
// non-blocking and lines that can't be written at once are dropped.
void ConfigureLog(log_format format, bool to_standard_output = false);

bool IsLogEnabled();

// Logs a change of state at level "info", for example
//   LogStateChange("peer_link", "link_down", {{"peer", "b"}, {"cause",
//   "silent"}});
// Count frequent events in metrics instead. Fields must not contain keys, such
// as API keys, or message bodies.
void LogStateChange(
    std::string_view component,
    std::string_view event,
    std::initializer_list<std::pair<std::string_view, std::string>> fields =
        {});

// Like LogStateChange, but at level "warning", for events that need an
// operator's attention.
void LogWarning(std::string_view component,
                std::string_view event,
                std::initializer_list<std::pair<std::string_view, std::string>>
                    fields = {});

// Like LogStateChange, with fields that are already encoded as JSON, each in
// the form ,"NAME":VALUE. Writes JSON even if the log format is kPlain.
void LogJsonFields(std::string_view component,
                   std::string_view event,
                   std::string_view fields);

}  // namespace skylarkhoist

#endif  // KERNEL_LOG_H_
