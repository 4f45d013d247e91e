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

// Conversions between the types in decisions/ and the generated message types.
std::unique_ptr<fbs::request_id> ToWire(const request_id& id);
// Returns {0, 0}, which no process uses, when the id is missing.
request_id FromWire(const std::unique_ptr<fbs::request_id>& id);

std::vector<std::unique_ptr<fbs::headerT>> ToWire(const http_headers& headers);
http_headers FromWire(
    const std::vector<std::unique_ptr<fbs::headerT>>& headers);

// Converts the priority of a message. Values above the highest priority become
// the highest.
priority_class PriorityFromWire(uint8_t rank);

// XXH64 of a body. Each call and answer carries it, so that the receiver
// detects a damaged body end to end.
uint64_t BodyChecksum(const std::vector<uint8_t>& body);

// Builds the answer to a call without a response from its target: refused when
// `ran` is kNo, failed otherwise. `local` means that another target of the
// service may still accept the call.
fbs::call_answerT MakeErrorAnswer(const request_id& id,
                                  reason why,
                                  bool local,
                                  fbs::ran_state ran = fbs::ran_state::kNo);

// Run time of an average call at a target that completes `speed_milli`
// thousandths of a call per second at its limit; zero when one is unknown.
duration RunTimeAt(uint32_t limit, uint32_t speed_milli);

std::string ToText(const request_id& id);
std::string_view ToText(fbs::ran_state ran);
std::string_view ToText(fbs::member_state state);

// Returns whether callers take the status for a promise that their request has
// not run and never will.
bool PromisesNotRun(int status);

// Builds the response that tells a caller why its request was refused or
// failed.
http_response MakeErrorResponse(const request_id& id,
                                reason why,
                                fbs::ran_state ran,
                                duration retry_after);

// One counter for each reason. All are registered at 0, so that reasons that
// have not occurred are exported too.
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
