#ifndef KERNEL_HTTP_H_
#define KERNEL_HTTP_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkhoist {

// Header fields in the order in which they were added. Names are
// case-insensitive.
class http_headers {
 public:
  void Add(std::string name, std::string value) {
    items_.emplace_back(std::move(name), std::move(value));
  }

  // Returns the value of the first field called `name`, or null.
  const std::string* Find(std::string_view name) const;

  void Remove(std::string_view name);

  // Removes all fields whose names begin with `prefix`.
  void RemovePrefix(std::string_view prefix);

  const std::vector<std::pair<std::string, std::string>>& items() const {
    return items_;
  }

 private:
  std::vector<std::pair<std::string, std::string>> items_;
};

struct http_request {
  std::string method;
  // Path and query, not decoded.
  std::string path;
  http_headers headers;
  std::string body;
};

struct http_response {
  int status = 0;
  http_headers headers;
  std::string body;
};

}  // namespace skylarkhoist

#endif  // KERNEL_HTTP_H_
