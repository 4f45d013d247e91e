#ifndef WIRE_HTTP_FIELDS_H_
#define WIRE_HTTP_FIELDS_H_

#include <string_view>

#include "kernel/http.h"

struct evkeyvalq;

namespace skylarkhoist {

// True for fields that describe one connection or the framing of one message
// and are not passed on.
bool IsConnectionField(std::string_view name);

// True for a name that HTTP allows: letters, digits and some signs.
bool IsFieldName(std::string_view name);

// Copies header fields from evhttp, without connection fields and fields that
// the Connection field names.
http_headers FieldsFrom(const evkeyvalq* fields);

// Adds header fields to evhttp, without connection fields. Fields with a name
// that is not valid or a line break in the value are left out.
void AddFields(const http_headers& fields, evkeyvalq* output);

}  // namespace skylarkhoist

#endif  // WIRE_HTTP_FIELDS_H_
