#include "kernel/rate_limited_log.h"

#include <algorithm>
#include <cstdio>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

void AppendJsonEscaped(std::string_view value, std::string* text) {
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      text->push_back('\\');
      text->push_back(c);
    } else if (byte < 0x20 || byte >= 0x7f) {
      char escaped[8];
      std::snprintf(escaped, sizeof(escaped), "\\u%04x", byte);
      text->append(escaped);
    } else {
      text->push_back(c);
    }
  }
}

}  // namespace

void rate_limited_log::line::Add(std::string_view name,
                                 std::string_view value) {
  text_.append(",\"").append(name).append("\":\"");
  AppendJsonEscaped(value, &text_);
  text_.push_back('"');
}

void rate_limited_log::line::Add(std::string_view name, int64_t value) {
  text_.append(",\"").append(name).append("\":").append(std::to_string(value));
}

bool rate_limited_log::TryAcquireLine() {
  const time_point now = clock_->Now();
  if (last_refill_ != time_point()) {
    const double seconds =
        std::chrono::duration<double>(now - last_refill_).count();
    available_lines_ = std::min(lines_per_second_,
                                available_lines_ + seconds * lines_per_second_);
  }
  last_refill_ = now;
  if (available_lines_ < 1.0)
    return false;
  available_lines_ -= 1.0;
  return true;
}

void rate_limited_log::Write(std::string_view event,
                             const std::function<void(line&)>& add_fields) {
  if (!IsLogEnabled())
    return;
  if (!TryAcquireLine()) {
    ++dropped_since_last_line_;
    ++total_dropped_lines_;
    return;
  }
  line written;
  add_fields(written);
  if (dropped_since_last_line_ > 0)
    written.Add("lines_dropped_before",
                static_cast<int64_t>(dropped_since_last_line_));
  dropped_since_last_line_ = 0;
  LogJsonFields(component_, event, written.text_);
}

}  // namespace skylarkhoist
