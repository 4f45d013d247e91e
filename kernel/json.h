#ifndef KERNEL_JSON_H_
#define KERNEL_JSON_H_

#include <nlohmann/json.hpp>
#include <string_view>
#include <tl/expected.hpp>

#include "kernel/findings.h"

namespace skylarkhoist {

using json = nlohmann::json;

// Parses JSON strictly. Duplicate names in an object are errors, since silently
// choosing one of the values would hide an operator's mistake. Nesting deeper
// than 64 levels is an error.
tl::expected<json, findings> ParseJson(std::string_view text);

}  // namespace skylarkhoist

#endif  // KERNEL_JSON_H_
