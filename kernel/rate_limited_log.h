#ifndef KERNEL_RATE_LIMITED_LOG_H_
#define KERNEL_RATE_LIMITED_LOG_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "kernel/loop.h"
#include "kernel/time.h"

namespace skylarkhoist {

// Rate-limited log lines, for events of single requests, whose number grows
// with the load. Lines above the rate are dropped; the next line that is
// written contains their number.
//
//   log.Write("request_ended", [&](rate_limited_log::line& line) {
//     line.Add("request", id);
//   });
//
// The function that adds the fields runs only for lines that are written.
class rate_limited_log {
 public:
  // Collects the fields of one line.
  class line {
   public:
    void Add(std::string_view name, std::string_view value);
    void Add(std::string_view name, const std::string& value) {
      Add(name, std::string_view(value));
    }
    void Add(std::string_view name, const char* value) {
      Add(name, std::string_view(value));
    }
    void Add(std::string_view name, int64_t value);
    void Add(std::string_view name, int value) {
      Add(name, static_cast<int64_t>(value));
    }

   private:
    friend class rate_limited_log;
    std::string text_;
  };

  // `component` must outlive the log. The burst is the number of lines for one
  // second.
  rate_limited_log(const loop* clock,
                   std::string_view component,
                   double lines_per_second)
      : clock_(clock),
        component_(component),
        lines_per_second_(lines_per_second),
        available_lines_(lines_per_second) {}

  void Write(std::string_view event,
             const std::function<void(line&)>& add_fields);

  uint64_t total_dropped_lines() const { return total_dropped_lines_; }

 private:
  // Returns false if the rate limit is reached.
  bool TryAcquireLine();

  const loop* clock_;
  std::string_view component_;
  double lines_per_second_;
  double available_lines_;
  time_point last_refill_;
  uint64_t dropped_since_last_line_ = 0;
  uint64_t total_dropped_lines_ = 0;
};

}  // namespace skylarkhoist

#endif  // KERNEL_RATE_LIMITED_LOG_H_
