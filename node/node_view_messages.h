#ifndef NODE_NODE_VIEW_MESSAGES_H_
#define NODE_NODE_VIEW_MESSAGES_H_

#include <memory>
#include <optional>

#include "decisions/node_view_table.h"
#include "wire/messages_generated.h"

namespace skylarkhoist {

std::unique_ptr<fbs::viewed_nodeT> ToWire(const node_view& node);

// Returns nothing if parts of the message are missing.
std::optional<node_view> FromWire(const fbs::viewed_nodeT& message);

// Describes a node from the entry that it sent itself.
node_view ViewOf(const fbs::member_entryT& entry, node_status status);

fbs::member_entryT EntryOf(const node_view& node);

}  // namespace skylarkhoist

#endif  // NODE_NODE_VIEW_MESSAGES_H_
