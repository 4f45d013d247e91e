#include "kernel/http.h"

#include <strings.h>

#include <algorithm>

namespace skylarkhoist {

const std::string* http_headers::Find(std::string_view name) const {
  for (const auto& [field_name, value] : items_) {
    if (field_name.size() == name.size() &&
        strncasecmp(field_name.data(), name.data(), name.size()) == 0)
      return &value;
  }
  return nullptr;
}

void http_headers::Remove(std::string_view name) {
  const auto matches = [name](const auto& field) {
    return field.first.size() == name.size() &&
           strncasecmp(field.first.data(), name.data(), name.size()) == 0;
  };
  items_.erase(std::remove_if(items_.begin(), items_.end(), matches),
               items_.end());
}

void http_headers::RemovePrefix(std::string_view prefix) {
  const auto matches = [prefix](const auto& field) {
    return field.first.size() >= prefix.size() &&
           strncasecmp(field.first.data(), prefix.data(), prefix.size()) == 0;
  };
  items_.erase(std::remove_if(items_.begin(), items_.end(), matches),
               items_.end());
}

}  // namespace skylarkhoist
