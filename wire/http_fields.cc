#include "wire/http_fields.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <string>

namespace skylarkhoist {
namespace {

constexpr std::array<std::string_view, 10> kConnectionFields = {
    "connection",        "content-length",    "expect",
    "keep-alive",        "proxy-connection",  "te",
    "trailer",           "transfer-encoding", "upgrade",
    "proxy-authenticate"};

bool SameName(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

// True when the list "a, b" contains `name`.
bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t'))
      item.remove_prefix(1);
    while (!item.empty() && (item.back() == ' ' || item.back() == '\t'))
      item.remove_suffix(1);
    if (SameName(item, name))
      return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

bool IsConnectionField(std::string_view name) {
  return std::any_of(
      kConnectionFields.begin(), kConnectionFields.end(),
      [name](std::string_view each) { return SameName(each, name); });
}

bool IsFieldName(std::string_view name) {
  constexpr std::string_view kSigns = "!#$%&'*+-.^_`|~";
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [kSigns](char each) {
           return (each >= '0' && each <= '9') ||
                  (each >= 'a' && each <= 'z') ||
                  (each >= 'A' && each <= 'Z') ||
                  kSigns.find(each) != std::string_view::npos;
         });
}

http_headers FieldsFrom(const evkeyvalq* fields) {
  const char* found = evhttp_find_header(fields, "Connection");
  const std::string_view named = found == nullptr ? "" : found;
  http_headers result;
  for (const evkeyval* each = fields->tqh_first; each != nullptr;
       each = each->next.tqe_next) {
    if (!IsConnectionField(each->key) &&
        (named.empty() || !ListContains(named, each->key)))
      result.Add(each->key, each->value);
  }
  return result;
}

void AddFields(const http_headers& fields, evkeyvalq* output) {
  for (const auto& [name, value] : fields.items()) {
    if (IsFieldName(name) && !IsConnectionField(name))
      evhttp_add_header(output, name.c_str(), value.c_str());
  }
}

}  // namespace skylarkhoist
