#ifndef NODE_CALL_DISPATCH_H_
#define NODE_CALL_DISPATCH_H_

#include "node/entry.h"
#include "node/executor.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// Gives a message about a call to the role that it is for. Returns false when
// it is about something else.
bool DispatchCallMessage(const peer_info& from,
                         const fbs::envelopeT& message,
                         entry* to_entry,
                         executor* to_executor);

}  // namespace skylarkhoist

#endif  // NODE_CALL_DISPATCH_H_
