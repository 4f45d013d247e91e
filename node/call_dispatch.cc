#include "node/call_dispatch.h"

namespace skylarkhoist {

bool DispatchCallMessage(const peer_info& from,
                         const fbs::envelopeT& message,
                         entry* to_entry,
                         executor* to_executor) {
  const fbs::payloadUnion& body = message.body;
  if (const auto* call = body.Ascall_request())
    to_executor->HandleCall(from, *call);
  else if (const auto* answer = body.Ascall_answer())
    to_entry->HandleAnswer(from, *answer);
  else if (const auto* cancel = body.Ascall_cancel())
    to_executor->HandleCancel(*cancel);
  else if (const auto* query = body.Ascall_query())
    to_executor->HandleQuery(from, *query);
  else if (const auto* state = body.Ascall_state())
    to_entry->HandleState(from, *state);
  else
    return false;
  return true;
}

}  // namespace skylarkhoist
