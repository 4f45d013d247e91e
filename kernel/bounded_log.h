#ifndef KERNEL_BOUNDED_LOG_H_
#define KERNEL_BOUNDED_LOG_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "kernel/loop.h"
#include "kernel/time.h"

namespace skylarkhoist {

// Log lines about single requests, of which load may bring any number. Lines
// above the rate are dropped and counted; the next line that is written tells
// how many.
//
//   log.Write("request_ended", [&](bounded_log::line& line) {
//     line.Add("request", id);
//   });
//
// Fields are made only for lines that are written.
class bounded_log {
 public:
  // One line under construction.
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
    friend class bounded_log;
    std::string text_;
  };

  // `component` must outlive the log. Bursts of one second's lines pass.
  bounded_log(const loop* clock, std::string_view component, double per_second)
      : clock_(clock),
        component_(component),
        per_second_(per_second),
        budget_(per_second) {}

  void Write(std::string_view event,
             const std::function<void(line&)>& add_fields);

  uint64_t dropped() const { return dropped_total_; }

 private:
  bool TakeBudget();

  const loop* clock_;
  std::string_view component_;
  double per_second_;
  double budget_;
  time_point refilled_;
  uint64_t dropped_ = 0;
  uint64_t dropped_total_ = 0;
};

}  // namespace skylarkhoist

#endif  // KERNEL_BOUNDED_LOG_H_
