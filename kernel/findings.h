#ifndef KERNEL_FINDINGS_H_
#define KERNEL_FINDINGS_H_

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

// All problems found in an input, so that they can be reported together.
class findings {
 public:
  void Add(std::string place, std::string message) {
    items_.push_back({std::move(place), std::move(message)});
  }
  void Append(const findings& other) {
    items_.insert(items_.end(), other.items_.begin(), other.items_.end());
  }

  bool empty() const { return items_.empty(); }
  const std::vector<finding>& items() const { return items_; }

  // One line for each problem: "PLACE: MESSAGE".
  std::string ToText() const {
    std::string text;
    for (const finding& item : items_)
      text += item.place + ": " + item.message + "\n";
    return text;
  }

 private:
  std::vector<finding> items_;
};

}  // namespace skylarkhoist

#endif  // KERNEL_FINDINGS_H_
