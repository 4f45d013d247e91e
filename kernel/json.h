#ifndef KERNEL_JSON_H_
#define KERNEL_JSON_H_

#include <nlohmann/json.hpp>
#include <string_view>
#include <tl/expected.hpp>

#include "kernel/findings.h"

namespace skylarkhoist {

using json = nlohmann::json;

// Parses JSON strictly. Duplicate names in an object are findings, since a
// silent choice between two values would hide an operator's mistake. Nesting
// deeper than 64 levels is refused.
tl::expected<json, findings> ParseJson(std::string_view text);

}  // namespace skylarkhoist

#endif  // KERNEL_JSON_H_
