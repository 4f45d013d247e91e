#ifndef NODE_CALL_DISPATCH_H_
#define NODE_CALL_DISPATCH_H_

#include "node/entry.h"
#include "node/executor.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// Passes a message about a call to the entry or executor role that handles it.
// Returns false for any other message.
bool DispatchCallMessage(const peer_info& from,
                         const fbs::envelopeT& message,
                         entry* entry_role,
                         executor* executor_role);

}  // namespace skylarkhoist

#endif  // NODE_CALL_DISPATCH_H_
