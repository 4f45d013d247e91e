#ifndef KERNEL_FINDINGS_H_
#define KERNEL_FINDINGS_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace skylarkhoist {

// One problem in an input. `place` is the path of the value at fault, for
// example "/customers/acme/rate".
struct finding {
  std::string place;
  std::string message;

  bool operator==(const finding& other) const {
    return place == other.place && message == other.message;
  }
};

// The problems found in an input, so that they can be reported together. Since
// inputs may come from other programs, only the first kMaxItems are kept, and
// their texts are truncated.
class findings {
 public:
  static constexpr size_t kMaxItems = 100;
  static constexpr size_t kMaxTextBytes = 512;

  void Add(std::string place, std::string message) {
    if (is_full()) {
      ++omitted_;
      return;
    }
    items_.push_back(
        {Truncated(std::move(place)), Truncated(std::move(message))});
  }
  void Append(const findings& other) {
    for (const finding& item : other.items_)
      Add(item.place, item.message);
    omitted_ += other.omitted_;
  }

  void SortByPlace() {
    std::sort(items_.begin(), items_.end(),
              [](const finding& left, const finding& right) {
                return left.place < right.place;
              });
  }

  bool empty() const { return items_.empty(); }
  // Whether further findings are only counted.
  bool is_full() const { return items_.size() == kMaxItems; }
  const std::vector<finding>& items() const { return items_; }

  // One line for each problem: "PLACE: MESSAGE".
  std::string ToText() const {
    std::string text;
    for (const finding& item : items_)
      text += item.place + ": " + item.message + "\n";
    if (omitted_ > 0)
      text += "and " + std::to_string(omitted_) + " more\n";
    return text;
  }

 private:
  static std::string Truncated(std::string text) {
    if (text.size() > kMaxTextBytes)
      text = text.substr(0, kMaxTextBytes) + "...";
    return text;
  }

  std::vector<finding> items_;
  size_t omitted_ = 0;
};

}  // namespace skylarkhoist

#endif  // KERNEL_FINDINGS_H_
