#ifndef NODE_DEPARTURE_EXCHANGE_H_
#define NODE_DEPARTURE_EXCHANGE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decisions/departure_memory.h"
#include "kernel/loop.h"
#include "wire/keyed_store.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// Tells other nodes which targets beside this node leave, remembers what they
// tell, and returns it to their next process. A process that has restarted
// learns in this way what its predecessor confirmed although the store does not
// answer it.
//
//   exchange.Publish(executor.Departures(), peers);   // after each departure
//   exchange.OnLinkUp(peer, executor.Departures());
//   if (const auto departures = exchange.Receive(from, message))
//     executor.AddDepartures(*departures);
class departure_exchange {
 public:
  // `node` is the name of this node.
  departure_exchange(loop* run_loop,
                     peer_transport* transport,
                     std::string node);
  departure_exchange(const departure_exchange&) = delete;
  departure_exchange& operator=(const departure_exchange&) = delete;

  // Sends the departures beside this node, if there are any, to the nodes with
  // these addresses.
  void Publish(const std::vector<target_departure>& own,
               const std::vector<std::string>& peers);

  // Sends the peer the departures beside this node, and those beside the peer
  // that this node knows, or that it knows of none. The link must not be that
  // of the node to itself.
  void OnLinkUp(const peer_info& peer,
                const std::vector<target_departure>& own);
  void OnLinkDown(const peer_info& peer);

  // Remembers the departures that the nodes have stored, and sends them to
  // those with a link, which the store may not answer. To be called once: the
  // store keeps records of targets that left long ago.
  void OnRecordsRead(const std::vector<keyed_record>& records);

  // Remembers what the sender tells of the targets beside it. Returns what it
  // tells of those beside this node, if it does.
  std::optional<std::vector<target_departure>> Receive(
      const peer_info& from,
      const fbs::departure_reportT& message);

 private:
  void Remember(const std::string& node,
                const std::vector<target_departure>& departures);
  void Send(const std::string& address,
            const std::string& node,
            const std::vector<target_departure>& departures);

  loop* loop_;
  peer_transport* transport_;
  std::string node_;
  bool has_read_records_ = false;
  // Departures beside other nodes, by the name of the node.
  std::map<std::string, departure_memory> remembered_;
  // Addresses of the nodes with a link, by name.
  std::map<std::string, std::string> linked_;
};

}  // namespace skylarkhoist

#endif  // NODE_DEPARTURE_EXCHANGE_H_
