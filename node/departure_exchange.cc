#include "node/departure_exchange.h"

#include <memory>
#include <utility>

#include "node/departure_records.h"

namespace skylarkhoist {
namespace {

std::unique_ptr<fbs::departure_entryT> ToWire(
    const target_departure& departure) {
  auto message = std::make_unique<fbs::departure_entryT>();
  message->id = departure.run.id;
  message->generation = departure.run.generation;
  message->sequence = departure.sequence;
  message->gone = departure.gone;
  return message;
}

std::vector<target_departure> FromWire(const fbs::departure_reportT& message) {
  std::vector<target_departure> departures;
  for (const auto& each : message.departures) {
    if (each != nullptr && !each->id.empty() && each->generation > 0)
      departures.push_back(
          {{each->id, each->generation}, each->sequence, each->gone});
  }
  return departures;
}

}  // namespace

departure_exchange::departure_exchange(loop* run_loop,
                                       peer_transport* transport,
                                       std::string node)
    : loop_(run_loop), transport_(transport), node_(std::move(node)) {}

void departure_exchange::Publish(const std::vector<target_departure>& own,
                                 const std::vector<std::string>& peers) {
  for (const std::string& peer : peers) {
    if (!own.empty())
      Send(peer, node_, own);
  }
}

void departure_exchange::OnLinkUp(const peer_info& peer,
                                  const std::vector<target_departure>& own) {
  linked_[peer.node] = peer.address;
  Publish(own, {peer.address});
  const auto found = remembered_.find(peer.node);
  if (found != remembered_.end())
    Send(peer.address, peer.node, found->second.All(loop_->Now()));
  else if (has_read_records_)
    Send(peer.address, peer.node, {});
}

void departure_exchange::OnLinkDown(const peer_info& peer) {
  const auto found = linked_.find(peer.node);
  if (found != linked_.end() && found->second == peer.address)
    linked_.erase(found);
}

void departure_exchange::OnRecordsRead(
    const std::vector<keyed_record>& records) {
  has_read_records_ = true;
  for (const keyed_record& record : records) {
    const auto node = NodeOfDepartureKey(record.key);
    if (!node || *node == node_ || !record.value)
      continue;
    const std::vector<target_departure> departures =
        DecodeDepartures(*record.value);
    Remember(*node, departures);
    const auto found = linked_.find(*node);
    if (found != linked_.end())
      Send(found->second, *node, departures);
  }
}

std::optional<std::vector<target_departure>> departure_exchange::Receive(
    const peer_info& from,
    const fbs::departure_reportT& message) {
  std::vector<target_departure> departures = FromWire(message);
  if (message.node == node_)
    return departures;
  if (message.node == from.node)
    Remember(from.node, departures);
  return std::nullopt;
}

void departure_exchange::Remember(
    const std::string& node,
    const std::vector<target_departure>& departures) {
  const time_point now = loop_->Now();
  for (auto each = remembered_.begin(); each != remembered_.end();)
    each = each->second.All(now).empty() ? remembered_.erase(each)
                                         : std::next(each);
  for (const target_departure& departure : departures)
    remembered_[node].Record(departure, now);
}

void departure_exchange::Send(const std::string& address,
                              const std::string& node,
                              const std::vector<target_departure>& departures) {
  fbs::departure_reportT message;
  message.node = node;
  for (const target_departure& departure : departures)
    message.departures.push_back(ToWire(departure));
  transport_->Send(address, MakeEnvelope(std::move(message)));
}

}  // namespace skylarkhoist
