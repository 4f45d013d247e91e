#include "node/request_dialect.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "node/call_types.h"

namespace skylarkhoist {
namespace {

constexpr std::string_view kSkylarkHeaderPrefix = "Skylark-";
constexpr std::string_view kDeadlineField = "Skylark-Deadline-Ms";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr int64_t kMaxDeadlineMs = 3'600'000;

// Hop-by-hop header fields, and the key, which are not forwarded.
constexpr std::string_view kConnectionHeaders[] = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
    "Host",       "TE",         "Upgrade",           "Authorization"};

void RemoveSkylarkAndConnectionHeaders(http_headers* headers) {
  headers->RemovePrefix(kSkylarkHeaderPrefix);
  for (const std::string_view name : kConnectionHeaders)
    headers->Remove(name);
}

class skylark_dialect : public request_dialect {
 public:
  request_metadata ReadMetadata(const http_request& request) const override {
    request_metadata metadata;
    if (const std::string* field = request.headers.Find("Authorization")) {
      if (field->compare(0, kBearerPrefix.size(), kBearerPrefix) == 0)
        metadata.key = field->substr(kBearerPrefix.size());
    }
    if (const std::string* text = request.headers.Find(kDeadlineField)) {
      int64_t value = 0;
      const char* last = text->data() + text->size();
      const auto [end, error] = std::from_chars(text->data(), last, value);
      metadata.valid = error == std::errc() && end == last && value >= 0;
      if (metadata.valid)
        metadata.time_left =
            std::chrono::milliseconds(std::min(value, kMaxDeadlineMs));
    }
    return metadata;
  }

  void StripRequest(http_headers* headers) const override {
    RemoveSkylarkAndConnectionHeaders(headers);
  }

  void AddTargetHeaders(const target_request_metadata& metadata,
                        http_headers* headers) const override {
    headers->Add("Skylark-Context", metadata.context_token);
    headers->Add(std::string(kDeadlineField),
                 std::to_string(ToMilliseconds(metadata.time_left)));
  }

  // A target that refuses a request because of load, before any work, answers
  // 503 with Retry-After. A 503 after child calls or without Retry-After is an
  // ordinary response.
  run_outcome ClassifyResponse(const http_response& response,
                               bool made_child_calls) const override {
    return response.status == 503 && !made_child_calls &&
                   response.headers.Find("Retry-After") != nullptr
               ? run_outcome::kShed
               : run_outcome::kRan;
  }

  void FinishResponse(const request_id& id,
                      http_response* response) const override {
    RemoveSkylarkAndConnectionHeaders(&response->headers);
    response->headers.Add("Skylark-Ran", "yes");
    response->headers.Add("Skylark-Reason", "ok");
    response->headers.Add("Skylark-Request-Id", ToText(id));
  }

  http_response BuildErrorResponse(const request_id& id,
                                   const request_metadata& /*facts*/,
                                   reason why,
                                   fbs::ran_state ran,
                                   duration retry_after) const override {
    return MakeErrorResponse(id, why, ran, retry_after);
  }
};

}  // namespace

const request_dialect& SkylarkDialect() {
  static const skylark_dialect kDialect;
  return kDialect;
}

}  // namespace skylarkhoist
