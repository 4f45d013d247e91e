#include "node/call_types.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "kernel/json.h"
#include "kernel/time.h"

namespace skylarkhoist {
namespace {

constexpr int kBadGatewayStatus = 502;

// Bound on run times from messages.
constexpr duration kMaxRunTime = std::chrono::hours(1);

}  // namespace

std::unique_ptr<fbs::request_id> ToWire(const request_id& id) {
  return std::make_unique<fbs::request_id>(id.incarnation, id.sequence);
}

request_id FromWire(const std::unique_ptr<fbs::request_id>& id) {
  if (id == nullptr)
    return {};
  return {id->incarnation(), id->sequence()};
}

std::vector<std::unique_ptr<fbs::headerT>> ToWire(const http_headers& headers) {
  std::vector<std::unique_ptr<fbs::headerT>> items;
  items.reserve(headers.items().size());
  for (const auto& [name, value] : headers.items()) {
    auto item = std::make_unique<fbs::headerT>();
    item->name = name;
    item->value = value;
    items.push_back(std::move(item));
  }
  return items;
}

http_headers FromWire(
    const std::vector<std::unique_ptr<fbs::headerT>>& headers) {
  http_headers items;
  for (const auto& item : headers) {
    if (item != nullptr)
      items.Add(item->name, item->value);
  }
  return items;
}

uint64_t BodyChecksum(const std::vector<uint8_t>& body) {
  return XXH64(body.data(), body.size(), 0);
}

priority_class PriorityFromWire(uint8_t rank) {
  return static_cast<priority_class>(
      std::min(rank, static_cast<uint8_t>(priority_class::kCritical)));
}

fbs::call_answerT MakeErrorAnswer(const request_id& id,
                                  reason why,
                                  bool local,
                                  fbs::ran_state ran) {
  fbs::call_answerT answer;
  answer.id = ToWire(id);
  answer.outcome = ran == fbs::ran_state::kNo ? fbs::outcome::kRefused
                                              : fbs::outcome::kFailed;
  answer.ran = ran;
  answer.reason = static_cast<uint8_t>(why);
  answer.local = local;
  answer.body_checksum = BodyChecksum(answer.body);
  return answer;
}

duration RunTimeAt(uint32_t limit, uint32_t speed_milli) {
  if (limit == 0 || speed_milli == 0)
    return duration::zero();
  // The values come from messages, which may be damaged.
  const std::chrono::duration<double> run_time =
      std::min<std::chrono::duration<double>>(
          std::chrono::duration<double>(limit * 1000.0 / speed_milli),
          kMaxRunTime);
  return std::chrono::duration_cast<duration>(run_time);
}

std::string ToText(const request_id& id) {
  char text[40];
  std::snprintf(text, sizeof(text), "%016llx-%llx",
                static_cast<unsigned long long>(id.incarnation),
                static_cast<unsigned long long>(id.sequence));
  return text;
}

std::string_view ToText(fbs::ran_state ran) {
  switch (ran) {
    case fbs::ran_state::kNo:
      return "no";
    case fbs::ran_state::kYes:
      return "yes";
    case fbs::ran_state::kUnknown:
      break;
  }
  return "unknown";
}

std::string_view ToText(fbs::member_state state) {
  switch (state) {
    case fbs::member_state::kServing:
      return "serving";
    case fbs::member_state::kDraining:
      return "draining";
    case fbs::member_state::kGone:
      break;
  }
  return "gone";
}

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

http_response MakeErrorResponse(const request_id& id,
                                reason why,
                                fbs::ran_state ran,
                                duration retry_after) {
  const reason_info& info = InfoOf(why);
  const std::string label(info.label);
  const std::string ran_text(ToText(ran));
  http_response response;
  // A peer of a later version may name a reason that this version takes for a
  // refusal.
  const bool may_have_run = ran != fbs::ran_state::kNo;
  response.status = may_have_run && PromisesNotRun(info.status)
                        ? kBadGatewayStatus
                        : info.status;
  response.headers.Add("Content-Type", "application/json");
  response.headers.Add("Skylark-Ran", ran_text);
  response.headers.Add("Skylark-Reason", label);
  response.headers.Add("Skylark-Request-Id", ToText(id));
  if (info.retry_after && !may_have_run) {
    const int64_t seconds =
        std::max<int64_t>(1, (ToMilliseconds(retry_after) + 999) / 1000);
    response.headers.Add("Retry-After", std::to_string(seconds));
  }
  response.body = JsonText(
      {{"reason", label}, {"ran", ran_text}, {"request_id", ToText(id)}});
  return response;
}

reason_counters::reason_counters(metrics* counters,
                                 std::string_view name,
                                 std::string_view help) {
  for (size_t i = 0; i < static_cast<size_t>(reason::kCount); ++i) {
    const std::string label(InfoOf(static_cast<reason>(i)).label);
    counters_.push_back(&counters->Counter(name, help, {{"reason", label}}));
  }
}

}  // namespace skylarkhoist
