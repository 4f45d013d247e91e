#include "node/call_dispatch.h"

namespace skylarkhoist {

bool DispatchCallMessage(const peer_info& from,
                         const fbs::envelopeT& message,
                         entry* entry_role,
                         executor* executor_role) {
  const fbs::payloadUnion& body = message.body;
  if (const auto* call = body.Ascall_request())
    executor_role->HandleCall(from, *call);
  else if (const auto* answer = body.Ascall_answer())
    entry_role->HandleAnswer(from, *answer);
  else if (const auto* cancel = body.Ascall_cancel())
    executor_role->HandleCancel(*cancel);
  else if (const auto* query = body.Ascall_query())
    executor_role->HandleQuery(from, *query);
  else if (const auto* state = body.Ascall_state())
    entry_role->HandleState(from, *state);
  else
    return false;
  return true;
}

}  // namespace skylarkhoist
