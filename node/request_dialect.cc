#include "node/request_dialect.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "node/call_types.h"

namespace skylarkhoist {
namespace {

constexpr std::string_view kOwnHeaderPrefix = "Skylark-";
constexpr std::string_view kDeadlineField = "Skylark-Deadline-Ms";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr int64_t kLongestDeadlineMs = 3'600'000;

// Fields that belong to one connection and are not passed on.
constexpr std::string_view kConnectionHeaders[] = {
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length",
    "Host",       "TE",         "Upgrade",           "Authorization"};

void RemoveOwnAndConnectionHeaders(http_headers* headers) {
  headers->RemovePrefix(kOwnHeaderPrefix);
  for (const std::string_view name : kConnectionHeaders)
    headers->Remove(name);
}

class own_dialect : public request_dialect {
 public:
  request_facts Read(const http_request& request) const override {
    request_facts facts;
    if (const std::string* field = request.headers.Find("Authorization")) {
      if (field->compare(0, kBearerPrefix.size(), kBearerPrefix) == 0)
        facts.key = field->substr(kBearerPrefix.size());
    }
    if (const std::string* text = request.headers.Find(kDeadlineField)) {
      int64_t value = 0;
      const char* last = text->data() + text->size();
      const auto [end, error] = std::from_chars(text->data(), last, value);
      facts.valid = error == std::errc() && end == last && value >= 0;
      if (facts.valid)
        facts.time_left =
            std::chrono::milliseconds(std::min(value, kLongestDeadlineMs));
    }
    return facts;
  }

  void StripRequest(http_headers* headers) const override {
    RemoveOwnAndConnectionHeaders(headers);
  }

  void AddForTarget(const handover_facts& facts,
                    http_headers* headers) const override {
    headers->Add("Skylark-Context", facts.context_token);
    headers->Add(std::string(kDeadlineField),
                 std::to_string(ToMilliseconds(facts.time_left)));
  }

  // A target refuses for load with 503 and Retry-After, before it does any
  // work. A 503 after child calls, or without Retry-After, is an answer like
  // any other.
  run_verdict Judge(const http_response& response,
                    bool made_child_calls) const override {
    return response.status == 503 && !made_child_calls &&
                   response.headers.Find("Retry-After") != nullptr
               ? run_verdict::kNotRun
               : run_verdict::kRan;
  }

  void FinishAnswer(const request_id& id,
                    http_response* response) const override {
    RemoveOwnAndConnectionHeaders(&response->headers);
    response->headers.Add("Skylark-Ran", "yes");
    response->headers.Add("Skylark-Reason", "ok");
    response->headers.Add("Skylark-Request-Id", ToText(id));
  }

  http_response MakeRefusal(const request_id& id,
                            const request_facts& /*facts*/,
                            reason why,
                            fbs::ran_state ran,
                            duration retry_after) const override {
    return MakeErrorResponse(id, why, ran, retry_after);
  }
};

}  // namespace

const request_dialect& OwnDialect() {
  static const own_dialect kDialect;
  return kDialect;
}

}  // namespace skylarkhoist
