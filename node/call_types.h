#ifndef NODE_CALL_TYPES_H_
#define NODE_CALL_TYPES_H_

#include <functional>
#include <memory>
#include <string>

#include "decisions/reason.h"
#include "decisions/request_types.h"
#include "kernel/http.h"
#include "kernel/metrics.h"
#include "kernel/time.h"
#include "wire/messages_generated.h"

namespace skylarkhoist {

using reply_callback = std::function<void(const http_response&)>;

// Conversions between the types of the decisions and those of the messages.
std::unique_ptr<fbs::request_id> ToWire(const request_id& id);
// A missing id becomes {0, 0}, which no process ever uses.
request_id FromWire(const std::unique_ptr<fbs::request_id>& id);

std::vector<std::unique_ptr<fbs::headerT>> ToWire(const http_headers& headers);
http_headers FromWire(
    const std::vector<std::unique_ptr<fbs::headerT>>& headers);

// A rank above the highest becomes the highest.
priority_class RankFromWire(uint8_t rank);

// XXH64 of a body; stands in each call and answer, so that a damaged one is
// found end to end.
uint64_t BodyChecksum(const std::vector<uint8_t>& body);

// An answer without a response of the target.
fbs::call_answerT MakeRefusal(const request_id& id,
                              reason why,
                              bool local,
                              fbs::ran_state ran = fbs::ran_state::kNo);

std::string ToText(const request_id& id);
std::string_view ToText(fbs::ran_state ran);
std::string_view ToText(fbs::member_state state);

// The response that tells a caller why its request was refused or failed.
http_response MakeErrorResponse(const request_id& id,
                                reason why,
                                fbs::ran_state ran,
                                duration retry_after);

// One counter for each reason, at 0 from the start.
class reason_counters {
 public:
  reason_counters(metrics* counters,
                  std::string_view name,
                  std::string_view help);
  void Increment(reason why) {
    counters_[static_cast<size_t>(why)]->Increment();
  }

 private:
  std::vector<prometheus::Counter*> counters_;
};

}  // namespace skylarkhoist

#endif  // NODE_CALL_TYPES_H_
