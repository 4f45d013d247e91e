#include "wire/http_log_client.h"

#include <optional>
#include <utility>

#include "kernel/json.h"

namespace skylarkhoist {
namespace {

// A batch of records may exceed the default limit of http_target_client.
constexpr size_t kMaxResponseBytes = 64U << 20U;

http_target_client_settings ClientSettings() {
  http_target_client_settings settings;
  settings.max_body_bytes = kMaxResponseBytes;
  return settings;
}

tl::unexpected<log_error> MakeError(log_error_kind kind, uint64_t first = 0) {
  return tl::unexpected(log_error{kind, first});
}

// Returns nothing for a response with status 200. Of the other responses, only
// one with a 4xx status shows that an append had no effect; the rest are
// kTimeout.
std::optional<log_error_kind> ErrorKindOf(const target_result& result) {
  if (result.error != target_error::kNone) {
    return result.may_have_run ? log_error_kind::kTimeout
                               : log_error_kind::kUnreachable;
  }
  const int status = result.response.status;
  if (status == 200)
    return std::nullopt;
  return status >= 400 && status < 500 ? log_error_kind::kRefused
                                       : log_error_kind::kTimeout;
}

std::optional<uint64_t> GetUnsigned(const json& object, const char* name) {
  if (!object.is_object())
    return std::nullopt;
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number_unsigned())
    return std::nullopt;
  return found->get<uint64_t>();
}

std::optional<log_batch> ParseBatch(const std::string& body,
                                    uint64_t from_offset) {
  const auto parsed = ParseJson(body);
  if (!parsed)
    return std::nullopt;
  const auto end = GetUnsigned(*parsed, "end");
  if (!end || !parsed->contains("records") || !(*parsed)["records"].is_array())
    return std::nullopt;
  log_batch batch;
  batch.end_offset = *end;
  for (const json& record : (*parsed)["records"]) {
    const auto offset = GetUnsigned(record, "offset");
    // Nodes build their configuration from these records; with a gap, their
    // configurations would differ.
    if (offset != from_offset + batch.entries.size() ||
        !record.contains("data") || !record["data"].is_string())
      return std::nullopt;
    batch.entries.push_back({*offset, record["data"].get<std::string>()});
  }
  return batch;
}

}  // namespace

http_log_client::http_log_client(event_loop* loop,
                                 http_log_client_settings settings)
    : settings_(std::move(settings)),
      records_path_("/v1/streams/" + settings_.stream + "/records"),
      client_(loop, ClientSettings(), nullptr) {}

void http_log_client::Append(const std::string& data, append_callback done) {
  http_request request;
  request.method = "POST";
  request.path = records_path_;
  request.body = data;
  client_.Call(settings_.address, request, settings_.timeout,
               [done = std::move(done)](const target_result& result) {
                 if (const auto error = ErrorKindOf(result)) {
                   done(MakeError(*error));
                   return;
                 }
                 const auto parsed = ParseJson(result.response.body);
                 const auto offset =
                     parsed ? GetUnsigned(*parsed, "offset") : std::nullopt;
                 if (!offset)
                   done(MakeError(log_error_kind::kTimeout));
                 else
                   done(*offset);
               });
}

void http_log_client::Read(uint64_t from_offset,
                           int max_entries,
                           read_callback done) {
  http_request request;
  request.method = "GET";
  request.path = records_path_ + "?from=" + std::to_string(from_offset) +
                 "&max=" + std::to_string(max_entries);
  client_.Call(
      settings_.address, request, settings_.timeout,
      [from_offset, done = std::move(done)](const target_result& result) {
        if (result.error == target_error::kNone &&
            result.response.status == 410) {
          const auto parsed = ParseJson(result.response.body);
          const auto first =
              parsed ? GetUnsigned(*parsed, "first") : std::nullopt;
          done(first ? MakeError(log_error_kind::kTrimmed, *first)
                     : MakeError(log_error_kind::kTimeout));
          return;
        }
        if (const auto error = ErrorKindOf(result)) {
          done(MakeError(*error));
          return;
        }
        auto batch = ParseBatch(result.response.body, from_offset);
        if (!batch)
          done(MakeError(log_error_kind::kTimeout));
        else
          done(std::move(*batch));
      });
}

}  // namespace skylarkhoist
