#include "kernel/json.h"

#include <set>
#include <string>
#include <vector>

namespace skylarkhoist {
namespace {

constexpr int kMaxDepth = 64;

std::string JoinPath(const std::vector<std::string>& names) {
  std::string path;
  for (const std::string& name : names)
    path += "/" + name;
  return path.empty() ? "/" : path;
}

}  // namespace

tl::expected<json, findings> ParseJson(std::string_view text) {
  findings problems;
  std::vector<std::set<std::string>> seen_names;  // For each open object.
  std::vector<std::string> path;
  bool too_deep = false;
  const json::parser_callback_t on_event =
      [&](int depth, json::parse_event_t event, json& value) {
        if (depth > kMaxDepth)
          too_deep = true;
        switch (event) {
          case json::parse_event_t::object_start:
            seen_names.emplace_back();
            path.emplace_back();
            break;
          case json::parse_event_t::object_end:
            seen_names.pop_back();
            path.pop_back();
            break;
          case json::parse_event_t::key: {
            const auto name = value.get<std::string>();
            path.back() = name;
            // The path of a name may be as long as the whole text.
            if (!seen_names.back().insert(name).second)
              problems.Add(problems.is_full() ? "" : JoinPath(path),
                           "duplicate name");
            break;
          }
          default:
            break;
        }
        return depth <= kMaxDepth;
      };
  json result;
  try {
    result = json::parse(text, on_event);
  } catch (const json::parse_error& error) {
    problems.Add("/", std::string("not valid JSON at byte ") +
                          std::to_string(error.byte));
  } catch (const json::out_of_range&) {
    problems.Add("/", "has a number that is too large");
  }
  if (too_deep)
    problems.Add("/", "nested deeper than 64 levels");
  if (!problems.empty())
    return tl::unexpected(problems);
  return result;
}

std::string JsonText(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool IsUtf8(std::string_view text) {
  try {
    (void)json(text).dump();
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

}  // namespace skylarkhoist
