#ifndef WIRE_HTTP_FIELDS_H_
#define WIRE_HTTP_FIELDS_H_

#include <string_view>

#include "kernel/http.h"

struct evkeyvalq;

namespace skylarkhoist {

// True for hop-by-hop fields and for fields that frame one message, such as
// Content-Length. Neither kind is forwarded.
bool IsHopByHopField(std::string_view name);

// True if `name` is an HTTP token: letters, digits and some symbols.
bool IsValidFieldName(std::string_view name);

// Copies the header fields of an evhttp message, except for hop-by-hop fields
// and fields that its Connection field lists.
http_headers ReadEndToEndFields(const evkeyvalq* fields);

// Adds header fields to an evhttp message, except for hop-by-hop fields. Skips
// fields with an invalid name or a line break in the value.
void WriteEndToEndFields(const http_headers& fields, evkeyvalq* output);

}  // namespace skylarkhoist

#endif  // WIRE_HTTP_FIELDS_H_
