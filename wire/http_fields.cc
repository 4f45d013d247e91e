#include "wire/http_fields.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <string>

namespace skylarkhoist {
namespace {

constexpr std::array<std::string_view, 10> kHopByHopFields = {
    "connection",        "content-length",    "expect",
    "keep-alive",        "proxy-connection",  "te",
    "trailer",           "transfer-encoding", "upgrade",
    "proxy-authenticate"};

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

// True if the comma-separated `list` contains `name`, regardless of case.
bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && (item.front() == ' ' || item.front() == '\t'))
      item.remove_prefix(1);
    while (!item.empty() && (item.back() == ' ' || item.back() == '\t'))
      item.remove_suffix(1);
    if (EqualsIgnoreCase(item, name))
      return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

bool IsHopByHopField(std::string_view name) {
  return std::any_of(
      kHopByHopFields.begin(), kHopByHopFields.end(),
      [name](std::string_view field) { return EqualsIgnoreCase(field, name); });
}

bool IsValidFieldName(std::string_view name) {
  constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [kTokenSymbols](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                  (c >= 'A' && c <= 'Z') ||
                  kTokenSymbols.find(c) != std::string_view::npos;
         });
}

http_headers ReadEndToEndFields(const evkeyvalq* fields) {
  const char* connection = evhttp_find_header(fields, "Connection");
  const std::string_view connection_options =
      connection == nullptr ? "" : connection;
  http_headers result;
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    if (!IsHopByHopField(field->key) &&
        (connection_options.empty() ||
         !ListContains(connection_options, field->key)))
      result.Add(field->key, field->value);
  }
  return result;
}

void WriteEndToEndFields(const http_headers& fields, evkeyvalq* output) {
  for (const auto& [name, value] : fields.items()) {
    if (IsValidFieldName(name) && !IsHopByHopField(name))
      evhttp_add_header(output, name.c_str(), value.c_str());
  }
}

}  // namespace skylarkhoist
