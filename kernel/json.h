#ifndef KERNEL_JSON_H_
#define KERNEL_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "kernel/findings.h"

namespace skylarkhoist {

using json = nlohmann::json;

// Parses JSON strictly. Duplicate names in an object are errors, since silently
// choosing one of the values would hide an operator's mistake. Nesting deeper
// than 64 levels is an error.
tl::expected<json, findings> ParseJson(std::string_view text);

// Returns `value` as compact JSON. Replaces bytes that are not UTF-8 with
// U+FFFD, since strings from other programs may have any bytes and json::dump
// throws for them.
std::string JsonText(const json& value);

// Returns whether `text` is valid UTF-8, so that JsonText preserves it.
bool IsUtf8(std::string_view text);

}  // namespace skylarkhoist

#endif  // KERNEL_JSON_H_
