#include "node/node_view_messages.h"

#include <utility>

namespace skylarkhoist {

std::unique_ptr<fbs::viewed_nodeT> ToWire(const node_view& node) {
  auto message = std::make_unique<fbs::viewed_nodeT>();
  message->status = static_cast<fbs::node_status>(node.status);
  message->entry = std::make_unique<fbs::member_entryT>(EntryOf(node));
  return message;
}

std::optional<node_view> FromWire(const fbs::viewed_nodeT& message) {
  if (message.entry == nullptr || message.entry->peer_address.empty() ||
      message.entry->zone.empty() || message.status > fbs::node_status::MAX)
    return std::nullopt;
  for (const auto& target : message.entry->targets) {
    if (target == nullptr)
      return std::nullopt;
  }
  return ViewOf(*message.entry, static_cast<node_status>(message.status));
}

node_view ViewOf(const fbs::member_entryT& entry, node_status status) {
  node_view node;
  node.address = entry.peer_address;
  node.name = entry.node;
  node.zone = entry.zone;
  node.incarnation = entry.incarnation;
  node.version = entry.version;
  node.status =
      entry.state == fbs::member_state::kGone ? node_status::kEnded : status;
  node.draining = entry.state != fbs::member_state::kServing;
  node.protocol = entry.protocol;
  for (const auto& target : entry.targets) {
    if (target == nullptr)
      continue;
    node.targets.push_back({target->service, target->address,
                            target->state == fbs::member_state::kServing,
                            target->load_permille, target->limit,
                            target->speed_milli, target->expected_us,
                            target->version});
  }
  return node;
}

fbs::member_entryT EntryOf(const node_view& node) {
  fbs::member_entryT entry;
  entry.node = node.name;
  entry.zone = node.zone;
  entry.peer_address = node.address;
  entry.incarnation = node.incarnation;
  entry.version = node.version;
  entry.protocol = node.protocol;
  if (node.status == node_status::kEnded)
    entry.state = fbs::member_state::kGone;
  else if (node.draining)
    entry.state = fbs::member_state::kDraining;
  for (const target_view& target : node.targets) {
    auto described = std::make_unique<fbs::target_entryT>();
    described->service = target.service;
    described->address = target.address;
    described->state = target.serving ? fbs::member_state::kServing
                                      : fbs::member_state::kDraining;
    described->load_permille = target.load_permille;
    described->limit = target.limit;
    described->speed_milli = target.speed_milli;
    described->expected_us = target.expected_us;
    described->version = target.version;
    entry.targets.push_back(std::move(described));
  }
  return entry;
}

}  // namespace skylarkhoist
