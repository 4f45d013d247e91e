#include "kernel/bounded_log.h"

#include <algorithm>
#include <cstdio>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

void AppendEscaped(std::string_view value, std::string* text) {
  for (const char each : value) {
    const auto code = static_cast<unsigned char>(each);
    if (each == '"' || each == '\\') {
      text->push_back('\\');
      text->push_back(each);
    } else if (code < 0x20 || code >= 0x7f) {
      char escaped[8];
      std::snprintf(escaped, sizeof(escaped), "\\u%04x", code);
      text->append(escaped);
    } else {
      text->push_back(each);
    }
  }
}

}  // namespace

void bounded_log::line::Add(std::string_view name, std::string_view value) {
  text_.append(",\"").append(name).append("\":\"");
  AppendEscaped(value, &text_);
  text_.push_back('"');
}

void bounded_log::line::Add(std::string_view name, int64_t value) {
  text_.append(",\"").append(name).append("\":").append(std::to_string(value));
}

bool bounded_log::TakeBudget() {
  const time_point now = clock_->Now();
  if (refilled_ != time_point()) {
    const double seconds =
        std::chrono::duration<double>(now - refilled_).count();
    budget_ = std::min(per_second_, budget_ + seconds * per_second_);
  }
  refilled_ = now;
  if (budget_ < 1.0)
    return false;
  budget_ -= 1.0;
  return true;
}

void bounded_log::Write(std::string_view event,
                        const std::function<void(line&)>& add_fields) {
  if (!IsLogOn())
    return;
  if (!TakeBudget()) {
    ++dropped_;
    ++dropped_total_;
    return;
  }
  line written;
  add_fields(written);
  if (dropped_ > 0)
    written.Add("lines_dropped_before", static_cast<int64_t>(dropped_));
  dropped_ = 0;
  WriteLogFields(component_, event, written.text_);
}

}  // namespace skylarkhoist
